// Command emulator emulates the environment of the system for tests and
// demonstrations: the platform, backend servers and the load of callers.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/merger"
)

const (
	maxRate     = 20_000
	maxDuration = time.Hour
)

type platformCommand struct {
	Address string `long:"address" required:"true" description:"IP address and port to listen on"`
}

// Execute runs the platform.
func (p *platformCommand) Execute([]string) error {
	return serve(p.Address, emulator.NewPlatform().Handler())
}

type serverCommand struct {
	Address    string        `long:"address" required:"true" description:"IP address and port to listen on"`
	ID         string        `long:"id" required:"true" description:"Name of the server"`
	Mean       time.Duration `long:"mean" default:"10ms" description:"Mean duration of a short request"`
	LongFactor int           `long:"long-factor" default:"20" description:"Factor by which requests below /long/ take longer"`
	RunLog     string        `long:"record" description:"Run log file, to which the start and end of each request are appended"`
}

// Execute runs a backend server.
func (s *serverCommand) Execute([]string) error {
	var runLog io.Writer
	if s.RunLog != "" {
		file, err := os.OpenFile(s.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		runLog = file
	}
	return serve(s.Address, emulator.NewServer(emulator.ServerConfig{
		ID: verbenastand.ServerID(s.ID), Mean: s.Mean, LongFactor: s.LongFactor, RunLog: runLog,
		Instance: strconv.FormatInt(time.Now().UnixNano(), 36),
	}))
}

type loadCommand struct {
	APIAddresses []string      `long:"api-address" required:"true" description:"IP address and port of a host's API; may be repeated"`
	Deployment   string        `long:"shape" default:"qalib" choice:"qalib" choice:"tsela" description:"Mix of requests"`
	Zone         string        `long:"zone" description:"Availability zone of the callers"`
	Rate         float64       `long:"rate" default:"100" description:"Requests per second"`
	Duration     time.Duration `long:"duration" default:"10s" description:"Duration of the load"`
	Retries      int           `long:"resends" default:"6" description:"Maximum number of retries of a request"`
	Seed         uint64        `long:"seed" default:"1" description:"Seed of the random mix of requests"`
	RunLog       string        `long:"record" description:"Run log of the servers, to verify that each key ran at most once"`
}

// Execute sends requests to running hosts and prints statistics.
func (l *loadCommand) Execute([]string) error {
	if l.Rate <= 0 || l.Rate > maxRate || l.Duration <= 0 || l.Duration > maxDuration {
		return fmt.Errorf("rate must be above 0 and at most %g, duration at most %s", float64(maxRate), maxDuration)
	}
	deployment, err := emulator.DeploymentByName(l.Deployment)
	if err != nil {
		return err
	}
	load := emulator.NewLoad(emulator.LoadConfig{
		Deployment: deployment, Rate: l.Rate, Seed: l.Seed,
		Caller: emulator.CallerConfig{APIAddresses: l.APIAddresses, Zone: verbenastand.Zone(l.Zone), MaxRetries: l.Retries},
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	load.Run(ctx)
	if err := load.Report().Print(os.Stdout); err != nil {
		return err
	}
	if wrong := load.Report().Wrong(); wrong > 0 {
		return fmt.Errorf("%d responses were wrong", wrong)
	}
	if l.RunLog == "" {
		return nil
	}
	runs, err := emulator.ReadRunLog(l.RunLog)
	if err != nil {
		return err
	}
	return emulator.VerifyKeys(runs, load.Results())
}

type ticketCommand struct {
	Deployment string   `long:"shape" default:"qalib" choice:"qalib" choice:"tsela" description:"Deployment to describe"`
	Number     uint64   `long:"number" default:"1" description:"Number of the ticket"`
	Servers    []string `long:"server" description:"Address of a server as NAME=IP:PORT; other servers are omitted"`
}

// Execute prints the ticket that creates a deployment.
func (t *ticketCommand) Execute([]string) error {
	deployment, err := emulator.DeploymentByName(t.Deployment)
	if err != nil {
		return err
	}
	addresses := make(map[verbenastand.ServerID]string)
	for _, s := range t.Servers {
		name, address, ok := strings.Cut(s, "=")
		if !ok {
			return fmt.Errorf("server %q: want NAME=IP:PORT", s)
		}
		addresses[verbenastand.ServerID(name)] = address
	}
	ticket := deployment.Ticket(verbenastand.TicketNumber(t.Number), func(id verbenastand.ServerID) string { return addresses[id] })
	ticket.Servers = slices.DeleteFunc(ticket.Servers, func(s merger.ServerObject) bool { return s.Address == "" })
	if err := ticket.Validate(); err != nil {
		return err
	}
	data, err := ticket.Encode()
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(data))
	return err
}

type certificatesCommand struct {
	Directory string `long:"directory" required:"true" description:"Directory to which ca.pem, host.pem and host-key.pem are written"`
}

// Execute creates certificates for tests.
func (c *certificatesCommand) Execute([]string) error {
	_, err := emulator.WriteCertificates(c.Directory)
	return err
}

// serve runs an HTTP server until the process receives SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-stop:
		return server.Close()
	}
}

func main() {
	parser := flags.NewNamedParser("emulator", flags.Default)
	commands := []struct {
		name, short string
		command     flags.Commander
	}{
		{"platform", "Run the platform", &platformCommand{}},
		{"server", "Run a backend server", &serverCommand{}},
		{"load", "Send requests to running hosts", &loadCommand{}},
		{"ticket", "Print the ticket of a deployment", &ticketCommand{}},
		{"certificates", "Create certificates for tests", &certificatesCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
