package follower

import (
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// maxEvacuations bounds the evacuations that are kept, those that have ended included.
const maxEvacuations = 1024

// evacuation is the state of an object that requests the evacuation of an availability zone.
// While it is in force, the zone is in the object's change.
type evacuation struct {
	// retained is the zone of an evacuation that is missing from the copy from which the
	// store has returned. It holds until retainedUntil.
	retained      verbenastand.Zone
	retainedUntil time.Time
	// lapsed is set once an evacuation has ended in the current era.
	lapsed bool
}

// zone returns the zone that the object evacuates, empty if there is none.
func (o *object) zone() verbenastand.Zone {
	if o.evacuation != nil && o.change.Evacuated == "" {
		return o.evacuation.retained
	}
	return o.change.Evacuated
}

// evacuations are the state of the objects that request evacuations.
type evacuations struct {
	// objects are these objects, those that have ended included, and retained the ones that
	// hold although the store does not have them.
	objects, retained map[string]*object
	// populated holds the zones that have servers, nil until they are needed. full is set
	// once there is no room for a zone without servers. Both are of the current batch.
	populated map[verbenastand.Zone]bool
	full      bool
	// listing is set while the batch contains all objects of a current revision.
	listing bool
}

func newEvacuations() evacuations {
	return evacuations{objects: make(map[string]*object), retained: make(map[string]*object)}
}

// beginBatchLocked prepares the evacuations for a batch.
func (f *Follower) beginBatchLocked(b batch) {
	e := &f.evacuations
	e.populated, e.full, e.listing = nil, false, b.full && (f.entering || b.revision >= f.revision)
	if !f.entering {
		return
	}
	for _, o := range e.objects {
		o.evacuation.lapsed = false
		if o.evacuation.retained != "" {
			o.evacuation.retainedUntil = f.retainUntilLocked()
		}
	}
}

// applyEvacuationLocked applies the beginning or the end of the evacuation of an availability
// zone, and reports whether it changed the view. An evacuation that is missing from the copy from
// which the store has returned holds for the time that its operator has to write it again.
func (f *Follower) applyEvacuationLocked(o *object, c verbenastand.Change) bool {
	before := o.zone()
	if o.evacuation == nil {
		o.evacuation = &evacuation{}
		f.evacuations.objects[c.Key] = o
	}
	e := o.evacuation
	if !c.Removed && c.Evacuated == "" {
		// The object still exists, whatever it is that can't be read.
		c.Evacuated = before
	}
	ended := c.Removed || c.Evacuated == ""
	switch {
	case !ended:
		*e = evacuation{}
	case o.change.Evacuated != "" && f.entering:
		*e = evacuation{}
		if until := f.retainUntilLocked(); !until.IsZero() {
			*e = evacuation{retained: o.change.Evacuated, retainedUntil: until}
		}
	case o.change.Evacuated != "":
		// It was in force in this era, so it has been deleted.
		*e = evacuation{lapsed: true}
	}
	o.change = verbenastand.Change{Key: c.Key, Revision: c.Revision, Removed: ended}
	if !ended {
		o.change.Evacuated = c.Evacuated
	}
	f.indexRetainedLocked(o)
	return before != o.zone()
}

// indexRetainedLocked adds the object to those that hold although the store does not have them,
// or removes it.
func (f *Follower) indexRetainedLocked(o *object) {
	if o.evacuation.retained == "" {
		delete(f.evacuations.retained, o.change.Key)
		return
	}
	f.evacuations.retained[o.change.Key] = o
}

// expireEvacuationsLocked ends the evacuations that have not been written again after the return of
// the store from an older copy, and reports whether there were any.
func (f *Follower) expireEvacuationsLocked(now time.Time) (expired bool) {
	for _, o := range f.evacuations.retained {
		if now.Before(o.evacuation.retainedUntil) {
			continue
		}
		*o.evacuation = evacuation{lapsed: true}
		f.indexRetainedLocked(o)
		expired = true
	}
	return expired
}

// admitEvacuationLocked reports whether there is room for an evacuation that is not known yet.
// One of a zone that has servers replaces one of a zone that has none.
func (f *Follower) admitEvacuationLocked(c verbenastand.Change) bool {
	e := &f.evacuations
	if c.Removed || len(e.objects) < maxEvacuations {
		return !c.Removed
	}
	populated := f.populatedLocked(c.Evacuated)
	if e.full && !populated {
		return false
	}
	var ended, unused *object
	for _, o := range e.objects {
		switch {
		case o.zone() != "" && !f.populatedLocked(o.zone()):
			unused = o
		case o.zone() == "" && (ended == nil || o.change.Revision < ended.change.Revision):
			ended = o
		}
	}
	switch {
	case ended != nil && (e.listing || c.Revision > ended.change.Revision):
		// A host behind this end gets all objects. A change from before the ends that are
		// still known is not applied: it may be that of an object which has ended since.
		f.historyFrom = max(f.historyFrom, ended.change.Revision)
		f.deleteEvacuationLocked(ended)
		return true
	case unused != nil && populated:
		f.deleteEvacuationLocked(unused)
		return true
	}
	e.full = true
	return false
}

func (f *Follower) deleteEvacuationLocked(o *object) {
	delete(f.objects, o.change.Key)
	delete(f.evacuations.objects, o.change.Key)
	delete(f.evacuations.retained, o.change.Key)
}

// populatedLocked reports whether servers are registered in an availability zone.
func (f *Follower) populatedLocked(z verbenastand.Zone) bool {
	if f.evacuations.populated == nil {
		f.evacuations.populated = make(map[verbenastand.Zone]bool)
		for _, o := range f.objects {
			if r := o.change.Registration; r != nil {
				f.evacuations.populated[r.Zone()] = true
			}
		}
	}
	return f.evacuations.populated[z]
}

// evacuationsLast returns the changes with those of evacuations at the end: if there are too
// many of them, it matters which zones have servers.
func evacuationsLast(changes []verbenastand.Change) []verbenastand.Change {
	isEvacuation := func(c verbenastand.Change) bool { return c.Evacuated != "" }
	if !slices.ContainsFunc(changes, isEvacuation) {
		return changes
	}
	ordered := slices.DeleteFunc(slices.Clone(changes), isEvacuation)
	for _, c := range changes {
		if isEvacuation(c) {
			ordered = append(ordered, c)
		}
	}
	return ordered
}

// retainedRecord is an evacuation that holds although the store does not have it, as hosts inform
// each other: one that was cut off in the seconds that the store has lost, or has just started,
// learns it from another one.
type retainedRecord struct {
	Key  string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Left is the time for which it still holds.
	Left time.Duration `cbor:"3,keyasint"`
}

// retainedLocked returns the evacuations that hold although the store does not have them.
func (f *Follower) retainedLocked() []retainedRecord {
	var list []retainedRecord
	now := f.config.Clock.Now()
	for key, o := range f.evacuations.retained {
		if left := o.evacuation.retainedUntil.Sub(now); left > 0 {
			list = append(list, retainedRecord{Key: key, Zone: string(o.evacuation.retained), Left: left})
		}
	}
	return list
}

// retained returns the evacuations that hold although the store does not have them.
func (f *Follower) retained() []retainedRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retainedLocked()
}

// mergeRetainedLocked applies an evacuation that a peer retains, and reports whether that changed
// the view. The revision is that of the peer.
func (f *Follower) mergeRetainedLocked(r retainedRecord, revision verbenastand.Revision) bool {
	if r.Zone == "" || r.Left <= 0 {
		return false
	}
	o := f.objects[r.Key]
	switch {
	case o == nil:
		o = &object{change: verbenastand.Change{Key: r.Key, Removed: true}}
	case o.change.Revision > revision || !o.change.Removed || o.zone() != "" || o.lastRegistration != nil:
		return false
	}
	if o.evacuation == nil {
		if !f.admitEvacuationLocked(verbenastand.Change{Key: r.Key, Revision: revision, Evacuated: verbenastand.Zone(r.Zone)}) {
			return false
		}
		o.evacuation = &evacuation{}
		f.objects[r.Key], f.evacuations.objects[r.Key] = o, o
	}
	if o.evacuation.lapsed {
		return false
	}
	until := f.config.Clock.Now().Add(min(r.Left, reregistrationGrace))
	*o.evacuation = evacuation{retained: verbenastand.Zone(r.Zone), retainedUntil: until}
	f.indexRetainedLocked(o)
	return true
}
