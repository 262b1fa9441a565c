package follower

import verbenastand "github.com/verbenastand/verbenastand"

// enterEraLocked prepares the objects for a full batch of a later era. Their revisions
// say nothing there, so any state of the new era is newer; it still has to be newer by
// its content. What the batch does not contain may be written again: a server that is
// missing stays in use as after an outage, the route table until there is another.
func (f *Follower) enterEraLocked(b batch) []Event {
	for _, o := range f.objects {
		o.earlierRevision = max(o.earlierRevision, o.change.Revision)
		o.change.Revision, o.lastRevision, o.outdated = 0, 0, nil
	}
	clear(f.held)
	known := f.revision != 0 && !f.provisional
	f.era, f.revision, f.provisional = b.era, 0, false
	f.historyFrom, f.gapFrom, f.gapUntil = 0, 0, 0
	if !known {
		return nil
	}
	f.recoveredAt = f.config.Clock.Now()
	return []Event{{Name: "storeRestored", Position: b.position(), Staleness: f.stalenessLocked()}}
}

// applyProvisional uses a list that may be of an earlier era than it says, unless this
// host already knows something.
func (f *Follower) applyProvisional(s verbenastand.Snapshot) {
	if f.Position().Revision != 0 {
		return
	}
	f.apply(batch{changes: s.Changes, full: true, revision: s.Position.Revision, provisional: s.Position.Era > 0})
}
