package carrier

import (
	"context"
	"errors"
	"time"

	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/hedger"
)

const (
	// hedgeInterval is the minimum time between two searches for a hedge's server.
	hedgeInterval = 20 * time.Millisecond
	// hedgeIntervalDivisor is the divisor of the expected duration that gives this time, and
	// limitedIntervalDivisor that with a limit of extra server time. A machine that is slowed down in
	// phases of 150 ms may be slow a moment after it was not. In a trial of the model of 38 hosts p99
	// was 10 ms shorter with 8 than with 4 at a limit of 0.05, and 3 ms at 0.3.
	hedgeIntervalDivisor   = 2
	limitedIntervalDivisor = 8
	// hedgeChecks bounds the health checks for a hedge, limitedHedgeChecks those with a limit of extra
	// server time: of servers of 3 slots that are slow for 30% of the time, a third is idle and fast.
	hedgeChecks        = 2
	limitedHedgeChecks = 4
	// slowdownAge is the age up to which a reported slowdown indicates how fast a server runs a
	// request. The load of other tenants comes in phases of 150 ms.
	slowdownAge = 150 * time.Millisecond
	// refreshAge is the age of a load report above which a health check determines how fast the server of a
	// running attempt is before a hedge is decided on.
	refreshAge = 20 * time.Millisecond
	// unresponsiveSlowdown is the slowdown that is assumed of a server that does not respond to that
	// check.
	unresponsiveSlowdown = 10
)

// hedging is the state of the hedge of one request.
type hedging struct {
	// timer fires when a hedge is to be considered, or when the lease of a running one ends.
	timer *time.Timer
	// considered is set once no further hedge is sent.
	considered bool
	// first is the attempt that a hedge would duplicate, sent at sentAt, and firstIndex and server
	// are its index and server. stalledAt is the time from which it counts as stalled.
	first      hedger.Attempt
	firstIndex int
	server     *balancer.Server
	sentAt     time.Time
	stalledAt  time.Time
	// wanted is set once a hedge was worthwhile, unresponsive if the server did not respond to the latest
	// health check.
	wanted, unresponsive bool
	// pair is nil until a hedge is sent. hedgeIndex is the index of the hedge.
	pair       *hedger.Pair
	hedgeIndex int
}

// isHedge reports whether an attempt is the hedge.
func (h *hedging) isHedge(index int) bool { return h.pair != nil && h.hedgeIndex == index }

// sideOf returns which attempt of the hedged request an outcome is that of.
func (h *hedging) sideOf(o *outcome) (side hedger.Side, ok bool) {
	switch {
	case h.pair == nil:
		return 0, false
	case o.index == h.firstIndex:
		return hedger.First, true
	case o.index == h.hedgeIndex:
		return hedger.Second, true
	}
	return 0, false
}

// recordEnd records that an attempt has ended.
func (h *hedging) recordEnd(o *outcome) {
	if side, ok := h.sideOf(o); ok {
		h.pair.Ended(side, o.took)
	}
}

// planHedge sets the time at which a hedge of an attempt is considered.
func (r *runner) planHedge(choice balancer.Choice, index int) {
	now := r.carrier.config.Clock.Now()
	r.hedging.stalledAt = now.Add(hedger.StallFactor * choice.Estimate)
	if r.hedging.considered || !r.route.Retryable() || !r.request.Buffered() {
		return
	}
	r.hedging.firstIndex, r.hedging.server, r.hedging.sentAt = index, choice.Server, now
	r.hedging.first = hedger.Attempt{
		Service: r.serviceName, Route: r.route.Name(), Expected: r.service.Expected(r.route), Estimate: choice.Estimate,
		TargetLeft: r.targetTime.Sub(now), Slowdown: choice.Report.Slowdown,
	}
	if delay, ok := r.carrier.config.Hedger.Delay(r.hedging.first); ok {
		r.hedging.timer.Reset(delay)
	}
}

// onHedgeTimer considers a hedge, or ends the lease of the one that runs.
func (r *runner) onHedgeTimer() {
	if r.hedging.pair == nil {
		r.hedge()
		return
	}
	if r.running < 2 {
		return
	}
	if r.hedging.pair.Extend() {
		r.hedging.timer.Reset(r.hedging.pair.Lease())
		return
	}
	// The limit allows no more server time for this request.
	r.cancels[r.hedging.hedgeIndex]()
}

// hedge sends a second attempt if that is worthwhile, or considers it again soon.
func (r *runner) hedge() {
	if r.hedging.considered || r.running != 1 || r.sent >= r.route.MaxAttempts() {
		return
	}
	if r.cut() {
		r.hedging.considered = r.hedgeByDelegate()
		return
	}
	choice, denial := r.chooseHedge()
	if denial != hedger.Allowed {
		r.carrier.config.Hedger.Deny(r.serviceName, denial)
		r.hedging.timer.Reset(r.reconsiderAfter())
		return
	}
	r.hedging.considered = true
	r.startAttempt(choice)
	r.beginLease()
}

// reconsiderAfter returns the time after which a hedge that was denied is considered again.
func (r *runner) reconsiderAfter() time.Duration {
	divisor := time.Duration(hedgeIntervalDivisor)
	if r.carrier.config.Hedger.Mode() == hedger.Limited {
		divisor = limitedIntervalDivisor
	}
	return max(hedgeInterval, r.service.Expected(r.route)/divisor)
}

func (r *runner) beginLease() {
	r.hedging.pair.Sent()
	if lease := r.hedging.pair.Lease(); lease > 0 {
		r.hedging.timer.Reset(lease)
	}
}

// reserveHedge reserves the server time of a hedge, which is the next attempt.
func (r *runner) reserveHedge() hedger.Denial {
	pair, denial := r.carrier.config.Hedger.Begin(r.runningAttempt())
	if denial == hedger.Allowed {
		r.hedging.pair, r.hedging.hedgeIndex = pair, len(r.cancels)
	}
	return denial
}

// runningAttempt returns the attempt that a hedge would duplicate, as it is now.
func (r *runner) runningAttempt() hedger.Attempt {
	a := r.hedging.first
	a.Elapsed = r.carrier.config.Clock.Now().Sub(r.hedging.sentAt)
	a.SlowdownNow = 1
	if r.hedging.server != nil {
		a.SlowdownNow = r.hedging.server.Slowdown(slowdownAge)
	}
	if r.hedging.unresponsive {
		a.SlowdownNow = unresponsiveSlowdown
	}
	return a
}

// hedgeByDelegate lets another host send a request again whose server is no longer
// reached.
func (r *runner) hedgeByDelegate() bool {
	suspected := r.carrier.config.Quarantiner.PossiblySuspected(r.fingerprint)
	if suspected || r.delegating || !r.mayDelegate(r.ctx) || r.budget.Available() < hedger.RetryReserve {
		return false
	}
	if denial := r.reserveHedge(); denial != hedger.Allowed {
		r.carrier.config.Hedger.Deny(r.serviceName, denial)
		return false
	}
	if r.budget.Allow() && r.delegate() {
		r.beginLease()
		return true
	}
	r.abandonHedge()
	return false
}

func (r *runner) abandonHedge() {
	r.hedging.pair.Abandon()
	r.hedging.pair = nil
}

// chooseHedge returns the server of a second attempt, whose server time is reserved.
func (r *runner) chooseHedge() (balancer.Choice, hedger.Denial) {
	if denial := r.hedgeDenial(); denial != hedger.Allowed {
		return balancer.Choice{}, denial
	}
	query := balancer.Query{Route: r.route, Tried: r.tried, Avoided: r.avoided(), CheckLimit: hedgeChecks}
	if r.carrier.config.Hedger.Mode() == hedger.Limited {
		query.LightShare, query.CheckLimit = hedger.LightShare, limitedHedgeChecks
	}
	choice, err := r.service.Choose(r.ctx, query)
	if err != nil {
		return choice, hedger.NoLightServer
	}
	denial := r.choiceDenial(choice)
	if denial == hedger.Allowed {
		denial = r.reserveHedge()
	}
	if denial == hedger.Allowed && !r.budget.Allow() {
		r.abandonHedge()
		denial = hedger.OverRetryBudget
	}
	if denial != hedger.Allowed {
		choice.Release()
	}
	return choice, denial
}

// hedgeDenial returns why no server is searched for a hedge.
func (r *runner) hedgeDenial() hedger.Denial {
	h := r.carrier.config.Hedger
	limited := h.Mode() == hedger.Limited
	switch {
	case r.carrier.config.Quarantiner.PossiblySuspected(r.fingerprint):
		return hedger.Suspected
	case !limited && r.budget.Available() < hedger.RetryReserve:
		return hedger.OverRetryBudget
	case r.service.Waiting() > 0 || (limited && h.NearCapacity(r.serviceName)):
		return hedger.RequestsWait
	case limited && !r.worthwhileNow():
		return hedger.NotWorthwhile
	case r.budget.Available() < hedger.RetryReserve:
		return hedger.OverRetryBudget
	}
	return hedger.Allowed
}

// worthwhileNow reports whether a hedge is worthwhile, given how fast the server of the running attempt
// is now.
func (r *runner) worthwhileNow() bool {
	if r.hedging.server != nil {
		r.hedging.unresponsive = !r.service.Refresh(r.ctx, r.hedging.server, refreshAge)
	}
	attempt := r.runningAttempt()
	if !r.carrier.config.Hedger.Worthwhile(attempt, 1) {
		return false
	}
	if !r.hedging.wanted {
		r.hedging.wanted = true
		r.carrier.config.Hedger.CountWorthwhile(attempt)
	}
	return true
}

// choiceDenial returns why a server is not used for a hedge. By the default policy any server
// that is not full is accepted for an attempt that has stalled.
func (r *runner) choiceDenial(choice balancer.Choice) hedger.Denial {
	now := r.carrier.config.Clock.Now()
	light := choice.LightlyLoaded || (now.After(r.hedging.stalledAt) && !choice.Full)
	worthwhile := true
	if r.carrier.config.Hedger.Mode() == hedger.Limited {
		light = choice.LightlyLoaded
		worthwhile = r.carrier.config.Hedger.Worthwhile(r.runningAttempt(), choice.Report.Slowdown)
	}
	switch {
	case !light:
		return hedger.NoLightServer
	case now.Add(choice.Estimate).After(r.deadline):
		return hedger.NotInTime
	case !worthwhile:
		return hedger.NotWorthwhile
	}
	return hedger.Allowed
}

// awaitsOther reports whether a failed attempt is not retried because the other attempt of
// the hedged request is running: that is its retry, and a third one would not be within the
// limit of extra server time.
func (r *runner) awaitsOther() bool {
	return r.carrier.config.Hedger.Mode() == hedger.Limited && r.hedging.pair != nil && r.running > 0
}

// endOtherAttempts ends the attempt that loses against a response that is about to be
// delivered. By the default policy it ends after the delivery.
func (r *runner) endOtherAttempts(winner *outcome) {
	side, ok := r.hedging.sideOf(winner)
	if !ok {
		return
	}
	r.hedging.pair.Won(side)
	if r.carrier.config.Hedger.Mode() != hedger.Limited {
		return
	}
	for index, cancel := range r.cancels {
		if index != winner.index {
			cancel()
		}
	}
	if r.running > 0 {
		r.drainAttempts()
	}
}

// endHedging records that the request has ended.
func (r *runner) endHedging() {
	if r.hedging.pair != nil {
		r.hedging.pair.Close()
	}
}

// observeDuration passes on how long an attempt took.
func (c *call) observeDuration(sent sentAttempt, result balancer.Result, err error, slowdown float64, took time.Duration) {
	kind := hedger.Ended
	switch {
	case result == balancer.Succeeded:
		kind = hedger.Completed
	case result == balancer.Abandoned || errors.Is(err, context.DeadlineExceeded):
		kind = hedger.Cancelled
	}
	c.carrier.config.Hedger.Observe(hedger.Observation{
		Service: c.serviceName, Route: c.route.Name(), Result: kind, First: sent.number == 1 && !sent.hedge, Took: took, Slowdown: slowdown,
	})
}

// recordWait passes on whether a request had to wait for a server.
func (c *call) recordWait(choice balancer.Choice, err error) {
	waited := choice.Waited || errors.Is(err, balancer.ErrNoCapacity)
	c.carrier.config.Hedger.RecordWait(c.serviceName, waited)
}
