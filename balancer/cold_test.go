package balancer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/limiter"
)

// coldHarness is a harness whose servers state in health checks how long they stay cold.
type coldHarness struct {
	*harness
	warmup    *limiter.Warmup
	remaining map[verbenastand.ServerID]string
}

// Check implements HealthChecker.
func (h *coldHarness) Check(ctx context.Context, s *Server, path string) (CheckResult, error) {
	r := s.Registration()
	if remaining, ok := h.remaining[r.Server()]; ok {
		h.warmup.Observe(limiter.HealthResponse{Process: r.Process(), Remaining: []string{remaining}, SentAt: h.clock.Now()})
	} else {
		h.warmup.Observe(limiter.HealthResponse{Process: r.Process(), SentAt: h.clock.Now()})
	}
	return h.harness.Check(ctx, s, path)
}

// newColdHarness returns a harness with a limit for cold servers, none if it is zero, and a host
// that is alone in the given availability zone.
func newColdHarness(zone verbenastand.Zone, rate verbenastand.RequestRate, list ...verbenastand.Registration) *coldHarness {
	h := &coldHarness{harness: &harness{clock: fake.NewClock(), fakeServers: make(fakeServers)}, remaining: make(map[verbenastand.ServerID]string)}
	self := verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("self", 1), Zone: zone})
	other := verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("other", 1), Zone: "there"})
	h.warmup = limiter.NewWarmup(limiter.WarmupConfig{
		Clock: h.clock, Self: "self", Overage: 1.5, Slack: 8,
		Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return []verbenastand.Host{self, other} },
	})
	for _, r := range list {
		h.fakeServers[r.Server()] = &fakeServer{report: lightLoad()}
	}
	h.balancer = NewBalancer(Config{Clock: h.clock, Zone: "here", HealthChecker: h, Limiter: h.warmup})
	view := verbenastand.NewView(verbenastand.ViewConfig{
		Table: verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
			Version: 1, Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{"s": {HealthPath: "/", WarmupRate: rate}},
		}),
		Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"s": list},
	})
	h.warmup.Update(view)
	h.balancer.Update(view)
	h.learnSaturation()
	return h
}

func (h *coldHarness) query() Query {
	now := h.clock.Now()
	return Query{Route: testRoute, InTimeBy: now.Add(2 * base), StartBy: now.Add(10 * base)}
}

func warming(c *verbenastand.RegistrationConfig) { c.Warmup = 3 * time.Second }
func there(c *verbenastand.RegistrationConfig)   { c.Zone = "there" }

// Guards against cold servers that get no requests while the warm ones of their zone are saturated, and
// against slow responses where a warm one is free or the cold one can't be in time.
func TestColdServersAreUsedInTheirZone(t *testing.T) {
	saturated := verbenastand.LoadReport{Running: 5, Slots: 6, Slowdown: 1}
	noisy := verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 5}
	cases := []struct {
		name       string
		rate       verbenastand.RequestRate
		warm, cold verbenastand.LoadReport
		waited     time.Duration
		want       string
	}{
		{"a warm server is free", 4, lightLoad(), lightLoad(), time.Second, "warm"},
		{"the warm servers are saturated", 4, saturated, lightLoad(), time.Second, "cold"},
		{"the limit is used", 4, saturated, lightLoad(), 0, "far"},
		{"the cold server is not in time", 4, saturated, noisy, time.Second, "far"},
		{"the cold server is saturated", 4, saturated, saturated, time.Second, "far"},
		{"no limit", 0, saturated, lightLoad(), time.Second, "far"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			list := []verbenastand.Registration{registration("cold", warming), registration("far", there)}
			for _, id := range []string{"warm-0", "warm-1", "warm-2", "warm-3", "warm-4", "warm-5"} {
				list = append(list, registration(id, nil))
			}
			h := newColdHarness("here", tc.rate, list...)
			h.remaining["cold"] = "2000"
			for id, f := range h.fakeServers {
				f.report = tc.warm
				if id == "cold" || id == "far" {
					f.report = tc.cold
				}
			}
			h.fakeServers["far"].report = lightLoad()
			h.clock.Advance(tc.waited)
			if tc.rate == 0 {
				h.clock.Advance(time.Millisecond)
			}
			q := h.query()
			q.CheckLimit = 9
			choice, err := h.balancer.Service("s").Choose(t.Context(), q)
			require.NoError(t, err)
			require.Contains(t, string(choice.Server.Registration().Server()), tc.want)
			if tc.want == "cold" {
				require.True(t, choice.Cold)
				require.Equal(t, coldPosition+1, h.checks())
				require.True(t, h.balancer.Service("s").take(&waiter{query: q}, choice), "a new request takes it")
			}
		})
	}
}

// Guards against a request that is sent to a server which has become cold since the last health
// check, because the report of a response shows free capacity.
func TestAResponseDoesNotProveThatAServerIsWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness("here", 4, registration("a", nil))
		s := h.balancer.Service("s")
		choice, err := s.Choose(t.Context(), h.query())
		require.NoError(t, err)
		attempt := choice.Begin("r")
		h.clock.Advance(base + base/2)
		h.remaining["a"] = "3000"
		w := &waiter{query: h.query(), arrived: h.clock.Now(), granted: make(chan grant, 1)}
		s.queue.waiters = append(s.queue.waiters, w)
		report := lightLoad()
		attempt.End(Succeeded, &report)
		synctest.Wait()
		require.Equal(t, 1, h.warmup.Cold())
		require.Equal(t, 1, s.Waiting())

		h.clock.Advance(400 * time.Millisecond)
		s.findCapacity(h.query())
		require.Zero(t, s.Waiting(), "it gets what its limit allows")
		require.True(t, (<-w.granted).choice.Cold)
		for err == nil {
			_, err = s.Choose(t.Context(), h.query())
		}
		require.ErrorIs(t, err, ErrLimited)
		require.Positive(t, s.Wait())
	})
}

// Guards against health checks of a cold server by all hosts of a fleet.
func TestAHostWithoutAShareDoesNotCheckAColdServer(t *testing.T) {
	h := newColdHarness("elsewhere", 4, registration("cold", func(c *verbenastand.RegistrationConfig) {
		warming(c)
		there(c)
	}))
	s := h.balancer.Service("s")
	h.clock.Advance(time.Second)
	_, err := s.Choose(t.Context(), h.query())
	require.ErrorIs(t, err, ErrLimited)
	require.Zero(t, h.checks())
	require.Equal(t, 2*time.Second, s.Wait(), "it may be used when it is warm")
	require.Equal(t, 2*time.Second, s.allowance().after(100))
	h.clock.Advance(2 * time.Second)
	choice, err := s.Choose(t.Context(), h.query())
	require.NoError(t, err)
	require.True(t, choice.LightlyLoaded)
}

// Guards against servers without load reports that get requests beyond their limit, because such
// servers are chosen without health checks.
func TestColdServersThatReportNoLoad(t *testing.T) {
	h := newColdHarness("here", 4, registration("a", nil))
	h.fakeServers["a"].noReport = true
	s := h.balancer.Service("s")
	for range 2 * maxMissingReports {
		h.clock.Advance(time.Second)
		_, err := s.Choose(t.Context(), h.query())
		require.NoError(t, err)
	}
	h.clock.Advance(time.Second)
	h.remaining["a"] = "3000"
	_, err := s.Choose(t.Context(), h.query())
	require.Error(t, err)
	require.Equal(t, 1, h.warmup.Cold())
	h.clock.Advance(time.Second)
	choice, err := s.Choose(t.Context(), h.query())
	require.NoError(t, err)
	require.True(t, choice.Cold)
	choice.Release()
	w := &waiter{query: h.query(), arrived: h.clock.Now(), granted: make(chan grant, 1)}
	s.queue.waiters = append(s.queue.waiters, w)
	s.findCapacity(h.query())
	require.Zero(t, s.Waiting())
}

// Guards against requests that are delegated although this host may send them, and against a host of
// an evacuated zone that refuses requests which others could send to cold servers.
func TestAHostOfAnEvacuatedZoneWithoutShares(t *testing.T) {
	cold := registration("cold", func(c *verbenastand.RegistrationConfig) { c.Zone, c.Warmup = "there", 3*time.Second })
	warm := registration("warm", func(c *verbenastand.RegistrationConfig) { c.Zone = "there" })
	local := registration("local", func(c *verbenastand.RegistrationConfig) { c.Zone = "here" })
	cases := []struct {
		name      string
		rate      verbenastand.RequestRate
		servers   []verbenastand.Registration
		evacuated []verbenastand.Zone
		want      bool
	}{
		{"a cold server elsewhere", 4.3, []verbenastand.Registration{cold, local}, []verbenastand.Zone{"here"}, true},
		{"no evacuation", 4.3, []verbenastand.Registration{cold}, nil, false},
		{"another zone is evacuated", 4.3, []verbenastand.Registration{cold, local}, []verbenastand.Zone{"there"}, false},
		{"a warm server", 4.3, []verbenastand.Registration{cold, warm}, []verbenastand.Zone{"here"}, false},
		{"no limits", 0, []verbenastand.Registration{cold}, []verbenastand.Zone{"here"}, false},
		{"all zones", 4.3, []verbenastand.Registration{cold, local}, []verbenastand.Zone{"here", "there"}, false},
		{"no servers", 4.3, nil, []verbenastand.Zone{"here"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newColdHarness("here", tc.rate, tc.servers...)
			evacuated := make(map[verbenastand.Zone]bool)
			for _, z := range tc.evacuated {
				evacuated[z] = true
			}
			view := verbenastand.NewView(verbenastand.ViewConfig{
				Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"s": tc.servers}, Evacuated: evacuated,
			})
			h.warmup.Update(view)
			h.balancer.Update(view)
			require.Equal(t, tc.want, h.balancer.Service("s").Unshared())
			h.clock.Advance(4 * time.Second)
			require.False(t, h.balancer.Service("s").Unshared(), "the servers are warm")
		})
	}
}
