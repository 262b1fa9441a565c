package commander

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/verbenastand/verbenastand/explainer"
)

type explainCommand struct {
	Summary bool   `long:"summary" description:"Count failures by cause instead of printing the timeline of a request"`
	Plot    string `long:"plot" description:"Write the summary as SVG to this file"`
	config  Config
}

// Usage returns the arguments for the help text.
func (e *explainCommand) Usage() string { return "[ID] [FILE...]" }

var errUnknownRequest = errors.New("no log line found for this request")

// Execute reads logs and prints the timeline of a request or a summary.
func (e *explainCommand) Execute(args []string) error {
	id := ""
	if !e.Summary {
		if len(args) == 0 {
			return usageError{errors.New("the request ID is missing")}
		}
		id, args = args[0], args[1:]
	}
	var l explainer.Log
	if err := readLogs(&l, args); err != nil {
		return err
	}
	if l.Malformed() > 0 {
		_, _ = fmt.Fprintf(e.config.Stderr, "%d of %d lines are malformed\n", l.Malformed(), l.Malformed()+l.Lines())
	}
	if e.Summary {
		return e.summarize(&l)
	}
	if !l.WriteTimeline(e.config.Stdout, id) {
		return errUnknownRequest
	}
	return nil
}

// readLogs reads the named files, or standard input if no names are given.
func readLogs(l *explainer.Log, names []string) error {
	if len(names) == 0 {
		return l.Read(os.Stdin)
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("commander: %w", err)
		}
		err = l.Read(f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *explainCommand) summarize(l *explainer.Log) error {
	s := l.Summary()
	s.Write(e.config.Stdout)
	if e.Plot == "" {
		return nil
	}
	return writeFile(e.Plot, s.Plot)
}

func writeFile(name string, write func(io.Writer)) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	write(f)
	if err := f.Close(); err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return nil
}
