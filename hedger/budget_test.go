package hedger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

const (
	testService = verbenastand.ServiceName("svc")
	testRoute   = verbenastand.RouteName("r")
	testWindow  = 1500 * time.Millisecond
	testStep    = 10 * time.Millisecond
)

func limitOf(f float64) *float64 { return &f }

func newTestHedger(clock *fake.Clock, limit *float64) *Hedger {
	return NewHedger(Config{Clock: clock, Limit: limit, Window: testWindow})
}

// span is the time that an attempt occupied its server.
type span struct{ from, to time.Time }

func (s span) within(from, to time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if s.to.Before(to) {
		to = s.to
	}
	return max(0, to.Sub(from))
}

// simulatedPair is a hedged request of the simulation.
type simulatedPair struct {
	pair                  *Pair
	first, second, expiry time.Time
}

// simulatedHost hedges requests at random and keeps what its servers would measure.
type simulatedHost struct {
	hedger *Hedger
	pairs  []*simulatedPair
	// completed holds the ends and durations of first attempts, extra the losing attempts.
	completed []span
	extra     []span
	// decidedAt is when server time was last reserved.
	decidedAt time.Time
}

// advance completes first attempts, and begins, extends and ends hedged requests.
func (h *simulatedHost) advance(t *rapid.T, now time.Time) {
	for range rapid.IntRange(0, 4).Draw(t, "first attempts") {
		took := time.Duration(rapid.IntRange(1, 40).Draw(t, "took")) * testStep
		h.hedger.Observe(Observation{Service: testService, Route: testRoute, Result: Completed, First: true, Took: took, Slowdown: 1})
		h.completed = append(h.completed, span{now.Add(-took), now})
	}
	running := h.pairs[:0]
	for _, p := range h.pairs {
		if h.advancePair(t, p, now) {
			running = append(running, p)
		}
	}
	h.pairs = running
	if rapid.IntRange(0, 3).Draw(t, "hedge") > 0 {
		return
	}
	elapsed := time.Duration(rapid.IntRange(0, 60).Draw(t, "elapsed")) * testStep
	p, denial := h.hedger.Begin(Attempt{Service: testService, Route: testRoute, Expected: 20 * testStep, Elapsed: elapsed})
	if denial == Allowed {
		h.decidedAt = now
		h.pairs = append(h.pairs, &simulatedPair{p, now.Add(-elapsed), now, now.Add(p.Lease())})
	}
}

// advancePair reports whether the hedged request still runs.
func (h *simulatedHost) advancePair(t *rapid.T, p *simulatedPair, now time.Time) bool {
	expired := !now.Before(p.expiry)
	if expired && p.pair.Extend() {
		h.decidedAt, expired = now, false
		p.expiry = p.expiry.Add(p.pair.Lease())
	}
	firstTook, secondTook := now.Sub(p.first), now.Sub(p.second)
	end := rapid.IntRange(0, 20).Draw(t, "end")
	switch {
	case expired || end == 1:
		// The hedge is cancelled because of the limit, or the first attempt wins.
		p.pair.Won(First)
		p.pair.Ended(Second, secondTook)
		h.extra = append(h.extra, span{p.second, now})
	case end == 0:
		p.pair.Won(Second)
		p.pair.Ended(First, firstTook)
		h.extra = append(h.extra, span{p.first, now})
	case end == 2:
		p.pair.Ended(First, firstTook)
		p.pair.Ended(Second, secondTook)
		p.pair.Close()
		h.extra = append(h.extra, span{p.first, now})
	default:
		return true
	}
	return false
}

// extraWithin returns the extra server time in a window: that of attempts that lost, and of
// those running hedges that would lose if they ended now.
func (h *simulatedHost) extraWithin(from, to time.Time) (sum time.Duration) {
	for _, s := range h.extra {
		sum += s.within(from, to)
	}
	for _, p := range h.pairs {
		sum += span{p.first, to}.within(from, to)
	}
	return sum
}

func (h *simulatedHost) firstUntil(at time.Time) (sum time.Duration) {
	for _, s := range h.completed {
		if !s.to.After(at) && s.to.After(at.Add(-testWindow)) {
			sum += s.to.Sub(s.from)
		}
	}
	return sum
}

// Guards against extra server time above the limit, in any window and whichever attempt loses:
// it is at most the limit times the server time of first attempts in the window that ended
// when server time was last reserved. Each host keeps to that alone, so all hosts together do.
func TestExtraServerTimeStaysWithinTheLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fake.NewClock()
		limit := rapid.Float64Range(0.01, 0.5).Draw(t, "limit")
		hosts := make([]*simulatedHost, rapid.IntRange(1, 3).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = &simulatedHost{hedger: newTestHedger(clock, &limit)}
		}
		for range 350 {
			clock.Advance(testStep)
			now := clock.Now()
			var extra, allowed time.Duration
			for _, h := range hosts {
				h.advance(t, now)
				extra += h.extraWithin(now.Add(-testWindow), now)
				allowed += time.Duration(limit * float64(h.firstUntil(h.decidedAt)))
			}
			if extra > allowed {
				t.Fatalf("%v of extra server time in the window, %v allowed", extra, allowed)
			}
		}
	})
}

// Guards against reservations that are lost, which would deny hedges forever, or that are
// released twice.
func TestReservationsAreSettledOnce(t *testing.T) {
	cases := []struct {
		name  string
		end   func(*Pair)
		extra time.Duration
	}{
		{"the hedge wins", func(p *Pair) { p.Won(Second); p.Ended(First, 300*time.Millisecond); p.Close() }, 300 * time.Millisecond},
		{"the first attempt wins", func(p *Pair) { p.Won(First); p.Ended(Second, 50*time.Millisecond); p.Close() }, 50 * time.Millisecond},
		{"the loser ended before", func(p *Pair) { p.Ended(Second, 20*time.Millisecond); p.Won(First); p.Close() }, 20 * time.Millisecond},
		{"both fail", func(p *Pair) { p.Ended(First, 300*time.Millisecond); p.Ended(Second, 50*time.Millisecond); p.Close() }, 300 * time.Millisecond},
		{"the request ends before its attempts", func(p *Pair) { p.Close(); p.Ended(Second, 50*time.Millisecond); p.Ended(First, 300*time.Millisecond) }, 300 * time.Millisecond},
		{"not sent", func(p *Pair) { p.Abandon(); p.Abandon(); p.Close() }, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := fake.NewClock()
			h := newTestHedger(clock, limitOf(0.1))
			for range 100 {
				h.Observe(Observation{Service: testService, Route: testRoute, Result: Completed, First: true, Took: 100 * time.Millisecond})
			}
			p, denial := h.Begin(Attempt{Service: testService, Route: testRoute, Expected: 100 * time.Millisecond, Elapsed: 250 * time.Millisecond})
			require.Equal(t, Allowed, denial)
			tc.end(p)
			b := h.services[testService].budget
			require.Zero(t, b.reserved)
			require.Zero(t, b.running)
			require.Equal(t, tc.extra, b.extraSum())
			clock.Advance(2 * testWindow)
			b.advance()
			require.Zero(t, b.extraSum())
		})
	}
}

// Guards against a budget of a whole window that is used up in one moment, for example when all
// servers become slow at once.
func TestFewHedgesRunAtOnce(t *testing.T) {
	clock := fake.NewClock()
	h := newTestHedger(clock, limitOf(0.1))
	// 30 s of server time in 1.5 s: 20 first attempts run on average, of which a fifth, four, may be
	// hedged at once, beside one.
	for range 300 {
		h.Observe(Observation{Service: testService, Route: testRoute, Result: Completed, First: true, Took: 100 * time.Millisecond})
	}
	a := Attempt{Service: testService, Route: testRoute, Expected: 100 * time.Millisecond, Elapsed: 200 * time.Millisecond}
	var pairs []*Pair
	for range 5 {
		p, denial := h.Begin(a)
		require.Equal(t, Allowed, denial)
		pairs = append(pairs, p)
	}
	_, denial := h.Begin(a)
	require.Equal(t, TooManyRunning, denial)
	pairs[0].Won(First)
	pairs[0].Ended(Second, 0)
	_, denial = h.Begin(a)
	require.Equal(t, Allowed, denial)
}

// Guards against a host that hedges right after its start, when it has seen no requests, and
// against attempts that failed or repeat a request counting as work that callers asked for.
func TestTheBudgetStartsEmpty(t *testing.T) {
	h := newTestHedger(fake.NewClock(), limitOf(1))
	a := Attempt{Service: testService, Route: testRoute, Expected: 100 * time.Millisecond}
	for _, o := range []Observation{
		{Result: Ended, First: true}, {Result: Cancelled, First: true}, {Result: Completed},
	} {
		o.Service, o.Route, o.Took = testService, testRoute, time.Minute
		h.Observe(o)
		_, denial := h.Begin(a)
		require.Equal(t, OverLimit, denial)
	}
	h.Observe(Observation{Service: testService, Route: testRoute, Result: Completed, First: true, Took: time.Minute})
	_, denial := h.Begin(a)
	require.Equal(t, Allowed, denial)
}
