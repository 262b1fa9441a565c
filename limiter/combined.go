package limiter

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Combined applies all of its limits. It implements verbenastand.RateLimiter.
type Combined []verbenastand.RateLimiter

// Available implements verbenastand.RateLimiter.
func (c Combined) Available(p verbenastand.ServerProcess) bool {
	for _, l := range c {
		if !l.Available(p) {
			return false
		}
	}
	return true
}

// Take implements verbenastand.RateLimiter.
func (c Combined) Take(p verbenastand.ServerProcess) bool {
	for i, l := range c {
		if !l.Take(p) {
			c[:i].Refund(p)
			return false
		}
	}
	return true
}

// Refund implements verbenastand.RateLimiter.
func (c Combined) Refund(p verbenastand.ServerProcess) {
	for _, l := range c {
		l.Refund(p)
	}
}

// Wait implements verbenastand.RateLimiter.
func (c Combined) Wait(p verbenastand.ServerProcess) (longest time.Duration) {
	for _, l := range c {
		longest = max(longest, l.Wait(p))
	}
	return longest
}

// Share implements verbenastand.RateLimiter. It returns the lowest of the shares.
func (c Combined) Share(p verbenastand.ServerProcess) (lowest verbenastand.RequestRate, limited bool) {
	for _, l := range c {
		share, ok := l.Share(p)
		if ok && (!limited || share < lowest) {
			lowest, limited = share, true
		}
	}
	return lowest, limited
}

// Current implements verbenastand.RateLimiter.
func (c Combined) Current(p verbenastand.ServerProcess) bool {
	for _, l := range c {
		if !l.Current(p) {
			return false
		}
	}
	return true
}

// Remaining implements verbenastand.RateLimiter.
func (c Combined) Remaining(p verbenastand.ServerProcess) (longest time.Duration) {
	for _, l := range c {
		longest = max(longest, l.Remaining(p))
	}
	return longest
}
