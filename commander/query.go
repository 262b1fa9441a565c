package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/verbenastand/verbenastand/api"
	"github.com/verbenastand/verbenastand/merger"
)

const queryTimeout = 5 * time.Second

// queryFlags selects the host to query and the output format.
type queryFlags struct {
	Address string `long:"api-address" env:"VERBENASTAND_API_ADDRESS" required:"true" description:"IP address and port of a host's API"`
	JSON    bool   `long:"json" description:"Print JSON"`
}

func (f queryFlags) client() (*api.Client, error) {
	client, err := api.NewClient("http://" + f.Address)
	if err != nil {
		return nil, fmt.Errorf("commander: %w", err)
	}
	return client, nil
}

func (f queryFlags) print(c Config, v any) error {
	encoder := json.NewEncoder(c.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

type askCommand struct {
	queryFlags
	Service string `long:"service" required:"true" description:"Service to call"`
	Zone    string `long:"zone" description:"Availability zone of the caller"`
	config  Config
}

// Execute prints the hosts that a caller of the service should use.
func (a *askCommand) Execute([]string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	params := api.AskParams{Service: a.Service}
	if a.Zone != "" {
		params.Zone = api.NewOptString(a.Zone)
	}
	response, err := client.Ask(ctx, params)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	if a.JSON {
		return a.print(a.config, response)
	}
	w := tabwriter.NewWriter(a.config.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "service %s, ticket %d, valid for %d ms\n", response.Service, response.TicketNumber, response.ValidForMs)
	_, _ = fmt.Fprintln(w, "HOST\tZONE\tADDRESS\tKEY PREFIX")
	for _, h := range response.Hosts {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", h.ID, h.Zone, h.Address, h.KeyPrefix)
	}
	return w.Flush()
}

type statusCommand struct {
	queryFlags
	config Config
}

// Execute prints the state of a host.
func (s *statusCommand) Execute([]string) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	if s.JSON {
		return s.print(s.config, status)
	}
	return s.printTable(status)
}

func (s *statusCommand) printTable(status *api.Status) error {
	w := tabwriter.NewWriter(s.config.Stdout, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s in %s: %s, version %s", status.Instance, status.Zone, status.State, status.Version)
	line("ticket %d, digest %s, %d conflicts, %d invalid", status.TicketNumber, status.TicketDigest, status.TicketConflicts, status.InvalidTickets)
	line("%d keys, %d quarantined, %d invariant failures", status.Keys, status.Quarantined, status.InvariantFailures)
	line("PEER\tZONE\tAGE\tTICKET\tLEAVING")
	for _, p := range status.Peers {
		line("%s\t%s\t%dms\t%d\t%t", p.Instance, p.Zone, p.AgeMs, p.TicketNumber, p.Leaving)
	}
	for _, service := range status.Services {
		line("")
		line("service %s, homes %v: %d queued, %d granted, %d refused, %d expired, %d borrowed, %d retries left",
			service.Name, service.Homes, service.Queued, service.Granted, service.Refused, service.Expired, service.Borrowed, service.RetryBudget)
		line("SERVER\tZONE\tSTATE\tIN FLIGHT\tOTHERS\tSHARE\tLIMIT\tLATENCY RATIO\tEJECTED\tGRANTED\tPROBES")
		for _, e := range service.Servers {
			line("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%t\t%d\t%d", e.ID, e.Zone, e.State, e.InFlight, e.Others, e.Share, e.Limit, e.LatencyRatio, e.Ejected, e.Granted, e.Probes)
		}
	}
	return w.Flush()
}

type checkCommand struct {
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
	config Config
}

// Execute validates ticket files.
func (c *checkCommand) Execute([]string) error {
	var errs []error
	for _, name := range c.Arguments.Files {
		data, err := os.ReadFile(name)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		ticket, err := merger.Decode(data)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s:\n%w", name, err))
			continue
		}
		_, _ = fmt.Fprintf(c.config.Stdout, "%s: ticket %d is valid: %d services, %d servers\n", name, ticket.Number, len(ticket.Services), len(ticket.Servers))
	}
	return errors.Join(errs...)
}

type versionCommand struct{ config Config }

// Execute prints the version.
func (v *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(v.config.Stdout, "verbenastand %s, %s\n", v.config.Version, runtime.Version())
	return err
}
