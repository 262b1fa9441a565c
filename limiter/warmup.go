package limiter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// maxWarmup bounds the time for which a server may state that it stays cold.
	maxWarmup = time.Hour
	// checkLifetime is how long a health check proves that a server is warm. It bounds the
	// requests that a server gets which becomes cold without a new registration.
	checkLifetime = 100 * time.Millisecond
	// bucketLifetime is how long tokens are kept after a server has become warm, so that one
	// that becomes cold again and again gets no new ones each time.
	bucketLifetime = 10 * time.Second
	// maxMalformed bounds the malformed texts of one server process that are reported.
	maxMalformed = 16
)

// HealthResponse is what the response to a health check states about the time that the server
// stays cold.
type HealthResponse struct {
	Process verbenastand.ServerProcess
	// Remaining holds the values of the field, in milliseconds; none if it is absent.
	Remaining []string
	// SentAt is when the health check was sent.
	SentAt time.Time
}

// WarmupConfig configures a Warmup.
type WarmupConfig struct {
	Clock verbenastand.Clock
	Self  verbenastand.HostID
	// Hosts returns the hosts that send requests to the server, including those that
	// are silent, but none that is leaving. It is empty while it is unknown.
	Hosts func(verbenastand.ServerProcess) []verbenastand.Host
	// Overage and Slack bound the requests that a server gets in any second: Overage times
	// its limit, and Slack more.
	Overage, Slack float64
	// OnChange is called after a server has become cold or warm, or has sent a text that
	// could not be read.
	OnChange func(WarmupChange)
}

// Warmup keeps the limits of cold servers, verbenastand.ServiceSettings.WarmupRate. Each host
// learns from registrations and its own health checks which servers are cold, and sends no
// request without either. A limit is divided among a few hosts by rendezvous hashing, as those
// that servers name. It implements verbenastand.RateLimiter.
type Warmup struct {
	config WarmupConfig
	// enabled lets requests skip the lock while no service has a limit.
	enabled atomic.Bool

	mu     sync.Mutex
	rates  map[verbenastand.ServiceName]verbenastand.RequestRate
	states map[key]*warmupState
	sharer sharer
}

// warmupState is what is known of one server process.
type warmupState struct {
	process verbenastand.ServerProcess
	// registered is the remaining time of the latest registration.
	registered time.Duration
	// coldUntil is when the server becomes warm, and cold is set until that was reported.
	coldUntil time.Time
	cold      bool
	// checkedAt is when the last health check was sent to which the server has responded.
	checkedAt time.Time
	// evacuated is set while the server's zone is evacuated. Health checks from before
	// unevacuatedAt prove nothing: the server may have become cold.
	evacuated     bool
	unevacuatedAt time.Time
	// malformed holds the errors of texts that could not be read and were reported.
	malformed map[string]bool

	// share is this host's part of the rate sharedRate among the hosts with the digest
	// sharedAmong, depth the size of its bucket, and phase the part of a token that it has when
	// the server becomes cold.
	share, sharedRate verbenastand.RequestRate
	sharedAmong       uint64
	depth, phase      float64
	// tokens is the number of requests that this host may send now, as of settledAt.
	tokens    float64
	settledAt time.Time
}

// NewWarmup returns a limiter that knows no servers.
func NewWarmup(c WarmupConfig) *Warmup {
	return &Warmup{
		config: c, rates: make(map[verbenastand.ServiceName]verbenastand.RequestRate), states: make(map[key]*warmupState),
		sharer: newSharer(c.Self, c.Hosts),
	}
}

// Update applies the limits of the route table and the registrations of a view. It has to be
// called before the servers of the view are used.
func (l *Warmup) Update(v *verbenastand.View) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	if t := v.Table(); t != nil {
		clear(l.rates)
		for name, s := range t.Services() {
			if s.WarmupRate > 0 {
				l.rates[name] = s.WarmupRate
			}
		}
	}
	l.enabled.Store(len(l.rates) > 0)
	registered := make(map[key]bool)
	var changes []WarmupChange
	for name := range l.rates {
		for _, r := range v.Servers(name) {
			registered[keyOf(r.Process())] = true
			if c, changed := l.registerLocked(r, now); changed {
				changes = append(changes, c)
			}
			l.states[keyOf(r.Process())].setEvacuated(v.Evacuated(r.Zone()), now)
		}
	}
	for k, s := range l.states {
		if !registered[k] && !s.isSettledWithin(bucketLifetime, now) {
			delete(l.states, k)
		}
	}
	l.mu.Unlock()
	l.notify(changes...)
}

// registerLocked applies a registration. It may be older than what health checks have shown, so
// that it never ends the limit of a server.
func (l *Warmup) registerLocked(r verbenastand.Registration, now time.Time) (WarmupChange, bool) {
	k := keyOf(r.Process())
	s := l.states[k]
	isNew := s == nil
	if isNew {
		s = &warmupState{process: r.Process(), malformed: make(map[string]bool)}
		l.states[k] = s
	}
	changed := isNew || r.Warmup() != s.registered
	s.process, s.registered = r.Process(), r.Warmup()
	until := now.Add(min(r.Warmup(), maxWarmup))
	if !changed || r.Warmup() <= 0 || until.Before(s.coldUntil) {
		return WarmupChange{}, false
	}
	return l.setLocked(s, until, now)
}

// Observe applies the response to a health check. A text that can't be read changes nothing.
func (l *Warmup) Observe(r HealthResponse) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	s := l.states[keyOf(r.Process)]
	if s == nil || l.rates[s.process.Service] == 0 {
		l.mu.Unlock()
		return
	}
	c, changed := l.observeLocked(s, r, now)
	l.mu.Unlock()
	if changed {
		l.notify(c)
	}
}

func (l *Warmup) observeLocked(s *warmupState, r HealthResponse, now time.Time) (WarmupChange, bool) {
	outdated := r.SentAt.Before(s.unevacuatedAt) || r.SentAt.Before(s.checkedAt)
	if !outdated {
		s.checkedAt = r.SentAt
	}
	if len(r.Remaining) == 0 {
		return WarmupChange{}, false
	}
	remaining, err := ParseWarmup(strings.Join(r.Remaining, ", "))
	switch {
	case err != nil:
		// It changes nothing, but the server has responded.
		isNew := !s.malformed[err.Error()] && len(s.malformed) < maxMalformed
		if isNew {
			s.malformed[err.Error()] = true
		}
		return WarmupChange{Kind: Unreadable, Process: s.process, Err: err}, isNew
	case outdated && now.Add(remaining).Before(s.coldUntil):
		// A later health check may have shown that the server is cold for longer.
		return WarmupChange{}, false
	}
	return l.setLocked(s, now.Add(remaining), now)
}

// setLocked sets until when the server is cold.
func (l *Warmup) setLocked(s *warmupState, until, now time.Time) (WarmupChange, bool) {
	wasCold := s.cold
	s.coldUntil = until
	s.cold = s.isCold(now)
	switch {
	case s.cold && !s.isSettledWithin(bucketLifetime, now):
		l.shareLocked(s, now)
		s.tokens, s.settledAt = s.phase, now
	case s.cold && !wasCold:
		s.settledAt = now
	}
	if wasCold == s.cold {
		return WarmupChange{}, false
	}
	return s.change(now), true
}

// setEvacuated records whether the server's zone is evacuated.
func (s *warmupState) setEvacuated(evacuated bool, now time.Time) {
	if s.evacuated && !evacuated {
		s.checkedAt, s.unevacuatedAt = time.Time{}, now
	}
	s.evacuated = evacuated
}

func (s *warmupState) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

func (s *warmupState) isSettledWithin(d time.Duration, now time.Time) bool {
	return !s.settledAt.IsZero() && now.Sub(s.settledAt) < d
}

func (s *warmupState) change(now time.Time) WarmupChange {
	c := WarmupChange{Kind: BecameWarm, Process: s.process}
	if s.cold {
		c.Kind, c.Remaining = BecameCold, s.coldUntil.Sub(now)
	}
	return c
}

func (l *Warmup) notify(changes ...WarmupChange) {
	if l.config.OnChange == nil {
		return
	}
	for _, c := range changes {
		l.config.OnChange(c)
	}
}

// Sweep reports the servers that have become warm.
func (l *Warmup) Sweep(now time.Time) {
	var changes []WarmupChange
	l.mu.Lock()
	for _, s := range l.states {
		if s.cold && !s.isCold(now) {
			s.cold = false
			changes = append(changes, s.change(now))
		}
	}
	l.mu.Unlock()
	l.notify(changes...)
}

// Cold returns the number of servers that are cold and have a limit.
func (l *Warmup) Cold() (n int) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.states {
		if s.isCold(now) && l.rates[s.process.Service] > 0 {
			n++
		}
	}
	return n
}

// ParseWarmup parses the number of milliseconds that a server stays cold, zero or more. More
// than an hour counts as an hour.
func ParseWarmup(text string) (time.Duration, error) {
	text = strings.TrimSpace(text)
	ms, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrRange) {
		err = nil
	}
	if err != nil || strings.ContainsAny(text, "xX_") || !(ms >= 0) || strings.ContainsAny(text, "iI") {
		return 0, fmt.Errorf("warmup time %.40q: want a decimal number of milliseconds", text)
	}
	return time.Duration(math.Min(ms, float64(maxWarmup.Milliseconds())) * float64(time.Millisecond)), nil
}
