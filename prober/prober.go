// Package prober sends health checks, within a fixed budget, to servers that are
// ejected or have not responded for a while. A probe shows whether the server works
// and whether it is draining. Servers that respond to requests are not probed,
// because their responses carry more information.
package prober

import (
	"context"
	"net/http"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/registrar"
	"github.com/verbenastand/verbenastand/reporter"
	"github.com/verbenastand/verbenastand/scheduler"
)

const (
	// DefaultBudget is the fraction of a server's slot time that the probes of
	// all hosts together may take.
	DefaultBudget = 0.01
	// DefaultCost is the slot time that one probe takes.
	DefaultCost = 6 * time.Millisecond
	// overlapFactor allows for hosts that still run next to their replacements.
	overlapFactor = 2
	probeTimeout  = 500 * time.Millisecond
	// maxHeaderBytes bounds the header of a response, and maxProbes those that are read at once.
	maxHeaderBytes = 64 << 10
	maxProbes      = 16
	// maxIdleTime is the time without a response after which a server is probed.
	maxIdleTime = time.Second
)

// Config configures a Prober.
type Config struct {
	Timer     verbenastand.TimerService
	Registrar *registrar.Registrar
	// MaxHosts is the maximum number of hosts of the deployment. Every host uses a
	// fixed share of the budget, so that the budget holds regardless of which
	// hosts it considers alive.
	MaxHosts  int
	Budget    float64
	ProbeCost time.Duration
	// Probe sends a probe to a server; by default GET /healthz.
	Probe func(verbenastand.Server) (ok bool, report scheduler.Report)
	// OnProbe is called with the result of each probe.
	OnProbe func(verbenastand.ServiceName, bool)
	// OnDrainNotice is called when a probe shows for the first time that a server
	// is draining. It may be nil.
	OnDrainNotice func(verbenastand.ServiceName, scheduler.DrainNotice)
}

// Prober sends probes.
type Prober struct {
	config Config
	slots  chan struct{}

	mu   sync.Mutex
	next map[verbenastand.ServerID]time.Time
}

// NewProber returns a prober. It waits a full interval before the first probe of a
// server, so that repeated restarts do not cause additional probes.
func NewProber(c Config) *Prober {
	if c.Budget == 0 {
		c.Budget = DefaultBudget
	}
	if c.ProbeCost == 0 {
		c.ProbeCost = DefaultCost
	}
	if c.Probe == nil {
		client := newClient()
		c.Probe = func(s verbenastand.Server) (bool, scheduler.Report) { return getHealth(client, s) }
	}
	return &Prober{config: c, next: make(map[verbenastand.ServerID]time.Time), slots: make(chan struct{}, maxProbes)}
}

// Interval returns the minimum time between two probes of this host to a server.
func (p *Prober) Interval(slots int) time.Duration {
	perSecond := p.config.Budget * float64(slots) / p.config.ProbeCost.Seconds()
	perHost := perSecond / float64(overlapFactor*p.config.MaxHosts)
	return time.Duration(float64(time.Second) / perHost)
}

// Tick probes the servers that are due, of the services that this host is a home of.
func (p *Prober) Tick(now time.Time) {
	p.config.Registrar.All(func(components *registrar.ServiceComponents) {
		if !components.IsHome() {
			return
		}
		for _, server := range components.Scheduler().ProbeTargets(now, maxIdleTime) {
			if p.due(server, now) {
				p.start(components, server)
			}
		}
	})
}

func (p *Prober) due(s verbenastand.Server, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, known := p.next[s.ID()]
	if known && now.Before(next) {
		return false
	}
	p.next[s.ID()] = now.Add(p.Interval(s.Slots()))
	return known
}

func (p *Prober) start(components *registrar.ServiceComponents, s verbenastand.Server) {
	select {
	case p.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.slots }()
		ok, report := p.config.Probe(s)
		notice, isNew := components.Scheduler().RecordProbe(s.ID(), ok, report)
		p.config.OnProbe(components.Service().Name(), ok)
		if isNew && p.config.OnDrainNotice != nil {
			p.config.OnDrainNotice(components.Service().Name(), notice)
		}
	}()
}

func newClient() *http.Client {
	return &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}}
}

func getHealth(client *http.Client, s verbenastand.Server) (bool, scheduler.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address()+"/healthz", nil)
	if err != nil {
		return false, scheduler.NoReport
	}
	response, err := client.Do(r)
	if err != nil {
		return false, scheduler.NoReport
	}
	_ = response.Body.Close()
	if verbenastand.CheckResponse(response) != nil {
		return false, scheduler.NoReport
	}
	return response.StatusCode == http.StatusOK, reporter.Read(response.Header, s.Slots())
}
