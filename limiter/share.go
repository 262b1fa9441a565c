package limiter

import (
	"math"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// longestInterval is the longest time between two requests to a server, however low
	// its limit is: without a response, nobody would learn that it has been lifted.
	longestInterval = 30 * time.Second
	// burst is the time in which a host may catch up on the requests that it did not
	// send. It can always send one.
	burst = 500 * time.Millisecond
	// longestWait bounds the wait of a host without a share: another host may have one.
	longestWait = time.Second
)

// Available implements verbenastand.RateLimiter.
func (l *Limiter) Available(p verbenastand.ServerProcess) bool { return l.use(p, 0) }

// Take implements verbenastand.RateLimiter.
func (l *Limiter) Take(p verbenastand.ServerProcess) bool { return l.use(p, 1) }

// Refund implements verbenastand.RateLimiter.
func (l *Limiter) Refund(p verbenastand.ServerProcess) { l.use(p, -1) }

// use takes a number of tokens if there is one for a request.
func (l *Limiter) use(p verbenastand.ServerProcess, count float64) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.findLocked(p)
	if known == nil {
		return true
	}
	if count >= 0 && known.tokens < 1 {
		return false
	}
	known.tokens -= count
	return true
}

// Wait implements verbenastand.RateLimiter.
func (l *Limiter) Wait(p verbenastand.ServerProcess) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.findLocked(p)
	switch {
	case known == nil || known.tokens >= 1:
		return 0
	case known.share == 0:
		return known.rate.Interval(longestWait)
	}
	return time.Duration((1 - known.tokens) / float64(known.share) * float64(time.Second))
}

// Share implements verbenastand.RateLimiter.
func (l *Limiter) Share(p verbenastand.ServerProcess) (verbenastand.RequestRate, bool) {
	if l.count.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.findLocked(p); known != nil {
		return known.share, true
	}
	return 0, false
}

// Current implements verbenastand.RateLimiter. Limits are stated in responses.
func (l *Limiter) Current(verbenastand.ServerProcess) bool { return true }

// Remaining implements verbenastand.RateLimiter. A limit holds as long as it is named.
func (l *Limiter) Remaining(verbenastand.ServerProcess) time.Duration { return 0 }

// findLocked returns the limit of the server with its current tokens, nil if there is
// none.
func (l *Limiter) findLocked(p verbenastand.ServerProcess) *limit {
	known := l.limits[keyOf(p)]
	if known == nil || known.lifted {
		return nil
	}
	now := l.config.Clock.Now()
	earned := float64(known.share) * now.Sub(known.settledAt).Seconds()
	known.tokens = min(known.tokens+earned, max(1, float64(known.share)*burst.Seconds()))
	known.settledAt = now
	if list := l.sharer.hosts(p, now); known.sharedAmong != list.digest {
		known.share, known.sharedAmong = l.shareOf(p, known.rate, list.hosts), list.digest
	}
	return known
}

// shareOf divides a rate among the hosts that come first for the server, those of its
// availability zone if there are any. Each gets a request per second at least, so that
// what they save up together stays small against the limit.
func (l *Limiter) shareOf(p verbenastand.ServerProcess, rate verbenastand.RequestRate, hosts []verbenastand.Host) verbenastand.RequestRate {
	ahead, users, found := l.sharer.rank(p, hosts)
	rate = max(rate, verbenastand.RequestRate(1/longestInterval.Seconds()))
	count := max(1, min(users, int(math.Min(float64(rate), MaxLimits))))
	if !found || ahead >= count {
		return 0
	}
	return rate / verbenastand.RequestRate(count)
}

// Pause drops what was saved up before a pause of the process, during which other hosts
// may have learned of changes.
func (l *Limiter) Pause(gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	clear(l.sharer.known)
	for _, known := range l.limits {
		known.observedAt = known.observedAt.Add(-gap)
		known.tokens, known.settledAt = 0, now
	}
}
