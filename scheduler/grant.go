package scheduler

import (
	"context"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/verifier"
)

// Grant is a slot of a server, assigned to one request.
type Grant struct {
	server *server
	// config is the configuration of the server when the slot was granted. A
	// ticket may change it at any time.
	config verbenastand.Server
	// instance identifies the server process when the slot was granted, empty if unknown.
	instance  string
	size      verbenastand.Size
	expected  time.Duration
	grantedAt time.Time
}

// Server returns the server that the slot belongs to.
func (g Grant) Server() verbenastand.Server { return g.config }

// Instance returns what identifies the server process, empty if unknown.
func (g Grant) Instance() string { return g.instance }

// GrantedAt returns when the slot was granted.
func (g Grant) GrantedAt() time.Time { return g.grantedAt }

// Submit grants the waiter a slot, refuses it, or queues it. It reports whether
// the waiter was granted or refused at once. A queued waiter is notified later
// with Notify.
func (s *Scheduler) Submit(w *Waiter) bool {
	s.active.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	w.refusal = nil
	w.grant = Grant{}
	if !s.queue.hasWaiterAhead(w.Priority, w.Size) {
		if entry := s.pick(w); entry != nil && s.assign(w, entry, now) {
			return true
		}
	}
	if err := s.admit(w, now); err != nil {
		s.counters.Refused++
		w.refusal = err
		return true
	}
	s.lastSequence++
	w.sequence = s.lastSequence
	s.queue.list(w).push(w)
	s.counters.Queued++
	return false
}

// TryAcquire grants the waiter a slot without waiting. It fails if other requests
// are queued, or if no server has a free slot other than that of the latest earlier
// attempt.
func (s *Scheduler) TryAcquire(w *Waiter) (Grant, bool) {
	s.active.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.length() > 0 {
		return Grant{}, false
	}
	entry := s.pick(w)
	if entry == nil || entry == lastTriedServer(w) {
		return Grant{}, false
	}
	if !s.assign(w, entry, s.config.Clock.Now()) {
		return Grant{}, false
	}
	return w.grant, true
}

// lastTriedServer returns the server of the latest earlier attempt, or nil.
func lastTriedServer(w *Waiter) *server {
	if len(w.Tried) == 0 {
		return nil
	}
	return w.Tried[len(w.Tried)-1].server
}

// Stalled reports whether the server of a grant has made no progress for far
// longer than its requests should take.
func (s *Scheduler) Stalled(g Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.server.estimate.Stalled(s.config.Clock.Now(), s.config.Expected())
}

// Cancel removes a waiter from the queue. It reports false if the waiter was
// already granted or refused; the caller must then read the result with Grant.
func (s *Scheduler) Cancel(w *Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.waiting {
		return false
	}
	s.queue.list(w).remove(w)
	return true
}

// Acquire waits for a slot until ctx ends. An error is a *RequestError whose
// verdict is NotRun.
func (s *Scheduler) Acquire(ctx context.Context, w *Waiter) (Grant, error) {
	notified := make(chan struct{}, 1)
	w.Notify = func() { notified <- struct{}{} }
	if s.Submit(w) {
		return w.Grant()
	}
	select {
	case <-notified:
		return w.Grant()
	case <-ctx.Done():
	}
	if !s.Cancel(w) {
		<-notified
		if grant, err := w.Grant(); err == nil {
			s.Release(grant, estimator.Abandoned, NoReport)
		}
	}
	reason := verbenastand.ReasonCancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = verbenastand.ReasonDeadline
	}
	return Grant{}, verbenastand.NewRequestError(verbenastand.NotRun, reason, ctx.Err())
}

func (s *Scheduler) pick(w *Waiter) *server {
	heap := &s.heaps[w.Size]
	best := heap.best()
	if best == nil || len(w.Tried) == 0 {
		return best
	}
	excluded := make([]*server, 0, len(w.Tried))
	for _, g := range w.Tried {
		excluded = append(excluded, g.server)
	}
	if other := heap.bestExcept(excluded); other != nil {
		return other
	}
	if len(s.servers) > len(excluded) {
		return nil
	}
	return best
}

// assign grants the waiter a slot of the server, unless the server has reached the limit
// that it names.
func (s *Scheduler) assign(w *Waiter, entry *server, now time.Time) bool {
	if !s.config.Limiter.Take(entry.Process()) {
		s.updateScore(entry, now)
		return false
	}
	if entry.inFlight[verbenastand.Short] == 0 && w.Size == verbenastand.Short {
		entry.estimate.Started(now)
	}
	if entry.total() >= entry.share {
		s.counters.Borrowed++
	}
	entry.inFlight[w.Size]++
	entry.totalGranted++
	s.counters.Granted++
	s.grants++
	s.updateGrantShare(w.Priority)
	verifier.Assert(!entry.draining(), "a draining server gets no new requests")
	verifier.Assert(entry.total() <= 2*entry.Slots(), "a host has at most twice as many requests in flight at a server as it has slots")
	verifier.Assert(w.Size == verbenastand.Short || entry.inFlight[verbenastand.Long] <= max(1, entry.longSlots), "long requests stay within their slots")
	w.grant = Grant{server: entry, config: entry.Server, instance: entry.instance, size: w.Size, expected: w.Expected, grantedAt: now}
	s.updateScore(entry, now)
	return true
}

// Release frees a slot and records the outcome of the request and the server's
// report. It returns a notice and true if the report showed for the first time
// that the server is draining.
func (s *Scheduler) Release(g Grant, result estimator.Result, report Report) (DrainNotice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	entry := g.server
	entry.inFlight[g.size]--
	verifier.Assert(entry.inFlight[g.size] >= 0, "a slot is released once")
	entry.estimate.Observe(now, result, now.Sub(g.grantedAt), g.expected)
	notice, isNew := entry.observeResult(now, result == estimator.Succeeded, report)
	s.updateScore(entry, now)
	s.dispatch(now)
	return notice, isNew
}

// dispatch grants free slots to waiters until either runs out.
func (s *Scheduler) dispatch(now time.Time) {
	for {
		w, entry := s.nextWaiter(now)
		if w == nil {
			return
		}
		if !s.assign(w, entry, now) {
			continue
		}
		s.queue.list(w).remove(w)
		w.Notify()
	}
}

// nextWaiter returns the waiter to serve next and its server, by priority, then
// by arrival. Every reverseInterval-th grant uses the reverse order of priorities,
// so that background requests are never starved.
func (s *Scheduler) nextWaiter(now time.Time) (*Waiter, *server) {
	for i := range verbenastand.PriorityCount {
		p := i
		if s.grants%reverseInterval == reverseInterval-1 {
			p = verbenastand.PriorityCount - 1 - i
		}
		if w, entry := s.firstGrantable(&s.queue.lists[p], now); w != nil {
			return w, entry
		}
	}
	return nil, nil
}

func (s *Scheduler) firstGrantable(lists *[verbenastand.SizeCount]waiterList, now time.Time) (*Waiter, *server) {
	var first *Waiter
	var target *server
	for size := range lists {
		s.expireList(&lists[size], now)
		w := lists[size].head
		if w == nil || (first != nil && first.sequence < w.sequence) {
			continue
		}
		if entry := s.pick(w); entry != nil {
			first, target = w, entry
		}
	}
	return first, target
}
