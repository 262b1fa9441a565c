package bounder

import (
	"sync"
	"sync/atomic"
	"time"
)

// Shares divides a budget among holders, such as the network addresses of callers. A holder
// gets more only while it holds at most as much as is left, so that one alone gets half of the
// budget, and n of them leave one part in n+1 to the next: those that hold most are refused
// first, without a fixed limit for each.
type Shares struct {
	budget *Budget
	size   int64
	// waiting is the number of waiters, read without the lock by Return.
	waiting atomic.Int64
	denied  atomic.Int64

	mu      sync.Mutex
	holders map[string]*Share
	// waiters is in order of arrival.
	waiters []*waiter
}

// waiter waits until its share can take an amount.
type waiter struct {
	share  *Share
	amount int64
	taken  chan struct{}
}

// Share is what one holder has taken. It is safe for concurrent use.
type Share struct {
	shares *Shares
	key    string
	held   atomic.Int64
	// users is the number of calls of Open without Close.
	users int
}

// NewShares returns the shares of a budget of the given size.
func NewShares(size int64) *Shares {
	return &Shares{budget: NewBudget(size), size: size, holders: make(map[string]*Share)}
}

// Size returns the size of the budget.
func (s *Shares) Size() int64 { return s.size }

// Left returns what is left of the budget.
func (s *Shares) Left() int64 { return s.budget.Left() }

// Denied returns how often an amount was not available, also if it was later.
func (s *Shares) Denied() int64 { return s.denied.Load() }

// Open returns the share of a holder. It must be closed.
func (s *Shares) Open(key string) *Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.holders[key]
	if share == nil {
		share = &Share{shares: s, key: key}
		s.holders[key] = share
	}
	share.users++
	return share
}

// Close ends the use of a share. What was taken must be returned all the same.
func (s *Share) Close() {
	s.shares.mu.Lock()
	defer s.shares.mu.Unlock()
	if s.users--; s.users == 0 {
		delete(s.shares.holders, s.key)
	}
}

// Held returns what the holder has taken.
func (s *Share) Held() int64 { return s.held.Load() }

// Take takes an amount, and reports whether the share allows that.
func (s *Share) Take(amount int64) bool {
	if s.take(amount) {
		return true
	}
	s.shares.denied.Add(1)
	return false
}

func (s *Share) take(amount int64) bool {
	if amount > 0 && s.held.Load()+amount > s.shares.budget.Left() {
		return false
	}
	if !s.shares.budget.Take(amount) {
		return false
	}
	s.held.Add(amount)
	return true
}

// Return returns a part of what was taken.
func (s *Share) Return(amount int64) {
	if amount == 0 {
		return
	}
	s.held.Add(-amount)
	s.shares.budget.Return(amount)
	if s.shares.waiting.Load() > 0 {
		s.shares.wake()
	}
}

// Await takes an amount as soon as the share allows that. It reports false if stop or
// cancelled is closed before, or after the timeout.
func (s *Share) Await(stop, cancelled <-chan struct{}, timeout time.Duration, amount int64) bool {
	w := &waiter{share: s, amount: amount, taken: make(chan struct{})}
	s.shares.mu.Lock()
	s.shares.waiters = append(s.shares.waiters, w)
	s.shares.waiting.Add(1)
	s.shares.mu.Unlock()
	// What was returned since the amount was denied woke nobody.
	s.shares.wake()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.taken:
		return true
	case <-stop:
	case <-cancelled:
	case <-timer.C:
	}
	return !s.shares.withdraw(w)
}

// withdraw ends waiting, and reports whether the amount was not taken meanwhile.
func (s *Shares) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.waiting.Add(-1)
			return true
		}
	}
	return false
}

// wake serves the waiters that can be served, in order of arrival.
func (s *Shares) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if !w.share.take(w.amount) {
			kept = append(kept, w)
			continue
		}
		s.waiting.Add(-1)
		close(w.taken)
	}
	clear(s.waiters[len(kept):])
	s.waiters = kept
}
