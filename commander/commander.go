// Package commander implements the command-line interface of verbenastand.
package commander

import (
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/verbenastand/verbenastand/internal/reloader"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// usageError is an error in the command-line arguments or settings.
type usageError struct{ error }

// Config holds the arguments, version and output streams of the program.
type Config struct {
	Args    []string
	Version string
	Stdout  io.Writer
	Stderr  io.Writer
}

// Run runs the command that the arguments select and returns the exit code.
func Run(c Config) int {
	parser := flags.NewNamedParser("verbenastand", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A load balancer for servers whose load shifts in milliseconds."
	parser.CommandHandler = execute
	commands := []struct {
		name, short, long string
		command           flags.Commander
	}{
		{"entry", "Run an entry host", "Runs an entry host until it receives SIGTERM or SIGINT.", &entryCommand{config: c}},
		{"gateway", "Run a gateway host", "Runs a host that follows the configuration store until it receives SIGTERM or SIGINT.", &gatewayCommand{config: c}},
		{"ask", "Ask a host which hosts to use", "Asks a running host which hosts a caller of a service should use.", &askCommand{config: c}},
		{"check", "Check ticket files", "Checks change tickets offline and prints every error with the path of the field.", &checkCommand{config: c}},
		{"explain", "Explain the outcome of a request", "Reads structured log lines from files or standard input and prints the timeline of one request, or counts failures by cause.", &explainCommand{config: c}},
		{"route", "Explain where a request would be sent", "Asks a running gateway where it would send a request now, and why, without sending it.", &routeCommand{config: c}},
		{"status", "Show the state of a host", "Shows the tickets in effect, peers, services and servers of a running host.", &statusCommand{config: c}},
		{"version", "Show the version", "Shows the version of the program and of Go.", &versionCommand{config: c}},
	}
	for _, e := range commands {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			_, _ = fmt.Fprintln(c.Stderr, err)
			return exitError
		}
	}
	_, err := parser.ParseArgs(c.Args)
	return report(c, err)
}

// execute runs the selected command. Only hosts have settings that can be read again, and
// outlive the readers of their lines.
func execute(command flags.Commander, args []string) error {
	switch command.(type) {
	case nil:
		return nil
	case *entryCommand, *gatewayCommand:
		signal.Ignore(syscall.SIGPIPE)
	default:
		reloader.Stop()
	}
	return command.Execute(args)
}

func report(c Config, err error) int {
	if err == nil {
		return exitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(c.Stdout, err)
		return exitOK
	}
	_, _ = fmt.Fprintln(c.Stderr, err)
	var usage usageError
	if flagsErr != nil || errors.As(err, &usage) {
		return exitUsage
	}
	return exitError
}
