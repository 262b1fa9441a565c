package balancer

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against hedges that are decided on by how fast a server was when the request was sent, and
// against health checks of servers that must get nothing or do not report their load.
func TestRefresh(t *testing.T) {
	cases := []struct {
		name     string
		change   func(h *harness)
		checks   int
		ok       bool
		slowdown float64
	}{
		{"no report yet", func(*harness) {}, 1, true, 5},
		{"a recent report", func(h *harness) { h.server("a").setReport(lightLoad(), h.clock.Now()) }, 0, true, 1},
		{"an older report", func(h *harness) {
			h.server("a").setReport(lightLoad(), h.clock.Now())
			h.clock.Advance(30 * time.Millisecond)
		}, 1, true, 5},
		{"not responding", func(h *harness) { h.fakeServers["a"].err = errors.New("refused") }, 1, false, 1},
		{"unhealthy", func(h *harness) { h.fakeServers["a"].unhealthy = true }, 1, false, 1},
		{"evacuated", func(h *harness) { h.server("a").evacuation.inForce = true }, 0, true, 1},
		{"servers without reports", func(h *harness) {
			h.balancer.Service("s").missingReports.Store(maxMissingReports)
		}, 0, true, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(registration("a", nil))
			h.fakeServers["a"].report.Slowdown = 5
			tc.change(h)
			require.Equal(t, tc.ok, h.balancer.Service("s").Refresh(t.Context(), h.server("a"), 20*time.Millisecond))
			require.Equal(t, tc.checks, h.checks())
			require.InDelta(t, tc.slowdown, h.server("a").Slowdown(time.Second), 0.01)
		})
	}
}

// Guards against a search for a hedge's server that ends at one with too few free slots, while others are
// idle.
func TestChooseHonorsTheShareOfSlotsInUse(t *testing.T) {
	for _, tc := range []struct {
		name    string
		share   float64
		running int
		light   bool
	}{
		{"no share", 0, 1, true},
		{"half, idle", 0.5, 0, true},
		{"half, one of three slots in use", 0.5, 1, false},
		{"less than one slot, idle", 0.1, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(registration("a", nil), registration("b", nil))
			for _, f := range h.fakeServers {
				f.report = verbenastand.LoadReport{Running: tc.running, Slots: 3, Slowdown: 1}
			}
			c, err := h.balancer.Service("s").Choose(t.Context(), Query{Route: testRoute, LightShare: tc.share})
			require.NoError(t, err)
			require.Equal(t, tc.light, c.LightlyLoaded)
			require.Equal(t, tc.light, h.checks() == 1, "the other server is checked only if the first one has too few free slots")
		})
	}
}
