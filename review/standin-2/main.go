// Standin-2 runs the cases of the second review: stand-ins of the platform, of upstreams and of
// requesters, against processes of the system.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	defaultPath = "target/verbenastand"
)

// longest bounds a case.
const longest = 110 * time.Second

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by their names. trouble is false for the control without disruption.
var cases = map[string]func(r *record, binary string, trouble bool) error{
	"odd-entries":       oddEntries,
	"same-request":      sameRequest,
	"slow-downloads":    slowDownloads,
	"stale-table":       staleTable,
	"unfinished-bodies": unfinishedBodies,
}

func main() { os.Exit(run()) }

func run() int {
	trouble := flag.Bool("trouble", true, "play the disruption of the case")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if flag.NArg() != 2 || play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 [-trouble=false] CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(flag.Arg(1))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	binary := os.Getenv("VERBENASTAND")
	if binary == "" {
		binary = defaultPath
	}
	time.AfterFunc(longest, func() { interrupt(r, "the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { interrupt(r, "ended by "+(<-signals).String()) }()
	err = play(r, binary, *trouble)
	switch {
	case err == nil:
		r.summary("held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.summary("broken: %v", err)
		return exitBroken
	}
	r.summary("not run: %v", err)
	return exitNotRun
}

// workDir is the temporary folder of the case, nil while there is none.
var workDir atomic.Pointer[string]

// interrupt ends a case before its end. The processes that it has started are killed by the
// system when this one ends.
func interrupt(r *record, reason string) {
	r.summary("not run: %s", reason)
	if dir := workDir.Load(); dir != nil {
		_ = os.RemoveAll(*dir)
	}
	os.Exit(exitNotRun)
}
