package scheduler

import (
	verbenastand "github.com/verbenastand/verbenastand"
)

// ServerStatus is the state of one server, as shown to operators.
type ServerStatus struct {
	Server        verbenastand.Server
	InFlight      int
	OtherInFlight int
	Share         int
	Limit         int
	LatencyRatio  float64
	Ejected       bool
	Draining      bool
	Granted       uint64
	Probes        uint64
}

// Status is the state of the scheduler, as shown to operators.
type Status struct {
	Servers  []ServerStatus
	Queued   int
	Counters Counters
	Fallback bool
}

// Status returns the current state.
func (s *Scheduler) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	status := Status{Queued: s.queue.length(), Counters: s.counters, Fallback: s.fallback}
	for _, entry := range s.servers {
		status.Servers = append(status.Servers, ServerStatus{
			Server: entry.Server, InFlight: entry.total(), OtherInFlight: entry.otherInFlight,
			Share: entry.share, Limit: entry.limit(now, s.fallback),
			LatencyRatio: entry.estimate.LatencyRatio(), Ejected: entry.estimate.Ejected(now),
			Draining: entry.draining(), Granted: entry.totalGranted, Probes: entry.probes,
		})
	}
	return status
}
