package follower

import (
	"errors"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// object is the state of one object of the store.
type object struct {
	change verbenastand.Change
	// lastRegistration is the newest registration seen, even after its removal, and
	// lastRevision the revision at which it was written.
	lastRegistration *verbenastand.Registration
	lastRevision     verbenastand.Revision
	// retainedUntil is when a removed registration that may have expired during an
	// outage stops being used.
	retainedUntil time.Time
	// earlierRevision is the highest revision of change in earlier eras.
	earlierRevision verbenastand.Revision
	// outdated is a registration that the store shows after its return although this
	// host has seen its removal. A server that still renews it by outdatedUntil is
	// running.
	outdated      *verbenastand.Change
	outdatedUntil time.Time
	// evacuation is set if the object requests one, or has.
	evacuation *evacuation
}

// applyLocked applies one change and reports whether it changed the view.
func (f *Follower) applyLocked(c verbenastand.Change) (bool, Event) {
	o := f.objects[c.Key]
	if c.Evacuated != "" && (o == nil || o.evacuation == nil) && !f.admitEvacuationLocked(c) {
		return false, Event{}
	}
	if o == nil {
		o = &object{}
		f.objects[c.Key] = o
	}
	if c.Revision <= o.change.Revision {
		return false, Event{}
	}
	event := Event{Key: c.Key, Position: verbenastand.Position{Era: f.era, Revision: c.Revision}, Staleness: f.stalenessLocked(), Err: errors.Join(c.Err, c.Warning)}
	if c.Table != nil || (c.Err != nil && o.change.Table != nil) {
		return f.applyTableLocked(o, c, event)
	}
	if c.Evacuated != "" || o.evacuation != nil {
		return f.applyEvacuationLocked(o, c), Event{}
	}
	if c.Registration != nil && o.lastRegistration != nil && (c.Registration.OlderThan(*o.lastRegistration) || (f.entering && o.restores(c))) {
		event.Name = "registrationOutdated"
		o.change.Revision = c.Revision
		f.holdLocked(c.Key, o)
		if o.change.Registration == nil && f.entering {
			o.outdated, o.outdatedUntil = &c, f.renewalDeadline()
		}
		return false, event
	}
	o.outdated = nil
	delete(f.held, c.Key)
	removed := c.Registration == nil
	if removed && o.change.Registration != nil && o.change.Registration.State() == verbenastand.ServerActive {
		o.retainedUntil = f.retainUntilLocked()
	}
	if !removed {
		unchanged := o.change.Registration != nil && *o.change.Registration == *c.Registration
		o.lastRegistration, o.lastRevision = c.Registration, c.Revision
		o.retainedUntil = time.Time{}
		if unchanged {
			o.change = c
			return false, Event{}
		}
	}
	o.change = c
	event.Name = registrationEvent(c)
	return true, event
}

// renewalDeadline returns the time at which the store has removed all registrations that
// are no longer renewed.
func (f *Follower) renewalDeadline() time.Time {
	return f.config.Clock.Now().Add(f.config.RegistrationLifetime + reregistrationGrace)
}

// restores reports whether the first state that the store shows of an object after its
// return may have been written before the removal of the server that this host has
// seen, by the same process. Registrations without a start time have no order of
// their own, so that one may also have been written before the drain.
func (o *object) restores(c verbenastand.Change) bool {
	last, inUse := o.lastRegistration, o.change.Registration
	if c.Revision > o.earlierRevision || c.Registration.State() != verbenastand.ServerActive {
		return false
	}
	if c.Registration.StartTime() == 0 || last.StartTime() == 0 {
		return inUse == nil || inUse.State() == verbenastand.ServerDraining
	}
	return inUse == nil && last.StartTime() == c.Registration.StartTime()
}

// renewLocked uses a registration that the store still has although it seemed outdated,
// and reports whether it does so now.
func (f *Follower) renewLocked(o *object, now time.Time) (bool, Event) {
	if o.outdated == nil || now.Before(o.outdatedUntil) || f.stalenessLocked() > outageThreshold {
		return false, Event{}
	}
	o.change, o.outdated = *o.outdated, nil
	delete(f.held, o.change.Key)
	o.lastRegistration, o.lastRevision = o.change.Registration, o.change.Revision
	return true, Event{
		Name: "registrationRenewed", Key: o.change.Key, Staleness: f.stalenessLocked(),
		Position: verbenastand.Position{Era: f.era, Revision: o.change.Revision},
	}
}

// retainUntilLocked returns the time until which a registration that is removed now
// remains in use, since it may have expired during an outage of the store. The time
// is zero if there was no recent outage.
func (f *Follower) retainUntilLocked() time.Time {
	until := f.recoveredAt.Add(reregistrationGrace)
	if f.recoveredAt.IsZero() || !f.config.Clock.Now().Before(until) {
		return time.Time{}
	}
	return until
}

func registrationEvent(c verbenastand.Change) string {
	switch {
	case c.Err != nil:
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
		event.Name = "tableUnreadable"
		o.change.Revision = c.Revision
		f.holdLocked(c.Key, o)
		return false, event
	}
	event.Name = "tableInForce"
	if f.table != nil && c.Table.Version() < f.table.Version() {
		event.Name = "tableOutdated"
		o.change.Revision = c.Revision
		f.holdLocked(c.Key, o)
		return false, event
	}
	if f.table != nil && c.Table.Version() == f.table.Version() {
		event.Name = "tableRewritten"
	}
	f.table = c.Table
	o.change = c
	delete(f.held, c.Key)
	return true, event
}

// removeMissingLocked removes the registrations that a list of all objects no
// longer contains, and reports whether it changed the view.
func (f *Follower) removeMissingLocked(b batch) bool {
	listed := make(map[string]bool, len(b.changes))
	for _, c := range b.changes {
		listed[c.Key] = true
	}
	for _, h := range b.held {
		listed[h.change.Key] = true
	}
	changed := false
	for key, o := range f.objects {
		if listed[key] || o.change.Revision > b.revision {
			continue
		}
		switch {
		case o.change.Table != nil:
			// The table stays in force until there is another.
			o.change.Revision = b.revision
			f.holdLocked(key, o)
		case o.change.Registration == nil && o.change.Evacuated == "":
			o.outdated = nil
			delete(f.held, key)
		default:
			updated, _ := f.applyLocked(verbenastand.Change{Key: key, Revision: b.revision, Removed: true})
			changed = changed || updated
		}
	}
	return changed
}

// removalLocked returns the changes that describe a removed object. They include
// its last registration, by which the receiver recognizes outdated ones that are
// written later.
func (o *object) removalLocked() []verbenastand.Change {
	if o.lastRegistration == nil {
		return []verbenastand.Change{o.change}
	}
	return []verbenastand.Change{{Key: o.change.Key, Revision: o.lastRevision, Registration: o.lastRegistration}, o.change}
}
