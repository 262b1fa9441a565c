package follower

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// batch is a set of changes together with the proof it brings.
type batch struct {
	changes []verbenastand.Change
	// after is the revision from which on the changes are complete, zero if they
	// are all objects.
	after    verbenastand.Revision
	whole    bool
	revision verbenastand.Revision
	provedAt time.Time
	// passOn are the hosts that the receiver is to tell.
	passOn []verbenastand.HostID
}

// announcement returns the batch without its changes.
func (b batch) announcement() batch {
	return batch{after: b.revision, revision: b.revision, provedAt: b.provedAt}
}

// large reports whether sending the batch to many peers would fill a slow link.
func (b batch) large() bool {
	routes := 0
	for _, c := range b.changes {
		if c.Table != nil {
			routes += len(c.Table.Routes())
		}
	}
	return routes+len(b.changes) > largeBatch
}

// apply takes a batch over. It reports false if changes before it are missing.
func (f *Follower) apply(b batch) bool {
	f.mu.Lock()
	f.newest = max(f.newest, b.revision)
	if !b.whole && b.after > f.revision {
		f.mu.Unlock()
		return false
	}
	var events []Event
	if b.revision >= f.newest {
		// What is older than a peer's knowledge does not prove the present.
		events = f.proveLocked(b.provedAt)
	}
	changed := false
	for _, c := range b.changes {
		news, event := f.applyLocked(c)
		changed = changed || news
		if event.What != "" {
			events = append(events, event)
		}
	}
	if b.whole {
		changed = f.removeMissingLocked(b) || changed
		f.noteGapLocked(b.revision)
	}
	f.revision = max(f.revision, b.revision)
	f.mu.Unlock()
	for _, e := range events {
		f.config.OnEvent(e)
	}
	if changed {
		f.publish()
	}
	return true
}

// proveLocked notes the proof of a batch, and the return of a store that was away.
func (f *Follower) proveLocked(at time.Time) []Event {
	if !at.After(f.provedAt) {
		return nil
	}
	age := at.Sub(f.provedAt)
	first := f.provedAt.IsZero()
	f.provedAt = at
	if first || age < outageAge {
		return nil
	}
	f.returnedAt = f.config.Clock.Now()
	return []Event{{What: "storeReturned", Revision: f.revision, Age: age}}
}

// noteGapLocked notes that a list of all objects brought this host to a revision:
// objects that came and went on the way are not known. Hosts that are behind the
// way need not know of them, hosts on it get all objects.
func (f *Follower) noteGapLocked(until verbenastand.Revision) {
	if until <= f.revision {
		return
	}
	if f.revision == 0 {
		f.knownFrom = max(f.knownFrom, until)
		return
	}
	f.knownFrom = max(f.knownFrom, f.gapUntil)
	f.gapFrom, f.gapUntil = f.revision, until
}

// contiguousLocked reports whether all changes after a revision are known.
func (f *Follower) contiguousLocked(after verbenastand.Revision) bool {
	return after != 0 && after >= f.knownFrom && (after <= f.gapFrom || after >= f.gapUntil)
}

// since returns the newest change of each object after a revision, or all objects
// if changes between are not known.
func (f *Follower) since(after verbenastand.Revision) batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := batch{after: after, revision: f.revision, provedAt: f.provedAt}
	if !f.contiguousLocked(after) {
		b.whole, b.after = true, 0
	}
	for _, o := range f.objects {
		if o.change.Registration != nil || o.change.Table != nil {
			if b.whole || o.change.Revision > after {
				b.changes = append(b.changes, o.change)
			}
			continue
		}
		if !b.whole && o.change.Revision > after {
			b.changes = append(b.changes, o.removalLocked()...)
		}
	}
	return b
}
