package verbenastand

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// Revision numbers the changes of the configuration store in order, within one era.
// Zero precedes all of them.
type Revision uint64

// Era counts how often the configuration store has returned from an older copy. It has
// then lost its last changes, and gives out their revisions again.
type Era uint64

// Position identifies a state of the configuration store.
type Position struct {
	Era      Era
	Revision Revision
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision)) < 0
}

// Change is the state of one object of the store after a change. Exactly one of
// Registration, Table, Removed and Err is set.
type Change struct {
	// Key identifies the object in the store.
	Key string
	// Revision is the revision of the object's last change.
	Revision Revision
	// Registration is set for a backend server.
	Registration *Registration
	// Table is set for the route table.
	Table *RouteTable
	// Evacuated is set for the evacuation of an availability zone.
	Evacuated Zone
	// Removed is set once the object no longer exists.
	Removed bool
	// Err is the error if the object could not be decoded.
	Err error
	// Warning describes parts of the object that were not understood and were
	// replaced by the strictest interpretation, nil if there are none.
	Warning error
}

// Snapshot is the state of all objects of the store at one revision.
type Snapshot struct {
	Changes []Change
	// Position is the earliest state that the snapshot may show. The reader has to
	// request the changes after it.
	Position Position
}

// Part is a part of a list of all objects, which a host may use before it has the rest.
type Part struct {
	Changes []Change
	// First is set for the first part of a list.
	First bool
	// Routing is set if the route table and all evacuations are in this part or an earlier one of
	// the list, as far as they exist.
	Routing bool
}

// Errors of a ConfigurationStore.
var (
	// ErrHistoryGone means that the store has discarded the requested changes.
	ErrHistoryGone = errors.New("the store no longer holds these changes")
	// ErrStoreBusy means that the store rejected the call without effect.
	ErrStoreBusy = errors.New("the store refused the call")
)

// ConfigurationStore is the platform's store of the route table and the
// registrations. Access to it is read-only.
type ConfigurationStore interface {
	// List returns all objects. If stale is set, the list is cheaper for the store
	// and may be seconds old, also from an earlier era than it says. onPart is called with
	// each part of the list that arrives before the last one, in order; it may be nil.
	List(ctx context.Context, stale bool, onPart func(Part)) (Snapshot, error)
	// NewestPosition returns the newest state. It is cheap for the store, and the
	// result may be seconds old.
	NewestPosition(ctx context.Context) (Position, error)
	// Watch returns the changes after a revision as soon as there are any, or none
	// when the given time has passed. It also returns the position up to which the
	// changes are complete. If its era is not that of the given revision, the changes
	// are not those that the caller lacks.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Position, error)
}

// HeaderNames holds the names of the non-standard header fields that callers, hosts
// and backend servers use.
type HeaderNames struct {
	// RequestID identifies one request attempt of a caller.
	RequestID string
	// Deadline is the time in milliseconds that the sender waits for the response.
	Deadline string
	// Signature proves that a backend server produced the response.
	Signature string
	// ExpectedInstance identifies the server process that must run the request.
	ExpectedInstance string
	// Instance identifies the server process that responds.
	Instance string
	// NotRun is present in a response if the server did not run the request.
	NotRun string
	// Load is the load report of a server.
	Load string
	// Limit is the number of requests per second that a server takes from all hosts
	// together; absent if there is no limit.
	Limit string
	// Leaving is the field in which a server says that it is leaving.
	Leaving string
	// Warmup is the time in milliseconds that a server stays cold, in its health responses.
	Warmup string
}

// LoadReport is the load that a backend server reports.
type LoadReport struct {
	// Running and Waiting are the numbers of requests at the server in each state.
	Running, Waiting int
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Slowdown is the factor by which requests currently take longer on the
	// server's machine than usual; 1 is normal speed.
	Slowdown float64
}

// HeaderFormat defines the header fields that backend servers and callers use.
type HeaderFormat interface {
	Names() HeaderNames
	// ParseLoad parses a load report and reports whether it is valid.
	ParseLoad(field string) (LoadReport, bool)
}
