package carrier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/limiter"
)

const (
	warmupRate    = 4.3
	warmupOverage = 1.5
	warmupSlack   = 8
	warmupTime    = 3 * time.Second
	coldZones     = 3
)

// coldModelServer is a server that becomes cold and counts the requests that it then gets.
type coldModelServer struct {
	*modelServer
	coldMu    sync.Mutex
	coldUntil time.Time
	arrivals  []time.Time
}

func (s *coldModelServer) becomeCold() {
	s.coldMu.Lock()
	s.coldUntil = time.Now().Add(warmupTime)
	s.coldMu.Unlock()
	s.setFactor(2)
	time.AfterFunc(warmupTime, func() { s.setFactor(1) })
}

func (s *coldModelServer) setFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = factor
}

// remaining returns the field of a health response.
func (s *coldModelServer) remaining() string {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	return strconv.FormatInt(max(0, time.Until(s.coldUntil).Milliseconds()), 10)
}

func (s *coldModelServer) serveCounted(conn net.Conn, r *http.Request) {
	s.coldMu.Lock()
	if now := time.Now(); now.Before(s.coldUntil) {
		s.arrivals = append(s.arrivals, now)
	}
	s.coldMu.Unlock()
	s.serve(conn, r)
}

// most returns the largest number of requests that the server got in a second while it was cold.
func (s *coldModelServer) most() (most int) {
	first := 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// newColdModel returns a model with hosts and servers in three availability zones; rate is the
// limit of a cold server.
func newColdModel(t *testing.T, c modelConfig, rate verbenastand.RequestRate) (*model, []*coldModelServer) {
	m := &model{config: c}
	var servers []*coldModelServer
	var shared []*backend
	var registrations []verbenastand.Registration
	for i := range c.servers {
		s := &coldModelServer{modelServer: &modelServer{
			config: c, factor: 1, slowdown: 1, random: rand.New(rand.NewPCG(uint64(i), 1+2*c.seed)), noise: rand.New(rand.NewPCG(uint64(i), 2+2*c.seed)),
		}}
		s.refuses = c.refusals.of(i, c.seed)
		m.servers, servers = append(m.servers, s.modelServer), append(servers, s)
		shared = append(shared, &backend{serve: s.serveCounted, report: s.report, remaining: s.remaining})
		registrations = append(registrations, verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: verbenastand.ServerID(fmt.Sprintf("s%d", i)), Service: "svc", Zone: coldZone(i), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: c.slots,
		}))
	}
	var hosts []verbenastand.Host
	for i := range c.hosts {
		hosts = append(hosts, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", i)), 1), Zone: coldZone(i),
		}))
	}
	for i := range c.hosts {
		h := newHarness(t, nil, shared...)
		h.hostCount = c.hosts
		warmup := limiter.NewWarmup(limiter.WarmupConfig{
			Clock: wallClock{}, Self: hosts[i].ID(), Overage: warmupOverage, Slack: warmupSlack,
			Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return hosts },
		})
		h.checker.Warmup = warmup
		h.balancer = balancer.NewBalancer(balancer.Config{
			Clock: wallClock{}, Zone: coldZone(i), HealthChecker: h.checker, Limiter: limiter.Combined{h.limiter, warmup}, Excluder: h.excluder,
		})
		h.carrier.config.Balancer = h.balancer
		h.table = verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
			Version: 2, Routes: h.table.Routes(), Limits: h.table.Limits(),
			Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{"svc": {HealthPath: "/health", WarmupRate: rate}},
		})
		h.carrier.config.Router.Update(h.table)
		view := verbenastand.NewView(verbenastand.ViewConfig{
			Table: h.table, Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"svc": registrations},
		})
		warmup.Update(view)
		h.setView(view)
		m.harnesses = append(m.harnesses, h)
	}
	return m, servers
}

func coldZone(i int) verbenastand.Zone { return verbenastand.Zone(fmt.Sprint("zone-", i%coldZones)) }

// runCold runs the pattern; all servers of a zone become cold a second after the start, which
// only health checks show.
func (m *model) runCold(t *testing.T, servers []*coldModelServer) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, s := range m.servers {
		go s.simulateNoise(ctx)
	}
	time.AfterFunc(time.Second, func() {
		for i, s := range servers {
			if coldZone(i) == coldZone(0) {
				s.becomeCold()
			}
		}
	})
	random := rand.New(rand.NewPCG(7, 7+m.config.seed))
	rate := m.config.load * m.config.capacity()
	end := time.Now().Add(m.config.length)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		host := random.IntN(m.config.hosts)
		m.callers.Go(func() { m.call(m.config.caller(host, i), "/x/1", fmt.Sprintf("%d-%d", host, i)) })
	}
	m.finish(cancel)
}

// TestAZoneThatReturnsCold: pattern: all servers of an availability zone become cold at the same
// moment, of which no host knows. Guards against more requests than a cold server tolerates, and
// against limits that stay unused while the warm servers are saturated.
func TestAZoneThatReturnsCold(t *testing.T) {
	for _, load := range []float64{0.4, 0.7, 1.3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := typicalServers(func(c *modelConfig) { c.load, c.length = load, 5*time.Second })
				m, servers := newColdModel(t, c, warmupRate)
				m.runCold(t, servers)
				most, total, cold := 0, 0, 0
				for i, s := range servers {
					if coldZone(i) != coldZone(0) {
						continue
					}
					most, total, cold = max(most, s.most()), total+len(s.arrivals), cold+1
				}
				used := float64(total) / (float64(cold) * warmupRate * warmupTime.Seconds())
				t.Logf("most in a second %d, %.2f of the limits used, %.1f checks per server and second, %s", most, used, m.checksPerSecond(), m)
				require.LessOrEqual(t, float64(most), warmupOverage*warmupRate+warmupSlack)
				if load > 1 {
					require.GreaterOrEqual(t, used, 0.85)
				}
			})
		})
	}
}
