package follower

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// batch is a set of changes with the time at which the store confirmed its
// revision.
type batch struct {
	changes []verbenastand.Change
	// era is the era of all revisions of the batch.
	era verbenastand.Era
	// after is the revision after which the changes are complete, zero if they are all
	// objects.
	after verbenastand.Revision
	full  bool
	// provisional is set if the changes may be of any era.
	provisional bool
	revision    verbenastand.Revision
	confirmedAt time.Time
	// held are states that the sender uses although the store shows older ones at the
	// revision.
	held []heldChange
	// retained are evacuations that hold although the store does not have them.
	retained []retainedRecord
	// forwardTo are the hosts to which the receiver forwards the batch.
	forwardTo []verbenastand.HostID
	// encoded are the encoded changes if other peers receive them too, or nil.
	encoded *encodedChanges
}

// position returns the position up to which the changes are complete.
func (b batch) position() verbenastand.Position {
	return verbenastand.Position{Era: b.era, Revision: b.revision}
}

// announcement returns the batch without its changes.
func (b batch) announcement() batch {
	return batch{era: b.era, after: b.revision, revision: b.revision, confirmedAt: b.confirmedAt}
}

// large reports whether sending the batch to many peers would saturate a slow
// link.
func (b batch) large() bool {
	routes := 0
	for _, c := range b.changes {
		if c.Table != nil {
			routes += len(c.Table.Routes())
		}
	}
	return routes+len(b.changes) > largeBatchSize
}

// encodingKey identifies the changes of a batch that changesSince returns.
type encodingKey struct {
	// generation numbers the states of the objects.
	generation uint64
	full       bool
	after      verbenastand.Revision
}

// encodedLocked returns the encoded changes for all peers that lack the same ones of the
// current state.
func (f *Follower) encodedLocked(b batch) *encodedChanges {
	key := encodingKey{generation: f.generation, full: b.full, after: b.after}
	e := f.encodings[key]
	if e == nil {
		if len(f.encodings) >= maxEncodings {
			clear(f.encodings)
		}
		e = &encodedChanges{}
		f.encodings[key] = e
	}
	return e
}

// objectsChangedLocked discards the encoded changes of earlier states.
func (f *Follower) objectsChangedLocked() {
	f.generation++
	clear(f.encodings)
}

// apply applies a batch. It returns false if changes before it are missing, or if it
// is from an earlier era than this host's.
func (f *Follower) apply(b batch) bool {
	f.mu.Lock()
	f.noteNewestLocked(b.position())
	if b.era < f.era || (!b.full && (b.era > f.era || b.after > f.revision || f.provisional)) {
		f.mu.Unlock()
		return false
	}
	var events []Event
	changed := false
	f.entering = b.era > f.era || f.provisional
	if f.entering {
		events = append(events, f.enterEraLocked(b)...)
	}
	f.beginBatchLocked(b)
	if !b.position().Before(f.newest) {
		// A position before one that a peer knows is not current.
		events = append(events, f.confirmLocked(b)...)
	}
	for _, c := range evacuationsLast(b.changes) {
		updated, event := f.applyLocked(c)
		changed = changed || updated
		if event.Name != "" {
			events = append(events, event)
		}
	}
	if b.provisional {
		f.provisional = true
	}
	if b.full {
		changed = f.removeMissingLocked(b) || changed
		f.recordGapLocked(b.revision)
	}
	for _, h := range b.held {
		updated, event := f.mergeHeldLocked(h)
		changed = changed || updated
		if event.Name != "" {
			events = append(events, event)
		}
	}
	for _, r := range b.retained {
		changed = f.mergeRetainedLocked(r, b.revision) || changed
	}
	if len(b.changes)+len(b.held)+len(b.retained) > 0 || f.entering || f.revision < b.revision {
		f.objectsChangedLocked()
	}
	f.revision = max(f.revision, b.revision)
	serviceable := f.becomesServiceableLocked()
	f.mu.Unlock()
	f.finish(changed, serviceable, events)
	return true
}

// confirmLocked records the confirmation of a batch. It returns an event if an
// outage of the store ended.
func (f *Follower) confirmLocked(b batch) []Event {
	at := b.confirmedAt
	if !at.After(f.confirmedAt) {
		return nil
	}
	elapsed := at.Sub(f.confirmedAt)
	first := f.confirmedAt.IsZero()
	f.confirmedAt = at
	if first || elapsed < outageThreshold {
		return nil
	}
	f.recoveredAt = f.config.Clock.Now()
	return []Event{{Name: "storeReturned", Position: b.position(), Staleness: elapsed}}
}

// recordGapLocked records that a list of all objects advanced this host to a
// revision: objects that were created and removed in between are not known. Peers
// at or before the start of the gap never saw these objects; peers within the gap
// are sent all objects.
func (f *Follower) recordGapLocked(until verbenastand.Revision) {
	if until <= f.revision {
		return
	}
	if f.revision == 0 {
		f.historyFrom = max(f.historyFrom, until)
		return
	}
	f.historyFrom = max(f.historyFrom, f.gapUntil)
	f.gapFrom, f.gapUntil = f.revision, until
}

// contiguousLocked reports whether all changes after a revision are known.
func (f *Follower) contiguousLocked(after verbenastand.Revision) bool {
	return after != 0 && after >= f.historyFrom && (after <= f.gapFrom || after >= f.gapUntil)
}

// changesSince returns the newest change of each object after a position, or all
// objects if changes in between are not known.
func (f *Follower) changesSince(position verbenastand.Position) batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := position.Revision
	b := batch{era: f.era, after: after, revision: f.revision, confirmedAt: f.confirmedAt, retained: f.retainedLocked()}
	if f.revision == 0 {
		// Parts of a list are not all objects.
		return b
	}
	if position.Era != f.era || !f.contiguousLocked(after) {
		b.full, b.after = true, 0
	}
	b.encoded = f.encodedLocked(b)
	for key, o := range f.objects {
		if f.held[key] != nil && b.full {
			continue
		}
		if o.change.Registration != nil || o.change.Table != nil || o.change.Evacuated != "" {
			if b.full || o.change.Revision > after {
				b.changes = append(b.changes, o.change)
			}
			continue
		}
		if !b.full && o.change.Revision > after {
			b.changes = append(b.changes, o.removalLocked()...)
		}
	}
	if b.full {
		b.held = f.heldChangesLocked()
	}
	return b
}
