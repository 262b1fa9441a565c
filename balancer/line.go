package balancer

import (
	"cmp"
	"slices"
	"time"
)

// line is the order in which waiting requests are to be sent: by class, then by the time by which
// they have to be sent. With fair queueing, within a class the caller that was assigned the least server time recently goes first; each of its requests that goes before another
// one of its own counts as if it had been assigned, too. So a caller's share does not grow with the
// number of its requests.
type line struct {
	now     time.Time
	queue   *queue
	work    func(*waiter) time.Duration
	entries []lineEntry
}

// lineEntry is the place of a waiting request.
type lineEntry struct {
	waiter *waiter
	class  backlogClass
	// startBy is the time by which the request is to be sent.
	startBy time.Time
	// usage is what the caller was assigned, and the work of its requests that go before.
	usage time.Duration
}

// compareTime orders requests by class, then by the time by which they have to be sent. This is
// the order among the requests of one caller.
func (e *lineEntry) compareTime(other *lineEntry) int {
	if c := e.class.compare(other.class); c != 0 {
		return c
	}
	if c := e.startBy.Compare(other.startBy); c != 0 {
		return c
	}
	return e.waiter.arrived.Compare(other.waiter.arrived)
}

// compare orders requests by class, then by the usage of their callers, then by the time by which
// they have to be sent.
func (e *lineEntry) compare(other *lineEntry) int {
	if c := e.class.compare(other.class); c != 0 {
		return c
	}
	if c := cmp.Compare(e.usage, other.usage); c != 0 {
		return c
	}
	return e.compareTime(other)
}

// entry returns an entry of a request if it is of the given class and no other request of its
// caller goes before it.
func (q *queue) entry(w *waiter, class backlogClass, now time.Time) lineEntry {
	return lineEntry{waiter: w, class: class, startBy: w.startByIn(class), usage: q.usage.of(w.query.Caller, now)}
}

// line returns the order of the requests that wait and can be sent, given the server time that each takes.
func (q *queue) line(work func(*waiter) time.Duration, now time.Time) *line {
	l := &line{now: now, queue: q, work: work, entries: make([]lineEntry, 0, len(q.waiters))}
	order := make([]*lineEntry, 0, len(q.waiters))
	for _, w := range q.waiters {
		if w.blocked {
			continue
		}
		e := q.entry(w, w.class(now), now)
		order = append(order, &e)
	}
	slices.SortFunc(order, (*lineEntry).compareTime)
	if q.usage != nil {
		addWorkAhead(order, work)
		slices.SortFunc(order, (*lineEntry).compare)
	}
	for _, e := range order {
		l.entries = append(l.entries, *e)
	}
	return l
}

// addWorkAhead adds to the usage of each request the work of its caller's requests before it.
func addWorkAhead(order []*lineEntry, work func(*waiter) time.Duration) {
	ahead := make(map[string]time.Duration)
	for _, e := range order {
		caller := e.waiter.query.Caller
		e.usage += ahead[caller]
		ahead[caller] += work(e.waiter)
	}
}

// place returns the place that a request of the given class has, whether or not it waits.
func (l *line) place(w *waiter, class backlogClass) lineEntry {
	place := l.queue.entry(w, class, l.now)
	if l.queue.usage == nil {
		return place
	}
	for i := range l.entries {
		e := &l.entries[i]
		if e.waiter != w && e.waiter.query.Caller == w.query.Caller && e.compareTime(&place) < 0 {
			place.usage += l.work(e.waiter)
		}
	}
	return place
}

// ahead returns the number of requests that go before a request if it is of the given class, and how
// many of these are of the class.
func (l *line) ahead(w *waiter, class backlogClass) (total, ofClass int) {
	place := l.place(w, class)
	for i := range l.entries {
		e := &l.entries[i]
		if e.waiter == w || !w.competes(e.waiter) || e.compare(&place) >= 0 {
			continue
		}
		total++
		if e.class == class {
			ofClass++
		}
	}
	return total, ofClass
}

// remove removes a request that no longer waits.
func (l *line) remove(w *waiter) {
	l.entries = slices.DeleteFunc(l.entries, func(e lineEntry) bool { return e.waiter == w })
}
