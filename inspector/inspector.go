// Package inspector answers where a host would send a request now, and why.
package inspector

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/carrier"
)

// Path is the path of the query at the metrics address of a gateway.
const Path = "/route"

// The parameters of a query.
const (
	ParameterHostName  = "host"
	ParameterPath      = "path"
	ParameterTimeoutMs = "timeoutMs"
)

// Report is the answer to a query.
type Report struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
	// Route is empty if no route was found.
	Route     string  `json:"route,omitempty"`
	Kind      string  `json:"kind,omitempty"`
	Split     []Share `json:"split,omitempty"`
	Service   string  `json:"service,omitempty"`
	TimeoutMs float64 `json:"timeoutMs"`
	TargetMs  float64 `json:"targetMs"`
	// Verdict is what would happen first, Reason the reason of a refusal.
	Verdict        string      `json:"verdict"`
	Reason         string      `json:"reason,omitempty"`
	ExpectedMs     float64     `json:"expectedMs"`
	Waiting        int         `json:"waiting"`
	ExpectedWaitMs float64     `json:"expectedWaitMs,omitempty"`
	MaxChecks      int         `json:"maxChecks"`
	Candidates     []Candidate `json:"candidates"`
}

// Share is a part of the traffic split of a route.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Candidate is a server of the service.
type Candidate struct {
	Server    string `json:"server"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	OtherZone bool   `json:"otherZone"`
	// Tier is empty if the server is excluded for the given reason.
	Tier     string  `json:"tier,omitempty"`
	Excluded string  `json:"excluded,omitempty"`
	WaitMs   float64 `json:"waitMs,omitempty"`
	// Connected is set if a check needs no new connection.
	Connected bool  `json:"connected"`
	Cold      bool  `json:"cold"`
	Load      *Load `json:"load,omitempty"`
	// LimitShare is this host's share of the limit that the server names.
	LimitShare *float64 `json:"limitShare,omitempty"`
}

// Load is what a server last reported, and what follows from it.
type Load struct {
	AgeMs         float64 `json:"ageMs"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	Slots         int     `json:"slots"`
	Slowdown      float64 `json:"slowdown"`
	EstimateMs    float64 `json:"estimateMs"`
	LightlyLoaded bool    `json:"lightlyLoaded"`
	Saturated     bool    `json:"saturated"`
	Full          bool    `json:"full"`
}

// Explainer makes the decisions of a host.
type Explainer interface {
	Explain(carrier.RouteQuery) carrier.Decision
}

// NewHandler returns the handler of queries at a host.
func NewHandler(host string, e Explainer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := carrier.RouteQuery{HostName: r.FormValue(ParameterHostName), Path: r.FormValue(ParameterPath)}
		if text := r.FormValue(ParameterTimeoutMs); text != "" {
			ms, err := strconv.ParseUint(text, 10, 31)
			if err != nil || ms == 0 {
				http.Error(w, ParameterTimeoutMs+": want a positive number of milliseconds", http.StatusBadRequest)
				return
			}
			query.Timeout = time.Duration(ms) * time.Millisecond
		}
		if query.HostName == "" || query.Path == "" {
			http.Error(w, "want the parameters "+ParameterHostName+" and "+ParameterPath, http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(newReport(host, e.Explain(query)))
	})
}

func newReport(host string, d carrier.Decision) Report {
	e := d.Explanation
	report := Report{
		Host: host, Version: uint64(d.Version), Service: string(d.Service), TimeoutMs: milliseconds(d.Timeout), TargetMs: milliseconds(d.Target),
		Verdict: d.Step.String(), ExpectedMs: milliseconds(e.Expected), Waiting: e.Waiting, MaxChecks: e.MaxChecks, Candidates: []Candidate{},
	}
	if d.Step == carrier.RefusedStep {
		report.Reason = d.Reason.String()
	}
	if e.NoCapacity != nil {
		report.ExpectedWaitMs = milliseconds(e.NoCapacity.Wait)
	}
	if d.Route != nil {
		report.Route, report.Kind = string(d.Route.Name()), d.Route.RetrySafety().String()
		for _, part := range d.Route.Split() {
			report.Split = append(report.Split, Share{string(part.Service()), part.Weight()})
		}
	}
	for _, c := range e.Candidates {
		report.Candidates = append(report.Candidates, newCandidate(c))
	}
	return report
}

func newCandidate(s balancer.CandidateState) Candidate {
	c := Candidate{
		Server: string(s.Server.Server()), Address: s.Server.Address(), Zone: string(s.Server.Zone()), OtherZone: s.CrossZone,
		Connected: s.Connected, Cold: s.Warming, Excluded: balancer.ExclusionReason(s.Excluded), WaitMs: milliseconds(s.Wait),
	}
	if s.Excluded == nil {
		c.Tier = s.Tier.String()
	}
	if s.Limited {
		share := float64(s.Share)
		c.LimitShare = &share
	}
	if s.Reported {
		c.Load = &Load{
			AgeMs: milliseconds(s.Age), Running: s.Report.Running, Waiting: s.Report.Waiting, Slots: s.Report.Slots, Slowdown: s.Report.Slowdown,
			EstimateMs: milliseconds(s.Estimate), LightlyLoaded: s.LightlyLoaded, Saturated: s.Saturated, Full: s.Full,
		}
	}
	return c
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
