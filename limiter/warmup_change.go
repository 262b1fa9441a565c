package limiter

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

//go:generate go tool stringer -type=WarmupChangeKind -linecomment -output=warmupchangekind_string.go

// WarmupChangeKind is the kind of change of a cold server.
type WarmupChangeKind int

// Kinds of changes of cold servers.
const (
	// BecameCold servers have a limit for WarmupChange.Remaining.
	BecameCold WarmupChangeKind = iota // cold
	// BecameWarm servers have no limit any more.
	BecameWarm // warm
	// Unreadable texts could not be read as a remaining time. Nothing changes.
	Unreadable // malformed
)

// WarmupChange describes a change of the recorded state of a server.
type WarmupChange struct {
	Kind    WarmupChangeKind
	Process verbenastand.ServerProcess
	// Remaining is how long the server stays cold.
	Remaining time.Duration
	// Err is the reason why a text is malformed.
	Err error
}
