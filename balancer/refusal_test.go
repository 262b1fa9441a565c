package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// TestServersThatRefuseWithFreeSlotsComeLast guards against a server that refuses requests at random, reports
// free slots, and gets as many requests as the others 60 ms later. It is still used if the others are busy.
func TestServersThatRefuseWithFreeSlotsComeLast(t *testing.T) {
	cases := []struct {
		name   string
		report *verbenastand.LoadReport
		last   bool
	}{
		{"free slots", &verbenastand.LoadReport{Running: 1, Slots: 6, Slowdown: 1}, true},
		{"free slots, those of the registration", &verbenastand.LoadReport{Running: 5, Slowdown: 1}, true},
		{"full", &verbenastand.LoadReport{Running: 6, Slots: 6, Slowdown: 1}, false},
		{"a queue", &verbenastand.LoadReport{Running: 5, Waiting: 1, Slots: 6, Slowdown: 1}, false},
		{"no report", nil, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(registration("a", nil), registration("b", nil))
			s := h.balancer.Service("s")
			for _, server := range s.Servers() {
				if server.Registration().Server() == "a" {
					Choice{Server: server}.Begin("r").End(Refused, tc.report)
				}
			}
			first := func() (n int) {
				for range 40 {
					candidates, _ := s.candidates(Query{Route: testRoute})
					require.Len(t, candidates, 2)
					if candidates[0].server.Registration().Server() == "a" {
						n++
					}
				}
				return n
			}
			h.clock.Advance(2 * refusalEjection)
			require.Equal(t, tc.last, first() == 0)
			h.fakeServers["b"].report = verbenastand.LoadReport{Running: 6, Waiting: 3, Slots: 6, Slowdown: 1}
			choice := h.choose(t)
			require.Equal(t, verbenastand.ServerID("a"), choice.Server.Registration().Server())
			h.clock.Advance(refusalMemory)
			require.NotZero(t, first())
		})
	}
}

// TestWaitingRequestsReachRefusingServers guards against requests that wait for a server that has not refused any
// while one that did has free slots.
func TestWaitingRequestsReachRefusingServers(t *testing.T) {
	h := newHarness(registration("a", nil), registration("b", nil))
	s := h.balancer.Service("s")
	h.fakeServers["b"].report = verbenastand.LoadReport{Running: 6, Waiting: 3, Slots: 6, Slowdown: 1}
	for _, server := range s.Servers() {
		if server.Registration().Server() == "a" {
			report := lightLoad()
			Choice{Server: server}.Begin("r").End(Refused, &report)
		}
	}
	h.clock.Advance(2 * refusalEjection)
	for _, server := range s.Servers() {
		if server.Registration().Server() == "b" {
			server.setReport(h.fakeServers["b"].report, h.clock.Now())
		}
	}
	candidates, _ := s.candidates(Query{Route: testRoute})
	require.Equal(t, verbenastand.ServerID("b"), candidates[0].server.Registration().Server())
	require.Equal(t, verbenastand.ServerID("a"), stalestCandidate(candidates, candidates[0].crossZone).Registration().Server())
}
