package carrier

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/hedger"
)

// The tests of this file run many hosts with few requests each, and servers with few slots whose
// machines other tenants slow down for a part of the time, also while a request runs.

// tenantsConfig describes the hosts and servers.
type tenantsConfig struct {
	hosts, servers, slots, queue int
	rate                         float64
	work                         time.Duration
	noise, noiseFactor           float64
	noisePhase                   time.Duration
	// link is the time that a message takes between a host and a server.
	link            time.Duration
	timeout, target time.Duration
	length          time.Duration
	seed            uint64
}

// manyHosts returns 38 hosts and 77 servers of 3 slots, slowed down five times for 30% of the time.
func manyHosts() tenantsConfig {
	return tenantsConfig{
		hosts: 38, servers: 77, slots: 3, queue: 6, rate: 224, work: 190 * time.Millisecond,
		noise: 0.3, noiseFactor: 5, noisePhase: 150 * time.Millisecond, link: 500 * time.Microsecond,
		timeout: 1500 * time.Millisecond, target: 600 * time.Millisecond, length: 45 * time.Second,
	}
}

// phase is a time in which the speed of a machine does not change.
type phase struct {
	end      time.Time
	slowdown float64
}

// tenantServer is a server on a machine that it shares with other tenants. The phases of the machine
// are drawn beforehand, so that they are the same for all policies.
type tenantServer struct {
	config     tenantsConfig
	executions *executions
	phases     []phase

	mu      sync.Mutex
	random  *rand.Rand
	running int
	waiting []chan struct{}
}

func newTenantServer(c tenantsConfig, index uint64, all *executions) *tenantServer {
	s := &tenantServer{config: c, executions: all, random: rand.New(rand.NewPCG(index, 1+2*c.seed))}
	noise := rand.New(rand.NewPCG(index, 2+2*c.seed))
	end := time.Now()
	for last := end.Add(c.length + time.Minute); end.Before(last); {
		slowdown := 1.0
		if noise.Float64() < c.noise {
			slowdown = c.noiseFactor
		}
		end = end.Add(time.Duration(noise.ExpFloat64() * float64(c.noisePhase)))
		s.phases = append(s.phases, phase{end, slowdown})
	}
	return s
}

// currentPhase returns the index of the phase at a time, or of the last one.
func (s *tenantServer) currentPhase(at time.Time) int {
	low, high := 0, len(s.phases)-1
	for low < high {
		if middle := (low + high) / 2; s.phases[middle].end.After(at) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// duration returns how long work takes that starts now.
func (s *tenantServer) duration(work time.Duration) time.Duration {
	began := time.Now()
	i := s.currentPhase(began)
	at := began
	for ; i < len(s.phases)-1; i++ {
		p := s.phases[i]
		done := time.Duration(float64(p.end.Sub(at)) / p.slowdown)
		if done >= work {
			break
		}
		work -= done
		at = p.end
	}
	return at.Sub(began) + time.Duration(float64(work)*s.phases[i].slowdown)
}

// admit waits for a slot and returns how long the request takes; ok is false if there is no place.
func (s *tenantServer) admit() (took time.Duration, ok bool) {
	s.mu.Lock()
	if s.running >= s.config.slots {
		if len(s.waiting) >= s.config.queue {
			s.mu.Unlock()
			return 0, false
		}
		turn := make(chan struct{})
		s.waiting = append(s.waiting, turn)
		s.mu.Unlock()
		<-turn
		s.mu.Lock()
	} else {
		s.running++
	}
	defer s.mu.Unlock()
	work := float64(s.config.work) * (0.7 + 0.6*s.random.Float64())
	if float64(s.running) > 0.8*float64(s.config.slots) {
		work *= 1.7
	}
	return s.duration(time.Duration(work)), true
}

func (s *tenantServer) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

func (s *tenantServer) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,%g", s.running, len(s.waiting), s.config.slots, s.phases[s.currentPhase(time.Now())].slowdown)
}

// delayedReport is the report of a health check, which travels to the server and back.
func (s *tenantServer) delayedReport() string {
	time.Sleep(s.config.link)
	defer time.Sleep(s.config.link)
	return s.report()
}

func (s *tenantServer) serve(conn net.Conn, r *http.Request) {
	time.Sleep(s.config.link)
	took, ok := s.admit()
	if !ok {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Load: "+s.report()+"\r\nContent-Length: 0\r\n\r\n")
		return
	}
	from := time.Now()
	cancelled := sleepUnlessClosed(conn, took)
	load := s.report()
	s.finish()
	s.executions.mu.Lock()
	s.executions.list = append(s.executions.list, execution{r.Header.Get("X-Id"), from, time.Now(), !cancelled})
	s.executions.mu.Unlock()
	if !cancelled {
		time.Sleep(s.config.link)
		_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: "+load))
	}
}

// runTenants runs the hosts and servers with a limit of extra server time, nil for the default policy.
func runTenants(t *testing.T, c tenantsConfig, limit *float64) *executions {
	all := &executions{denied: make(map[hedger.Denial]int), target: c.target, timeout: c.timeout}
	var servers []*backend
	for i := range c.servers {
		s := newTenantServer(c, uint64(i), all)
		servers = append(servers, &backend{serve: s.serve, report: s.delayedReport})
	}
	// Latencies count from when hosts have seen some requests.
	all.since = time.Now().Add(hedgeWindow)
	m := &model{}
	for range c.hosts {
		h := newHarness(t, nil, servers...)
		h.hostCount = c.hosts
		h.carrier.config.Hedger = hedger.NewHedger(hedger.Config{Clock: wallClock{}, Limit: limit, Observer: all})
		h.replaceRoute(func(r *verbenastand.RouteConfig) { r.Timeout, r.Target, r.MaxAttempts = c.timeout, c.target, 3 })
		m.harnesses = append(m.harnesses, h)
	}
	_, cancel := context.WithCancel(t.Context())
	random := rand.New(rand.NewPCG(7, 7+c.seed))
	end := time.Now().Add(c.length)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second)))
		host := random.IntN(c.hosts)
		m.callers.Go(func() { all.call(m.harnesses[host], "/x/", fmt.Sprintf("%d-%d", host, i)) })
	}
	m.finish(cancel)
	for _, h := range m.harnesses {
		for _, n := range h.checks {
			all.checks += n
		}
	}
	return all
}

// tenantsResult is what a policy does, in several runs together.
type tenantsResult struct {
	p99, p999 time.Duration
	late      int
	hedges    int
	// extra is the extra server time as a share of that of first attempts.
	extra float64
}

// tenantsRuns is the number of runs of each policy, with different arrivals and servers.
const tenantsRuns = 2

// runTenantsPolicy returns what a policy does in all runs.
func runTenantsPolicy(t *testing.T, c tenantsConfig, limit *float64) (result tenantsResult) {
	all := &executions{denied: make(map[hedger.Denial]int)}
	var base, more time.Duration
	for seed := range uint64(tenantsRuns) {
		c.seed = seed
		var e *executions
		synctest.Test(t, func(t *testing.T) { e = runTenants(t, c, limit) })
		first, extra := e.split(t)
		distant := time.Now().Add(24 * time.Hour)
		base, more = base+timeWithin(first, time.Time{}, distant), more+timeWithin(extra, time.Time{}, distant)
		all.latencies = append(all.latencies, e.latencies...)
		for reason, n := range e.denied {
			all.denied[reason] += n
		}
		all.checks += e.checks
		result.late, result.hedges = result.late+e.late, result.hedges+len(extra)
	}
	result.p99, result.p999, result.extra = all.quantile(0.99), all.quantile(0.999), more.Seconds()/base.Seconds()
	t.Logf("p50 %v, p99 %v, p99.9 %v, %d of %d late; extra server time %.4f, %d executions more, %d health checks; denied %v",
		all.quantile(0.5), result.p99, result.p999, result.late, len(all.latencies), result.extra, result.hedges, all.checks, all.denied)
	return result
}

// TestHedgesUseTheLimitAtManyHosts: few requests for each host, and servers with few slots that other tenants
// slow down for a part of the time. Guards against a limit of which little is used while the
// slowest requests are not hedged: at 0.3 the longest latencies are to be about those of the
// default policy, with less extra server time.
func TestHedgesUseTheLimitAtManyHosts(t *testing.T) {
	leaveToRunWithoutRaceDetector(t)
	t.Parallel()
	policies := []struct {
		name  string
		limit *float64
	}{
		{"0", new(float64)}, {"0.05", limitOf(0.05)}, {"0.3", limitOf(0.3)}, {"unset", nil},
	}
	results := make([]tenantsResult, len(policies))
	t.Run("policies", func(t *testing.T) {
		for i, p := range policies {
			t.Run(p.name, func(t *testing.T) {
				t.Parallel()
				results[i] = runTenantsPolicy(t, manyHosts(), p.limit)
			})
		}
	})
	without, low, high, byDefault := results[0], results[1], results[2], results[3]
	require.Zero(t, without.hedges, "hedged although the limit is zero")
	require.LessOrEqual(t, float64(high.p99), 1.1*float64(byDefault.p99))
	require.LessOrEqual(t, float64(high.p999), 1.2*float64(byDefault.p999))
	require.LessOrEqual(t, float64(high.late), 1.5*float64(byDefault.late))
	require.Less(t, high.extra, 0.9*byDefault.extra)
	require.Less(t, high.hedges, byDefault.hedges)
	require.Less(t, float64(low.late), 0.95*float64(without.late))
	require.LessOrEqual(t, low.extra, 0.05)
	// The budget of a minute starts empty, and it is less than the limit by a margin and a reservation.
	require.Greater(t, low.extra, 0.02)
}

func limitOf(f float64) *float64 { return &f }
