package balancer

import (
	"context"
	"errors"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// ErrNoCapacity means that no server is expected to respond before the deadline.
var ErrNoCapacity = errors.New("balancer: no server is expected to respond before the deadline")

// NoCapacityError is the ErrNoCapacity of a request that would have had to wait.
type NoCapacityError struct {
	// Wait is the expected time until the requests ahead have been sent.
	Wait time.Duration
}

// Error implements error.
func (e *NoCapacityError) Error() string { return ErrNoCapacity.Error() }

// Is implements the interface of errors.Is.
func (e *NoCapacityError) Is(target error) bool { return target == ErrNoCapacity }

// Admit returns a server for a first attempt. If there is no lightly loaded or sufficient one,
// it waits, at most until Query.StartBy. It returns a NoCapacityError as soon as no server is
// expected to respond before the deadline.
func (s *Service) Admit(ctx context.Context, q Query) (Choice, error) {
	w := &waiter{query: q, arrived: s.clock.Now(), granted: make(chan grant, 1)}
	if s.isNext(w) {
		choice, err := s.Choose(ctx, q)
		s.recordShortage(q, err)
		w.blocked = errors.Is(err, ErrBodyLimited)
		excluded := errors.Is(err, ErrLimited) || errors.Is(err, ErrPaused) || w.blocked
		allowedSoon := excluded && s.clock.Now().Add(s.WaitFor(q.Route)).Before(q.StartBy)
		if !allowedSoon && (err != nil || s.take(w, choice)) {
			return choice, err
		}
		choice.Release()
	}
	if err := s.enqueue(w); err != nil {
		return Choice{}, err
	}
	timer := time.NewTimer(q.StartBy.Sub(s.clock.Now()))
	defer timer.Stop()
	var err error = &NoCapacityError{}
	select {
	case g := <-w.granted:
		return g.choice, g.err
	case <-timer.C:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if s.dequeue(w) {
		return Choice{}, err
	}
	g := <-w.granted
	return g.choice, g.err
}

// isNext reports whether no request waits that goes before a new one.
func (s *Service) isNext(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.firstOf(w, w.arrived) == w
}

// recordUsageLocked records that a request was assigned a server.
func (s *Service) recordUsageLocked(w *waiter, now time.Time) {
	s.queue.usage.record(w.query.Caller, s.workOf(w), now)
}

// take reports whether a request is sent to the server of a choice rather than to wait.
func (s *Service) take(w *waiter, c Choice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if !c.Sufficient && !c.LightlyLoaded && !s.takesSlowLocked(w, c, now) {
		return false
	}
	if c.LightlyLoaded {
		s.queue.lightlyLoadedAt = now
	}
	s.recordUsageLocked(w, now)
	return true
}

// Waiting returns the number of requests that wait.
func (s *Service) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue.waiters)
}

// enqueue adds a request, unless it is expected to be sent too late. If the queue is full, the
// last one in order is refused.
func (s *Service) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queue
	now := s.clock.Now()
	if len(q.waiters) == 0 {
		q.begin(now)
	}
	if err := s.expectLocked(w, q.line(s.workOf, now), allowanceOf(s.usableFor(w.query.Route))); err != nil {
		return err
	}
	q.waiters = append(q.waiters, w)
	if len(q.waiters) > maxQueue {
		last := s.lastLocked(now)
		s.refuseLocked(last, &NoCapacityError{Wait: q.backlog(last.class(now)).expected(len(q.waiters), s.assumedInterval(last))})
	}
	if !q.checking {
		q.checking = true
		go s.checkServers()
	}
	return nil
}

// lastLocked returns the waiting request that is to be sent last. Those that can't be sent now are
// last of all.
func (s *Service) lastLocked(now time.Time) *waiter {
	for _, w := range slices.Backward(s.queue.waiters) {
		if w.blocked {
			return w
		}
	}
	entries := s.queue.line(s.workOf, now).entries
	return entries[len(entries)-1].waiter
}

// expectLocked returns a NoCapacityError if a request is not expected to be sent by the time
// by which it has to be.
func (s *Service) expectLocked(w *waiter, l *line, a allowance) error {
	q, now := &s.queue, l.now
	class := w.class(now)
	assumed := s.assumedInterval(w)
	total, ahead := l.ahead(w, class)
	allowed := a.after(total)
	wait := max(allowed, q.backlog(class).least(ahead, assumed))
	if !class.late && !now.Add(wait).After(w.query.InTimeBy) {
		return nil
	}
	late := backlogClass{level: class.level, late: true}
	_, aheadLate := l.ahead(w, late)
	if !now.Add(max(wait, q.backlog(late).least(aheadLate, assumed))).After(w.query.StartBy) {
		return nil
	}
	return &NoCapacityError{Wait: max(allowed, q.backlog(class).expected(ahead, assumed))}
}

// workOf returns the server time that a request is expected to take.
func (s *Service) workOf(w *waiter) time.Duration { return s.Expected(w.query.Route) }

// assumedInterval returns the time between grants for a request until some have been observed: that
// in which the servers complete one request each.
func (s *Service) assumedInterval(w *waiter) time.Duration {
	return s.Expected(w.query.Route) / time.Duration(max(1, len(s.usableFor(w.query.Route))))
}

func (s *Service) dequeue(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.remove(w)
}

func (s *Service) refuseLocked(w *waiter, err error) {
	s.queue.remove(w)
	w.granted <- grant{err: err}
}

// refuseHopeless refuses the waiting requests that are no longer expected to be sent in time.
func (s *Service) refuseHopeless() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	allowances := make(map[verbenastand.Regions]allowance)
	ahead := make(map[backlogClass]int)
	l := s.queue.line(s.workOf, now)
	for i, e := range slices.Clone(l.entries) {
		w, class := e.waiter, e.class
		allowance, known := allowances[w.query.Route.Regions()]
		if !known {
			allowance = allowanceOf(s.usableFor(w.query.Route))
			allowances[w.query.Route.Regions()] = allowance
		}
		wait := max(allowance.after(i), s.queue.backlog(class).least(ahead[class], s.assumedInterval(w)))
		ahead[class]++
		if !now.Add(wait).After(w.startBy(now)) {
			continue
		}
		if err := s.expectLocked(w, l, allowance); err != nil {
			s.refuseLocked(w, err)
			l.remove(w)
			ahead[class]--
		}
	}
}

// refuseExcluded refuses the waiting requests that no server takes in time: all of them for
// ErrNoServer, or else those for which the servers' limits or pauses last too long.
func (s *Service) refuseExcluded(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseExcludedLocked(reason, s.Wait(), func(*waiter) bool { return true })
}

// refuseExcludedLike refuses the requests that may run in the same regions as one for which no
// server is found.
func (s *Service) refuseExcludedLike(q Query, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseExcludedLocked(reason, s.WaitFor(q.Route), func(w *waiter) bool {
		return w.query.Route.Regions() == q.Route.Regions()
	})
}

func (s *Service) refuseExcludedLocked(reason error, wait time.Duration, matches func(*waiter) bool) {
	possible := s.clock.Now().Add(wait)
	for _, w := range slices.Clone(s.queue.waiters) {
		if !matches(w) {
			continue
		}
		if errors.Is(reason, ErrNoServer) || possible.After(w.query.StartBy) {
			s.refuseLocked(w, reason)
		}
	}
}
