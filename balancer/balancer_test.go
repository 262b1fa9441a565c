package balancer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

const base = 100 * time.Millisecond

var testRoute = verbenastand.NewRoute(verbenastand.RouteConfig{
	Name: "r", Target: base * 100 / 35, MaxAttempts: 2, RetrySafety: verbenastand.Idempotent,
})

// fakeServer is a server as its health check reports it.
type fakeServer struct {
	report    verbenastand.LoadReport
	unhealthy bool
	noReport  bool
	err       error
	checks    int
	connected bool
}

type fakeServers map[verbenastand.ServerID]*fakeServer

type fakeConn struct{ released *int }

func (c fakeConn) Release() { *c.released++ }

// harness runs a balancer against servers in memory.
type harness struct {
	clock       *fake.Clock
	fakeServers fakeServers
	balancer    *Balancer
	released    int
}

func (h *harness) Check(_ context.Context, s *Server, _ string) (CheckResult, error) {
	f := h.fakeServers[s.Registration().Server()]
	f.checks++
	if f.err != nil {
		return CheckResult{}, f.err
	}
	return CheckResult{Report: f.report, Reported: !f.noReport, Healthy: !f.unhealthy, Conn: fakeConn{&h.released}}, nil
}

func (h *harness) Connected(s *Server) bool {
	return h.fakeServers[s.Registration().Server()].connected
}

func (h *harness) checks() (n int) {
	for _, f := range h.fakeServers {
		n += f.checks
	}
	return n
}

func registration(id string, change func(*verbenastand.RegistrationConfig)) verbenastand.Registration {
	c := verbenastand.RegistrationConfig{Server: verbenastand.ServerID(id), Service: "s", Zone: "here", Address: "10.0.0.1:1", Slots: 6, StartTime: 1}
	if change != nil {
		change(&c)
	}
	return verbenastand.NewRegistration(c)
}

func newHarness(list ...verbenastand.Registration) *harness {
	h := &harness{clock: fake.NewClock(), fakeServers: make(fakeServers)}
	for _, r := range list {
		h.fakeServers[r.Server()] = &fakeServer{report: lightLoad()}
	}
	h.balancer = NewBalancer(Config{Clock: h.clock, Zone: "here", HealthChecker: h, FairQueueing: true, Regions: testRegions})
	h.update(list...)
	h.learnSaturation()
	return h
}

// learnSaturation lets the service learn that saturated servers are slow.
func (h *harness) learnSaturation() {
	p := h.balancer.Service("s").profile
	p.expected(testRoute)
	p.saturation(1, 6)
	for level := 5; level <= 6; level++ {
		for range 10 * explorationRequests {
			p.observe("r", level, 1.7*float64(base))
		}
	}
}

func (h *harness) update(list ...verbenastand.Registration) {
	h.balancer.Update(verbenastand.NewView(verbenastand.ViewConfig{
		Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"s": list},
	}))
}

func (h *harness) choose(t *testing.T) Choice {
	t.Helper()
	c, err := h.balancer.Service("s").Choose(t.Context(), Query{Route: testRoute})
	require.NoError(t, err)
	return c
}

func lightLoad() verbenastand.LoadReport {
	return verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 1}
}

// TestLargeRequestsStayInTheirZone: pattern: uploads beside short requests, while the
// few servers of the own availability zone are busy. An upload goes to another zone
// only if no server of its own can take it in time.
func TestLargeRequestsStayInTheirZone(t *testing.T) {
	elsewhere := func(c *verbenastand.RegistrationConfig) { c.Zone = "there" }
	noisy := verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 2}
	saturated := verbenastand.LoadReport{Running: 5, Slots: 6, Slowdown: 1}
	full := verbenastand.LoadReport{Running: 6, Waiting: 5, Slots: 6, Slowdown: 1}
	cases := []struct {
		name   string
		local  verbenastand.LoadReport
		within time.Duration
		want   string
	}{
		{"small request, busy zone", saturated, 0, "there"},
		{"large request, lightly loaded zone", lightLoad(), 3 * base, "here"},
		{"large request, busy zone, in time", saturated, 3 * base, "here"},
		{"large request, noisy zone, in time", noisy, 3 * base, "here"},
		{"large request, busy zone, not in time", saturated, base, "there"},
		{"large request, full zone", full, time.Hour, "there"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(registration("a", nil), registration("b", nil), registration("c", elsewhere))
			h.fakeServers["a"].report, h.fakeServers["b"].report = tc.local, tc.local
			later := h.clock.Now().Add(time.Minute)
			q := Query{Route: testRoute, LocalWithin: tc.within, InTimeBy: later, StartBy: later}
			choice, err := h.balancer.Service("s").Admit(t.Context(), q)
			require.NoError(t, err)
			require.EqualValues(t, tc.want, choice.Server.Registration().Zone())
			if tc.want == "here" {
				require.Zero(t, h.fakeServers["c"].checks)
			}
		})
	}
}

func TestChooseTakesTheFirstLightlyLoadedServer(t *testing.T) {
	noisy := verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 5}
	saturated := verbenastand.LoadReport{Running: 5, Slots: 6, Slowdown: 1}
	queued := verbenastand.LoadReport{Running: 6, Waiting: 3, Slots: 6, Slowdown: 1}
	full := verbenastand.LoadReport{Running: 6, Waiting: 5, Slots: 6, Slowdown: 1}
	cases := []struct {
		name          string
		reports       []verbenastand.LoadReport
		want          string
		lightlyLoaded bool
		full          bool
	}{
		{"one is lightly loaded", []verbenastand.LoadReport{noisy, saturated, lightLoad()}, "s2", true, false},
		{"none is lightly loaded: the one expected to respond soonest", []verbenastand.LoadReport{noisy, saturated, queued}, "s1", false, false},
		{"a full server goes last because it may never respond", []verbenastand.LoadReport{noisy, full}, "s0", false, false},
		{"all are full", []verbenastand.LoadReport{full, {Running: 6, Waiting: 8, Slots: 6, Slowdown: 1}}, "s0", false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for range 20 {
				var list []verbenastand.Registration
				for i := range tc.reports {
					list = append(list, registration(fmt.Sprintf("s%d", i), nil))
				}
				h := newHarness(list...)
				for i, r := range tc.reports {
					h.fakeServers[list[i].Server()].report = r
				}
				c := h.choose(t)
				require.Equal(t, tc.want, string(c.Server.Registration().Server()))
				require.Equal(t, tc.lightlyLoaded, c.LightlyLoaded)
				require.Equal(t, tc.full, c.Full)
				require.Equal(t, h.checks()-1, h.released, "every connection except the chosen one is released")
			}
		})
	}
}

func TestChoosePrefersTheLocalZone(t *testing.T) {
	away := func(c *verbenastand.RegistrationConfig) { c.Zone = "away" }
	h := newHarness(registration("near", nil), registration("far", away))
	for range 20 {
		require.Equal(t, "near", string(h.choose(t).Server.Registration().Server()))
		h.clock.Advance(time.Second)
	}
	h.fakeServers["near"].report.Slowdown = 5
	require.Equal(t, "far", string(h.choose(t).Server.Registration().Server()))
}

// TestServersWithoutConnectionsGetTheirShare: pattern: a server has just started, or was limited
// for a while, and its callers have no connections to it. It gets as many requests as the others.
func TestServersWithoutConnectionsGetTheirShare(t *testing.T) {
	const servers, requests = 10, 2000
	var list []verbenastand.Registration
	for i := range servers {
		list = append(list, registration(fmt.Sprintf("s%d", i), nil))
	}
	h := newHarness(list...)
	for i := range servers / 2 {
		h.fakeServers[verbenastand.ServerID(fmt.Sprintf("s%d", i))].connected = true
	}
	chosen := make(map[verbenastand.ServerID]int)
	for range requests {
		h.clock.Advance(time.Second)
		chosen[h.choose(t).Server.Registration().Server()]++
	}
	for _, r := range list {
		require.InDelta(t, requests/servers, chosen[r.Server()], requests/servers/3, r.Server())
	}
}

// TestFurtherChecksPreferConnections: if the first server is busy, the next ones are those to
// which there is a connection.
func TestFurtherChecksPreferConnections(t *testing.T) {
	var list []verbenastand.Registration
	for i := range 50 {
		list = append(list, registration(fmt.Sprintf("s%d", i), nil))
	}
	h := newHarness(list...)
	for _, f := range h.fakeServers {
		f.report.Slowdown = 5
	}
	h.fakeServers["s7"].connected, h.fakeServers["s7"].report.Slowdown = true, 1
	for range 20 {
		h.clock.Advance(time.Second)
		require.Equal(t, "s7", string(h.choose(t).Server.Registration().Server()))
	}
}

// TestChecksForWaitingRequestsReachAllServers: the server with the oldest report is checked next,
// with or without a connection.
func TestChecksForWaitingRequestsReachAllServers(t *testing.T) {
	h := newHarness(registration("a", nil), registration("b", nil), registration("c", nil))
	for _, f := range h.fakeServers {
		f.report.Slowdown = 5
	}
	h.fakeServers["a"].connected = true
	s := h.balancer.Service("s")
	for range 60 {
		h.clock.Advance(checkInterval)
		candidates, _ := s.candidates(Query{Route: testRoute})
		s.checkAndGrant(Query{Route: testRoute}, stalestCandidate(candidates, false))
	}
	for id, f := range h.fakeServers {
		require.Equal(t, 20, f.checks, id)
	}
}

func TestChecksAreBounded(t *testing.T) {
	var list []verbenastand.Registration
	for i := range 50 {
		list = append(list, registration(fmt.Sprintf("s%d", i), nil))
	}
	h := newHarness(list...)
	for _, f := range h.fakeServers {
		f.report.Slowdown = 5
	}
	h.choose(t)
	require.Equal(t, MaxChecks, h.checks())
}

func TestServersThatAreNotChosen(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *harness)
	}{
		{"unreachable", func(h *harness) { h.fakeServers["bad"].err = errors.New("refused") }},
		{"another process at its address", func(h *harness) { h.fakeServers["bad"].err = ErrServerReplaced }},
		{"reports itself unhealthy", func(h *harness) { h.fakeServers["bad"].unhealthy = true }},
		{"draining", func(h *harness) {
			h.update(registration("bad", func(c *verbenastand.RegistrationConfig) { c.State = verbenastand.ServerDraining }), registration("good", nil))
		}},
		{"failing although its health check succeeds", func(h *harness) {
			for range 5 {
				Choice{Server: h.server("bad"), Estimate: base}.Begin("r").End(Failed, nil)
			}
		}},
		{"slower than its load report suggests", func(h *harness) {
			for range 5 {
				a := Choice{Server: h.server("bad"), Estimate: base}.Begin("r")
				h.clock.Advance(8 * base)
				a.End(Succeeded, nil)
			}
		}},
		{"not responding to an overdue request", func(h *harness) {
			Choice{Server: h.server("bad"), Estimate: base}.Begin("r")
			h.clock.Advance(8 * base)
		}},
		{"just started", func(h *harness) {
			h.update(registration("bad", func(c *verbenastand.RegistrationConfig) { c.Warmup = 3 * time.Second }), registration("good", nil))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(registration("bad", nil), registration("good", nil))
			tc.change(h)
			for range 20 {
				require.Equal(t, "good", string(h.choose(t).Server.Registration().Server()))
			}
		})
	}
}

func (h *harness) server(id verbenastand.ServerID) *Server {
	for _, s := range h.balancer.Service("s").Servers() {
		if s.Registration().Server() == id {
			return s
		}
	}
	return nil
}

func TestFailureRateDecays(t *testing.T) {
	h := newHarness(registration("bad", nil), registration("good", nil))
	for range 10 {
		Choice{Server: h.server("bad"), Estimate: base}.Begin("r").End(Failed, nil)
	}
	h.clock.Advance(10 * time.Second)
	chosen := make(map[verbenastand.ServerID]bool)
	for range 50 {
		chosen[h.choose(t).Server.Registration().Server()] = true
	}
	require.True(t, chosen["bad"], "a server that may have recovered gets requests again")
}

func TestEjectedServersAreUsedIfAllAreEjected(t *testing.T) {
	h := newHarness(registration("a", nil), registration("b", nil))
	for _, s := range h.balancer.Service("s").Servers() {
		s.MarkUnreachable()
	}
	h.choose(t)
}

func TestRestartResetsServerState(t *testing.T) {
	h := newHarness(registration("a", nil))
	old := h.server("a")
	old.MarkReplaced()
	_, err := h.balancer.Service("s").Choose(t.Context(), Query{Route: testRoute})
	require.ErrorIs(t, err, ErrNoServer)
	h.update(registration("a", func(c *verbenastand.RegistrationConfig) { c.StartTime = 2 }))
	require.NotSame(t, old, h.choose(t).Server)
}

func TestChecksStopForServersWithoutReports(t *testing.T) {
	h := newHarness(registration("a", nil), registration("b", nil))
	for _, f := range h.fakeServers {
		f.noReport = true
	}
	for range 100 {
		h.choose(t)
		h.clock.Advance(time.Second)
	}
	require.LessOrEqual(t, h.checks(), maxMissingReports)
}

// TestSaturationIsLearned checks that the cost of saturation is learned for each
// service: a server above its saturation point does not count as lightly loaded, one
// that does not slow down does.
func TestSaturationIsLearned(t *testing.T) {
	cases := []struct {
		name          string
		factor        float64
		lightlyLoaded bool
	}{
		{"slower above the saturation point", 1.7, false},
		{"no saturation point", 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(registration("a", nil))
			h.choose(t)
			h.balancer.Service("s").profile.samples = [maxLevels]int{}
			s := h.server("a")
			for i := range 600 {
				running := i % 6
				s.setReport(verbenastand.LoadReport{Running: running, Slots: 6, Slowdown: 1}, h.clock.Now())
				a := Choice{Server: s, Estimate: base}.Begin("r")
				took := base
				if running >= 4 {
					took = time.Duration(float64(base) * tc.factor)
				}
				h.clock.Advance(took)
				a.End(Succeeded, nil)
			}
			h.clock.Advance(time.Minute)
			h.fakeServers["a"].report = verbenastand.LoadReport{Running: 5, Slots: 6, Slowdown: 1}
			c := h.choose(t)
			require.Equal(t, tc.lightlyLoaded, c.LightlyLoaded)
			require.InDelta(t, tc.factor*float64(base), float64(c.Estimate), 0.25*float64(base))
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{12, 178, 1300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var list []verbenastand.Registration
			for i := range servers {
				list = append(list, registration(fmt.Sprintf("s%d", i), nil))
			}
			h := newHarness(list...)
			s := h.balancer.Service("s")
			for b.Loop() {
				_, _ = s.Choose(b.Context(), Query{Route: testRoute})
			}
		})
	}
}
