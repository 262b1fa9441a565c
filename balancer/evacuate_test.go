package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// evacuate applies a view in which the zones are evacuated.
func (h *harness) evacuate(list []verbenastand.Registration, zones ...verbenastand.Zone) {
	evacuated := make(map[verbenastand.Zone]bool)
	for _, z := range zones {
		evacuated[z] = true
	}
	h.balancer.Update(verbenastand.NewView(verbenastand.ViewConfig{
		Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"s": list}, Evacuated: evacuated,
	}))
}

func elsewhere(c *verbenastand.RegistrationConfig) { c.Zone = "there" }

// Guards against requests and health checks to the servers of an evacuated zone: for a first
// choice, with an earlier report that needs no check, and for requests that wait.
func TestEvacuatedServersGetNothing(t *testing.T) {
	cases := []struct {
		name string
		do   func(t *testing.T, s *Service)
	}{
		{"choice", func(t *testing.T, s *Service) {
			choice, err := s.Choose(t.Context(), Query{Route: testRoute})
			require.NoError(t, err)
			require.Equal(t, verbenastand.Zone("there"), choice.Server.Registration().Zone())
		}},
		{"servers that report no load", func(t *testing.T, s *Service) {
			s.missingReports.Store(maxMissingReports)
			choice, err := s.Choose(t.Context(), Query{Route: testRoute})
			require.NoError(t, err)
			require.Equal(t, verbenastand.Zone("there"), choice.Server.Registration().Zone())
		}},
		{"other servers tried", func(t *testing.T, s *Service) {
			_, err := s.Choose(t.Context(), Query{Route: testRoute, Tried: s.usable()})
			require.ErrorIs(t, err, ErrNoServer)
		}},
		{"capacity for requests that wait", func(t *testing.T, s *Service) {
			for _, server := range s.Servers() {
				_, ok := server.reserve(Query{Route: testRoute}, Choice.lightlyLoaded)
				require.Equal(t, !server.Evacuated(), ok)
			}
		}},
		{"check of a server chosen before", func(t *testing.T, s *Service) {
			for _, server := range s.Servers() {
				_, checked, ok := s.evaluate(t.Context(), Query{Route: testRoute}, server)
				require.False(t, checked)
				require.Equal(t, !server.Evacuated(), ok)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			list := []verbenastand.Registration{registration("a", nil), registration("b", nil), registration("c", elsewhere)}
			h := newHarness(list...)
			s := h.balancer.Service("s")
			for _, server := range s.Servers() {
				server.setReport(lightLoad(), h.clock.Now())
			}
			h.evacuate(list, "here")
			tc.do(t, s)
			require.Zero(t, h.fakeServers["a"].checks+h.fakeServers["b"].checks)
		})
	}
}

// virtualClock is the clock of a synctest bubble.
type virtualClock struct{}

func (virtualClock) Now() time.Time { return time.Now() }

// Guards against requests that wait for a deadline although no server may get them.
func TestNothingWaitsForEvacuatedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []verbenastand.Registration{registration("a", nil), registration("c", elsewhere)}
		h := newHarness(list...)
		h.balancer = NewBalancer(Config{Clock: virtualClock{}, Zone: "here", HealthChecker: h})
		h.update(list...)
		for _, f := range h.fakeServers {
			f.report = verbenastand.LoadReport{Running: 6, Waiting: 8, Slots: 6, Slowdown: 1}
		}
		s := h.balancer.Service("s")
		query := Query{Route: testRoute, InTimeBy: time.Now().Add(time.Minute), StartBy: time.Now().Add(time.Minute)}
		refused := make(chan error, 1)
		go func() {
			_, err := s.Admit(t.Context(), query)
			refused <- err
		}()
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, s.Waiting())
		h.evacuate(list, "here")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, s.Waiting(), "another zone is left")
		h.evacuate(list, "here", "there")
		began := time.Now()
		require.ErrorIs(t, <-refused, ErrNoServer)
		require.Zero(t, time.Since(began))
		require.True(t, s.Evacuated())
		_, err := s.Admit(t.Context(), query)
		require.ErrorIs(t, err, ErrNoServer)
		require.Zero(t, time.Since(began))
		time.Sleep(time.Second)
	})
}

// Guards against a limit of a server or a pause in an evacuated zone that determines how long requests
// wait for the others.
func TestEvacuatedServersDoNotCountForTheWait(t *testing.T) {
	list := []verbenastand.Registration{registration("a", nil), registration("c", elsewhere)}
	h := newHarness(list...)
	h.balancer.config.Excluder = pauses{"c": time.Second}
	s := h.balancer.Service("s")
	require.Zero(t, s.Wait())
	h.evacuate(list, "here")
	require.Equal(t, time.Second, s.Wait())
	require.Equal(t, time.Second, s.allowance().wait)
	_, err := s.Choose(t.Context(), Query{Route: testRoute})
	require.ErrorIs(t, err, ErrPaused)
}

// pauses holds the pauses that servers have requested.
type pauses map[verbenastand.ServerID]time.Duration

// Exclusion implements verbenastand.ServerExcluder.
func (p pauses) Exclusion(process verbenastand.ServerProcess) (verbenastand.Exclusion, bool) {
	wait, paused := p[process.Server]
	return verbenastand.Exclusion{Wait: wait}, paused
}

// Guards against a server that counts as warm after an evacuation because of what was known of it
// before, and against one that counts as cold although it has said that it is warm.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	newer := registration("a", func(c *verbenastand.RegistrationConfig) { c.Sequence = 9 })
	warming := registration("a", func(c *verbenastand.RegistrationConfig) { c.Sequence, c.Warmup = 9, time.Minute })
	started := registration("a", func(c *verbenastand.RegistrationConfig) { c.StartTime = 2 })
	cases := []struct {
		name string
		// during is the registration at the end of the evacuation.
		during verbenastand.Registration
		do     func(t *testing.T, h *harness)
		cold   bool
	}{
		{"nothing newer", registration("a", nil), func(*testing.T, *harness) {}, true},
		{"the same registration", registration("a", nil), func(_ *testing.T, h *harness) { h.update(registration("a", nil)) }, true},
		{"a newer registration", registration("a", nil), func(_ *testing.T, h *harness) { h.update(newer) }, false},
		{"a newer registration of a cold server", registration("a", nil), func(_ *testing.T, h *harness) { h.update(warming) }, true},
		{"a registration from before the end", newer, func(*testing.T, *harness) {}, true},
		{"a process that started during the evacuation", started, func(*testing.T, *harness) {}, true},
		{"a health check", registration("a", nil), func(t *testing.T, h *harness) {
			choice := h.choose(t)
			require.Equal(t, 1, h.fakeServers["a"].checks, "the report from before the evacuation is not used")
			require.True(t, choice.LightlyLoaded)
		}, false},
		{"a health check that fails", registration("a", nil), func(t *testing.T, h *harness) {
			h.fakeServers["a"].unhealthy = true
			_, err := h.balancer.Service("s").Choose(t.Context(), Query{Route: testRoute})
			require.Error(t, err)
		}, true},
		{"a response of a server that reports no load", registration("a", nil), func(t *testing.T, h *harness) {
			h.balancer.Service("s").missingReports.Store(maxMissingReports)
			h.choose(t).Begin("r").End(Succeeded, nil)
		}, false},
		{"a response to a request from before", registration("a", nil), func(_ *testing.T, h *harness) {
			h.balancer.Service("s").missingReports.Store(maxMissingReports)
			server := h.balancer.Service("s").Servers()[0]
			attempt := Choice{Server: server}.Begin("r")
			attempt.sentAt = h.clock.Now().Add(-time.Minute)
			attempt.End(Succeeded, nil)
		}, true},
		{"a response of a server that reports its load", registration("a", nil), func(_ *testing.T, h *harness) {
			Choice{Server: h.balancer.Service("s").Servers()[0]}.Begin("r").End(Succeeded, nil)
		}, true},
		{"a health check that began before", registration("a", nil), func(_ *testing.T, h *harness) {
			h.balancer.Service("s").Servers()[0].confirmWarmth(h.clock.Now().Add(-2 * time.Millisecond))
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(registration("a", nil))
			require.False(t, h.balancer.Service("s").Servers()[0].Cold())
			h.evacuate([]verbenastand.Registration{registration("a", nil)}, "here")
			h.clock.Advance(time.Minute)
			h.balancer.Service("s").Servers()[0].setReport(lightLoad(), h.clock.Now())
			h.update(tc.during)
			require.True(t, h.balancer.Service("s").Servers()[0].Cold())
			h.clock.Advance(time.Millisecond)
			tc.do(t, h)
			require.Equal(t, tc.cold, h.balancer.Service("s").Servers()[0].Cold())
		})
	}
}
