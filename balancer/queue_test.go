package balancer

import (
	"flag"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// first returns the request that is to be sent next, nil if none waits that can be sent.
func (q *queue) first(now time.Time) *waiter {
	return q.firstWhere(func(*waiter) bool { return true }, now)
}

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
			Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
			InTimeBy: inTimeBy, StartBy: inTimeBy.Add(offset("late", 0, 1000)),
		},
		arrived: now.Add(-offset("waited", 0, 300)), granted: make(chan grant, 1),
	}
}

// workOfOne is the server time of a request in the tests of the order.
const workOfOne = 100 * time.Millisecond

func workOf(*waiter) time.Duration { return workOfOne }

// TestQueueOrder: a level goes before the next one; of a level, what can be in time goes before
// what is late. Of these, each request goes whose caller was assigned least, counting its own requests
// that go before; and what has to be sent earlier goes first if callers were assigned as much. One
// caller's requests keep the order of their times.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := fake.NewClock().Now()
		q := newQueue(true)
		for range rapid.IntRange(0, 5).Draw(t, "assigned") {
			q.usage.record(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), workOfOne, now)
		}
		for range rapid.IntRange(2, 20).Draw(t, "waiters") {
			q.waiters = append(q.waiters, drawWaiter(t, now))
		}
		entries := q.line(workOf, now).entries
		require.Len(t, entries, len(q.waiters))
		first := q.first(now)
		next := q.entry(first, first.class(now), now)
		require.Zero(t, next.compare(&entries[0]))
		assigned := make(map[string]time.Duration)
		for i, e := range entries {
			a, caller := e.waiter, e.waiter.query.Caller
			before := q.usage.of(caller, now) + assigned[caller]
			for _, other := range entries[i+1:] {
				b := other.waiter
				levelA, levelB := a.query.Route.PriorityLevel(), b.query.Route.PriorityLevel()
				require.LessOrEqual(t, levelA, levelB)
				require.False(t, levelA == levelB && a.late(now) && !b.late(now))
				if levelA != levelB || a.late(now) != b.late(now) {
					continue
				}
				usage := q.usage.of(b.query.Caller, now) + assigned[b.query.Caller]
				require.LessOrEqual(t, before, usage, "callers were assigned")
				if before == usage && b.query.Caller == caller {
					require.False(t, b.startBy(now).Before(a.startBy(now)))
				}
			}
			assigned[caller] += workOfOne
		}
	})
}

// TestQueueOrderOfOneCaller guards against an order among one caller's requests that depends on
// anything but class and time.
func TestQueueOrderOfOneCaller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := fake.NewClock().Now()
		q := newQueue(true)
		for range rapid.IntRange(2, 20).Draw(t, "waiters") {
			w := drawWaiter(t, now)
			w.query.Caller = "a"
			q.waiters = append(q.waiters, w)
		}
		entries := q.line(workOf, now).entries
		for i, a := range entries {
			for _, b := range entries[i+1:] {
				require.LessOrEqual(t, a.compareTime(&b), 0)
			}
		}
	})
}

// TestPlacesOfNewRequests guards against a request that is admitted or refused by another place than
// the one that it then has.
func TestPlacesOfNewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := fake.NewClock().Now()
		q := newQueue(true)
		q.usage.record("a", 2*workOfOne, now)
		for range rapid.IntRange(0, 20).Draw(t, "waiters") {
			q.waiters = append(q.waiters, drawWaiter(t, now))
		}
		w := drawWaiter(t, now)
		total, _ := q.line(workOf, now).ahead(w, w.class(now))
		next := q.firstOf(w, now) == w
		q.waiters = append(q.waiters, w)
		l := q.line(workOf, now)
		place := slices.IndexFunc(l.entries, func(e lineEntry) bool { return e.waiter == w })
		require.GreaterOrEqual(t, place, total)
		for _, e := range l.entries[total:place] {
			require.Zero(t, e.compare(&l.entries[place]))
		}
		require.Equal(t, next, total == 0)
	})
}

// TestUsageDecays guards against callers that are ranked after others for long, and against a table
// that grows with the number of callers.
func TestUsageDecays(t *testing.T) {
	clock := fake.NewClock()
	usage := make(usageTable)
	usage.record("a", time.Second, clock.Now())
	clock.Advance(usageHalfLife)
	require.InDelta(t, 500*time.Millisecond, usage.of("a", clock.Now()), float64(time.Millisecond))
	require.Zero(t, usage.of("unknown", clock.Now()))
	for i := range 10 * maxCallers {
		usage.record(strconv.Itoa(i), time.Millisecond, clock.Now())
		require.LessOrEqual(t, len(usage), maxCallers)
	}
	require.NotZero(t, usage.of("a", clock.Now()), "those with the most usage are kept")
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

// TestCallersShareCapacity: pattern: one caller has many requests that wait, with less time left than those
// of another one. Free capacity goes to both in turn, and to a caller that comes later first.
func TestCallersShareCapacity(t *testing.T) {
	h := newHarness(registration("a", nil))
	s := h.balancer.Service("s")
	s.queue.checking = true
	add := func(caller string, after time.Duration) {
		by := h.clock.Now().Add(after)
		w := &waiter{query: Query{Route: testRoute, Caller: caller, InTimeBy: by, StartBy: by}, arrived: h.clock.Now(), granted: make(chan grant, 1)}
		require.NoError(t, s.enqueue(w))
	}
	for range 6 {
		add("many", time.Hour)
	}
	for range 3 {
		add("few", 2*time.Hour)
	}
	require.Equal(t, 2, h.balancer.WaitingCallers())
	var order []string
	for range 9 {
		if len(order) == 6 {
			add("late", 3*time.Hour)
		}
		w := s.queue.first(h.clock.Now())
		s.grantLocked(w, Choice{}, h.clock.Now())
		order = append(order, w.query.Caller)
	}
	require.Equal(t, 5*s.Expected(testRoute), s.CallerUsage("many"))
	require.Zero(t, s.CallerUsage("unknown"))
	require.Equal(t, 1, h.balancer.WaitingCallers())
	require.Equal(t, []string{"many", "few", "many", "few", "many", "few", "late", "many", "many"}, order)
}

// Guards against a deployment that did not ask for fair queueing and gets another order than that
// by the time by which requests have to be sent.
func TestWithoutFairQueueingTimeDecides(t *testing.T) {
	now := time.Now()
	q := newQueue(false)
	usage := func(*waiter) time.Duration { return time.Second }
	for i, caller := range []string{"a", "a", "b", "a"} {
		by := now.Add(time.Duration(i+1) * time.Minute)
		q.waiters = append(q.waiters, &waiter{query: Query{Route: testRoute, Caller: caller, InTimeBy: by, StartBy: by}, arrived: now})
		q.usage.record(caller, time.Second, now)
	}
	for i, e := range q.line(usage, now).entries {
		require.Same(t, q.waiters[i], e.waiter)
	}
	require.Same(t, q.waiters[0], q.first(now))
	total, _ := q.line(usage, now).ahead(q.waiters[2], q.waiters[2].class(now))
	require.Equal(t, 2, total)
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
	last := s.queue.line(workOf, h.clock.Now()).entries[maxQueue-1].waiter
	urgent := newWaiter(0)
	require.NoError(t, s.enqueue(urgent))
	require.ErrorIs(t, (<-last.granted).err, ErrNoCapacity)
	require.Same(t, urgent, s.queue.first(h.clock.Now()))
}
