// Package quarantiner detects requests that crash backend servers and refuses to
// send them to further servers. Evidence is the set of lost connections to servers per
// request fingerprint, with what is known about each server's process. A host that can't
// tell whether a process has ended leaves that to the hosts that are about to send the
// request again. A success of the request clears the evidence and begins a new generation.
// Hosts exchange evidence: the higher generation wins, and sets of one generation are
// merged by union and their findings by order, so it does not matter in which order
// evidence arrives.
package quarantiner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// DefaultLifetime is how long evidence is kept.
	DefaultLifetime = 2 * time.Minute
	// MaxSuspects is the maximum number of suspected fingerprints.
	MaxSuspects = 4096
)

type suspect struct {
	scope Scope
	// losses is empty after evidence has been cleared.
	losses     []*loss
	generation uint32
	expiry     time.Time
	changedAt  time.Time
	// attemptDone is closed when the current attempt ends; nil if there is none.
	attemptDone chan struct{}
}

// Config configures a Quarantiner.
type Config struct {
	Clock    verbenastand.Clock
	Lifetime time.Duration
	// RegistrationTime is the time within which a server process is registered after its
	// start. A process that responds for longer under the ID of one that may have ended is
	// that process, unless a later one is registered.
	RegistrationTime time.Duration
	// OnChange is called after evidence has changed; may be nil.
	OnChange func(Change)
}

// key identifies evidence. The parts of a Fingerprint are hashes of different texts.
type key = uint64

// Quarantiner holds the fingerprints of suspected requests.
type Quarantiner struct {
	config Config
	// suspectCount lets requests skip the lock while there are no suspects.
	suspectCount atomic.Int64

	mu       sync.Mutex
	suspects map[key]*suspect
}

// NewQuarantiner returns a quarantiner without suspects.
func NewQuarantiner(c Config) *Quarantiner {
	if c.Lifetime == 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.RegistrationTime == 0 {
		c.RegistrationTime = DefaultRegistrationTime
	}
	return &Quarantiner{config: c, suspects: make(map[key]*suspect)}
}

// Acquire returns nil if a request may be sent to a server; the caller must then
// call Release. A host runs attempts of a caller's suspected request one at a time and
// refuses the request at the limit of crashes. The error has the verdict NotRun.
func (q *Quarantiner) Acquire(ctx context.Context, f Fingerprint) error {
	for {
		attemptDone, err := q.tryAcquire(f)
		if attemptDone == nil {
			return err
		}
		select {
		case <-attemptDone:
		case <-ctx.Done():
			return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonQuarantined, ctx.Err())
		}
	}
}

// tryAcquire is Acquire without waiting. It returns a channel to wait on if an
// attempt of the suspected request is in progress.
func (q *Quarantiner) tryAcquire(f Fingerprint) (<-chan struct{}, error) {
	if q.suspectCount.Load() == 0 {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.refusalLocked(f); err != nil {
		return nil, err
	}
	s := q.findLocked(f.perCaller)
	if s == nil || s.crashes() == 0 {
		return nil, nil
	}
	if s.attemptDone != nil {
		return s.attemptDone, nil
	}
	s.attemptDone = make(chan struct{})
	return nil, nil
}

// findLocked returns the evidence that has not expired, nil if there is none.
func (q *Quarantiner) findLocked(k key) *suspect {
	s := q.suspects[k]
	if s == nil || !q.config.Clock.Now().After(s.expiry) {
		return s
	}
	q.removeLocked(k)
	return nil
}

// refusalLocked returns the error of a request that has reached a limit of crashes.
func (q *Quarantiner) refusalLocked(f Fingerprint) error {
	for _, s := range q.suspectsLocked(f) {
		if s.crashes() < s.scope.crashLimit() {
			continue
		}
		retryAfter := s.expiry.Sub(q.config.Clock.Now())
		if s.mayBeRefuted() {
			retryAfter = min(retryAfter, q.config.RegistrationTime)
		}
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonQuarantined, nil).WithRetryAfter(retryAfter)
	}
	return nil
}

// Check returns the error of Acquire if the request has reached the limit of crashes
// since then, because evidence has arrived while it waited or was tried.
func (q *Quarantiner) Check(f Fingerprint) error {
	if q.suspectCount.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refusalLocked(f)
}

// Suspected reports whether a server crashed while it ran the request of the caller,
// or of another one.
func (q *Quarantiner) Suspected(f Fingerprint) bool {
	if q.suspectCount.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.suspectsLocked(f), func(s *suspect) bool { return s.crashes() > 0 })
}

// PossiblySuspected reports whether a server may have crashed while it ran the request.
func (q *Quarantiner) PossiblySuspected(f Fingerprint) bool {
	if q.suspectCount.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.suspectsLocked(f), func(s *suspect) bool { return s.possibleCrashes() > 0 })
}

// suspectsLocked returns the evidence about a request for each scope.
func (q *Quarantiner) suspectsLocked(f Fingerprint) []*suspect {
	list := make([]*suspect, 0, scopeCount)
	for _, k := range []key{f.perCaller, f.allCallers} {
		if s := q.findLocked(k); s != nil {
			list = append(list, s)
		}
	}
	return list
}

// Release ends an attempt that Acquire allowed. A request that succeeded is no longer
// suspected: another request crashed the server on which it was in flight.
func (q *Quarantiner) Release(f Fingerprint, succeeded bool) {
	if q.suspectCount.Load() == 0 {
		return
	}
	var cleared []Change
	defer func() { q.notify(cleared...) }()
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspects[f.perCaller]; s != nil && s.attemptDone != nil {
		close(s.attemptDone)
		s.attemptDone = nil
	}
	if !succeeded {
		return
	}
	for _, k := range []key{f.perCaller, f.allCallers} {
		if c, ok := q.clearLocked(k); ok {
			cleared = append(cleared, c)
		}
	}
}

// clearLocked removes the crashes from evidence. A caller's request that has reached
// the limit stays refused.
func (q *Quarantiner) clearLocked(k key) (Change, bool) {
	s := q.findLocked(k)
	if s == nil || len(s.losses) == 0 || (s.scope == PerCaller && s.crashes() >= CrashLimit) {
		return Change{}, false
	}
	c := Change{Kind: Cleared, Scope: s.scope, Fingerprint: formatHash(k), Crashes: s.crashes(), PossibleCrashes: s.possibleCrashes()}
	s.losses = nil
	s.generation++
	s.changedAt = q.config.Clock.Now()
	s.expiry = s.changedAt.Add(q.config.Lifetime)
	return c, true
}

func (q *Quarantiner) removeLocked(k key) {
	if s := q.suspects[k]; s.attemptDone != nil {
		close(s.attemptDone)
	}
	delete(q.suspects, k)
	q.suspectCount.Store(int64(len(q.suspects)))
}

// RecordLoss records that the connection to a server was lost while it ran the request,
// and what is known about the server. It reports whether that was new.
func (q *Quarantiner) RecordLoss(f Fingerprint, lost verbenastand.Loss, state verbenastand.ProcessState) bool {
	l := newLoss(lost, state)
	ofCaller := q.record(f.perCaller, PerCaller, l, Recorded)
	ofAll := q.record(f.allCallers, AllCallers, l, Recorded)
	return ofCaller || ofAll
}

// LearnLoss is RecordLoss for a loss of another host, which has sent it with the request.
func (q *Quarantiner) LearnLoss(f Fingerprint, lost verbenastand.Loss, state verbenastand.ProcessState) {
	l := newLoss(lost, state)
	q.record(f.perCaller, PerCaller, l, Learned)
	q.record(f.allCallers, AllCallers, l, Learned)
}

func (q *Quarantiner) record(k key, scope Scope, l loss, kind ChangeKind) bool {
	q.mu.Lock()
	e := Evidence{Fingerprint: k, Scope: scope}
	if s := q.findLocked(k); s != nil {
		e.Generation = s.generation
	}
	c, changed := q.insertLocked(e, []loss{l})
	q.mu.Unlock()
	if changed {
		c.Kind = kind
		q.notify(c)
	}
	return changed
}

// Sweep removes expired evidence.
func (q *Quarantiner) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, s := range q.suspects {
		if now.After(s.expiry) {
			q.removeLocked(f)
		}
	}
}

// Quarantined returns the number of refused fingerprints.
func (q *Quarantiner) Quarantined() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, s := range q.suspects {
		if s.crashes() >= s.scope.crashLimit() {
			n++
		}
	}
	return n
}
