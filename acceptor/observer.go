package acceptor

//go:generate go tool stringer -type=Fault,CutReason -linecomment -output=enums_string.go

import "net/http"

// Fault says why a message of a caller is no valid request.
type Fault int

// The faults of messages.
const (
	FaultMalformed      Fault = iota // malformed
	FaultVersion                     // unsupportedVersion
	FaultEncoding                    // unsupportedEncoding
	FaultHeaderTooLarge              // headerTooLarge
	FaultBodyTooLarge                // bodyTooLarge
	FaultIncomplete                  // incomplete
	FaultMemory                      // noMemory
)

// status returns the status of the response to a message.
func (f Fault) status() int {
	switch f {
	case FaultVersion:
		return http.StatusHTTPVersionNotSupported
	case FaultEncoding:
		return http.StatusNotImplemented
	case FaultHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case FaultBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case FaultIncomplete:
		return http.StatusRequestTimeout
	case FaultMemory:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// CutReason says why a connection ended while requests were pending on it.
type CutReason int

// The reasons for cutting a connection.
const (
	CutCallerLeft    CutReason = iota // callerLeft
	CutCallerStalled                  // callerStalled
	CutTruncated                      // responseTruncated
	CutUnanswered                     // unanswered
	CutClosed                         // hostStopped
)

// Refusal describes a message that is no valid request.
type Refusal struct {
	// Caller is the address of the caller.
	Caller string
	Fault  Fault
	Status int
	// Pending is the number of earlier requests of the connection without a response.
	Pending int
	Err     error
}

// Cut describes a connection that ended while requests were pending on it.
type Cut struct {
	// Caller is the address of the caller.
	Caller string
	Reason CutReason
	// Pending is the number of requests without a complete response.
	Pending int
	Err     error
}

// Observer receives what ends connections of callers, for logs and metrics.
type Observer interface {
	// MessageRefused is called for a message that is no valid request.
	MessageRefused(Refusal)
	// ConnectionCut is called when a connection ends while requests are pending on it.
	ConnectionCut(Cut)
}

// ignorer is the Observer of an acceptor without one.
type ignorer struct{}

func (ignorer) MessageRefused(Refusal) {}
func (ignorer) ConnectionCut(Cut)      {}
