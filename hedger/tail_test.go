package hedger

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/fake"
)

// tenants draws durations of 140 to 260 ms, a third of which other tenants of the machine
// lengthen by a time that is exponentially distributed.
func tenants(r *rand.Rand) time.Duration {
	d := 140 + 120*r.Float64()
	if r.Float64() < 0.33 {
		d += 170 * r.ExpFloat64()
	}
	return time.Duration(d * float64(time.Millisecond))
}

func tenantsAttempt(elapsed time.Duration, slowdownNow float64) Attempt {
	a := testAttempt(elapsed)
	a.Expected, a.Estimate, a.SlowdownNow = 200*time.Millisecond, 200*time.Millisecond, slowdownNow
	return a
}

// Guards against a limit that is not used: a hedge of an attempt that other tenants lengthen seldom responds
// first, so that it is not worthwhile by the mean of the remaining time, but it shortens the
// longest durations.
func TestLongAttemptsAreHedgedThoughMostAreAboutToEnd(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name       string
		attempt    Attempt
		second     float64
		worthwhile bool
	}{
		{"at the usual duration", tenantsAttempt(190*ms, 1), 1, false},
		{"long, at a slow server", tenantsAttempt(380*ms, 5), 1, true},
		{"long, at a server that is slow no longer", tenantsAttempt(380*ms, 1), 1, false},
		{"long, and the other server is slow", tenantsAttempt(380*ms, 5), 5, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHedger(fake.NewClock(), limitOf(0.3))
			observeMany(h, 3000, tenants, 0)
			require.Equal(t, tc.worthwhile, h.Worthwhile(tc.attempt, tc.second))
		})
	}
}

// Guards against an age at which more hedges are worthwhile than the limit or the retry budget allow, and
// against hosts that hedge nothing because the limit does not allow all hedges of any age.
func TestTheAgeFollowsTheShareOfWantedHedges(t *testing.T) {
	delay := func(limit float64, wanted bool) time.Duration {
		h := newTestHedger(fake.NewClock(), limitOf(limit))
		random := rand.New(rand.NewPCG(1, 2))
		for range 3000 {
			took := tenants(random)
			h.Observe(Observation{Service: testService, Route: testRoute, Result: Completed, First: true, Took: took, Slowdown: 1})
			after, ok := h.Delay(tenantsAttempt(0, 1))
			require.True(t, ok)
			if wanted && took >= after {
				h.CountWorthwhile(tenantsAttempt(took, 5))
			}
		}
		after, _ := h.Delay(tenantsAttempt(0, 1))
		return after
	}
	require.Greater(t, delay(0.3, true), delay(0.3, false), "the retry budget")
	require.Greater(t, delay(0.02, false), delay(0.3, false), "the limit")
	require.Less(t, delay(0.001, true), 600*time.Millisecond, "some are hedged, not only stalled ones")
}

// Guards against wrong probabilities at the edges of buckets, and against a quantile that a hedge
// lengthens.
func TestSurvival(t *testing.T) {
	d := newDistribution()
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		d.observe(tenants(random), false)
	}
	s := newSurvival(d.remaining(0))
	require.InDelta(t, 1, s.beyond(0), 0.001)
	require.InDelta(t, 0, s.beyond(float64(time.Hour)), 0.001)
	last := 1.0
	for at := time.Duration(0); at < 2*time.Second; at += time.Millisecond {
		p := s.beyond(float64(at))
		require.LessOrEqual(t, p, last+1e-9)
		last = p
	}
	alone := s.hedgedQuantile(0.99, float64(time.Hour))
	require.InDelta(t, 820, alone/1e6, 80)
	previous := 0.0
	for age := 100 * time.Millisecond; age < time.Second; age += 50 * time.Millisecond {
		quantile := s.hedgedQuantile(0.99, float64(age))
		require.GreaterOrEqual(t, quantile, previous)
		require.LessOrEqual(t, quantile, alone+1)
		previous = quantile
	}
}
