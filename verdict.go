package verbenastand

import (
	"errors"
	"fmt"
	"time"
)

// Verdict specifies whether a request may have run on a backend server.
type Verdict int

//go:generate go tool stringer -type=Verdict,Priority,Size,ServerState,RefusalReason,RetrySafety,ProcessState -linecomment -output=enums_string.go

const (
	// NotRun means that no backend server has run or will run the request.
	NotRun Verdict = iota // notRun
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun // mayHaveRun
	// Ran means that a backend server ran the request and responded.
	Ran // ran
)

// RefusalReason is the reason why a request failed.
type RefusalReason int

const (
	// ReasonUnknownService means that no ticket defines the service.
	ReasonUnknownService RefusalReason = iota // unknownService
	// ReasonStarting means that the host has not received any ticket or route table
	// yet.
	ReasonStarting // starting
	// ReasonNoServer means that no backend server can accept the request.
	ReasonNoServer // noServer
	// ReasonOverload means that the request could not have completed in time, or that
	// a limit on concurrent or stored requests is reached.
	ReasonOverload // overload
	// ReasonDeadline means that the deadline passed before the request completed. The
	// verdict indicates whether it may have run.
	ReasonDeadline // deadline
	// ReasonDraining means that the host is stopping, or that the host instance that
	// issued the idempotency key has stopped.
	ReasonDraining // draining
	// ReasonBadKey means that the idempotency key is malformed, or expires too late to
	// have been issued by a host.
	ReasonBadKey // badKey
	// ReasonKeyRequired means that the service requires an idempotency key.
	ReasonKeyRequired // keyRequired
	// ReasonKeyExpired means that the idempotency key has expired.
	ReasonKeyExpired // keyExpired
	// ReasonKeyConflict means that the idempotency key was used for another
	// request.
	ReasonKeyConflict // keyConflict
	// ReasonKeyOwnerUnreachable means that the host that issued or imported the
	// idempotency key cannot be reached or has no outcome, or that a home host may have
	// run a request without a key before another one refused it.
	ReasonKeyOwnerUnreachable // homeGone
	// ReasonQuarantined means that the request is suspected of crashing servers.
	ReasonQuarantined // quarantined
	// ReasonServerFailed means that the connection to the server failed.
	ReasonServerFailed // serverFailed
	// ReasonCancelled means that the caller cancelled the request or disconnected.
	ReasonCancelled // cancelled
	// ReasonTooLarge means that the request exceeds a size limit.
	ReasonTooLarge // tooLarge
	// ReasonResponseNotStored means that the request ran, but its response was too
	// large to be stored for retries.
	ReasonResponseNotStored // answerNotKept
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest // badRequest
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute // noRoute
	// ReasonInvalidResponse means that a server's response belonged to another
	// request or was incomplete.
	ReasonInvalidResponse // foreignAnswer
	// ReasonRefused means that the servers refused to run the request.
	ReasonRefused // refused
)

// ParseRefusalReason returns the reason with the given name, or ReasonRefused if there is
// none.
func ParseRefusalReason(name string) RefusalReason {
	for r := ReasonUnknownService; r <= ReasonRefused; r++ {
		if r.String() == name {
			return r
		}
	}
	return ReasonRefused
}

// RequestError is the failure of a request together with its verdict.
type RequestError struct {
	verdict    Verdict
	reason     RefusalReason
	retryAfter time.Duration
	cause      error
}

// NewRequestError returns a RequestError; cause may be nil.
func NewRequestError(v Verdict, r RefusalReason, cause error) *RequestError {
	return &RequestError{verdict: v, reason: r, cause: cause}
}

// WithRetryAfter returns a copy of the error with an advised retry delay.
func (e *RequestError) WithRetryAfter(d time.Duration) *RequestError {
	c := *e
	c.retryAfter = d
	return &c
}

// Verdict returns whether the request may have run.
func (e *RequestError) Verdict() Verdict { return e.verdict }

// Reason returns why the request failed.
func (e *RequestError) Reason() RefusalReason { return e.reason }

// RetryAfter returns the advised delay before a retry, zero if there is none.
func (e *RequestError) RetryAfter() time.Duration { return e.retryAfter }

// Error implements error.
func (e *RequestError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s (%s)", e.reason, e.verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.reason, e.verdict, e.cause)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.cause }

// VerdictOf returns the verdict of err. For an error without a verdict it returns
// MayHaveRun, because the request may have run.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	var re *RequestError
	if errors.As(err, &re) {
		return re.Verdict()
	}
	return MayHaveRun
}
