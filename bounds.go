package verbenastand

import "time"

// Bounds of the values that operators and servers write. Larger values mean the bound.
const (
	// MaxTime bounds timeouts, target latencies and warm-up times.
	MaxTime = 24 * time.Hour
	// MaxAttempts bounds the servers to which one request is sent.
	MaxAttempts = 100
	// MaxWeight bounds the weight of one destination of a traffic split.
	MaxWeight = 1_000_000
	// MaxHeaderBytes and MaxBodyBytes bound the limits on what callers send.
	MaxHeaderBytes = 16 << 20
	MaxBodyBytes   = 1 << 40
)

func (c RouteConfig) bounded() RouteConfig {
	c.Timeout, c.Target = min(c.Timeout, MaxTime), min(c.Target, MaxTime)
	c.MaxAttempts = min(c.MaxAttempts, MaxAttempts)
	return c
}

func (l CallerLimits) bounded() CallerLimits {
	return CallerLimits{
		HeaderBytes: min(l.HeaderBytes, MaxHeaderBytes), BodyBytes: min(l.BodyBytes, MaxBodyBytes),
		HeaderTimeout: min(l.HeaderTimeout, MaxTime), IdleTimeout: min(l.IdleTimeout, MaxTime),
	}
}
