package verbenastand

import "time"

// Loss is the loss of a connection to a backend server while a request ran there.
type Loss struct{ c LossConfig }

// LossConfig holds the values of a Loss.
type LossConfig struct {
	Server  ServerID
	Service ServiceName
	// Address is the IP address and port of the server, empty if unknown.
	Address string
	// StartTime is the start time of the server process in Unix milliseconds, zero if
	// unknown.
	StartTime int64
	// Instance identifies the server process, empty if the server does not report it.
	Instance string
	// At is when the connection was lost.
	At time.Time
}

// NewLoss returns a loss.
func NewLoss(c LossConfig) Loss { return Loss{c: c} }

// Server returns the name of the server.
func (l Loss) Server() ServerID { return l.c.Server }

// Service returns the service that the server offered.
func (l Loss) Service() ServiceName { return l.c.Service }

// Address returns the IP address and port of the server, empty if unknown.
func (l Loss) Address() string { return l.c.Address }

// StartTime returns the start time of the server process in Unix milliseconds, zero if
// unknown.
func (l Loss) StartTime() int64 { return l.c.StartTime }

// Instance returns what identifies the server process, empty if unknown.
func (l Loss) Instance() string { return l.c.Instance }

// At returns when the connection was lost.
func (l Loss) At() time.Time { return l.c.At }

// From reports whether the connection was one to the process that is registered.
func (l Loss) From(r Registration) bool {
	return l.c.Server == r.Server() && l.c.StartTime == r.StartTime()
}

// LossFinding is a loss with what has become of the process of the server.
type LossFinding struct {
	Loss Loss
	// Examined is set once the process has been examined. State is valid only then.
	Examined bool
	State    ProcessState
}

// ProcessState tells what has become of a server process to which a connection was lost.
// Of two findings, the greater one holds.
type ProcessState int

const (
	// ProcessUnknown means that no process responds at the address, but nothing else
	// responds either.
	ProcessUnknown ProcessState = iota // unknown
	// ProcessResponding means that a process responds under the server's ID, which may
	// be a later one.
	ProcessResponding // responding
	// ProcessEnded means that the process has ended.
	ProcessEnded // ended
	// ProcessRunning means that the process is still running.
	ProcessRunning // running
)
