// Package detector finds out whether this host reaches any backend server. A host that
// reaches none can't tell by itself whether it is partitioned or no server works, so it
// tells its peers, and asks those that reach servers.
package detector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// suspiciousFailures is the number of servers that fail, without a response on a new
	// connection in between, after which others are probed.
	suspiciousFailures = 2
	// firstProbes is the number of servers that are probed at once, maxProbes the number
	// of those that must all fail.
	firstProbes = 2
	maxProbes   = 6
	// probeTimeout bounds a probe: a new connection and a health check, also to another
	// region.
	probeTimeout = 250 * time.Millisecond
	// verifyInterval is the minimum time between two series of probes while servers are
	// reached.
	verifyInterval = time.Second
)

// Change describes that this host no longer reaches any server, or that it does again.
type Change struct {
	// Cut is set if no server is reached.
	Cut bool
	// Servers is the number of servers that failed or were probed in vain.
	Servers int
	// Lasted is how long no server was reached.
	Lasted time.Duration
}

// Config holds the dependencies of a Detector.
type Config struct {
	Clock verbenastand.Clock
	// Servers returns the servers in use, of all services.
	Servers func() []verbenastand.Registration
	// Probe requests the health of a server over a new connection. Any response proves
	// that servers are reached.
	Probe func(context.Context, verbenastand.Registration) error
	// OnChange is called when the result changes. Calls do not overlap.
	OnChange func(Change)
}

// Detector collects the results of connections to servers, and probes servers once
// several have failed. Only new connections count as proof: during a partition, those
// that are open may live on.
type Detector struct {
	config Config
	cut    atomic.Bool
	// probing is set while Tick probes servers.
	probing atomic.Bool

	mu     sync.Mutex
	failed map[verbenastand.ServerID]struct{}
	// responses counts the responses on new connections.
	responses  uint64
	verifiedAt time.Time
	cutAt      time.Time
	// verification is closed when the probes under way have ended, nil if there are none.
	verification chan struct{}
}

// NewDetector returns a detector that considers servers reachable.
func NewDetector(c Config) *Detector {
	return &Detector{config: c, failed: make(map[verbenastand.ServerID]struct{})}
}

// Cut reports whether this host reaches no server.
func (d *Detector) Cut() bool { return d.cut.Load() }

// Reached records a response on a new connection to a server.
func (d *Detector) Reached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responses++
	clear(d.failed)
}

// Failed records that a connection to a server failed, or that the server did not
// respond.
func (d *Detector) Failed(server verbenastand.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Cut() {
		return
	}
	d.failed[server] = struct{}{}
	if d.verification != nil || d.config.Clock.Now().Sub(d.verifiedAt) < verifyInterval {
		return
	}
	servers := d.config.Servers()
	if len(servers) == 0 || len(d.failed) < min(suspiciousFailures, len(servers)) {
		return
	}
	d.verification = make(chan struct{})
	go d.verify(servers, d.responses)
}

// Forget discards the failures. It is called after the process was paused.
func (d *Detector) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.failed)
}

// Verify reports whether this host reaches no server. It waits for the probes under way.
func (d *Detector) Verify(ctx context.Context) bool {
	d.mu.Lock()
	verification := d.verification
	d.mu.Unlock()
	if d.Cut() || verification == nil {
		return d.Cut()
	}
	select {
	case <-verification:
	case <-ctx.Done():
	}
	return d.Cut()
}

// verify probes servers, those first that have not failed.
func (d *Detector) verify(servers []verbenastand.Registration, responses uint64) {
	sample := d.sample(servers)
	first := min(firstProbes, len(sample))
	reached := d.probe(sample[:first]) || (len(sample) > first && d.probe(sample[first:]))
	d.mu.Lock()
	d.verifiedAt = d.config.Clock.Now()
	reached = reached || d.responses != responses
	change := Change{Cut: true, Servers: len(d.failed)}
	if reached {
		clear(d.failed)
	} else {
		d.cutAt = d.verifiedAt
		d.cut.Store(true)
	}
	if !reached {
		d.config.OnChange(change)
	}
	close(d.verification)
	d.verification = nil
	d.mu.Unlock()
}

// sample returns the servers to probe, in a random order.
func (d *Detector) sample(servers []verbenastand.Registration) []verbenastand.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers = slices.Clone(servers)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	slices.SortStableFunc(servers, func(a, b verbenastand.Registration) int {
		return d.failedLocked(a) - d.failedLocked(b)
	})
	sample := servers[:min(maxProbes, len(servers))]
	for _, s := range sample {
		d.failed[s.Server()] = struct{}{}
	}
	return sample
}

func (d *Detector) failedLocked(r verbenastand.Registration) int {
	if _, failed := d.failed[r.Server()]; failed {
		return 1
	}
	return 0
}

// probe probes servers concurrently and reports whether one has responded.
func (d *Detector) probe(servers []verbenastand.Registration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan error, len(servers))
	for _, s := range servers {
		go func() { results <- d.config.Probe(ctx, s) }()
	}
	for range servers {
		if <-results == nil {
			return true
		}
	}
	return false
}

// Tick probes servers while none is reached, and returns once the probes have ended. The
// first response ends the partition.
func (d *Detector) Tick(time.Time) {
	if !d.Cut() || !d.probing.CompareAndSwap(false, true) {
		return
	}
	defer d.probing.Store(false)
	servers := slices.Clone(d.config.Servers())
	if len(servers) == 0 {
		return
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	if !d.probe(servers[:min(firstProbes, len(servers))]) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.failed)
	d.verifiedAt = d.config.Clock.Now()
	d.cut.Store(false)
	d.config.OnChange(Change{Lasted: d.verifiedAt.Sub(d.cutAt)})
}
