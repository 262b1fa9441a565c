// Command standin plays one case of the review: a small deployment of gateway processes with
// stand-ins of the platform's store, of backend servers and of callers, all on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// The exit codes of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// options are the command-line options of a case.
type options struct {
	trouble bool
	binary  string
	// load is set if the servers of the case copies tell their load, and shed is the share of
	// the requests that all of them turn away while some send copies.
	load   bool
	shed   float64
	seed   uint64
	record *record
}

func main() {
	// The gateways end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	cases := map[string]func(*options) (int, error){"stop": runStop, "stop-fresh": runStopFresh, "copies": runCopies, "behind": runBehind}
	var o options
	path := flag.String("record", "record.txt", "file that the record is written to")
	flag.BoolVar(&o.trouble, "trouble", true, "play the disruption")
	flag.StringVar(&o.binary, "binary", "target/verbenastand", "program of the gateway")
	flag.BoolVar(&o.load, "load", false, "let the servers of the case copies tell their load")
	flag.Float64Var(&o.shed, "shed", 0, "share of the requests that the servers of the case copies turn away while some send copies")
	flag.Uint64Var(&o.seed, "seed", 0, "seed of the traffic, drawn anew if zero")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "standin: unknown case", flag.Arg(0))
		return couldNotRun
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return couldNotRun
	}
	defer func() { _ = file.Close() }()
	if o.seed == 0 {
		o.seed = uint64(os.Getpid())
	}
	o.record = newRecord(file)
	o.record.say("case %s, disruption %v, seed %d", flag.Arg(0), o.trouble, o.seed)
	code, err := play(&o)
	if err != nil {
		o.record.say("could not run: %v", err)
		code = couldNotRun
	}
	o.record.say("exit %d", code)
	return code
}
