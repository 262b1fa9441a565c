// Package limiter keeps the limits that backend servers name: the requests per second
// that a server takes from all hosts together. Each response of a server tells whether
// it names a limit. Hosts exchange what they have seen; the latest response counts.
//
// A limit is divided among a few hosts, without messages: those that come first for the
// server by rendezvous hashing, as many as get a request per second each. The others
// send it nothing. A host that is silent keeps its share, so that no side of a partition
// takes over the share of the other.
package limiter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// MaxLimits is the maximum number of limits.
	MaxLimits = 4096
	// limitLifetime is how long a limit is kept that no response renews. One that was
	// lifted is remembered as long, since hosts that were cut off may still send it.
	limitLifetime = 2 * time.Minute
	// announcedChange is the fraction by which a limit must change to be sent to other hosts
	// at once. Smaller changes reach them with the next messages.
	announcedChange = 0.1
)

// key identifies a process of a server.
type key struct {
	server    verbenastand.ServerID
	startTime int64
}

func keyOf(p verbenastand.ServerProcess) key { return key{p.Server, p.StartTime} }

// limit is what the latest response of a server tells about its limit.
type limit struct {
	rate verbenastand.RequestRate
	// announced is the rate that was last sent to other hosts at once.
	announced verbenastand.RequestRate
	// lifted is set if the response named no limit.
	lifted bool
	// observedAt is when the response was received, on this host or another.
	observedAt time.Time
	changedAt  time.Time

	// share is this host's part of the rate among the hosts with the digest sharedAmong,
	// which is zero while it is not computed.
	share       verbenastand.RequestRate
	sharedAmong uint64
	// tokens is the number of requests that this host may send now, as of settledAt.
	tokens    float64
	settledAt time.Time
}

// Response is what a response tells about the limit of the server that sent it.
type Response struct {
	Process verbenastand.ServerProcess
	// Named is set if the server named a limit, and Text is what it named.
	Named bool
	Text  string
	// Succeeded is set if the response is neither a failure nor a refusal. Only such a
	// response without a limit lifts it.
	Succeeded bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Config configures a Limiter.
type Config struct {
	Clock verbenastand.Clock
	Self  verbenastand.HostID
	// Hosts returns the hosts that send requests to the server, including those that
	// are silent, but none that is leaving. It is empty while it is unknown.
	Hosts func(verbenastand.ServerProcess) []verbenastand.Host
	// OnChange is called after a limit has changed, or could not be read.
	OnChange func(Change)
}

// Limiter holds the limits of all servers.
type Limiter struct {
	config Config
	// count lets requests skip the lock while there are no limits.
	count atomic.Int64

	mu     sync.Mutex
	limits map[key]*limit
	sharer sharer
	// malformed holds the last text of each server that could not be read.
	malformed map[key]string
}

// NewLimiter returns a limiter without limits.
func NewLimiter(c Config) *Limiter {
	return &Limiter{config: c, limits: make(map[key]*limit), sharer: newSharer(c.Self, c.Hosts), malformed: make(map[key]string)}
}

// Observe applies what a response tells. A text that can't be read changes nothing.
func (l *Limiter) Observe(r Response) {
	if !r.Named && l.count.Load() == 0 {
		return
	}
	if !r.Named {
		l.observePlain(r)
		return
	}
	rate, err := verbenastand.ParseRequestRate(r.Text)
	if err != nil {
		l.observeMalformed(r, err)
		return
	}
	now := l.config.Clock.Now()
	l.mu.Lock()
	kind, changed := l.setLocked(keyOf(r.Process), rate, now)
	l.mu.Unlock()
	if changed {
		l.notify(Change{Kind: kind, Process: r.Process, Rate: rate})
	}
}

func (l *Limiter) observePlain(r Response) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	known := l.limits[keyOf(r.Process)]
	lift := known != nil && !known.lifted && r.Succeeded && r.SentAt.After(known.observedAt)
	c := Change{Kind: Lifted, Process: r.Process}
	if lift {
		known.lifted, known.observedAt, known.changedAt = true, now, now
		c.Rate = known.rate
	}
	l.mu.Unlock()
	if lift {
		l.notify(c)
	}
}

func (l *Limiter) observeMalformed(r Response, err error) {
	l.mu.Lock()
	k := keyOf(r.Process)
	last, known := l.malformed[k]
	isNew := (!known || last != r.Text) && len(l.malformed) < MaxLimits
	if isNew {
		l.malformed[k] = r.Text
	}
	l.mu.Unlock()
	if isNew {
		l.notify(Change{Kind: Malformed, Process: r.Process, Err: err})
	}
}

// setLocked stores a limit and reports whether it differs from what was known.
func (l *Limiter) setLocked(k key, rate verbenastand.RequestRate, observedAt time.Time) (ChangeKind, bool) {
	known := l.limits[k]
	now := l.config.Clock.Now()
	if known == nil {
		if len(l.limits) >= MaxLimits {
			return Named, false
		}
		l.limits[k] = &limit{rate: rate, announced: rate, observedAt: observedAt, changedAt: now, settledAt: now}
		l.count.Store(int64(len(l.limits)))
		return Named, true
	}
	kind, changed := Altered, math.Abs(float64(rate-known.announced)) > announcedChange*float64(known.announced)
	if known.lifted {
		kind, changed = Named, true
		known.tokens, known.settledAt = 0, now
	}
	if changed {
		known.announced, known.changedAt = rate, now
	}
	if known.rate != rate {
		known.rate, known.sharedAmong = rate, 0
	}
	known.lifted, known.observedAt = false, observedAt
	return kind, changed
}

func (l *Limiter) notify(c Change) {
	if l.config.OnChange != nil {
		l.config.OnChange(c)
	}
}

// Sweep removes limits that no response has renewed for long.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, known := range l.limits {
		if now.Sub(known.observedAt) > limitLifetime {
			delete(l.limits, k)
		}
	}
	l.count.Store(int64(len(l.limits)))
	clear(l.malformed)
}

// Limited returns the number of servers that name a limit.
func (l *Limiter) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, known := range l.limits {
		if !known.lifted {
			n++
		}
	}
	return n
}
