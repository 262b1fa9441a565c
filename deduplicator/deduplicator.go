package deduplicator

import (
	"context"
	"net/http"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/verifier"
)

const (
	// DefaultValidity is how long a key may be used after it was issued.
	DefaultValidity = 2 * time.Minute
	// DefaultMaxKeys is the maximum number of keys stored at once.
	DefaultMaxKeys = 200_000
	// DefaultMaxBytes bounds the memory of the stored outcomes.
	DefaultMaxBytes = 64 << 20
	// maxEntriesFactor times MaxKeys bounds the entries, including those of keys
	// refused for lack of capacity.
	maxEntriesFactor = 2
	// MaxStoredBody is the maximum size of a response body stored for retries.
	MaxStoredBody = 64 << 10
)

// Outcome is the result of a key: a response, or an error with its verdict.
type Outcome struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      *verbenastand.RequestError
}

// NewResponse returns the outcome of a request that got a response. Complete is false
// if the body was too large to store.
func NewResponse(status int, header http.Header, body []byte, complete bool) Outcome {
	return Outcome{status: status, header: header, body: body, complete: complete}
}

// memory returns the memory that an outcome takes.
func (o Outcome) memory() int { return len(o.body) + int(bounder.HeaderCost(o.header)) }

// NewFailure returns the outcome of a request that got no response.
func NewFailure(err *verbenastand.RequestError) Outcome { return Outcome{err: err} }

// Status returns the status code of the response.
func (o Outcome) Status() int { return o.status }

// Header returns the header of the response, which must not be modified.
func (o Outcome) Header() http.Header { return o.header }

// Body returns the body of the response, which must not be modified.
func (o Outcome) Body() []byte { return o.body }

// Complete reports whether the body is complete.
func (o Outcome) Complete() bool { return o.complete }

// Err returns why there is no response, or nil.
func (o Outcome) Err() *verbenastand.RequestError { return o.err }

// Verdict returns whether the request may have run.
func (o Outcome) Verdict() verbenastand.Verdict {
	if o.err != nil {
		return o.err.Verdict()
	}
	return verbenastand.Ran
}

// entry is the state of one key. Done is closed once the outcome is set.
type entry struct {
	fingerprint uint64
	expiry      time.Time
	done        chan struct{}
	outcome     Outcome
	finished    bool
}

// Config configures a Deduplicator.
type Config struct {
	Clock    verbenastand.Clock
	Instance verbenastand.Instance
	// Validity, MaxKeys and MaxBytes default to the constants of the package.
	Validity time.Duration
	MaxKeys  int
	MaxBytes int
}

// Deduplicator stores the keys of this instance until they expire.
type Deduplicator struct {
	config Config

	mu      sync.Mutex
	entries map[string]*entry
	// imported holds the key tables of instances that shut down gracefully.
	imported map[verbenastand.Instance]*importedTable
	bytes    int
	closed   bool
	// latest is the latest time used to check an expiry. If the time could go
	// backwards, a discarded key would be valid again and be executed twice.
	latest time.Time
}

// NewDeduplicator returns an empty deduplicator.
func NewDeduplicator(c Config) *Deduplicator {
	if c.Validity == 0 {
		c.Validity = DefaultValidity
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	return &Deduplicator{config: c, entries: make(map[string]*entry), imported: make(map[verbenastand.Instance]*importedTable)}
}

// Validity returns how long a newly issued key may be used.
func (d *Deduplicator) Validity() time.Duration { return d.config.Validity }

// IssuePrefix returns a prefix for keys that only this instance may execute.
func (d *Deduplicator) IssuePrefix() string {
	return Prefix(d.config.Instance, d.config.Clock.Now().Add(d.config.Validity))
}

// Attempt is the exclusive permission to execute the request of one key. Its
// holder must call Finish.
type Attempt struct {
	deduplicator *Deduplicator
	entry        *entry
}

// Begin starts an attempt for the key, waits for the one in progress, or returns
// the stored outcome. At most one call of Begin gets an Attempt for a key; it must
// call Finish. Fingerprint detects a key that is reused for another request.
// If ctx ends first, the verdict is MayHaveRun, because the attempt continues.
func (d *Deduplicator) Begin(ctx context.Context, key Key, fingerprint uint64) (*Attempt, Outcome) {
	d.mu.Lock()
	now := d.now()
	localID := key.localID()
	if i := d.imported[key.instance]; i != nil {
		defer d.mu.Unlock()
		return nil, i.outcomeOf(key, fingerprint)
	}
	if refusal := d.refusal(key, now); refusal != nil {
		d.mu.Unlock()
		return nil, NewFailure(refusal)
	}
	e := d.entries[localID]
	if e == nil && len(d.entries) >= maxEntriesFactor*d.config.MaxKeys {
		d.mu.Unlock()
		// The refusal cannot be stored, so a delayed copy of the request may still
		// run: the verdict cannot be NotRun.
		refusal := verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonOverload, nil)
		return nil, NewFailure(refusal.WithRetryAfter(time.Second))
	}
	if e == nil {
		e = &entry{fingerprint: fingerprint, expiry: key.expiry, done: make(chan struct{})}
		if refusal := d.capacityRefusal(); refusal != nil {
			// The refusal is stored, so that a delayed copy of the request is not
			// executed later.
			d.setOutcomeLocked(e, NewFailure(refusal))
		}
		d.entries[localID] = e
		finished := e.finished
		d.mu.Unlock()
		if finished {
			return nil, e.outcome
		}
		return &Attempt{deduplicator: d, entry: e}, Outcome{}
	}
	d.mu.Unlock()
	if e.fingerprint != fingerprint {
		return nil, NewFailure(verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyConflict, nil))
	}
	select {
	case <-e.done:
		return nil, e.outcome
	case <-ctx.Done():
		return nil, NewFailure(verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonDeadline, ctx.Err()))
	}
}

func (d *Deduplicator) now() time.Time {
	now := d.config.Clock.Now()
	if now.Before(d.latest) {
		return d.latest
	}
	d.latest = now
	return now
}

// refusal returns why the request of the key must not be executed, or nil. The
// verdict for an expired key is MayHaveRun, because its request may have run before
// the outcome was discarded.
func (d *Deduplicator) refusal(key Key, now time.Time) *verbenastand.RequestError {
	if key.instance != d.config.Instance {
		return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyOwnerUnreachable, nil)
	}
	if !now.Before(key.expiry) {
		return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyExpired, nil)
	}
	if key.expiry.Sub(now) > 2*d.config.Validity {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonBadKey, ErrNotIssued)
	}
	return nil
}

func (d *Deduplicator) capacityRefusal() *verbenastand.RequestError {
	if d.closed {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonDraining, nil)
	}
	if len(d.entries) >= d.config.MaxKeys || d.bytes >= d.config.MaxBytes {
		refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, nil)
		return refusal.WithRetryAfter(time.Second)
	}
	return nil
}

// setOutcomeLocked sets the outcome of an entry once.
func (d *Deduplicator) setOutcomeLocked(e *entry, o Outcome) {
	verifier.Assert(!e.finished, "a key has one outcome")
	if e.finished {
		return
	}
	e.finished = true
	e.outcome = o
	d.bytes += o.memory()
	close(e.done)
}

// Finish sets the outcome of the key. It must be called exactly once.
func (a *Attempt) Finish(o Outcome) {
	a.deduplicator.mu.Lock()
	defer a.deduplicator.mu.Unlock()
	a.deduplicator.setOutcomeLocked(a.entry, o)
}

// Close makes Begin refuse new keys with the verdict NotRun. Stored outcomes are
// still returned to retries.
func (d *Deduplicator) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Sweep discards expired keys. A key with an attempt in progress is retained
// until the attempt ends; retries of it are refused as expired.
func (d *Deduplicator) Sweep(time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for localID, e := range d.entries {
		if e.finished && !now.Before(e.expiry) {
			d.bytes -= e.outcome.memory()
			delete(d.entries, localID)
		}
	}
	d.sweepImported(now)
}

// Len returns the number of stored keys.
func (d *Deduplicator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}
