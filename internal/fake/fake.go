// Package fake provides fakes of the interfaces in package verbenastand for tests.
package fake

import (
	"sync"
	"time"
)

// Clock is a manual clock: its time changes only by Advance, which also calls the
// functions passed to Every. It implements verbenastand.TimerService.
type Clock struct {
	mu          sync.Mutex
	now         time.Time
	subscribers []func(time.Time)
}

// NewClock returns a clock at a fixed time.
func NewClock() *Clock { return &Clock{now: time.Unix(1_000_000, 0)} }

// Now returns the time of the clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock by d, which may be negative, and calls each function
// passed to Every once, as the real timer does after a pause.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	now, subscribers := c.now, append([]func(time.Time){}, c.subscribers...)
	c.mu.Unlock()
	for _, f := range subscribers {
		f(now)
	}
}

// Every makes each Advance call f.
func (c *Clock) Every(_ time.Duration, f func(time.Time)) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
	return func() {}
}

// OnPause does nothing.
func (c *Clock) OnPause(func(time.Duration)) {}
