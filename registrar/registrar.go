// Package registrar holds the components of each configured service: its home
// hosts, scheduler, classifier and retry budget.
package registrar

import (
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/classifier"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/placer"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/scheduler"
)

// ServiceComponents are the components of one service on this host.
type ServiceComponents struct {
	service    verbenastand.Service
	homes      []verbenastand.Host
	rank       int
	scheduler  *scheduler.Scheduler
	classifier *classifier.Classifier
	budget     *retrier.Budget
}

// Service returns the current configuration of the service.
func (p *ServiceComponents) Service() verbenastand.Service { return p.service }

// Homes returns the home hosts of the service, in rank order.
func (p *ServiceComponents) Homes() []verbenastand.Host { return p.homes }

// IsHome reports whether this host is a home of the service.
func (p *ServiceComponents) IsHome() bool { return p.rank >= 0 }

// Scheduler returns the scheduler of the service.
func (p *ServiceComponents) Scheduler() *scheduler.Scheduler { return p.scheduler }

// Classifier returns the classifier of the service.
func (p *ServiceComponents) Classifier() *classifier.Classifier { return p.classifier }

// Budget returns the retry budget of the service.
func (p *ServiceComponents) Budget() *retrier.Budget { return p.budget }

// Config configures a Registrar.
type Config struct {
	Clock verbenastand.Clock
	Self  verbenastand.Host
	// Configuration provides the current configuration, Hosts the hosts considered
	// alive.
	Configuration verbenastand.ConfigurationSource
	Hosts         func() []verbenastand.Host
	// ZoneRTT is the round-trip time to servers in other zones.
	ZoneRTT time.Duration
	// MaxQueue is the maximum number of queued requests of each service.
	MaxQueue int
}

// maxPendingNotices bounds the drain notices for servers that are not configured
// yet.
const maxPendingNotices = 4096

type partsMap map[verbenastand.ServiceName]*ServiceComponents

// Registrar holds the parts of all services. Reads do not take the lock.
type Registrar struct {
	config Config
	parts  atomic.Pointer[partsMap]

	mu sync.Mutex
	// pendingNotices holds drain notices for servers that are not configured yet.
	pendingNotices map[verbenastand.ServerID]gossiper.Notice
}

// NewRegistrar returns a registrar without services.
func NewRegistrar(c Config) *Registrar {
	r := &Registrar{config: c, pendingNotices: make(map[verbenastand.ServerID]gossiper.Notice)}
	r.parts.Store(&partsMap{})
	return r
}

// Find returns the parts of a service, or nil if it is not configured.
func (r *Registrar) Find(n verbenastand.ServiceName) *ServiceComponents { return (*r.parts.Load())[n] }

// Empty reports whether no service is configured.
func (r *Registrar) Empty() bool { return len(*r.parts.Load()) == 0 }

// All calls f for each service.
func (r *Registrar) All(f func(*ServiceComponents)) {
	for _, p := range *r.parts.Load() {
		f(p)
	}
}

// Update applies the current configuration and the hosts considered alive. It reads
// both under the lock, so that the later of two updates never applies the older
// configuration.
func (r *Registrar) Update() {
	r.mu.Lock()
	defer r.mu.Unlock()
	configuration := r.config.Configuration.Configuration()
	hosts := r.config.Hosts()
	old := *r.parts.Load()
	next := make(partsMap, len(configuration.Services()))
	for name, service := range configuration.Services() {
		p := r.build(old[name], service, hosts)
		p.scheduler.Update(service, configuration.Servers(name), p.homes)
		next[name] = p
	}
	for name, p := range old {
		if next[name] == nil {
			p.scheduler.Update(p.service, nil, nil)
		}
	}
	r.applyPendingNotices(next)
	r.parts.Store(&next)
}

func (r *Registrar) build(old *ServiceComponents, service verbenastand.Service, hosts []verbenastand.Host) *ServiceComponents {
	p := &ServiceComponents{service: service, homes: placer.Homes(service.Name(), service.Homes(), hosts), rank: -1}
	if rank, ok := placer.Rank(p.homes, r.config.Self.ID()); ok {
		p.rank = rank
	}
	if old != nil {
		p.scheduler, p.classifier, p.budget = old.scheduler, old.classifier, old.budget
		p.classifier.Update(service)
		return p
	}
	p.classifier = classifier.NewClassifier(service)
	p.budget = retrier.NewBudget(retrier.Config{})
	p.scheduler = scheduler.NewScheduler(scheduler.Config{
		Clock: r.config.Clock, Self: r.config.Self, ZoneRTT: r.config.ZoneRTT,
		MaxQueue: r.config.MaxQueue, Expected: p.classifier.MeanShort,
		LongWork: p.classifier.LongWork,
	})
	return p
}

// ApplyNotice applies a peer's notice that a server is draining and reports whether
// it was new. A notice for a server that is not configured yet is stored, so that a
// starting host sends nothing to the server once it has read its ticket.
func (r *Registrar) ApplyNotice(n gossiper.Notice) bool {
	if p := r.Find(n.Service); p != nil && p.scheduler.HasServer(n.Server) {
		return p.scheduler.ApplyDrainNotice(n.DrainNotice)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pendingNotices) < maxPendingNotices {
		r.pendingNotices[n.Server] = n
	}
	return false
}

// applyPendingNotices applies the stored notices for servers that are configured
// now.
func (r *Registrar) applyPendingNotices(parts partsMap) {
	for id, n := range r.pendingNotices {
		p := parts[n.Service]
		if p == nil || !p.scheduler.HasServer(id) {
			continue
		}
		p.scheduler.ApplyDrainNotice(n.DrainNotice)
		delete(r.pendingNotices, id)
	}
}

// Notices returns the drain notices in effect.
func (r *Registrar) Notices() []gossiper.Notice {
	var notices []gossiper.Notice
	for name, p := range *r.parts.Load() {
		for _, n := range p.scheduler.DrainNotices() {
			notices = append(notices, gossiper.Notice{Service: name, DrainNotice: n})
		}
	}
	return notices
}

// Tick lets every scheduler that has work re-evaluate its time-dependent state, and
// reports whether there was one.
func (r *Registrar) Tick(now time.Time) (busy bool) {
	for _, p := range *r.parts.Load() {
		if p.scheduler.NeedsTick() {
			p.scheduler.Tick(now)
			busy = true
		}
	}
	return busy
}

// Invalidate makes every scheduler drop state that became stale while the process was
// paused.
func (r *Registrar) Invalidate() {
	for _, p := range *r.parts.Load() {
		p.scheduler.Invalidate()
	}
}
