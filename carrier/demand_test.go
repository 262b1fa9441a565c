package carrier

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
)

const (
	demandZones = 3
	// zoneRoundTrip is the round trip between availability zones, callerLink that to callers.
	zoneRoundTrip = 2800 * time.Microsecond
	callerLink    = 16 * time.Millisecond
	// demandTarget and demandDeadline are those of the most frequent route of deployment B.
	demandTarget   = 500 * time.Millisecond
	demandDeadline = 1200 * time.Millisecond
)

// demandPhase is the demand of each zone as a multiple of its servers' capacity, for some time.
type demandPhase struct {
	name  string
	loads [demandZones]float64
	lasts time.Duration
}

// demandCounts counts the requests that begin in a phase in one zone.
type demandCounts struct {
	modelCounts
	crossZone atomic.Int64
	mu        sync.Mutex
	took      []time.Duration
}

// quantile returns a quantile of the time until a response.
func (c *demandCounts) quantile(q float64) time.Duration {
	if len(c.took) == 0 {
		return 0
	}
	slices.Sort(c.took)
	return c.took[int(q*float64(len(c.took)-1))].Round(time.Millisecond)
}

// String returns the shares in time, late and refused, the share that ran in another zone, and quantiles of the
// response times.
func (c *demandCounts) String() string {
	return fmt.Sprintf("%s; cross-zone %.3f; p50 %v p99 %v", c.modelCounts.String(), c.share(&c.crossZone), c.quantile(0.5), c.quantile(0.99))
}

// demandConfig describes demand that shifts between zones.
type demandConfig struct {
	modelConfig
	// zonesCount is set if hosts prefer servers of their zone.
	zonesCount bool
	phases     []demandPhase
}

// demandModel runs demand that shifts between zones.
type demandModel struct {
	*model
	phases []demandPhase
	// counts holds the results of each phase and zone.
	counts [][]*demandCounts
	// ranIn holds the zone in which each request has run.
	ranIn sync.Map
}

func demandZone(i int) verbenastand.Zone {
	return verbenastand.Zone(fmt.Sprint("zone-", i%demandZones))
}

// demandServers describes a third of the hosts and servers of deployment B.
func demandServers() modelConfig {
	return modelConfig{
		hosts: 39, servers: 36, slots: 4, queue: 8, work: 170 * time.Millisecond,
		noise: 0.3, noiseFactor: 5, noisePhase: 150 * time.Millisecond, saturationPoint: 0.8, saturationFactor: 1.7, retries: 1,
	}
}

func newDemandModel(t *testing.T, d demandConfig) *demandModel {
	c := d.modelConfig
	m := &demandModel{model: &model{config: c}, phases: d.phases}
	var registrations []verbenastand.Registration
	for i := range c.servers {
		s := &modelServer{config: c, factor: 1, slowdown: 1, random: rand.New(rand.NewPCG(uint64(i), 1+2*c.seed)), noise: rand.New(rand.NewPCG(uint64(i), 2+2*c.seed))}
		s.refuses = c.refusals.of(i, c.seed)
		m.servers = append(m.servers, s)
		registrations = append(registrations, verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: verbenastand.ServerID(fmt.Sprintf("s%d", i)), Service: "svc", Zone: demandZone(i), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: c.slots,
		}))
	}
	for i := range c.hosts {
		h := newHarness(t, func(r *verbenastand.RouteConfig) { r.Target, r.Timeout = demandTarget, demandDeadline }, m.backendsOf(i)...)
		h.hostCount = c.hosts
		h.open = func(address string) (net.Conn, error) { return m.open(h, i, address) }
		zone := demandZone(i)
		if !d.zonesCount {
			zone = ""
		}
		h.balancer = balancer.NewBalancer(balancer.Config{
			Clock: wallClock{}, Zone: zone, HealthChecker: h.checker, Limiter: h.limiter, Excluder: h.excluder, FairQueueing: true,
		})
		h.carrier.config.Balancer = h.balancer
		h.setServers(registrations)
		m.harnesses = append(m.harnesses, h)
	}
	for range d.phases {
		var zones []*demandCounts
		for range demandZones {
			zones = append(zones, &demandCounts{})
		}
		m.counts = append(m.counts, zones)
	}
	return m
}

// backendsOf returns the servers as a host reaches them, over the links between zones.
func (m *demandModel) backendsOf(host int) (list []*backend) {
	for i, s := range m.servers {
		var link time.Duration
		if demandZone(i) != demandZone(host) {
			link = zoneRoundTrip
		}
		list = append(list, &backend{
			serve: func(conn net.Conn, r *http.Request) {
				time.Sleep(link)
				m.ranIn.Store(r.Header.Get("X-Id"), demandZone(i))
				s.serve(conn, r)
			},
			report: func() string {
				time.Sleep(link)
				return s.report()
			},
		})
	}
	return list
}

func (m *demandModel) open(h *harness, host int, address string) (net.Conn, error) {
	s := h.servers[address]
	var server int
	_, _ = fmt.Sscanf(s.name, "s%d", &server)
	if demandZone(server) != demandZone(host) {
		time.Sleep(zoneRoundTrip)
	}
	near, far := net.Pipe()
	go h.run(s, far)
	return near, nil
}

// request sends a request of a caller of a zone, who returns once to another host of the zone.
func (m *demandModel) request(zone int, id string, counts *demandCounts) {
	began := time.Now()
	counts.offered.Add(1)
	time.Sleep(callerLink)
	for try := 0; ; try++ {
		left := demandDeadline - time.Since(began)
		host := zone + demandZones*rand.IntN(m.config.hosts/demandZones)
		conn := m.harnesses[host].connectFrom(&net.TCPAddr{IP: net.IPv4(10, 2, byte(zone), byte(rand.IntN(50))), Port: 40000})
		_, _ = fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline: %d\r\n\r\n", id, left.Milliseconds())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		_ = conn.Close()
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			m.record(zone, id, counts, response, err, time.Since(began))
			return
		}
		var seconds float64
		_, _ = fmt.Sscan(response.Header.Get("Retry-After"), &seconds)
		delay := time.Duration(seconds*float64(time.Second)) + callerLink
		if try == m.config.retries || time.Since(began)+delay >= demandDeadline {
			counts.refused.Add(1)
			return
		}
		time.Sleep(delay)
	}
}

func (m *demandModel) record(zone int, id string, counts *demandCounts, response *http.Response, err error, took time.Duration) {
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	if took <= demandTarget {
		counts.inTime.Add(1)
	} else {
		counts.late.Add(1)
	}
	if ran, ok := m.ranIn.Load(id); ok && ran != demandZone(zone) {
		counts.crossZone.Add(1)
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.took = append(counts.took, took)
}

// runDemand runs the phases one after the other.
func (m *demandModel) runDemand(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, s := range m.servers {
		go s.simulateNoise(ctx)
	}
	for zone := range demandZones {
		random := rand.New(rand.NewPCG(uint64(zone), 7+m.config.seed))
		m.callers.Go(func() {
			for i, p := range m.phases {
				rate := p.loads[zone] * m.config.capacity() / demandZones
				end := time.Now().Add(p.lasts)
				for n := 0; ; n++ {
					time.Sleep(min(time.Until(end), time.Duration(random.ExpFloat64()/rate*float64(time.Second))))
					if !time.Now().Before(end) {
						break
					}
					m.callers.Go(func() { m.request(zone, fmt.Sprintf("%d-%d-%d", zone, i, n), m.counts[i][zone]) })
				}
			}
		})
	}
	m.finish(cancel)
}

// demandResult sums up the phases of a name over several runs.
type demandResult struct{ all, busiest demandCounts }

func (c *demandCounts) addRun(other *demandCounts) {
	c.add(&other.modelCounts)
	c.crossZone.Add(other.crossZone.Load())
	c.took = append(c.took, other.took...)
}

// runDemands runs phases with several seeds and returns the results for each name of a phase.
func runDemands(t *testing.T, d demandConfig) map[string]*demandResult {
	results := make(map[string]*demandResult)
	for seed := range max(1, seeds()) {
		synctest.Test(t, func(t *testing.T) {
			d.seed = uint64(seed)
			m := newDemandModel(t, d)
			m.runDemand(t)
			for i, p := range d.phases {
				r := results[p.name]
				if r == nil {
					r = &demandResult{}
					results[p.name] = r
				}
				busiest := slices.Index(p.loads[:], slices.Max(p.loads[:]))
				r.busiest.addRun(m.counts[i][busiest])
				for _, counts := range m.counts[i] {
					r.all.addRun(counts)
				}
			}
		})
	}
	for name, r := range results {
		t.Logf("%s: %s; busiest zone: %s", name, &r.all, &r.busiest)
	}
	return results
}

// shiftingDemand returns phases of demand that shifts from one zone to another and ends, after the
// hosts have learned how long requests take.
func shiftingDemand(first, then [demandZones]float64) []demandPhase {
	return []demandPhase{
		{"start", [demandZones]float64{0.7, 0.7, 0.7}, 6 * time.Second},
		{"shift", first, 4 * time.Second}, {"shift", then, 4 * time.Second},
		{"calm", [demandZones]float64{0.35, 0.35, 0.35}, 4 * time.Second},
	}
}

// TestDemandThatShifts: pattern: a zone has 1.6 times the demand that its servers can handle and the others
// 0.7 times, then another zone. It guards against requests that wait for servers of their zone while others
// have free slots, and against requests that leave their zone at low load.
func TestDemandThatShifts(t *testing.T) {
	leaveToRunWithoutRaceDetector(t)
	t.Parallel()
	cases := []struct {
		name        string
		zonesCount  bool
		first, then [demandZones]float64
	}{
		{"even", true, [demandZones]float64{1, 1, 1}, [demandZones]float64{1, 1, 1}},
		{"shift", true, [demandZones]float64{1.6, 0.7, 0.7}, [demandZones]float64{0.7, 1.6, 0.7}},
		{"shift, zones do not count", false, [demandZones]float64{1.6, 0.7, 0.7}, [demandZones]float64{0.7, 1.6, 0.7}},
	}
	results := make(map[string]map[string]*demandResult)
	for _, tc := range cases {
		t.Run(strings.ReplaceAll(tc.name, " ", "-"), func(t *testing.T) {
			results[tc.name] = runDemands(t, demandConfig{
				modelConfig: demandServers(), zonesCount: tc.zonesCount, phases: shiftingDemand(tc.first, tc.then),
			})
		})
	}
	inTime := func(name string) float64 {
		c := &results[name]["shift"].all
		return c.share(&c.inTime)
	}
	require.GreaterOrEqual(t, inTime("shift"), 0.95*inTime("even"))
	require.GreaterOrEqual(t, inTime("shift"), 0.98*inTime("shift, zones do not count"))
	busiest := &results["shift"]["shift"].busiest
	require.GreaterOrEqual(t, busiest.share(&busiest.inTime), 0.87)
	calm := &results["shift"]["calm"].all
	require.LessOrEqual(t, calm.share(&calm.crossZone), 0.05)
}
