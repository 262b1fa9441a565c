package follower

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

// heldChange is a state in use that is newer than what the store shows of the object,
// for example because the store has returned from an older copy. A host that reads only
// the store does not know it, so hosts at the same position exchange what they hold.
type heldChange struct {
	// change has the revision of the object in the store.
	change verbenastand.Change
	// last is the last registration of a server that has left.
	last *verbenastand.Registration
}

// holdLocked records that the state in use is newer than the store's.
func (f *Follower) holdLocked(key string, o *object) { f.held[key] = o }

// heldChangesLocked returns the states in use that are newer than the store's.
func (f *Follower) heldChangesLocked() []heldChange {
	list := make([]heldChange, 0, len(f.held))
	for _, o := range f.held {
		h := heldChange{change: o.change}
		if o.change.Registration == nil && o.change.Table == nil {
			h.last = o.lastRegistration
		}
		list = append(list, h)
	}
	return list
}

// heldChanges returns the states in use that are newer than the store's.
func (f *Follower) heldChanges() []heldChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldChangesLocked()
}

// heldDigest identifies the states in use that are newer than the store's; zero if there
// are none.
func (f *Follower) heldDigest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldDigestLocked()
}

func (f *Follower) heldDigestLocked() uint64 {
	var digest uint64
	for key, o := range f.held {
		data := append([]byte(key), 0)
		if o.change.Table != nil {
			data = binary.BigEndian.AppendUint64(data, uint64(o.change.Table.Version()))
		}
		if r := o.lastRegistration; r != nil {
			data = binary.BigEndian.AppendUint64(data, uint64(r.StartTime()))
			data = binary.BigEndian.AppendUint64(data, r.Sequence())
			data = append(data, byte(r.State()), boolByte(o.change.Registration == nil))
		}
		digest ^= xxhash.Sum64(data)
	}
	return digest
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// mergeHeldLocked uses a state that a peer holds if it is newer than this host's, and
// reports whether that changed the view.
func (f *Follower) mergeHeldLocked(h heldChange) (bool, Event) {
	key := h.change.Key
	o := f.objects[key]
	if o == nil {
		o = &object{change: verbenastand.Change{Key: key, Removed: true}}
		f.objects[key] = o
	}
	event := Event{
		Key: key, Staleness: f.stalenessLocked(), Err: h.change.Warning,
		Position: verbenastand.Position{Era: f.era, Revision: h.change.Revision},
	}
	if h.change.Table != nil {
		return f.mergeHeldTableLocked(o, h, event)
	}
	if h.change.Revision < o.change.Revision && f.held[key] == nil {
		// The store has shown a later state than the peer has seen.
		return false, Event{}
	}
	revision := max(h.change.Revision, o.change.Revision)
	order := compareHeld(h, heldChange{change: o.change, last: o.lastRegistration})
	if order < 0 {
		return false, Event{}
	}
	f.holdLocked(key, o)
	if order == 0 {
		o.change.Revision = revision
		return false, Event{}
	}
	if h.change.Registration == nil {
		f.setAsideLocked(o)
	}
	o.change, o.retainedUntil = h.change, time.Time{}
	o.change.Revision = revision
	o.lastRegistration = h.registration()
	event.Name = registrationEvent(o.change)
	return true, event
}

// setAsideLocked remembers the registration in use as one that the store shows although
// the server has left.
func (f *Follower) setAsideLocked(o *object) {
	if o.change.Registration == nil {
		return
	}
	shown := o.change
	o.outdated, o.outdatedUntil = &shown, f.renewalDeadline()
}

func (f *Follower) mergeHeldTableLocked(o *object, h heldChange, event Event) (bool, Event) {
	if f.table != nil && h.change.Table.Version() <= f.table.Version() {
		if h.change.Table.Version() == f.table.Version() && h.change.Revision >= o.change.Revision {
			o.change.Revision = h.change.Revision
			f.holdLocked(h.change.Key, o)
		}
		return false, Event{}
	}
	revision := max(h.change.Revision, o.change.Revision)
	f.table, o.change = h.change.Table, h.change
	o.change.Revision = revision
	f.holdLocked(h.change.Key, o)
	event.Name = "tableInForce"
	return true, event
}

// compareHeld orders two states of a server: by its process and sequence number, so that
// what the server said last counts; a removal follows the registration that it removed.
// Without start times, the state in which the server gets fewer requests follows.
func compareHeld(a, b heldChange) int {
	ra, rb := a.registration(), b.registration()
	switch {
	case ra == nil || rb == nil:
		return cmp.Compare(boolByte(ra != nil), boolByte(rb != nil))
	case ra.StartTime() == 0 || rb.StartTime() == 0:
		return cmp.Or(cmp.Compare(a.withdrawal(), b.withdrawal()), cmp.Compare(ra.StartTime(), rb.StartTime()))
	}
	return cmp.Or(cmp.Compare(ra.StartTime(), rb.StartTime()), cmp.Compare(ra.Sequence(), rb.Sequence()),
		cmp.Compare(a.withdrawal(), b.withdrawal()))
}

// withdrawal orders the states of a server: active, draining, removed.
func (h heldChange) withdrawal() int {
	switch r := h.change.Registration; {
	case r == nil:
		return 2
	case r.State() == verbenastand.ServerDraining:
		return 1
	}
	return 0
}

func (h heldChange) registration() *verbenastand.Registration {
	if h.change.Registration != nil {
		return h.change.Registration
	}
	return h.last
}
