package excluder

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

//go:generate go tool stringer -type=ChangeKind -linecomment -output=changekind_string.go

// ChangeKind tells what a server has said.
type ChangeKind int

// Kinds of changes.
const (
	// Leaving servers get no requests any more.
	Leaving ChangeKind = iota // leaving
	// Paused servers get no requests for some time.
	Paused // paused
	// Malformed texts could not be read. Nothing changes.
	Malformed // malformed
)

// Change describes what a server has said.
type Change struct {
	Kind    ChangeKind
	Process verbenastand.ServerProcess
	// Pause is the time for which a paused server gets no requests.
	Pause time.Duration
	// Learned is set if another host has reported the change.
	Learned bool
	// Text is what could not be read.
	Text string
}
