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
	// targetMargin is the part of a route's target that passes outside of this
	// host: on the caller's connection and between host and server.
	targetMargin = 0.12
	// waitFactor times the expected duration has to be left when a wait ends.
	waitFactor = 1.1
	// lateLooks bounds the looks for a request that will be late.
	lateLooks = 2
	// shortestRetryAfter and longestRetryAfter bound the advice to come again.
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = time.Second
	// retryAfterShare is the part of the remaining time after which a caller that
	// comes again can still be served.
	retryAfterShare = 3
)

// admit chooses the first server, waiting for a calm one while that can still be
// in time. While others wait too, what cannot be in time is refused at once, for
// it would take the room of requests that can.
func (l *call) admit(ctx context.Context) (balancer.Choice, error) {
	if l.service == nil {
		return balancer.Choice{}, l.noServer(nil)
	}
	query := balancer.Query{Route: l.route}
	margin := time.Duration(targetMargin * float64(l.route.Target()))
	expected := time.Duration(waitFactor * float64(l.service.Expected(l.route)))
	choice, err := l.service.Admit(ctx, query, l.target.Add(-margin-expected))
	pressed := errors.Is(err, balancer.ErrNoCapacity) && choice.Server == nil
	if pressed {
		query.CheckLimit = lateLooks
		choice, err = l.service.Choose(ctx, query)
	}
	if errors.Is(err, balancer.ErrNoServer) {
		return choice, l.noServer(err)
	}
	if err != nil && !errors.Is(err, balancer.ErrNoCapacity) {
		return choice, err
	}
	now := l.carrier.config.Clock.Now()
	inTime := now.Add(choice.Estimate).Before(l.target.Add(-margin))
	hopeless := now.Add(choice.Estimate).After(l.deadline)
	if choice.Full || hopeless || (choice.Saturated && (pressed || !inTime)) || (pressed && !inTime) {
		choice.Release()
		l.considered = choice
		refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, nil)
		return choice, refusal.WithRetryAfter(l.retryAfter(choice.Estimate))
	}
	return choice, nil
}

func (l *call) noServer(cause error) error {
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonNoServer, cause)
	return refusal.WithRetryAfter(l.retryAfter(shortestRetryAfter))
}

// retryAfter turns the time until there is room into advice that leaves the caller
// time to be served, and spreads those that are refused together.
func (l *call) retryAfter(wait time.Duration) time.Duration {
	left := l.deadline.Sub(l.carrier.config.Clock.Now()) / retryAfterShare
	longest := max(shortestRetryAfter, min(left, longestRetryAfter))
	shortest := max(shortestRetryAfter, min(wait, longest))
	return shortest + time.Duration(rand.Float64()*float64(longest-shortest))
}
