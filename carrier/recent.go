package carrier

import (
	"sync"
	"time"
)

const (
	// unservedMemory is how long requests to a service are refused at once after several
	// hosts have reported that they reach none of its servers.
	unservedMemory = 300 * time.Millisecond
	// streamedMemory is how long a route counts as one with responses that are too long to
	// be buffered. If such a response breaks off, its connection ends.
	streamedMemory = time.Minute
)

// recent remembers for a while what was recorded last of services or routes.
type recent[K comparable] struct {
	memory time.Duration

	mu    sync.Mutex
	until map[K]time.Time
}

func newRecent[K comparable](memory time.Duration) *recent[K] {
	return &recent[K]{memory: memory, until: make(map[K]time.Time)}
}

func (r *recent[K]) record(key K, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, until := range r.until {
		if now.After(until) {
			delete(r.until, k)
		}
	}
	r.until[key] = now.Add(r.memory)
}

func (r *recent[K]) includes(key K, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until[key])
}
