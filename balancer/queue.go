package balancer

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a server.
type waiter struct {
	query   Query
	arrived time.Time
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

// compare orders waiting requests: by priority level, then those that can still meet their
// target latency before those that can only meet their deadline, then by the time by which they
// have to be sent.
func (w *waiter) compare(other *waiter, now time.Time) int {
	return cmp.Or(
		w.class(now).compare(other.class(now)),
		w.startBy(now).Compare(other.startBy(now)),
		w.arrived.Compare(other.arrived),
	)
}

func (w *waiter) before(other *waiter, now time.Time) bool { return w.compare(other, now) < 0 }

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
}

func newQueue() queue { return queue{backlogs: make(map[backlogClass]*backlog)} }

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

// aheadOf returns the number of requests that go before a request.
func (q *queue) aheadOf(w *waiter, now time.Time) (n int) {
	for _, other := range q.waiters {
		if other != w && other.before(w, now) {
			n++
		}
	}
	return n
}

// ahead returns the number of requests of the given class that go before a request, if that is
// of the class, too.
func (q *queue) ahead(w *waiter, class backlogClass, now time.Time) (n int) {
	for _, other := range q.waiters {
		if other == w || other.class(now) != class {
			continue
		}
		if cmp.Or(other.startBy(now).Compare(w.startByIn(class)), other.arrived.Compare(w.arrived)) < 0 {
			n++
		}
	}
	return n
}

func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// first returns the request that is to be sent next, nil if none waits.
func (q *queue) first(now time.Time) (first *waiter) {
	for _, w := range q.waiters {
		if first == nil || w.before(first, now) {
			first = w
		}
	}
	return first
}

// ordered returns the requests in the order in which they are to be sent.
func (q *queue) ordered(now time.Time) []*waiter {
	return slices.SortedFunc(slices.Values(q.waiters), func(a, b *waiter) int { return a.compare(b, now) })
}
