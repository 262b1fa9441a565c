package carrier

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
)

const (
	// linkTime is the time that a request and its response spend outside of this host and
	// the server: a round trip to a caller in the region and one between availability zones.
	linkTime = 20 * time.Millisecond
	// waitFactor is the multiple of the expected duration that must be left when a
	// request stops waiting for a server: many requests take longer than expected.
	waitFactor = 1.1
	// largeBodyBytes is the size from which a request body should stay in its
	// availability zone. Most requests and responses are a small part of it.
	largeBodyBytes = 32 << 10
	// retryAfterDivisor is the divisor of the remaining time that gives the longest
	// Retry-After delay, which is the longest that callers honor.
	retryAfterDivisor = 3
	// longestRetryAfter bounds the Retry-After delay of callers that have much time.
	longestRetryAfter = time.Second
	// noServerRetryAfter is the shortest Retry-After delay of requests for which no server is
	// reached, unless the caller has less time.
	noServerRetryAfter = 100 * time.Millisecond
	// elsewhereRetryAfter is the Retry-After delay of requests that this host refuses for
	// reasons of its own: it stops, or handles as many requests as it may. Callers pick
	// another host when they return.
	elsewhereRetryAfter = 10 * time.Millisecond
)

// chooseFirst chooses the first server. The request waits for one as long as it is expected to
// be served before its deadline.
func (c *call) chooseFirst(ctx context.Context) (balancer.Choice, error) {
	if c.service == nil {
		return balancer.Choice{}, c.noServer(nil)
	}
	query := c.firstQuery()
	query.Caller, query.Avoided, query.BodyBytes = c.callerAddress(), c.avoided(), c.bodyBytes()
	if c.largeBody() {
		query.LocalWithin = c.targetTime.Add(-linkTime).Sub(c.carrier.config.Clock.Now())
	}
	choice, err := c.chooseOrWait(ctx, query)
	c.recordWait(choice, err)
	if err != nil {
		return choice, c.refusal(err)
	}
	now := c.carrier.config.Clock.Now()
	end := now.Add(choice.Estimate)
	if c.beforeStop(end).Before(end) {
		choice.Release()
		return choice, stopsSooner()
	}
	if choice.Full || end.After(c.deadline) {
		choice.Release()
		c.rejected = choice
		refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, nil)
		return choice, refusal.WithRetryAfter(c.retryAfter(choice.Estimate))
	}
	return choice, nil
}

// firstQuery describes the request for the choice of its first server, apart from its caller, its
// body and losses of connections.
func (c *call) firstQuery() balancer.Query {
	expected := time.Duration(waitFactor * float64(c.service.Expected(c.route)))
	return balancer.Query{
		Route:    c.route,
		InTimeBy: c.beforeStop(c.targetTime.Add(-linkTime)).Add(-expected),
		StartBy:  c.beforeStop(c.deadline.Add(-linkTime)).Add(-expected),
	}
}

// refusal returns the error of a request for which no server was chosen.
func (c *call) refusal(err error) error {
	var noCapacity *balancer.NoCapacityError
	if errors.As(err, &noCapacity) {
		c.expectedWait = noCapacity.Wait
	}
	overload := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, err)
	switch {
	case errors.Is(err, balancer.ErrNoServer):
		return c.noServer(err)
	case errors.Is(err, balancer.ErrLimited):
		return overload.WithRetryAfter(c.retryAfter(c.service.WaitFor(c.route)))
	case errors.Is(err, balancer.ErrBodyLimited):
		return overload.WithRetryAfter(c.retryAfter(0))
	case errors.Is(err, balancer.ErrNoBodyShare):
		return overload.WithRetryAfter(elsewhereRetryAfter)
	case errors.Is(err, balancer.ErrPaused):
		return overload.WithRetryAfter(c.retryAfterPause())
	case noCapacity != nil && c.beforeStop(c.deadline).Before(c.deadline):
		return stopsSooner()
	case noCapacity != nil:
		return overload.WithRetryAfter(c.retryAfter(noCapacity.Wait))
	}
	return err
}

// chooseOrWait waits for a lightly loaded server unless the request has lost a connection
// before: like any retry, it then takes the best server.
func (c *call) chooseOrWait(ctx context.Context, q balancer.Query) (balancer.Choice, error) {
	if len(q.Avoided) > 0 {
		return c.service.Choose(ctx, q)
	}
	return c.service.Admit(ctx, q)
}

// errStopsSooner means that a request is not expected to complete before the host stops.
var errStopsSooner = errors.New("carrier: the host stops before a server could respond")

func stopsSooner() *verbenastand.RequestError {
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonDraining, errStopsSooner)
	return refusal.WithRetryAfter(elsewhereRetryAfter)
}

// tooLate reports whether a request that has just arrived may not be complete when Stop is called.
func (c *call) tooLate() bool {
	stop := c.carrier.plannedStop.Load()
	return stop != nil && !c.arrived.Before(stop.openUntil) && c.deadline.After(stop.at)
}

// beforeStop returns the earlier of a time and the one at which the host stops.
func (c *call) beforeStop(t time.Time) time.Time {
	if stop := c.carrier.plannedStop.Load(); stop != nil && stop.at.Before(t) {
		return stop.at
	}
	return t
}

// largeBody reports whether sending the request transfers much.
func (c *call) largeBody() bool {
	return !c.request.Buffered() || len(c.request.Bytes()) > largeBodyBytes
}

// bodyBytes returns the size of the body, negative if it is unknown.
func (c *call) bodyBytes() int64 {
	if c.request.Buffered() {
		return int64(len(c.request.Bytes()))
	}
	return c.request.ContentLength
}

func (c *call) noServer(cause error) error {
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonNoServer, cause)
	return refusal.WithRetryAfter(c.retryAfter(noServerRetryAfter))
}

// retryAfterPause returns the Retry-After delay of a request that no server takes before the
// end of its pause, even if the caller can't wait that long.
func (c *call) retryAfterPause() time.Duration {
	if wait := c.service.WaitFor(c.route); wait > 0 {
		return max(wait, c.retryAfter(wait))
	}
	return refusedRetryAfter
}

// retryAfter converts the estimated wait into a Retry-After delay that the caller honors. It adds
// jitter, so that callers refused together do not return together.
func (c *call) retryAfter(wait time.Duration) time.Duration {
	left := c.deadline.Sub(c.carrier.config.Clock.Now()) / retryAfterDivisor
	longest := max(refusedRetryAfter, min(left, longestRetryAfter))
	shortest := max(refusedRetryAfter, min(wait, longest))
	delay := shortest + time.Duration(rand.Float64()*float64(longest-shortest))
	return delay.Truncate(time.Millisecond)
}
