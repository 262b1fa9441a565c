package quarantiner

import (
	"math/rand/v2"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Evidence lists the servers whose connections were lost while they ran a request.
type Evidence struct {
	// Fingerprint is the part of the request's fingerprint for the scope.
	Fingerprint uint64 `cbor:"f"`
	Scope       Scope  `cbor:"c,omitempty"`
	// Servers names the crashed processes for hosts of earlier versions.
	Servers []verbenastand.ServerID `cbor:"s"`
	Losses  []LossRecord            `cbor:"l,omitempty"`
	// Generation counts the successes that have cleared earlier evidence.
	Generation uint32 `cbor:"g,omitempty"`
	// Remaining is the time after which the evidence expires. Zero means the whole
	// lifetime: hosts of earlier versions do not send it.
	Remaining time.Duration `cbor:"r,omitempty"`
}

// Merge adds evidence of another host and reports whether any of it was new.
func (q *Quarantiner) Merge(e Evidence) bool {
	q.mu.Lock()
	c, changed := q.insertLocked(e, e.losses(q.config.Clock.Now()))
	q.mu.Unlock()
	if changed {
		c.Kind = Learned
		q.notify(c)
	}
	return changed
}

// losses returns the losses, or those of the servers that a host of an earlier version
// names.
func (e Evidence) losses(now time.Time) []loss {
	var list []loss
	for _, r := range e.Losses[:min(len(e.Losses), maxLosses)] {
		if r.State != verbenastand.ProcessEnded && r.State != verbenastand.ProcessRunning {
			r.State = verbenastand.ProcessUnknown
		}
		list = append(list, loss{LossRecord: r, at: now.Add(-max(0, r.Age))})
	}
	if len(list) > 0 {
		return list
	}
	for _, server := range e.Servers[:min(len(e.Servers), maxLosses)] {
		list = append(list, newUnnumberedLoss(server, now))
	}
	return list
}

// insertLocked returns the crashes known after evidence was added, and whether it has
// changed.
func (q *Quarantiner) insertLocked(e Evidence, losses []loss) (c Change, changed bool) {
	remaining := q.config.Lifetime
	if e.Remaining > 0 {
		remaining = min(e.Remaining, q.config.Lifetime)
	}
	now := q.config.Clock.Now()
	s := q.findLocked(e.Fingerprint)
	if s == nil {
		if len(q.suspects) >= q.room(losses) {
			return Change{}, false
		}
		s = &suspect{scope: e.Scope, generation: e.Generation}
		q.suspects[e.Fingerprint] = s
		q.suspectCount.Store(int64(len(q.suspects)))
		changed = true
	}
	if e.Generation > s.generation {
		s.generation, s.losses = e.Generation, nil
		changed = true
	}
	if e.Generation == s.generation {
		for _, l := range losses {
			changed = s.merge(l) || changed
		}
		if expiry := now.Add(remaining); expiry.After(s.expiry) {
			s.expiry = expiry
		}
	}
	if changed {
		s.changedAt = now
	}
	return Change{Scope: s.scope, Fingerprint: formatHash(e.Fingerprint), Crashes: s.crashes(), PossibleCrashes: s.possibleCrashes()}, changed
}

// room returns the number of fingerprints up to which new losses are kept. Those of
// processes that may be running leave half of it to crashes.
func (q *Quarantiner) room(losses []loss) int {
	if len(losses) == 0 || slices.ContainsFunc(losses, func(l loss) bool { return l.State == verbenastand.ProcessEnded }) {
		return MaxSuspects
	}
	return MaxSuspects / 2
}

// Evidence returns up to limit entries: half of them are those that changed last, so
// that changes spread at once, and the others are chosen at random, so that a host
// that has just started receives all of them in time.
func (q *Quarantiner) Evidence(limit int) []Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Clock.Now()
	fingerprints := make([]key, 0, len(q.suspects))
	for f, s := range q.suspects {
		if now.Before(s.expiry) {
			fingerprints = append(fingerprints, f)
		}
	}
	slices.SortFunc(fingerprints, func(a, b key) int { return q.suspects[b].changedAt.Compare(q.suspects[a].changedAt) })
	older := fingerprints[min(limit/2, len(fingerprints)):]
	rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	var evidence []Evidence
	for _, f := range fingerprints[:min(limit, len(fingerprints))] {
		s := q.suspects[f]
		e := Evidence{
			Fingerprint: f, Scope: s.scope, Servers: s.crashedProcesses(), Generation: s.generation, Remaining: s.expiry.Sub(now),
		}
		for _, l := range s.sample(maxSentLosses) {
			e.Losses = append(e.Losses, l.record(now))
		}
		evidence = append(evidence, e)
	}
	return evidence
}
