// Package detector finds out which services this host reaches. A host that reaches no
// server of a service can't tell by itself whether it is partitioned or none works, so
// it asks hosts that do, and tells its peers if it reaches no service at all.
package detector

import (
	"context"
	"slices"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// suspiciousFailures is the number of servers that fail, without a response on a new
	// connection in between, after which others of the service are probed.
	suspiciousFailures = 2
	// firstProbes is the number of servers that are probed at once, maxProbes the number
	// of those that must all fail.
	firstProbes = 2
	maxProbes   = 6
	// probeTimeout bounds a probe: a new connection and a health check, also to another
	// region.
	probeTimeout = 250 * time.Millisecond
	// verifyInterval is the minimum time between two series of probes while the service
	// is reached.
	verifyInterval = time.Second
	// silence is the time without a response on any connection after which a service to
	// which no new connection can be opened is not tried any more. Connections that are
	// open may live on during a partition, and servers near their limits reset new ones.
	silence = 500 * time.Millisecond
	// minRetry and maxRetry bound the time between two probes of a service that is not
	// reached.
	minRetry = 200 * time.Millisecond
	maxRetry = time.Second
)

// Change describes that no new connection to a service can be opened, or that one can
// again.
type Change struct {
	Service verbenastand.ServiceName
	Reached bool
	// Failed is the number of servers that have failed or were probed in vain.
	Failed int
	// Lasted is how long the service was not reached.
	Lasted time.Duration
	// Silent is set if no server had responded before the service was reached again, so
	// that connections that are still open may hang.
	Silent bool
}

// Config holds the dependencies of a Detector.
type Config struct {
	Clock verbenastand.Clock
	// View returns the current view.
	View func() *verbenastand.View
	// Probe requests the health of a server over a new connection. Any response proves
	// that the service is reached.
	Probe func(context.Context, verbenastand.Registration) error
	// Excluder keeps which servers get no requests; nil for none. They are probed only if
	// there are no others.
	Excluder verbenastand.ServerExcluder
	// OnChange is called when a result changes. It must not block.
	OnChange func(Change)
}

// Detector collects the results of connections to servers, and probes servers of a
// service once several have failed.
type Detector struct {
	config Config

	mu       sync.Mutex
	services map[verbenastand.ServiceName]*service
}

// service is what is known about the connections to the servers of one service.
type service struct {
	failed map[verbenastand.ServerID]struct{}
	// connections counts the responses on new connections, and respondedAt is the time of
	// the last response on any connection.
	connections uint64
	respondedAt time.Time
	verifiedAt  time.Time
	// unreachedAt is when the probes failed, zero while the service is reached.
	unreachedAt time.Time
	// retryAt is when the service is probed again, retry the time between two probes.
	retryAt time.Time
	retry   time.Duration
	// verification is closed when the probes under way have ended, nil if there are none.
	verification chan struct{}
}

// NewDetector returns a detector that considers all services reached.
func NewDetector(c Config) *Detector {
	if c.Excluder == nil {
		c.Excluder = verbenastand.NoExclusions{}
	}
	return &Detector{config: c, services: make(map[verbenastand.ServiceName]*service)}
}

func (d *Detector) serviceLocked(n verbenastand.ServiceName) *service {
	s := d.services[n]
	if s == nil {
		s = &service{failed: make(map[verbenastand.ServerID]struct{})}
		d.services[n] = s
	}
	return s
}

// Cut reports whether this host reaches no server of a service: no new connection can be
// opened, and none responds.
func (d *Detector) Cut(n verbenastand.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutLocked(n)
}

func (d *Detector) cutLocked(n verbenastand.ServiceName) bool {
	s := d.services[n]
	return s != nil && !s.unreachedAt.IsZero() && d.config.Clock.Now().Sub(s.respondedAt) > silence
}

// Unreached reports whether no new connection to a service can be opened. It waits for
// the probes under way.
func (d *Detector) Unreached(ctx context.Context, n verbenastand.ServiceName) bool {
	d.mu.Lock()
	s := d.serviceLocked(n)
	unreached, verification := !s.unreachedAt.IsZero(), s.verification
	d.mu.Unlock()
	if unreached || verification == nil {
		return unreached
	}
	select {
	case <-verification:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !s.unreachedAt.IsZero()
}

// Detached reports whether this host reaches none of the services.
func (d *Detector) Detached() bool {
	if !d.anyCut() {
		return false
	}
	v := d.config.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	names := v.ServiceNames()
	for _, n := range names {
		if !d.cutLocked(n) && len(active(v, n)) > 0 {
			return false
		}
	}
	return len(names) > 0
}

func (d *Detector) anyCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := range d.services {
		if d.cutLocked(n) {
			return true
		}
	}
	return false
}

// preferIncluded returns the servers that take requests, or all if there are none.
func (d *Detector) preferIncluded(servers []verbenastand.Registration) []verbenastand.Registration {
	included := slices.DeleteFunc(slices.Clone(servers), func(r verbenastand.Registration) bool {
		_, excluded := d.config.Excluder.Exclusion(r.Process())
		return excluded
	})
	if len(included) == 0 {
		return servers
	}
	return included
}

// active returns the servers of a service that accept requests. Those of evacuated availability
// zones get no probes.
func active(v *verbenastand.View, n verbenastand.ServiceName) []verbenastand.Registration {
	return slices.DeleteFunc(slices.Clone(v.Servers(n)), func(r verbenastand.Registration) bool {
		return r.State() != verbenastand.ServerActive || v.Evacuated(r.Zone())
	})
}

// Responded records a response of a server, on a new connection or on one that has been
// used before.
func (d *Detector) Responded(r verbenastand.Registration, newConnection bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.respondedLocked(r.Service(), d.serviceLocked(r.Service()), newConnection)
}

func (d *Detector) respondedLocked(n verbenastand.ServiceName, s *service, newConnection bool) {
	silent := d.cutLocked(n)
	s.respondedAt = d.config.Clock.Now()
	if newConnection {
		s.connections++
		d.reachedLocked(n, s, silent)
	}
}

// reachedLocked ends the search for a server of the service.
func (d *Detector) reachedLocked(n verbenastand.ServiceName, s *service, silent bool) {
	clear(s.failed)
	if s.unreachedAt.IsZero() {
		return
	}
	lasted := d.config.Clock.Now().Sub(s.unreachedAt)
	s.unreachedAt = time.Time{}
	d.config.OnChange(Change{Service: n, Reached: true, Lasted: lasted, Silent: silent})
}

// Failed records that a connection to a server failed, or that the server did not
// respond.
func (d *Detector) Failed(r verbenastand.Registration) {
	v := d.config.View()
	if v.Evacuated(r.Zone()) {
		// Its requests in progress may fail as the zone is shut down.
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.serviceLocked(r.Service())
	if !s.unreachedAt.IsZero() {
		return
	}
	s.failed[r.Server()] = struct{}{}
	servers := active(v, r.Service())
	if len(s.failed) >= min(suspiciousFailures, len(servers)) {
		d.startVerificationLocked(r.Service(), s, servers)
	}
}

// Forget discards the failures. It is called after the process was paused.
func (d *Detector) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		clear(s.failed)
	}
}
