package inspector

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes a report as text.
func Print(out io.Writer, r Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "host %s, table %d\n", r.Host, r.Version)
	if r.Route != "" {
		var split []string
		for _, s := range r.Split {
			split = append(split, fmt.Sprintf("%s %d", s.Service, s.Weight))
		}
		_, _ = fmt.Fprintf(w, "route %s (%s), split %s, next %s\n", r.Route, r.Kind, strings.Join(split, ", "), r.Service)
		_, _ = fmt.Fprintf(w, "time limit %g ms, target %g ms, expected %g ms, %d waiting\n", r.TimeoutMs, r.TargetMs, r.ExpectedMs, r.Waiting)
	}
	_, _ = fmt.Fprintln(w, "verdict "+verdictText(r))
	if len(r.Candidates) > 0 {
		_, _ = fmt.Fprintln(w, "SERVER\tZONE\tSTATE\tLOAD\tAGE MS\tSLOWDOWN\tESTIMATE MS\tNOTES")
	}
	for _, c := range r.Candidates {
		load, age, slowdown, estimate := "-", "-", "-", "-"
		if c.Load != nil {
			load = fmt.Sprintf("%d+%d/%d", c.Load.Running, c.Load.Waiting, c.Load.Slots)
			age, slowdown, estimate = fmt.Sprint(c.Load.AgeMs), fmt.Sprint(c.Load.Slowdown), fmt.Sprint(c.Load.EstimateMs)
		}
		state := c.Tier
		if c.Excluded != "" {
			state = c.Excluded
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Server, c.Zone, state, load, age, slowdown, estimate, strings.Join(notes(c), ", "))
	}
	return w.Flush()
}

// verdictText explains what would happen first.
func verdictText(r Report) string {
	switch r.Verdict {
	case "refused":
		if r.ExpectedWaitMs > 0 {
			return fmt.Sprintf("refused: %s, expected wait %g ms", r.Reason, r.ExpectedWaitMs)
		}
		return "refused: " + r.Reason
	case "waiting":
		return fmt.Sprintf("waiting: %d requests wait for the service, or the servers accept none yet", r.Waiting)
	case "checked":
		return fmt.Sprintf("checked: up to %d servers in this order; the first lightly loaded one gets the request", r.MaxChecks)
	case "sent":
		return "sent: to the first server"
	case "drawn":
		return "drawn: to the less busy of the first two servers, which report no load"
	case "delegated":
		return "delegated: this host reaches no server of the service"
	}
	return r.Verdict
}

func notes(c Candidate) (list []string) {
	for _, n := range []struct {
		set  bool
		text string
	}{
		{c.OtherZone, "other zone"}, {c.Connected, "connected"}, {c.Cold, "cold"},
		{c.Load != nil && c.Load.LightlyLoaded, "lightly loaded"}, {c.Load != nil && c.Load.Saturated, "saturated"},
		{c.Load != nil && c.Load.Full, "full"},
	} {
		if n.set {
			list = append(list, n.text)
		}
	}
	if c.LimitShare != nil {
		list = append(list, fmt.Sprintf("limit share %g/s", *c.LimitShare))
	}
	if c.WaitMs > 0 {
		list = append(list, fmt.Sprintf("for %g ms", c.WaitMs))
	}
	return list
}
