package scheduler

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
)

// ApplyDrainNotice applies a peer's notice that a server is draining, and reports
// whether this host did not know it yet.
func (s *Scheduler) ApplyDrainNotice(n DrainNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[n.Server]
	if entry == nil || !entry.applyNotice(n) {
		return false
	}
	s.updateScore(entry, s.config.Clock.Now())
	return true
}

// RecordHedgeLoss records that the server of the grant stalled and another server
// responded first to the hedged request. It counts as a failure of the stalled
// server.
func (s *Scheduler) RecordHedgeLoss(g Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	g.server.estimate.Observe(now, estimator.Failed, now.Sub(g.grantedAt), g.expected)
	s.updateScore(g.server, now)
}

// reportTransit bounds the time between the sending of a response and its receipt.
const reportTransit = time.Second

// ProcessState returns what the responses of a server tell of the process to which a
// connection was lost.
func (s *Scheduler) ProcessState(lost verbenastand.Loss) verbenastand.ProcessState {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[lost.Server()]
	if entry == nil || entry.instance == "" || lost.Instance() == "" || !entry.respondedAt.After(lost.At().Add(reportTransit)) {
		return verbenastand.ProcessUnknown
	}
	if entry.instance != lost.Instance() {
		return verbenastand.ProcessEnded
	}
	return verbenastand.ProcessRunning
}

// HasServer reports whether the server belongs to the service.
func (s *Scheduler) HasServer(id verbenastand.ServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id] != nil
}

// DrainNotices returns the drain notices in effect.
func (s *Scheduler) DrainNotices() []DrainNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var notices []DrainNotice
	for _, entry := range s.servers {
		if entry.notice != nil {
			notices = append(notices, *entry.notice)
		}
	}
	return notices
}

// ProbeTargets returns the servers to probe: those not known to be draining that
// are ejected or have had no success for idleTime. Without a response this host
// would not find out that such a server started to drain.
func (s *Scheduler) ProbeTargets(now time.Time, idleTime time.Duration) []verbenastand.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []verbenastand.Server
	for _, entry := range s.servers {
		if entry.draining() || entry.pause() > 0 {
			continue
		}
		if entry.estimate.Ejected(now) || now.Sub(entry.respondedAt) > idleTime {
			targets = append(targets, entry.Server)
		}
	}
	return targets
}

// RecordProbe records the result of a probe. It returns a notice and true if the
// probe showed for the first time that the server is draining.
func (s *Scheduler) RecordProbe(id verbenastand.ServerID, ok bool, report Report) (DrainNotice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[id]
	if entry == nil {
		return DrainNotice{}, false
	}
	now := s.config.Clock.Now()
	entry.probes++
	if entry.estimate.Ejected(now) {
		entry.estimate.ObserveProbe(now, ok)
	}
	notice, isNew := entry.observeResult(now, ok, report)
	s.updateScore(entry, now)
	s.dispatch(now)
	return notice, isNew
}

// Invalidate drops state that became stale while the process was paused.
func (s *Scheduler) Invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	for _, entry := range s.servers {
		entry.reportedAt = time.Time{}
		entry.otherInFlight = 0
		entry.estimate.Invalidate(now)
	}
	s.refresh(now)
	s.expire(now)
}

// refresh recomputes the state that depends on the current time.
func (s *Scheduler) refresh(now time.Time) {
	ejected := 0
	for _, entry := range s.servers {
		if entry.estimate.Ejected(now) {
			ejected++
		}
	}
	s.fallback = 2*ejected > len(s.servers)
	s.capacity = [verbenastand.SizeCount]int{}
	expected := s.config.Expected()
	s.shareLongSlots()
	for _, entry := range s.servers {
		entry.setTransit(expected)
		entry.rescore(now, s.fallback, expected)
		limit := entry.capacity(now, s.fallback, expected)
		s.capacity[verbenastand.Short] += limit
		s.capacity[verbenastand.Long] += min(limit, entry.longLimit(now))
	}
	for size := range s.heaps {
		s.heaps[size].reset(s.servers)
	}
}

// NeedsTick reports whether requests are queued or in flight, or an ejection, a
// backoff or a load report has yet to expire. Otherwise the scheduler needs no Tick.
func (s *Scheduler) NeedsTick() bool { return s.active.Load() }

// Tick updates time-dependent state and grants free slots to waiters. Call it
// every few milliseconds while NeedsTick returns true.
func (s *Scheduler) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	s.expire(now)
	s.dispatch(now)
	s.active.Store(!s.quiescent(now))
}

// quiescent reports whether the passing of time no longer changes the state.
func (s *Scheduler) quiescent(now time.Time) bool {
	if s.queue.length() > 0 {
		return false
	}
	for _, entry := range s.servers {
		if entry.total() > 0 || entry.pause() > 0 || entry.estimate.InBackoff(now) || entry.estimate.Ejected(now) || now.Sub(entry.reportedAt) < reportLifetime {
			return false
		}
	}
	return true
}

func (s *Scheduler) updateScore(entry *server, now time.Time) {
	if entry.removed {
		return
	}
	entry.rescore(now, s.fallback, s.config.Expected())
	for size := range s.heaps {
		s.heaps[size].fix(entry.position[size])
	}
}
