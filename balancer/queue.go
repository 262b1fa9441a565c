package balancer

import (
	"slices"
	"time"
)

// waiter is a request that waits for a server.
type waiter struct {
	query   Query
	arrived time.Time
	// blocked is set while no server has room for the body of the request. The others do not wait
	// for it.
	blocked bool
	// granted receives the result.
	granted chan grant
}

// grant is the server for a waiting request, or the reason why it gets none.
type grant struct {
	choice Choice
	err    error
}

// late reports whether the response can no longer meet the target latency of the route.
func (w *waiter) late(now time.Time) bool { return now.After(w.query.InTimeBy) }

// startBy is the time by which the request is to be sent: to meet the target latency, or else
// the deadline.
func (w *waiter) startBy(now time.Time) time.Time { return w.startByIn(w.class(now)) }

func (w *waiter) startByIn(c backlogClass) time.Time {
	if c.late {
		return w.query.StartBy
	}
	return w.query.InTimeBy
}

// class returns the class of the request at the given time.
func (w *waiter) class(now time.Time) backlogClass {
	return backlogClass{level: w.query.Route.PriorityLevel(), late: w.late(now)}
}

// queue holds the requests of one service that wait at this host. Free capacity is
// found in the load reports of responses, which are the most recent ones available,
// and by health checks.
type queue struct {
	waiters []*waiter
	// checking is set while a goroutine checks servers for the waiters.
	checking bool
	// backlogs holds what is known of the waits of each class.
	backlogs map[backlogClass]*backlog
	// busySince is when the first of the requests arrived since which some wait.
	busySince time.Time
	// lightlyLoadedAt is when a lightly loaded server was last assigned.
	lightlyLoadedAt time.Time
	// usage is what callers were assigned recently; nil if that does not matter.
	usage usageTable
}

// newQueue returns an empty queue. fair is set if requests are ordered by the usage of their
// callers.
func newQueue(fair bool) queue {
	q := queue{backlogs: make(map[backlogClass]*backlog)}
	if fair {
		q.usage = make(usageTable)
	}
	return q
}

func (q *queue) backlog(c backlogClass) *backlog {
	b := q.backlogs[c]
	if b == nil {
		b = &backlog{lastGrant: q.busySince, overtakenAt: q.busySince}
		q.backlogs[c] = b
	}
	return b
}

// begin records that requests wait again.
func (q *queue) begin(now time.Time) {
	q.busySince = now
	for class, b := range q.backlogs {
		if now.Sub(b.lastGrant) > backlogLifetime {
			delete(q.backlogs, class)
			continue
		}
		b.begin(now)
	}
}

func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// firstOf returns the request that is to be sent next if the given one waits, too. No other request
// of its caller goes before it.
func (q *queue) firstOf(w *waiter, now time.Time) *waiter {
	return q.firstAmong(w, func(*waiter) bool { return true }, now)
}

// firstWhere returns the request that is to be sent next of those that match and can be sent, nil if there
// are none.
func (q *queue) firstWhere(matches func(*waiter) bool, now time.Time) *waiter {
	i := slices.IndexFunc(q.waiters, func(w *waiter) bool { return !w.blocked && matches(w) })
	if i < 0 {
		return nil
	}
	return q.firstAmong(q.waiters[i], matches, now)
}

// firstAmong returns the request that is to be sent next of the given one and those that match and can be
// sent.
func (q *queue) firstAmong(w *waiter, matches func(*waiter) bool, now time.Time) *waiter {
	first := q.entry(w, w.class(now), now)
	for _, other := range q.waiters {
		class := other.class(now)
		if other.blocked || class.compare(first.class) > 0 || !matches(other) {
			continue
		}
		if e := q.entry(other, class, now); e.compare(&first) < 0 {
			first = e
		}
	}
	return first.waiter
}
