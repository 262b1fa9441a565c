// Package timer runs periodic callbacks and detects pauses of the process.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// DefaultPauseThreshold is the delay beyond which the process counts as paused.
const DefaultPauseThreshold = 300 * time.Millisecond

const (
	// minWait limits how often the timer goroutine wakes up.
	minWait = time.Millisecond
	// maxWait limits how long it sleeps, because a new subscription does not wake
	// it up.
	maxWait = 100 * time.Millisecond
)

// Config is the configuration of a Service.
type Config struct {
	// PauseThreshold is the delay beyond which the process counts as paused.
	PauseThreshold time.Duration
	// BootClock is a clock that advances while the machine is suspended, unlike
	// the monotonic clock. CLOCK_BOOTTIME is used if it is nil.
	BootClock func() time.Duration
}

// bootTime reads CLOCK_BOOTTIME. It returns zero where that is not available.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

type subscription struct {
	due  time.Time
	call func(time.Time) time.Duration
}

// Service runs all callbacks in one goroutine. It implements
// verbenastand.TimerService.
type Service struct {
	config Config

	mu             sync.Mutex
	nextID         int
	subscriptions  map[int]*subscription
	pauseCallbacks []func(time.Duration)
}

// NewService returns a service that does nothing until Run is called.
func NewService(c Config) *Service {
	if c.PauseThreshold == 0 {
		c.PauseThreshold = DefaultPauseThreshold
	}
	if c.BootClock == nil {
		c.BootClock = bootTime
	}
	return &Service{config: c, subscriptions: make(map[int]*subscription)}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Every calls f once each period until stop is called.
func (s *Service) Every(period time.Duration, f func(now time.Time)) (stop func()) {
	return s.Repeat(period, func(now time.Time) time.Duration {
		f(now)
		return period
	})
}

// Repeat calls f after the delay first, and then again after each delay that f
// returns, until stop is called.
func (s *Service) Repeat(first time.Duration, f func(now time.Time) time.Duration) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscriptions[id] = &subscription{due: time.Now().Add(first), call: f}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscriptions, id)
	}
}

// OnPause registers f to be called with the length of each detected pause of the
// process.
func (s *Service) OnPause(f func(gap time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseCallbacks = append(s.pauseCallbacks, f)
}

// Run runs the callbacks until ctx is done.
func (s *Service) Run(ctx context.Context) {
	wait := minWait
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		start, bootStart := time.Now(), s.config.BootClock()
		expected := start.Add(wait)
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		suspended := s.config.BootClock() - bootStart - now.Sub(start)
		if gap := max(now.Sub(expected), suspended); gap > s.config.PauseThreshold {
			s.notifyPause(gap)
		}
		for _, sub := range s.dueSubscriptions(now) {
			s.runCallback(sub, now)
		}
		wait = s.nextWait()
	}
}

func (s *Service) runCallback(sub *subscription, now time.Time) {
	period := sub.call(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.due = now.Add(period)
}

func (s *Service) nextWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait := maxWait
	for _, sub := range s.subscriptions {
		wait = min(wait, sub.due.Sub(now))
	}
	return max(wait, minWait)
}

func (s *Service) notifyPause(gap time.Duration) {
	s.mu.Lock()
	callbacks := append([]func(time.Duration){}, s.pauseCallbacks...)
	s.mu.Unlock()
	for _, f := range callbacks {
		f(gap)
	}
}

func (s *Service) dueSubscriptions(now time.Time) []*subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*subscription
	for _, sub := range s.subscriptions {
		if !now.Before(sub.due) {
			due = append(due, sub)
		}
	}
	return due
}
