package limiter

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

//go:generate go tool stringer -type=ChangeKind -linecomment -output=changekind_string.go

// ChangeKind tells how a limit has changed.
type ChangeKind int

// Kinds of changes.
const (
	// Named limits are new.
	Named ChangeKind = iota // named
	// Altered limits have another rate than before.
	Altered // altered
	// Lifted limits are no longer named.
	Lifted // lifted
	// Malformed texts could not be read as a limit. Nothing changes.
	Malformed // malformed
)

// Change describes a change of a limit.
type Change struct {
	Kind    ChangeKind
	Process verbenastand.ServerProcess
	// Rate is the limit of all hosts together, after the change or before it was
	// lifted.
	Rate verbenastand.RequestRate
	// Learned is set if another host reported the change, whose response is Age old.
	Learned bool
	Age     time.Duration
	// Err is the reason why a text is malformed.
	Err error
}
