// Package balancer tracks the backend servers of each service and chooses a server
// for each request. The load of a server changes faster than reports of it could be
// shared, so a candidate is checked just before a request is sent to it, and the
// first lightly loaded one is chosen.
package balancer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Conn is a connection that was used for a health check and is reserved for the
// request that may follow.
type Conn interface {
	// Release returns the connection unused.
	Release()
}

// CheckResult is the result of a health check of a server.
type CheckResult struct {
	// Report is valid if Reported is set.
	Report   verbenastand.LoadReport
	Reported bool
	// Healthy is the health status that the server reported.
	Healthy bool
	Conn    Conn
}

// HealthChecker checks the health of servers.
type HealthChecker interface {
	// Check requests the health and load of a server. The error wraps
	// ErrServerReplaced if another process responded at the address.
	Check(ctx context.Context, server *Server, healthPath string) (CheckResult, error)
	// Connected reports whether checking the server needs no new connection.
	Connected(server *Server) bool
}

// Config is the configuration of a Balancer.
type Config struct {
	Clock verbenastand.Clock
	// Zone is the availability zone of this host.
	Zone          verbenastand.Zone
	HealthChecker HealthChecker
	// Regions are the regions of availability zones.
	Regions verbenastand.ZoneRegions
	// Limiter keeps the limits that servers name; nil for none.
	Limiter verbenastand.RateLimiter
	// Excluder keeps which servers get no requests; nil for none.
	Excluder verbenastand.ServerExcluder
	// FairQueueing orders waiting requests of equal urgency by what their callers were
	// assigned recently, instead of by the time by which they have to be sent.
	FairQueueing bool
	// Unreached reports whether no server of a service responds to this host; nil if that is
	// not known.
	Unreached func(verbenastand.ServiceName) bool
	// BodyLimiter divides the bytes of large bodies in flight to a server among the hosts; nil if
	// they are not limited.
	BodyLimiter verbenastand.BodyLimiter
	// OnBodyShortage is called when a request waits for room for its large body, or is refused.
	OnBodyShortage func(BodyShortage)
	// OnServerChange is called when a server is added or removed; change is
	// "joined" or "left". A server that starts draining is removed.
	OnServerChange func(server verbenastand.Registration, change string)
}

// Balancer holds the servers of all services.
type Balancer struct {
	config   Config
	services atomic.Pointer[map[verbenastand.ServiceName]*Service]
	// zoneEvacuated is set while this host's zone is evacuated.
	zoneEvacuated atomic.Bool
	// previous is the view that was applied before.
	previous *verbenastand.View
	// largestBody is the size of the largest request body, zero while there is no route table.
	largestBody atomic.Int64
	bodies      bodyCounts
}

// NewBalancer returns a balancer without servers.
func NewBalancer(c Config) *Balancer {
	if c.OnServerChange == nil {
		c.OnServerChange = func(verbenastand.Registration, string) {}
	}
	if c.OnBodyShortage == nil {
		c.OnBodyShortage = func(BodyShortage) {}
	}
	if c.Unreached == nil {
		c.Unreached = func(verbenastand.ServiceName) bool { return false }
	}
	if c.Limiter == nil {
		c.Limiter = verbenastand.Unlimited{}
	}
	if c.Excluder == nil {
		c.Excluder = verbenastand.NoExclusions{}
	}
	b := &Balancer{config: c, previous: verbenastand.NewView(verbenastand.ViewConfig{})}
	b.services.Store(&map[verbenastand.ServiceName]*Service{})
	return b
}

// Service returns a service, nil if it has neither settings nor servers.
func (b *Balancer) Service(n verbenastand.ServiceName) *Service { return (*b.services.Load())[n] }

// Update applies a view. It must not be called concurrently. The state of a server
// process is kept as long as it is registered and not draining.
func (b *Balancer) Update(v *verbenastand.View) {
	b.zoneEvacuated.Store(v.Evacuated(b.config.Zone))
	old := *b.services.Load()
	services := make(map[verbenastand.ServiceName]*Service, len(old))
	add := func(n verbenastand.ServiceName) {
		if services[n] != nil {
			return
		}
		s := old[n]
		if s == nil {
			s = newService(b, n)
		}
		s.update(v)
		services[n] = s
	}
	if t := v.Table(); t != nil {
		b.largestBody.Store(t.Limits().BodyBytes)
		for n := range t.Services() {
			add(n)
		}
	}
	for _, n := range v.ServiceNames() {
		add(n)
	}
	b.services.Store(&services)
	b.previous = v
}

// Service holds the servers of one service.
type Service struct {
	balancer *Balancer
	clock    verbenastand.Clock
	name     verbenastand.ServiceName
	profile  *profile
	settings atomic.Pointer[verbenastand.ServiceSettings]
	servers  atomic.Pointer[[]*Server]
	// usableServers are those whose zones are not evacuated.
	usableServers atomic.Pointer[[]*Server]
	// zones are the availability zones of usableServers, in order.
	zones atomic.Pointer[[]verbenastand.Zone]
	// missingReports counts consecutive checks that returned no load report.
	missingReports atomic.Int64

	mu    sync.Mutex
	queue queue
}

func newService(b *Balancer, n verbenastand.ServiceName) *Service {
	s := &Service{balancer: b, clock: b.config.Clock, name: n, profile: newProfile()}
	s.queue = newQueue(b.config.FairQueueing)
	s.settings.Store(&verbenastand.ServiceSettings{})
	s.storeServers(nil)
	return s
}

// Name returns the name of the service.
func (s *Service) Name() verbenastand.ServiceName { return s.name }

// HealthPath returns the path of the servers' health checks.
func (s *Service) HealthPath() string { return s.settings.Load().HealthPath }

// Servers returns the servers that are registered and not draining. The caller must
// not change the slice.
func (s *Service) Servers() []*Server { return *s.servers.Load() }

// Expected returns how long a request of the route takes at a lightly loaded server.
func (s *Service) Expected(r verbenastand.Route) time.Duration { return s.profile.expected(r) }

func (s *Service) update(v *verbenastand.View) {
	if t := v.Table(); t != nil {
		if settings, ok := t.Service(s.name); ok {
			s.settings.Store(&settings)
		}
	}
	now := s.clock.Now()
	known := make(map[verbenastand.ServerID]*Server)
	for _, server := range s.Servers() {
		known[server.Registration().Server()] = server
	}
	var servers []*Server
	for _, r := range v.Servers(s.name) {
		if r.State() != verbenastand.ServerActive {
			continue
		}
		server := known[r.Server()]
		if server == nil || !server.Registration().SameProcess(r) {
			server = newServer(s, r, now)
			s.balancer.config.OnServerChange(r, "joined")
		}
		server.update(r, now)
		server.setEvacuated(v.Evacuated(r.Zone()), s.balancer.previous.Evacuated(r.Zone()), now)
		delete(known, r.Server())
		servers = append(servers, server)
	}
	for _, server := range known {
		s.balancer.config.OnServerChange(server.Registration(), "left")
	}
	s.storeServers(servers)
}
