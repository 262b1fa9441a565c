package scheduler

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// admit refuses a request if there are no servers, or if it is not expected to complete before
// its deadline. If the queue is full, it refuses the last request in order.
func (s *Scheduler) admit(w *Waiter, now time.Time) *verbenastand.RequestError {
	if len(s.servers) == 0 {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonNoServer, nil).WithRetryAfter(time.Second)
	}
	slack := w.Deadline.Sub(now) - w.Expected
	pause, leaving := s.allUnavailable()
	if leaving {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonNoServer, nil).WithRetryAfter(time.Second)
	}
	wait := s.estimateWait(w) + pause
	if wait > slack {
		return overloadError(wait)
	}
	if s.queue.length() < s.config.MaxQueue {
		return nil
	}
	last := s.queue.lastBelow(w.Priority)
	if last == nil {
		return overloadError(wait)
	}
	s.counters.Refused++
	s.refuse(last, overloadError(s.estimateWait(last)+pause))
	return nil
}

// overloadError refuses a request that would have to wait for the given time.
func overloadError(wait time.Duration) *verbenastand.RequestError {
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, nil)
	return refusal.WithRetryAfter(max(minRetryAfter, wait))
}

// refuse refuses a queued request.
func (s *Scheduler) refuse(w *Waiter, err *verbenastand.RequestError) {
	s.queue.list(w).remove(w)
	w.refusal = err
	w.Notify()
}

// allUnavailable returns the time until the first server takes requests again if all of them
// have asked for a pause, and whether all are draining.
func (s *Scheduler) allUnavailable() (pause time.Duration, draining bool) {
	draining = true
	for _, entry := range s.servers {
		if entry.draining() {
			continue
		}
		p := entry.pause()
		if p == 0 {
			return 0, false
		}
		if draining || p < pause {
			pause = p
		}
		draining = false
	}
	return pause, draining
}

// estimateWait returns the expected time in the queue: the work ahead of the
// request, divided by the slots that requests of higher priority leave free.
func (s *Scheduler) estimateWait(w *Waiter) time.Duration {
	ahead := s.queue.workAhead(w.Priority, w.Size)
	free := 1.0
	for p := range w.Priority {
		free -= s.grantShare[p]
	}
	slots := max(1, float64(s.capacity[w.Size])*max(minFreeFraction, free))
	return time.Duration(float64(ahead) / slots)
}

// updateGrantShare adds a grant of priority p to the moving averages.
func (s *Scheduler) updateGrantShare(p verbenastand.Priority) {
	for q := range s.grantShare {
		target := 0.0
		if verbenastand.Priority(q) == p {
			target = 1
		}
		s.grantShare[q] += grantShareWeight * (target - s.grantShare[q])
	}
}

// expireList refuses waiters at the head of a list that can no longer complete
// before their deadline.
func (s *Scheduler) expireList(l *waiterList, now time.Time) {
	for w := l.head; w != nil; w = l.head {
		if w.Deadline.Sub(now) >= w.Expected {
			return
		}
		s.counters.Expired++
		refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonDeadline, nil)
		s.refuse(w, refusal.WithRetryAfter(max(minRetryAfter, s.estimateWait(w))))
	}
}

// expire applies expireList to the lists of all priorities and sizes.
func (s *Scheduler) expire(now time.Time) {
	for p := range s.queue.lists {
		for size := range s.queue.lists[p] {
			s.expireList(&s.queue.lists[p][size], now)
		}
	}
}
