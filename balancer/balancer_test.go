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
	Name: "r", Target: base * 100 / 35, MaxAttempts: 2, Repeats: verbenastand.Idempotent,
})

// machine is a server as a look finds it.
type machine struct {
	report    verbenastand.LoadReport
	unhealthy bool
	silent    bool
	err       error
	looks     int
	connected bool
}

type machines map[verbenastand.ServerID]*machine

type noConnection struct{ released *int }

func (n noConnection) Release() { *n.released++ }

// world is a balancer over machines in memory.
type world struct {
	clock    *fake.Clock
	machines machines
	balancer *Balancer
	released int
}

func (w *world) Look(_ context.Context, s *Server, _ string) (Sight, error) {
	m := w.machines[s.Registration().Server()]
	m.looks++
	if m.err != nil {
		return Sight{}, m.err
	}
	return Sight{Report: m.report, Reported: !m.silent, Healthy: !m.unhealthy, Held: noConnection{&w.released}}, nil
}

func (w *world) Connected(s *Server) bool {
	return w.machines[s.Registration().Server()].connected
}

func (w *world) looks() (n int) {
	for _, m := range w.machines {
		n += m.looks
	}
	return n
}

func registration(id string, change func(*verbenastand.RegistrationConfig)) verbenastand.Registration {
	c := verbenastand.RegistrationConfig{Server: verbenastand.ServerID(id), Service: "s", Zone: "here", Address: "10.0.0.1:1", Slots: 6, Born: 1}
	if change != nil {
		change(&c)
	}
	return verbenastand.NewRegistration(c)
}

func newWorld(list ...verbenastand.Registration) *world {
	w := &world{clock: fake.NewClock(), machines: make(machines)}
	for _, r := range list {
		w.machines[r.Server()] = &machine{report: calm()}
	}
	w.balancer = NewBalancer(Config{Clock: w.clock, Zone: "here", Looker: w})
	w.update(list...)
	w.teachKnee()
	return w
}

// teachKnee lets the service learn that crowded servers are slow.
func (w *world) teachKnee() {
	p := w.balancer.Service("s").profile
	p.expected(testRoute)
	p.crowding(1, 6)
	for level := 5; level <= 6; level++ {
		for range 10 * trials {
			p.observe("r", level, 1.7*float64(base))
		}
	}
}

func (w *world) update(list ...verbenastand.Registration) {
	w.balancer.Update(verbenastand.NewView(verbenastand.ViewConfig{
		Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"s": list},
	}))
}

func (w *world) choose(t *testing.T) Choice {
	t.Helper()
	c, err := w.balancer.Service("s").Choose(t.Context(), Query{Route: testRoute})
	require.NoError(t, err)
	return c
}

func calm() verbenastand.LoadReport {
	return verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 1}
}

func TestTheFirstCalmServerIsTaken(t *testing.T) {
	noisy := verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 5}
	crowded := verbenastand.LoadReport{Running: 5, Slots: 6, Slowdown: 1}
	queued := verbenastand.LoadReport{Running: 6, Waiting: 3, Slots: 6, Slowdown: 1}
	full := verbenastand.LoadReport{Running: 6, Waiting: 5, Slots: 6, Slowdown: 1}
	cases := []struct {
		name    string
		reports []verbenastand.LoadReport
		want    string
		calm    bool
		full    bool
	}{
		{"one is calm", []verbenastand.LoadReport{noisy, crowded, calm()}, "s2", true, false},
		{"none is calm: the one expected to answer soonest", []verbenastand.LoadReport{noisy, crowded, queued}, "s1", false, false},
		{"a full server goes last, for it may never answer", []verbenastand.LoadReport{noisy, full}, "s0", false, false},
		{"all are full", []verbenastand.LoadReport{full, {Running: 6, Waiting: 8, Slots: 6, Slowdown: 1}}, "s0", false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for range 20 {
				var list []verbenastand.Registration
				for i := range tc.reports {
					list = append(list, registration(fmt.Sprintf("s%d", i), nil))
				}
				w := newWorld(list...)
				for i, r := range tc.reports {
					w.machines[list[i].Server()].report = r
				}
				c := w.choose(t)
				require.Equal(t, tc.want, string(c.Server.Registration().Server()))
				require.Equal(t, tc.calm, c.Calm)
				require.Equal(t, tc.full, c.Full)
				require.Equal(t, w.looks()-1, w.released, "every connection but the chosen one is given back")
			}
		})
	}
}

func TestTheOwnZoneGoesFirst(t *testing.T) {
	away := func(c *verbenastand.RegistrationConfig) { c.Zone = "away" }
	w := newWorld(registration("near", nil), registration("far", away))
	for range 20 {
		require.Equal(t, "near", string(w.choose(t).Server.Registration().Server()))
		w.clock.Advance(time.Second)
	}
	w.machines["near"].report.Slowdown = 5
	require.Equal(t, "far", string(w.choose(t).Server.Registration().Server()))
}

// TestKeptConnectionsAreUsedWhileTheirServersAreCalm answers the pattern of a large
// fleet with little traffic on each host: without it each request met another
// server, and two connections were opened for three requests.
func TestKeptConnectionsAreUsedWhileTheirServersAreCalm(t *testing.T) {
	var list []verbenastand.Registration
	for i := range 50 {
		list = append(list, registration(fmt.Sprintf("s%d", i), nil))
	}
	w := newWorld(list...)
	w.machines["s7"].connected = true
	w.machines["s8"].connected = true
	for range 20 {
		w.clock.Advance(time.Second)
		require.Contains(t, []string{"s7", "s8"}, string(w.choose(t).Server.Registration().Server()))
	}
	w.machines["s7"].report.Slowdown = 5
	w.machines["s8"].report.Slowdown = 5
	w.clock.Advance(time.Second)
	require.NotContains(t, []string{"s7", "s8"}, string(w.choose(t).Server.Registration().Server()))
}

func TestLooksForWaitingRequestsRarelyOpenConnections(t *testing.T) {
	w := newWorld(registration("a", nil), registration("b", nil), registration("c", nil))
	for _, m := range w.machines {
		m.report.Slowdown = 5
	}
	w.machines["a"].connected = true
	s := w.balancer.Service("s")
	opened := 0
	const rounds = 60
	for round := range rounds {
		w.clock.Advance(scoutPeriod)
		server := longestUnseen(s.candidates(Query{Route: testRoute}), false, round%exploreEvery != 0)
		s.look(Query{Route: testRoute}, server)
		if server.Registration().Server() != "a" {
			opened++
		}
	}
	require.LessOrEqual(t, opened, rounds/exploreEvery)
	require.Positive(t, w.machines["b"].looks)
	require.Positive(t, w.machines["c"].looks)
}

func TestLooksAreBounded(t *testing.T) {
	var list []verbenastand.Registration
	for i := range 50 {
		list = append(list, registration(fmt.Sprintf("s%d", i), nil))
	}
	w := newWorld(list...)
	for _, m := range w.machines {
		m.report.Slowdown = 5
	}
	w.choose(t)
	require.Equal(t, MaxLooks, w.looks())
}

func TestServersThatAreNotChosen(t *testing.T) {
	cases := []struct {
		name   string
		change func(w *world)
	}{
		{"unreachable", func(w *world) { w.machines["bad"].err = errors.New("refused") }},
		{"another process at its address", func(w *world) { w.machines["bad"].err = ErrOtherProcess }},
		{"unhealthy by its own word", func(w *world) { w.machines["bad"].unhealthy = true }},
		{"leaving", func(w *world) {
			w.update(registration("bad", func(c *verbenastand.RegistrationConfig) { c.State = verbenastand.ServerDraining }), registration("good", nil))
		}},
		{"failing though it looks well", func(w *world) {
			for range 5 {
				Choice{Server: w.server("bad"), Estimate: base}.Begin("r").End(Failed, nil)
			}
		}},
		{"slower than its load says", func(w *world) {
			for range 5 {
				a := Choice{Server: w.server("bad"), Estimate: base}.Begin("r")
				w.clock.Advance(8 * base)
				a.End(Succeeded, nil)
			}
		}},
		{"silent on a request that is overdue", func(w *world) {
			Choice{Server: w.server("bad"), Estimate: base}.Begin("r")
			w.clock.Advance(8 * base)
		}},
		{"just started", func(w *world) {
			w.update(registration("bad", func(c *verbenastand.RegistrationConfig) { c.Warmup = 3 * time.Second }), registration("good", nil))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(registration("bad", nil), registration("good", nil))
			tc.change(w)
			for range 20 {
				require.Equal(t, "good", string(w.choose(t).Server.Registration().Server()))
			}
		})
	}
}

func (w *world) server(id verbenastand.ServerID) *Server {
	for _, s := range w.balancer.Service("s").Servers() {
		if s.Registration().Server() == id {
			return s
		}
	}
	return nil
}

func TestJudgementsFade(t *testing.T) {
	w := newWorld(registration("bad", nil), registration("good", nil))
	for range 10 {
		Choice{Server: w.server("bad"), Estimate: base}.Begin("r").End(Failed, nil)
	}
	w.clock.Advance(10 * time.Second)
	chosen := make(map[verbenastand.ServerID]bool)
	for range 50 {
		chosen[w.choose(t).Server.Registration().Server()] = true
	}
	require.True(t, chosen["bad"], "a server that may be well again gets requests again")
}

func TestAllServersAreUsedIfAllSeemBad(t *testing.T) {
	w := newWorld(registration("a", nil), registration("b", nil))
	for _, s := range w.balancer.Service("s").Servers() {
		s.Unreachable()
	}
	w.choose(t)
}

func TestAServerThatStartsAgainIsJudgedAnew(t *testing.T) {
	w := newWorld(registration("a", nil))
	old := w.server("a")
	old.Gone()
	_, err := w.balancer.Service("s").Choose(t.Context(), Query{Route: testRoute})
	require.ErrorIs(t, err, ErrNoServer)
	w.update(registration("a", func(c *verbenastand.RegistrationConfig) { c.Born = 2 }))
	require.NotSame(t, old, w.choose(t).Server)
}

func TestServersWithoutReportsAreSoonNotLookedAt(t *testing.T) {
	w := newWorld(registration("a", nil), registration("b", nil))
	for _, m := range w.machines {
		m.silent = true
	}
	for range 100 {
		w.choose(t)
		w.clock.Advance(time.Second)
	}
	require.LessOrEqual(t, w.looks(), unreportedLimit)
}

// What a crowded server costs differs between services, and is learnt: with a
// steep knee a crowded server counts as late, without one it counts as calm.
func TestCrowdingIsLearnt(t *testing.T) {
	cases := []struct {
		name   string
		factor float64
		calm   bool
	}{
		{"a knee", 1.7, false},
		{"no knee", 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(registration("a", nil))
			w.choose(t)
			w.balancer.Service("s").profile.samples = [levels]int{}
			s := w.server("a")
			for i := range 600 {
				running := i % 6
				s.sight(verbenastand.LoadReport{Running: running, Slots: 6, Slowdown: 1}, w.clock.Now())
				a := Choice{Server: s, Estimate: base}.Begin("r")
				took := base
				if running >= 4 {
					took = time.Duration(float64(base) * tc.factor)
				}
				w.clock.Advance(took)
				a.End(Succeeded, nil)
			}
			w.clock.Advance(time.Minute)
			w.machines["a"].report = verbenastand.LoadReport{Running: 5, Slots: 6, Slowdown: 1}
			c := w.choose(t)
			require.Equal(t, tc.calm, c.Calm)
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
			w := newWorld(list...)
			s := w.balancer.Service("s")
			for b.Loop() {
				_, _ = s.Choose(b.Context(), Query{Route: testRoute})
			}
		})
	}
}
