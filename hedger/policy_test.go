package hedger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// observeMany records durations drawn from a distribution. Those above cancelAfter are
// cancelled at that age.
func observeMany(h *Hedger, count int, draw func(*rand.Rand) time.Duration, cancelAfter time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		o := Observation{Service: testService, Route: testRoute, Result: Completed, First: true, Took: draw(random), Slowdown: 1}
		if cancelAfter > 0 && o.Took > cancelAfter {
			o.Took, o.Result = cancelAfter, Cancelled
		}
		h.Observe(o)
	}
}

// usual draws durations around 100 ms, rareLong one in a hundred ten times as long.
func usual(r *rand.Rand) time.Duration {
	return time.Duration((0.7 + 0.6*r.Float64()) * float64(100*time.Millisecond))
}

func rareLong(r *rand.Rand) time.Duration {
	if r.Float64() < 0.01 {
		return 10 * usual(r)
	}
	return usual(r)
}

func testAttempt(elapsed time.Duration) Attempt {
	return Attempt{
		Service: testService, Route: testRoute, Expected: 100 * time.Millisecond, Estimate: 100 * time.Millisecond,
		TargetLeft: time.Second, Slowdown: 1, SlowdownNow: 1, Elapsed: elapsed,
	}
}

// Guards against hedges that save nothing, and against slow requests that get none.
func TestAHedgeIsSentWhenTheRemainingTimeIsLong(t *testing.T) {
	cases := []struct {
		name        string
		draw        func(*rand.Rand) time.Duration
		cancelAfter time.Duration
		attempt     Attempt
		worthwhile  bool
	}{
		{"at the start", rareLong, 0, testAttempt(0), false},
		{"at the usual duration", rareLong, 0, testAttempt(90 * time.Millisecond), false},
		{"longer than usual", rareLong, 0, testAttempt(160 * time.Millisecond), true},
		{"longer than usual, while long ones are hedged and cancelled", rareLong, 200 * time.Millisecond, testAttempt(160 * time.Millisecond), true},
		{"nearly over", rareLong, 0, testAttempt(1200 * time.Millisecond), false},
		{"longer than any", rareLong, 0, testAttempt(2 * time.Second), true},
		{"no long ones, at the start", usual, 0, testAttempt(0), false},
		{"no long ones, late", usual, 0, testAttempt(110 * time.Millisecond), false},
		{"at a server that was slowed down", rareLong, 0, func() Attempt {
			a := testAttempt(400 * time.Millisecond)
			a.Slowdown = 5
			return a
		}(), false},
		{"at a server that has become slow", rareLong, 0, func() Attempt {
			a := testAttempt(50 * time.Millisecond)
			a.SlowdownNow = 5
			return a
		}(), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHedger(fake.NewClock(), limitOf(0.1))
			observeMany(h, 3000, tc.draw, tc.cancelAfter)
			require.Equal(t, tc.worthwhile, h.Worthwhile(tc.attempt, 1))
		})
	}
}

// Guards against a delay at which more attempts are hedged than the limit allows, so that the
// budget is used up by attempts that are about to end when a long one needs it.
func TestTheDelayFollowsTheDistributionAndTheLimit(t *testing.T) {
	heavy := func(r *rand.Rand) time.Duration {
		return min(time.Minute, time.Duration(float64(50*time.Millisecond)/(1-r.Float64())))
	}
	delay := func(limit float64, draw func(*rand.Rand) time.Duration) time.Duration {
		h := newTestHedger(fake.NewClock(), limitOf(limit))
		observeMany(h, 3000, draw, 0)
		d, ok := h.Delay(testAttempt(0))
		require.True(t, ok)
		return d
	}
	require.InDelta(t, 135, delay(0.1, rareLong).Milliseconds(), 15)
	require.Greater(t, delay(0.01, heavy), delay(0.3, heavy))
	require.EqualValues(t, 300, delay(0.1, usual).Milliseconds(), "only a stalled attempt")
	require.InDelta(t, 135, delay(0.001, rareLong).Milliseconds(), 15, "the limit allows a hedge of some, at the best age")
}

// Guards against a change of hedging where the limit is not set, and against hedges where it is
// zero.
func TestModes(t *testing.T) {
	urgent, relaxed := testAttempt(0), testAttempt(0)
	urgent.TargetLeft = 200 * time.Millisecond
	cases := []struct {
		name    string
		limit   *float64
		mode    Mode
		attempt Attempt
		delay   time.Duration
		hedged  bool
		denial  Denial
	}{
		{"unset", nil, Default, relaxed, 140 * time.Millisecond, true, Allowed},
		{"unset, too late for the target", nil, Default, urgent, 300 * time.Millisecond, true, Allowed},
		{"zero", limitOf(0), Disabled, relaxed, 0, false, ByMode},
		{"above zero, nothing known", limitOf(0.1), Limited, relaxed, 300 * time.Millisecond, true, OverLimit},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newTestHedger(fake.NewClock(), tc.limit)
			require.Equal(t, tc.mode, h.Mode())
			delay, hedged := h.Delay(tc.attempt)
			require.Equal(t, tc.hedged, hedged)
			require.Equal(t, tc.delay, delay)
			p, denial := h.Begin(tc.attempt)
			require.Equal(t, tc.denial, denial)
			if tc.limit == nil {
				require.Zero(t, p.Lease())
				require.True(t, p.Extend())
			}
		})
	}
	require.Equal(t, 15*time.Millisecond, StallCheckInterval(time.Millisecond))
	require.Equal(t, 40*time.Millisecond, StallCheckInterval(10*time.Millisecond))
}

// Guards against routes of earlier tables that take memory without end, or keep later ones from
// being learned.
func TestLaterRoutesAreLearned(t *testing.T) {
	h := newTestHedger(fake.NewClock(), limitOf(0.1))
	for i := range 3 * maxRoutes {
		o := Observation{Service: testService, Route: verbenastand.RouteName(fmt.Sprint(i)), Result: Completed, Took: time.Second, Slowdown: 1}
		h.Observe(o)
		require.LessOrEqual(t, len(h.services[testService].routes), maxRoutes)
	}
	observeMany(h, 1000, rareLong, 0)
	require.True(t, h.Worthwhile(testAttempt(160*time.Millisecond), 1))
}

// Guards against a plan that takes so long that attempts wait for it: BenchmarkPlan with an
// observation in each bucket.
func BenchmarkPlan(b *testing.B) {
	h := newTestHedger(fake.NewClock(), limitOf(0.0001))
	d := newDistribution()
	for i := range buckets {
		d.observe(time.Duration(middle(i)), i%7 == 0)
	}
	for b.Loop() {
		d.observed = maxSamples
		h.planLocked(d)
	}
}

func BenchmarkObserve(b *testing.B) {
	h := newTestHedger(fake.NewClock(), limitOf(0.1))
	o := Observation{Service: testService, Route: testRoute, Result: Completed, First: true, Took: 100 * time.Millisecond, Slowdown: 1}
	for b.Loop() {
		h.Observe(o)
	}
}
