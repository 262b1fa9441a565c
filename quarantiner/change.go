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
	// Cleared evidence was dropped because the request got a response.
	Cleared // cleared
)

// Change describes a change of the evidence about a request.
type Change struct {
	Kind        ChangeKind
	Fingerprint uint64
	// Crashes is the number of crashed servers known after the change, or before
	// the evidence was dropped.
	Crashes int
}

// Suspect describes a request that was in flight on a server that crashed.
type Suspect struct {
	// RequestID is the ID that the caller sent, if any.
	RequestID   string
	Fingerprint uint64
	Server      verbenastand.ServerID
	// Caller is the caller's network address. Method and Target are those of the
	// request line.
	Caller, Method, Target string
}

func (q *Quarantiner) notify(c *Change) {
	if c != nil && q.config.OnChange != nil {
		q.config.OnChange(*c)
	}
}
