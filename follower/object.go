package follower

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// object is what is known of one object of the store.
type object struct {
	change verbenastand.Change
	// last is the newest registration seen, also after its removal, and lastRevision
	// the revision that brought it.
	last         *verbenastand.Registration
	lastRevision verbenastand.Revision
	// heldUntil keeps a registration in use that may have lapsed.
	heldUntil time.Time
}

// applyLocked takes one change over and reports whether it changed the view.
func (f *Follower) applyLocked(c verbenastand.Change) (bool, Event) {
	o := f.objects[c.Key]
	if o == nil {
		o = &object{}
		f.objects[c.Key] = o
	}
	if c.Revision <= o.change.Revision {
		return false, Event{}
	}
	event := Event{Key: c.Key, Revision: c.Revision, Age: f.ageLocked(), Err: c.Fault}
	if c.Table != nil || (c.Fault != nil && o.change.Table != nil) {
		return f.applyTableLocked(o, c, event)
	}
	if c.Registration != nil && o.last != nil && c.Registration.OlderThan(*o.last) {
		event.What = "registrationOutdated"
		o.change.Revision = c.Revision
		return false, event
	}
	removed := c.Registration == nil
	if removed && o.change.Registration != nil && o.change.Registration.State() == verbenastand.ServerActive {
		o.heldUntil = f.heldUntilLocked()
	}
	if !removed {
		o.last, o.lastRevision = c.Registration, c.Revision
		o.heldUntil = time.Time{}
	}
	o.change = c
	event.What = registrationEvent(c)
	return true, event
}

// heldUntilLocked returns until when a registration that vanishes now is still
// used: it may have lapsed while the store was away.
func (f *Follower) heldUntilLocked() time.Time {
	until := f.returnedAt.Add(lapseGrace)
	if f.returnedAt.IsZero() || !f.config.Clock.Now().Before(until) {
		return time.Time{}
	}
	return until
}

func registrationEvent(c verbenastand.Change) string {
	switch {
	case c.Fault != nil:
		return "registrationUnreadable"
	case c.Removed:
		return "registrationRemoved"
	case c.Registration != nil && c.Registration.State() == verbenastand.ServerDraining:
		return "serverDraining"
	}
	return "serverRegistered"
}

func (f *Follower) applyTableLocked(o *object, c verbenastand.Change, event Event) (bool, Event) {
	if c.Table == nil {
		event.What = "tableUnreadable"
		o.change.Revision = c.Revision
		return false, event
	}
	if f.table != nil && c.Table.Version() <= f.table.Version() {
		event.What = "tableOutdated"
		o.change.Revision = c.Revision
		return false, event
	}
	f.table = c.Table
	o.change = c
	event.What = "tableInForce"
	return true, event
}

// removeMissingLocked removes registrations that a list of all objects no longer
// holds.
func (f *Follower) removeMissingLocked(b batch) bool {
	listed := make(map[string]bool, len(b.changes))
	for _, c := range b.changes {
		listed[c.Key] = true
	}
	changed := false
	for key, o := range f.objects {
		if listed[key] || o.change.Registration == nil || o.change.Revision > b.revision {
			continue
		}
		news, _ := f.applyLocked(verbenastand.Change{Key: key, Revision: b.revision, Removed: true})
		changed = changed || news
	}
	return changed
}

// removalLocked returns the changes that tell of an object that is gone: with its
// last registration, by which older ones that are written late are known.
func (o *object) removalLocked() []verbenastand.Change {
	if o.last == nil {
		return []verbenastand.Change{o.change}
	}
	return []verbenastand.Change{{Key: o.change.Key, Revision: o.lastRevision, Registration: o.last}, o.change}
}
