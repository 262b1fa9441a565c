package carrier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The tests of this file run several hosts with the complete request path against
// in-memory servers in virtual time. The speed of the servers depends on other
// tenants of their machines and on the number of requests that they run.

// modelConfig describes the servers and the request rate of a load pattern.
type modelConfig struct {
	hosts, servers int
	slots, queue   int
	work           time.Duration
	// noise is the fraction of the time in which a machine is noiseFactor times
	// slower because of other tenants, in phases of noisePhase on average.
	noise, noiseFactor float64
	noisePhase         time.Duration
	// saturationPoint is the share of its slots above which a server takes
	// saturationFactor times longer.
	saturationPoint, saturationFactor float64
	// shed is the fraction of the requests that servers refuse at random.
	shed float64
	// refusals are those of a part of the time.
	refusals refusalConfig
	// slow is the number of servers that are slowFactor times slower without
	// reporting it.
	slow       int
	slowFactor float64
	// load is the request rate as a multiple of the servers' capacity.
	load float64
	// retries is the number of times that a caller returns after a refusal.
	retries int
	// callers describes who sends the requests: one caller if it is zero.
	callers callerConfig
	// seed changes arrivals and servers.
	seed   uint64
	length time.Duration
	// limit is the number of requests per second that each server names as its limit, none if
	// it is zero.
	limit float64
	// bulkShare is the fraction of the requests that are less urgent and take bulkWork.
	bulkShare float64
	bulkWork  time.Duration
}

// bulkPrefix is the path prefix of less urgent requests.
const bulkPrefix = "/bulk/"

// typicalServers returns 12 servers with 6 slots, noise and a saturation point.
func typicalServers(change func(*modelConfig)) modelConfig {
	c := modelConfig{
		hosts: 14, servers: 12, slots: 6, queue: 12, work: 76 * time.Millisecond,
		noise: 0.25, noiseFactor: 5, noisePhase: 150 * time.Millisecond, saturationPoint: 0.8, saturationFactor: 1.7,
		load: 0.7, retries: 1, length: 4 * time.Second,
	}
	change(&c)
	return c
}

// capacity returns the highest request rate per second that the servers can handle if
// each is used only while its machine has no noise, at the best concurrency: the
// limit of a single queue that knows the state of every server.
func (c modelConfig) capacity() float64 {
	best := 0.0
	for level := 1; level <= c.slots; level++ {
		factor := 1.0
		if float64(level) > c.saturationPoint*float64(c.slots) {
			factor = c.saturationFactor
		}
		best = math.Max(best, float64(level)/(c.work.Seconds()*factor))
	}
	fast := float64(c.servers - c.slow)
	return best * fast * (1 - c.noise) * (1 - c.shed)
}

// modelServer is a backend server with slots, a queue and other tenants on its
// machine.
type modelServer struct {
	config   modelConfig
	factor   float64
	mu       sync.Mutex
	random   *rand.Rand
	noise    *rand.Rand
	running  int
	waiting  []chan struct{}
	slowdown float64
	// freeSince is when a request would have run at its usual speed since, zero if it would not.
	freeSince time.Time
	dropped   atomic.Int64
	// refuses reports whether the server refuses a request although it reports little load.
	refuses func() bool
	ran     atomic.Int64
}

func (m *modelServer) simulateNoise(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		m.slowdown = 1
		if m.noise.Float64() < m.config.noise {
			m.slowdown = m.config.noiseFactor
		}
		m.noteLocked()
		phase := time.Duration(m.noise.ExpFloat64() * float64(m.config.noisePhase))
		m.mu.Unlock()
		time.Sleep(phase)
	}
}

// admit starts a request and returns how long it will run; ok is false if the
// request is neither run nor queued.
func (m *modelServer) admit(mean time.Duration) (work time.Duration, ok bool) {
	m.mu.Lock()
	if m.running >= m.config.slots {
		if len(m.waiting) >= m.config.queue {
			m.mu.Unlock()
			return 0, false
		}
		turn := make(chan struct{})
		m.waiting = append(m.waiting, turn)
		m.mu.Unlock()
		<-turn
		m.mu.Lock()
	} else {
		m.running++
	}
	defer m.mu.Unlock()
	m.noteLocked()
	factor := m.slowdown * m.factor
	if float64(m.running) > m.config.saturationPoint*float64(m.config.slots) {
		factor *= m.config.saturationFactor
	}
	spread := 0.7 + 0.6*m.random.Float64()
	return time.Duration(float64(mean) * factor * spread), true
}

func (m *modelServer) finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) > 0 {
		close(m.waiting[0])
		m.waiting = m.waiting[1:]
		return
	}
	m.running--
	m.noteLocked()
}

func (m *modelServer) report() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,%g", m.running, len(m.waiting), m.config.slots, m.slowdown)
}

func (m *modelServer) serve(conn net.Conn, r *http.Request) {
	m.mu.Lock()
	shed := m.random.Float64() < m.config.shed
	m.mu.Unlock()
	shed = shed || m.refuses()
	if shed {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Load: "+m.report()+"\r\nContent-Length: 0\r\n\r\n")
		return
	}
	mean := m.config.work
	if strings.HasPrefix(r.URL.Path, bulkPrefix) {
		mean = m.config.bulkWork
	}
	work, ok := m.admit(mean)
	if !ok {
		m.dropped.Add(1)
		_, _ = conn.Read(make([]byte, 1))
		return
	}
	time.Sleep(work)
	m.ran.Add(1)
	load := m.report()
	m.finish()
	fields := []string{"X-Load: " + load}
	if m.config.limit > 0 {
		fields = append(fields, fmt.Sprint("X-Limit: ", m.config.limit))
	}
	_, _ = io.WriteString(conn, okResponse(r, "body", fields...))
}

// model runs a load pattern.
type model struct {
	config       modelConfig
	servers      []*modelServer
	harnesses    []*harness
	offered      atomic.Int64
	inTime       atomic.Int64
	late         atomic.Int64
	refused      atomic.Int64
	slowRefusals atomic.Int64
	// refusals counts the responses that refuse a request, also those to retries, and
	// heldNanos is the time that callers waited for them.
	refusals, heldNanos atomic.Int64
	// kinds holds the results for each kind of caller.
	kinds   [callerKinds]modelCounts
	callers sync.WaitGroup
}

func newModel(t *testing.T, c modelConfig) *model {
	m := &model{config: c}
	var shared []*backend
	for i := range c.servers {
		s := &modelServer{config: c, factor: 1, slowdown: 1, random: rand.New(rand.NewPCG(uint64(i), 1+2*c.seed)), noise: rand.New(rand.NewPCG(uint64(i), 2+2*c.seed))}
		s.refuses = c.refusals.of(i, c.seed)
		if i < c.slow {
			s.factor = c.slowFactor
		}
		m.servers = append(m.servers, s)
		shared = append(shared, &backend{serve: s.serve, report: s.report})
	}
	for range c.hosts {
		h := newHarness(t, nil, shared...)
		h.hostCount = c.hosts
		m.harnesses = append(m.harnesses, h)
	}
	return m
}

// callerTimeout is how long a caller waits for a response, with all of its retries.
const callerTimeout = 1200 * time.Millisecond

// call is one request of a caller that returns if it is refused and has the time.
func (m *model) call(caller modelCaller, path, id string) {
	began := time.Now()
	m.offered.Add(1)
	counts := &m.kinds[caller.kind]
	counts.offered.Add(1)
	for try := 0; ; try++ {
		left := callerTimeout - time.Since(began)
		tried := time.Now()
		conn := m.harnesses[caller.host(try)].connectFrom(caller.address)
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline: %d\r\n\r\n", path, id, left.Milliseconds())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		_ = conn.Close()
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			m.countResponse(counts, response, err, time.Since(began))
			return
		}
		m.heldNanos.Add(int64(time.Since(tried)))
		m.refusals.Add(1)
		if try == 0 && time.Since(began) > target/2 {
			m.slowRefusals.Add(1)
		}
		var seconds float64
		_, _ = fmt.Sscan(response.Header.Get("Retry-After"), &seconds)
		delay := caller.delay(time.Duration(seconds * float64(time.Second)))
		if try == caller.retries(m.config) || time.Since(began)+delay >= callerTimeout {
			break
		}
		time.Sleep(delay)
	}
	m.refused.Add(1)
	counts.refused.Add(1)
}

func (m *model) countResponse(counts *modelCounts, response *http.Response, err error, took time.Duration) {
	switch {
	case err != nil || response.StatusCode != http.StatusOK:
	case took <= target:
		m.inTime.Add(1)
		counts.inTime.Add(1)
	default:
		m.late.Add(1)
		counts.late.Add(1)
	}
}

// run runs the pattern and returns the fraction of the requests that got a response
// in time, relative to what the servers could handle.
func (m *model) run(t *testing.T) float64 {
	ctx, cancel := context.WithCancel(t.Context())
	for _, s := range m.servers {
		go s.simulateNoise(ctx)
	}
	m.startBursts()
	random := rand.New(rand.NewPCG(7, 7+m.config.seed))
	rate := m.config.load * m.config.capacity()
	end := time.Now().Add(m.config.length)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		host := random.IntN(m.config.hosts)
		caller := m.config.caller(host, i)
		m.callers.Go(func() { m.call(caller, "/x/1", fmt.Sprintf("%d-%d", host, i)) })
	}
	m.finish(cancel)
	possible := math.Min(1, 1/m.config.load)
	return float64(m.inTime.Load()) / float64(m.offered.Load()) / possible
}

// finish waits for all callers, ends the noise and closes all connections.
func (m *model) finish(cancel context.CancelFunc) {
	m.callers.Wait()
	cancel()
	time.Sleep(20 * time.Second)
	for _, h := range m.harnesses {
		h.carrier.config.Sender.Close()
		h.acceptor.Close()
	}
	synctest.Wait()
}

// checksPerSecond returns the number of health checks per server and second.
func (m *model) checksPerSecond() float64 {
	checks := 0
	for _, h := range m.harnesses {
		h.mu.Lock()
		for _, n := range h.checks {
			checks += n
		}
		h.mu.Unlock()
	}
	return float64(checks) / float64(m.config.servers) / m.config.length.Seconds()
}

func (m *model) String() string {
	dropped := int64(0)
	for _, s := range m.servers {
		dropped += s.dropped.Load()
	}
	return fmt.Sprintf("%d offered, %d in time, %d late, %d refused, %d refused late, %d dropped",
		m.offered.Load(), m.inTime.Load(), m.late.Load(), m.refused.Load(), m.slowRefusals.Load(), dropped)
}

// TestPatterns runs load patterns against the required fraction of the ideal: nine
// tenths at seven tenths of the capacity, and two thirds while demand exceeds the
// capacity by a third, since refused requests are retried.
func TestPatterns(t *testing.T) {
	cases := []struct {
		name   string
		config modelConfig
		bound  float64
	}{
		{"typical load", typicalServers(func(*modelConfig) {}), 0.9},
		{"load peak", typicalServers(func(c *modelConfig) { c.load = 1.3 }), 2.0 / 3},
		{"load peak without a saturation point", typicalServers(func(c *modelConfig) { c.load, c.saturationFactor = 1.3, 1 }), 2.0 / 3},
		{"typical load without a saturation point", typicalServers(func(c *modelConfig) { c.saturationFactor = 1 }), 0.9},
		{"other slots", typicalServers(func(c *modelConfig) { c.slots, c.queue, c.servers = 16, 8, 5 }), 0.9},
		{"slower noise", typicalServers(func(c *modelConfig) { c.noisePhase, c.noise = time.Second, 0.35 }), 0.9},
		{"servers that refuse at random", typicalServers(func(c *modelConfig) { c.shed, c.load, c.length = 0.3, 0.6, 8*time.Second }), 0.85},
		{"slow servers that do not report it", typicalServers(func(c *modelConfig) { c.slow, c.slowFactor, c.load, c.length = 2, 6, 0.6, 8*time.Second }), 0.9},
	}
	for _, tc := range cases {
		t.Run(strings.ReplaceAll(tc.name, " ", "-"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, tc.config)
				share := m.run(t)
				t.Logf("%.3f of the ideal: %s", share, m)
				require.GreaterOrEqual(t, share, tc.bound)
			})
		})
	}
}
