package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usageHalfLife is the time after which what a caller was assigned counts half. A host that
	// sends a service three requests a second needs some seconds to tell callers apart.
	usageHalfLife = 10 * time.Second
	// maxCallers bounds the callers whose usage is kept.
	maxCallers = 1024
)

// callerUsage is the server time that a caller was assigned recently.
type callerUsage struct {
	caller string
	amount time.Duration
	at     time.Time
}

// current returns the amount at the given time.
func (u callerUsage) current(now time.Time) time.Duration {
	return time.Duration(float64(u.amount) * decayFactor(now.Sub(u.at), usageHalfLife))
}

// usageTable holds the usage of the callers of one service at this host. In a nil table all
// callers have the same usage.
type usageTable map[string]callerUsage

// record adds the server time of a request.
func (t usageTable) record(caller string, work time.Duration, now time.Time) {
	if t == nil {
		return
	}
	if _, known := t[caller]; !known && len(t) >= maxCallers {
		t.evict(now)
	}
	t[caller] = callerUsage{caller: caller, amount: t.of(caller, now) + work, at: now}
}

// of returns the usage of a caller.
func (t usageTable) of(caller string, now time.Time) time.Duration { return t[caller].current(now) }

// evict removes the callers with the least usage, half of all: the order among the others depends
// on them least.
func (t usageTable) evict(now time.Time) {
	callers := make([]callerUsage, 0, len(t))
	for _, u := range t {
		callers = append(callers, u)
	}
	slices.SortFunc(callers, func(a, b callerUsage) int {
		return cmp.Or(cmp.Compare(a.current(now), b.current(now)), cmp.Compare(a.caller, b.caller))
	})
	for _, u := range callers[:len(callers)/2] {
		delete(t, u.caller)
	}
}

// CallerUsage returns the server time that a caller was assigned recently by this host.
func (s *Service) CallerUsage(caller string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.usage.of(caller, s.clock.Now())
}

// WaitingCallers returns the number of callers with requests that wait, of all services.
func (b *Balancer) WaitingCallers() (n int) {
	for _, s := range *b.services.Load() {
		callers := make(map[string]bool)
		s.mu.Lock()
		for _, w := range s.queue.waiters {
			callers[w.query.Caller] = true
		}
		s.mu.Unlock()
		n += len(callers)
	}
	return n
}
