package carrier

import (
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// unservedMemory is how long requests to a service are refused at once after several
// hosts have reported that they reach none of its servers.
const unservedMemory = 300 * time.Millisecond

// unservedServices remembers the services that no host is known to reach.
type unservedServices struct {
	mu    sync.Mutex
	until map[verbenastand.ServiceName]time.Time
}

func (u *unservedServices) record(n verbenastand.ServiceName, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = make(map[verbenastand.ServiceName]time.Time)
	}
	u.until[n] = now.Add(unservedMemory)
}

func (u *unservedServices) recent(n verbenastand.ServiceName, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[n])
}
