package balancer

import (
	"flag"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

func init() { _ = flag.Set("rapid.seed", "20261206") }

// drawWaiter draws a request that arrived some time before now.
func drawWaiter(t *rapid.T, now time.Time) *waiter {
	offset := func(label string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
	}
	inTimeBy := now.Add(offset("inTimeBy", -200, 200))
	return &waiter{
		query: Query{
			Route:    verbenastand.NewRoute(verbenastand.RouteConfig{Name: "r", PriorityLevel: rapid.IntRange(0, 2).Draw(t, "level")}),
			InTimeBy: inTimeBy, StartBy: inTimeBy.Add(offset("late", 0, 1000)),
		},
		arrived: now.Add(-offset("waited", 0, 300)), granted: make(chan grant, 1),
	}
}

// TestQueueOrder: a level goes before the next one; of a level, what can be in time goes before
// what is late, and what has to be sent earlier goes first.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := fake.NewClock().Now()
		q := newQueue()
		for range rapid.IntRange(2, 20).Draw(t, "waiters") {
			q.waiters = append(q.waiters, drawWaiter(t, now))
		}
		ordered := q.ordered(now)
		require.Zero(t, q.first(now).compare(ordered[0], now))
		for i, a := range ordered {
			for _, b := range ordered[i+1:] {
				require.False(t, b.before(a, now))
				levelA, levelB := a.query.Route.PriorityLevel(), b.query.Route.PriorityLevel()
				require.LessOrEqual(t, levelA, levelB)
				if levelA == levelB && a.late(now) == b.late(now) {
					require.False(t, b.startBy(now).Before(a.startBy(now)))
				}
				require.False(t, levelA == levelB && a.late(now) && !b.late(now))
			}
		}
	})
}

// TestNextRequestWaitsForItsTime: whatever was granted to whom before, the request that is to be
// sent next is refused only if its time is over, and a request of which nothing is known is not.
func TestNextRequestWaitsForItsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(registration("a", nil))
		s := h.balancer.Service("s")
		s.queue.checking = true
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.clock.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "advance")) * time.Millisecond)
			now := h.clock.Now()
			w := drawWaiter(t, now)
			first := len(s.queue.waiters) == 0
			err := s.enqueue(w)
			if first {
				require.Equal(t, now.After(w.query.StartBy), err != nil)
			}
			next := s.queue.first(now)
			s.refuseHopeless()
			if next != nil && !now.After(next.query.StartBy) {
				require.True(t, slices.Contains(s.queue.waiters, next))
			}
			if w := s.queue.first(now); w != nil && rapid.Bool().Draw(t, "grant") {
				s.grantLocked(w, Choice{LightlyLoaded: true}, now)
			}
		}
	})
}

// TestWaitsAreLearnedForAllRoutesOfALevel guards against a learned time between grants that
// depends on which route of a level asks.
func TestWaitsAreLearnedForAllRoutesOfALevel(t *testing.T) {
	const interval, ahead = 30 * time.Millisecond, 10
	clock := fake.NewClock()
	b := backlog{lastGrant: clock.Now(), overtakenAt: clock.Now()}
	require.Equal(t, ahead*time.Millisecond, b.expected(ahead, time.Millisecond))
	for range 100 {
		clock.Advance(interval)
		b.recordGrant(clock.Now())
	}
	for _, assumed := range []time.Duration{time.Millisecond, time.Second} {
		require.InDelta(t, ahead*interval, b.expected(ahead, assumed), float64(time.Millisecond))
		require.Less(t, b.least(ahead, assumed), b.expected(ahead, assumed))
	}
	clock.Advance(10 * grantHalfLife)
	b.begin(clock.Now())
	require.InDelta(t, ahead*time.Millisecond, b.expected(ahead, time.Millisecond), float64(time.Millisecond))
}

// TestWaitingEndsWhenNoServerResponds: pattern: the host is cut off from all servers while a request
// waits. It ends at once, so that another host can send the request.
func TestWaitingEndsWhenNoServerResponds(t *testing.T) {
	h := newHarness(registration("a", nil))
	h.fakeServers["a"].report = verbenastand.LoadReport{Running: 6, Waiting: 3, Slots: 6, Slowdown: 1}
	var cut atomic.Bool
	h.balancer.config.Unreached = func(verbenastand.ServiceName) bool { return cut.Load() }
	time.AfterFunc(50*time.Millisecond, func() { cut.Store(true) })
	later := h.clock.Now().Add(time.Minute)
	_, err := h.balancer.Service("s").Admit(t.Context(), Query{Route: testRoute, InTimeBy: later, StartBy: later})
	require.ErrorIs(t, err, ErrNoServer)
	require.True(t, cut.Load())
}

// TestFullQueueRefusesItsLastRequest: pattern: the queue is full of less urgent requests.
func TestFullQueueRefusesItsLastRequest(t *testing.T) {
	h := newHarness(registration("a", nil))
	s := h.balancer.Service("s")
	s.queue.checking = true
	later := h.clock.Now().Add(time.Hour)
	newWaiter := func(level int) *waiter {
		return &waiter{
			query:   Query{Route: verbenastand.NewRoute(verbenastand.RouteConfig{Name: "r", PriorityLevel: level}), InTimeBy: later, StartBy: later},
			arrived: h.clock.Now(), granted: make(chan grant, 1),
		}
	}
	for range maxQueue {
		require.NoError(t, s.enqueue(newWaiter(1)))
		h.clock.Advance(time.Millisecond)
	}
	last := s.queue.ordered(h.clock.Now())[maxQueue-1]
	urgent := newWaiter(0)
	require.NoError(t, s.enqueue(urgent))
	require.ErrorIs(t, (<-last.granted).err, ErrNoCapacity)
	require.Same(t, urgent, s.queue.first(h.clock.Now()))
}
