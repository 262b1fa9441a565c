// Package reloader receives SIGHUP, by which operators have a host read its settings again.
// Its signal handler is installed while packages are initialized, since a SIGHUP before that
// ends the process.
package reloader

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives SIGHUP. Several that arrive before the first is read count as one.
var signals = func() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

// Signals returns a channel that receives a value after a SIGHUP, also after one that came
// before this call.
func Signals() <-chan os.Signal { return signals }

// Stop restores the default of SIGHUP, which ends the process, for commands without
// settings that could be read again.
func Stop() { signal.Reset(syscall.SIGHUP) }
