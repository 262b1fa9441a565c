package limiter

import (
	"math"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// depthMargin is the part of a token by which the bucket and the tokens of one second stay below
// the next whole request.
const depthMargin = 0.01

// Available implements verbenastand.RateLimiter. Whether a server is still warm is checked by
// Take.
func (l *Warmup) Available(p verbenastand.ServerProcess) bool {
	if !l.enabled.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.findLocked(p)
	return s == nil || !s.isCold(now) || s.tokens >= 1
}

// Take implements verbenastand.RateLimiter. A server without a recent health check may have
// become cold.
func (l *Warmup) Take(p verbenastand.ServerProcess) bool {
	if !l.enabled.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.findLocked(p)
	switch {
	case s == nil:
		return l.rates[p.Service] == 0
	case !s.isCold(now):
		return now.Sub(s.checkedAt) <= checkLifetime
	case s.tokens < 1:
		return false
	}
	s.tokens--
	return true
}

// Refund implements verbenastand.RateLimiter.
func (l *Warmup) Refund(p verbenastand.ServerProcess) {
	if !l.enabled.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, now := l.findLocked(p); s != nil && s.isCold(now) {
		s.tokens = min(s.tokens+1, s.depth)
	}
}

// Wait implements verbenastand.RateLimiter.
func (l *Warmup) Wait(p verbenastand.ServerProcess) time.Duration {
	if !l.enabled.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.findLocked(p)
	if s == nil || !s.isCold(now) || s.tokens >= 1 {
		return 0
	}
	remaining := s.coldUntil.Sub(now)
	if s.share == 0 {
		return remaining
	}
	return min(remaining, time.Duration((1-s.tokens)/float64(s.share)*float64(time.Second)))
}

// Share implements verbenastand.RateLimiter.
func (l *Warmup) Share(p verbenastand.ServerProcess) (verbenastand.RequestRate, bool) {
	if !l.enabled.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, now := l.findLocked(p); s != nil && s.isCold(now) {
		return s.share, true
	}
	return 0, false
}

// Current implements verbenastand.RateLimiter.
func (l *Warmup) Current(p verbenastand.ServerProcess) bool {
	if !l.enabled.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.findLocked(p)
	if s == nil {
		return l.rates[p.Service] == 0
	}
	return s.isCold(now) || now.Sub(s.checkedAt) <= checkLifetime
}

// Remaining implements verbenastand.RateLimiter.
func (l *Warmup) Remaining(p verbenastand.ServerProcess) time.Duration {
	if !l.enabled.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, now := l.findLocked(p); s != nil && s.isCold(now) {
		return s.coldUntil.Sub(now)
	}
	return 0
}

// findLocked returns the state of a server of a service with limits, nil if there is none. The
// tokens of a cold server are current.
func (l *Warmup) findLocked(p verbenastand.ServerProcess) (*warmupState, time.Time) {
	now := l.config.Clock.Now()
	if l.rates[p.Service] == 0 {
		return nil, now
	}
	s := l.states[keyOf(p)]
	if s == nil || !s.isCold(now) {
		return s, now
	}
	s.tokens = min(s.tokens+float64(s.share)*now.Sub(s.settledAt).Seconds(), s.depth)
	s.settledAt = now
	l.shareLocked(s, now)
	return s, now
}

// shareLocked computes this host's share of the limit if the hosts or the limit have changed.
func (l *Warmup) shareLocked(s *warmupState, now time.Time) {
	rate := l.rates[s.process.Service]
	list := l.sharer.hosts(s.process, now)
	if s.sharedAmong == list.digest && s.sharedRate == rate {
		return
	}
	s.sharedAmong, s.sharedRate = list.digest, rate
	ahead, hosts, found := l.sharer.rank(s.process, list.hosts)
	users, share, depth := divide(float64(rate), l.config.Overage*float64(rate)+l.config.Slack, hosts)
	if !found || ahead >= users {
		s.share, s.depth, s.phase, s.tokens = 0, 0, 0, 0
		return
	}
	s.share, s.depth = verbenastand.RequestRate(share), depth
	// The first requests of the hosts follow each other at the rate, as from one bucket.
	s.phase = 1 - float64(ahead+1)/float64(users)
}

// divide returns among how many hosts a rate is divided, the share of each, and the size of their
// buckets. In one second, a host sends what its bucket holds and what it earns, in whole requests.
// The sum of them is at most half the bound, since the hosts that have started in a partition don't
// know those on its other side and take shares as well. A bound that is too small for that is not
// halved. One that is too small for the rate lowers it.
func divide(rate, bound float64, hosts int) (users int, share, depth float64) {
	for _, bound := range []float64{bound / 2, bound} {
		for n := int(min(float64(hosts), bound, MaxLimits)); n >= 1; n-- {
			if float64(n)*math.Floor(1+rate/float64(n)) <= bound {
				return n, rate / float64(n), max(1, math.Floor(bound/float64(n))+1-depthMargin-rate/float64(n))
			}
		}
	}
	return 1, min(rate, singleShare(bound)), 1
}

// singleShare returns the largest rate of one host whose bucket holds one request, so that it sends
// no more than the bound in a second. Below one request a second, the bound is that of the rate.
func singleShare(bound float64) float64 {
	if bound < 1 {
		return max(0, bound)
	}
	return math.Floor(bound) - depthMargin
}
