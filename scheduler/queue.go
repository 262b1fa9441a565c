package scheduler

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Waiter is a request that waits for a slot. It may be reused after it was
// granted or refused.
type Waiter struct {
	// Priority, Size, Expected and Deadline describe the request.
	Priority verbenastand.Priority
	Size     verbenastand.Size
	Expected time.Duration
	Deadline time.Time
	// Tried are the grants of earlier attempts. Their servers are avoided.
	Tried []Grant
	// Notify is called once, with the scheduler's lock held, when a waiting
	// request is granted or refused. It must not block.
	Notify func()

	grant    Grant
	refusal  *verbenastand.RequestError
	waiting  bool
	sequence uint64
	next     *Waiter
	prev     *Waiter
}

// Grant returns the grant of a notified waiter, or the error it was refused with.
func (w *Waiter) Grant() (Grant, error) {
	if w.refusal != nil {
		return Grant{}, w.refusal
	}
	return w.grant, nil
}

// waiterList is a first-in first-out list of waiters.
type waiterList struct {
	head   *Waiter
	tail   *Waiter
	length int
	// work is the sum of the expected durations of all waiters.
	work time.Duration
}

func (l *waiterList) push(w *Waiter) {
	w.prev = l.tail
	w.next = nil
	if l.tail != nil {
		l.tail.next = w
	} else {
		l.head = w
	}
	l.tail = w
	l.length++
	l.work += w.Expected
	w.waiting = true
}

func (l *waiterList) remove(w *Waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.tail = w.prev
	}
	w.next, w.prev = nil, nil
	l.length--
	l.work -= w.Expected
	w.waiting = false
}

// queue holds the waiters of a service by priority and size.
type queue struct {
	lists [verbenastand.PriorityCount][verbenastand.SizeCount]waiterList
}

func (q *queue) list(w *Waiter) *waiterList { return &q.lists[w.Priority][w.Size] }

// length returns the number of waiters of all priorities and sizes.
func (q *queue) length() int {
	total := 0
	for p := range q.lists {
		for s := range q.lists[p] {
			total += q.lists[p][s].length
		}
	}
	return total
}

// workAhead returns the sum of the expected durations of the queued requests that
// a new waiter has to wait for.
func (q *queue) workAhead(p verbenastand.Priority, s verbenastand.Size) time.Duration {
	var work time.Duration
	for i := range q.lists[:p+1] {
		work += q.lists[i][s].work
	}
	return work
}

// lastBelow returns the waiter that is the last in order among those of lower priority than the
// one given, nil if there is none.
func (q *queue) lastBelow(p verbenastand.Priority) *Waiter {
	for i := len(q.lists) - 1; i > int(p); i-- {
		var last *Waiter
		for s := range q.lists[i] {
			if tail := q.lists[i][s].tail; tail != nil && (last == nil || tail.sequence > last.sequence) {
				last = tail
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}

// hasWaiterAhead reports whether a waiter is queued that must be served before a
// new one.
func (q *queue) hasWaiterAhead(p verbenastand.Priority, s verbenastand.Size) bool {
	for i := range q.lists[:p+1] {
		if q.lists[i][s].length > 0 {
			return true
		}
	}
	return false
}
