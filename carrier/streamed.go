package carrier

import (
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// streamedMemory is how long a route counts as one with responses that are delivered before
// they are complete.
const streamedMemory = time.Minute

// streamedRoutes remembers the routes with responses that were too long to be buffered. If
// such a response breaks off, its connection ends.
type streamedRoutes struct {
	mu    sync.Mutex
	until map[verbenastand.RouteName]time.Time
}

func (s *streamedRoutes) record(n verbenastand.RouteName, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[verbenastand.RouteName]time.Time)
	}
	for name, until := range s.until {
		if now.After(until) {
			delete(s.until, name)
		}
	}
	s.until[n] = now.Add(streamedMemory)
}

func (s *streamedRoutes) recent(n verbenastand.RouteName, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[n])
}
