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

// ServiceComponents holds the components of one service on this host.
type ServiceComponents struct {
	service    verbenastand.Service
	homes      []verbenastand.Host
	rank       int
	scheduler  *scheduler.Scheduler
	classifier *classifier.Classifier
	budget     *retrier.Budget
}

// Service returns the current configuration of the service.
func (c *ServiceComponents) Service() verbenastand.Service { return c.service }

// Homes returns the home hosts of the service, in rank order.
func (c *ServiceComponents) Homes() []verbenastand.Host { return c.homes }

// IsHome reports whether this host is a home of the service.
func (c *ServiceComponents) IsHome() bool { return c.rank >= 0 }

// Scheduler returns the scheduler of the service.
func (c *ServiceComponents) Scheduler() *scheduler.Scheduler { return c.scheduler }

// Classifier returns the classifier of the service.
func (c *ServiceComponents) Classifier() *classifier.Classifier { return c.classifier }

// Budget returns the retry budget of the service.
func (c *ServiceComponents) Budget() *retrier.Budget { return c.budget }

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
	// Limiter keeps the limits that servers name; nil for none.
	Limiter verbenastand.RateLimiter
	// Excluder keeps which servers have asked for a pause; nil for none.
	Excluder verbenastand.ServerExcluder
	// MaxQueue is the maximum number of queued requests of each service.
	MaxQueue int
}

// maxPendingNotices bounds the drain notices for servers that are not configured
// yet.
const maxPendingNotices = 4096

type componentsMap map[verbenastand.ServiceName]*ServiceComponents

// Registrar holds the components of all services. Reads do not take the lock.
type Registrar struct {
	config Config
	byName atomic.Pointer[componentsMap]

	mu sync.Mutex
	// pendingNotices holds drain notices for servers that are not configured yet.
	pendingNotices map[verbenastand.ServerID]gossiper.Notice
}

// NewRegistrar returns a registrar without services.
func NewRegistrar(c Config) *Registrar {
	r := &Registrar{config: c, pendingNotices: make(map[verbenastand.ServerID]gossiper.Notice)}
	r.byName.Store(&componentsMap{})
	return r
}

// Find returns the components of a service, or nil if it is not configured.
func (r *Registrar) Find(n verbenastand.ServiceName) *ServiceComponents { return (*r.byName.Load())[n] }

// Empty reports whether no service is configured.
func (r *Registrar) Empty() bool { return len(*r.byName.Load()) == 0 }

// All calls f for each service.
func (r *Registrar) All(f func(*ServiceComponents)) {
	for _, c := range *r.byName.Load() {
		f(c)
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
	old := *r.byName.Load()
	next := make(componentsMap, len(configuration.Services()))
	for name, service := range configuration.Services() {
		c := r.build(old[name], service, hosts)
		c.scheduler.Update(service, configuration.Servers(name), c.homes)
		next[name] = c
	}
	for name, c := range old {
		if next[name] == nil {
			c.scheduler.Update(c.service, nil, nil)
		}
	}
	r.applyPendingNotices(next)
	r.byName.Store(&next)
}

func (r *Registrar) build(old *ServiceComponents, service verbenastand.Service, hosts []verbenastand.Host) *ServiceComponents {
	c := &ServiceComponents{service: service, homes: placer.Homes(service.Name(), service.Homes(), hosts), rank: -1}
	if rank, ok := placer.Rank(c.homes, r.config.Self.ID()); ok {
		c.rank = rank
	}
	if old != nil {
		c.scheduler, c.classifier, c.budget = old.scheduler, old.classifier, old.budget
		c.classifier.Update(service)
		return c
	}
	c.classifier = classifier.NewClassifier(service)
	c.budget = retrier.NewBudget(retrier.Config{})
	c.scheduler = scheduler.NewScheduler(scheduler.Config{
		Clock: r.config.Clock, Self: r.config.Self, ZoneRTT: r.config.ZoneRTT,
		MaxQueue: r.config.MaxQueue, Expected: c.classifier.MeanShort,
		LongWork: c.classifier.LongWork, Limiter: r.config.Limiter, Excluder: r.config.Excluder,
	})
	return c
}

// ApplyNotice applies a peer's notice that a server is draining and reports whether
// it was new. A notice for a server that is not configured yet is stored, so that a
// starting host sends nothing to the server once it has read its ticket.
func (r *Registrar) ApplyNotice(n gossiper.Notice) bool {
	if c := r.Find(n.Service); c != nil && c.scheduler.HasServer(n.Server) {
		return c.scheduler.ApplyDrainNotice(n.DrainNotice)
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
func (r *Registrar) applyPendingNotices(components componentsMap) {
	for id, n := range r.pendingNotices {
		c := components[n.Service]
		if c == nil || !c.scheduler.HasServer(id) {
			continue
		}
		c.scheduler.ApplyDrainNotice(n.DrainNotice)
		delete(r.pendingNotices, id)
	}
}

// Notices returns the drain notices in effect.
func (r *Registrar) Notices() []gossiper.Notice {
	var notices []gossiper.Notice
	for name, c := range *r.byName.Load() {
		for _, n := range c.scheduler.DrainNotices() {
			notices = append(notices, gossiper.Notice{Service: name, DrainNotice: n})
		}
	}
	return notices
}

// Tick updates the time-dependent state of each scheduler that needs it, and reports
// whether there was such a scheduler.
func (r *Registrar) Tick(now time.Time) (ticked bool) {
	for _, c := range *r.byName.Load() {
		if c.scheduler.NeedsTick() {
			c.scheduler.Tick(now)
			ticked = true
		}
	}
	return ticked
}

// Invalidate makes every scheduler drop state that became stale while the process was
// paused.
func (r *Registrar) Invalidate() {
	for _, c := range *r.byName.Load() {
		c.scheduler.Invalidate()
	}
}
