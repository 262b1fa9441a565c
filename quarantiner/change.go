package quarantiner

import verbenastand "github.com/verbenastand/verbenastand"

//go:generate go tool stringer -type=ChangeKind -linecomment -output=changekind_string.go

// ChangeKind tells why evidence has changed.
type ChangeKind int

// Kinds of changes.
const (
	// Recorded evidence is about a server that crashed while this host had the
	// request in flight on it.
	Recorded ChangeKind = iota // recorded
	// Learned evidence came from another host.
	Learned // learned
	// Cleared evidence was dropped because the request succeeded.
	Cleared // cleared
	// Confirmed evidence is about a server that this host has found to have ended.
	Confirmed // confirmed
	// Refuted evidence is about a server that this host has found running.
	Refuted // refuted
)

// Change describes a change of the evidence about a request.
type Change struct {
	Kind ChangeKind
	// Scope and Fingerprint tell which copies of the request are meant.
	Scope       Scope
	Fingerprint string
	// Crashes is the number of crashed servers known after the change, or before
	// the evidence was dropped. PossibleCrashes also counts those that may be running.
	Crashes, PossibleCrashes int
}

// Suspect describes a request that was in flight on a server when the connection to it
// was lost.
type Suspect struct {
	// RequestID is the ID that the caller sent, if any.
	RequestID   string
	Fingerprint Fingerprint
	Server      verbenastand.ServerID
	// State is what is known about the server's process since the connection was lost.
	State verbenastand.ProcessState
	// Caller is the caller's network address. Method and Target are those of the
	// request line.
	Caller, Method, Target string
}

func (q *Quarantiner) notify(changes ...Change) {
	if q.config.OnChange == nil {
		return
	}
	for _, c := range changes {
		q.config.OnChange(c)
	}
}
