package balancer

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastand/verbenastand/internal/fake"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// TestLessUrgentRequestsYield: pattern: urgent requests are refused more often than
// less urgent ones of the same service.
func TestLessUrgentRequestsYield(t *testing.T) {
	cases := []struct {
		name string
		// urgent and bulk are the shares of ten requests each that were admitted.
		urgent, bulk int
		requests     int
		after        time.Duration
		yield        bool
	}{
		{"no requests", 10, 10, 0, 0, false},
		{"all are admitted", 10, 10, 100, 0, false},
		{"urgent ones are refused", 7, 10, 100, 0, true},
		{"both are refused", 7, 7, 100, 0, false},
		{"less urgent ones are refused", 10, 7, 100, 0, false},
		{"a few are refused", 5, 10, 3, 0, true},
		{"one was refused", 9, 10, 1, 0, false},
		{"urgent ones were refused long ago", 7, 10, 100, time.Minute, false},
		{"urgent ones are refused for other reasons", 0, 4, 100, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := fake.NewClock()
			a := admissions{levels: make(map[int]*admissionCount)}
			for range tc.requests {
				for i := range 10 {
					a.record(0, i < tc.urgent, clock.Now())
					a.record(1, i < tc.bulk, clock.Now())
				}
			}
			clock.Advance(tc.after)
			require.Equal(t, tc.yield, a.mustYield(1, clock.Now()))
			require.False(t, a.mustYield(0, clock.Now()), "the most urgent level never yields")
		})
	}
}

// TestAnUnservableLevelDoesNotStarveOthers: urgent requests that are never admitted,
// whatever capacity is left to them, take at most half of the less urgent ones along.
func TestAnUnservableLevelDoesNotStarveOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		a := admissions{levels: make(map[int]*admissionCount)}
		share := rapid.IntRange(1, 10).Draw(t, "urgentPerBulk")
		served := 0
		const requests = 2000
		for range requests {
			clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "gap")) * time.Millisecond)
			for range share {
				a.record(0, false, clock.Now())
			}
			admitted := !a.mustYield(1, clock.Now())
			a.record(1, admitted, clock.Now())
			if admitted {
				served++
			}
		}
		if float64(served) < 0.9*minYieldShare*requests {
			t.Fatalf("%d of %d less urgent requests were admitted", served, requests)
		}
	})
}
