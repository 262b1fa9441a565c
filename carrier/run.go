package carrier

import (
	"context"
	"errors"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/sender"
)

const (
	// hedgeFactor is the multiple of the expected duration after which a hedge is
	// sent if it can still be in time.
	hedgeFactor = 1.4
	// stallFactor is the multiple of the estimated duration after which an attempt
	// counts as stalled. A hedge that can't be in time is sent only then.
	stallFactor = 3
	// hedgeInterval is the minimum time between two searches for a hedge's server.
	hedgeInterval = 20 * time.Millisecond
	// hedgeChecks bounds the health checks for a hedge.
	hedgeChecks = 2
	// hedgeReserve is the number of retries that must be left in the budget for a
	// hedge, so that requests whose server failed can still be retried.
	hedgeReserve = 2
	// refusedRetryAfter is the shortest Retry-After delay. It is that of requests refused by
	// servers that are not known to be full or to pause.
	refusedRetryAfter = 10 * time.Millisecond
	// maxUnreachable bounds the retries after unreachable servers.
	maxUnreachable = 4
)

// errNotNeeded ends an attempt whose response is no longer needed, for example after
// another attempt has succeeded.
var errNotNeeded = errors.New("carrier: the response is no longer needed")

// runner runs the attempts of one request.
type runner struct {
	*call
	ctx     context.Context
	results chan *outcome
	// running counts the attempts that have not ended; sent counts the servers that
	// received the request.
	running     int
	sent        int
	unreachable int
	tried       []*balancer.Server
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// fallback is a response that is delivered if there is no better one.
	fallback *outcome
	lastErr  error
	hedged   bool
	// stalledAt is the time from which the latest attempt counts as stalled.
	stalledAt time.Time
	// hedgeTimer fires when a hedge is to be considered.
	hedgeTimer *time.Timer
	cancels    []context.CancelFunc
	// delegates are the hosts to which the request was delegated.
	delegates []verbenastand.HostID
	// delegating is set while another host may be sending the request, or has sent it.
	delegating bool
	// handled holds the outcomes of the attempts that have ended.
	handled []*outcome
}

// run sends the request to servers until one responds, and reports whether a
// server's response that is no failure was delivered.
func (c *call) run(ctx context.Context) bool {
	r := &runner{
		call: c, ctx: ctx, sent: c.priorAttempts(),
		results: make(chan *outcome, 1+c.route.MaxAttempts()+maxUnreachable+maxDelegations),
	}
	limit := time.NewTimer(c.deadline.Add(responseGrace).Sub(c.carrier.config.Clock.Now()))
	defer limit.Stop()
	r.hedgeTimer = time.NewTimer(time.Hour)
	defer r.hedgeTimer.Stop()
	defer r.cancelAttempts()
	defer r.releaseMemory()
	if err := r.begin(); err != nil {
		if ctx.Err() != nil {
			c.interrupt(ctx, verbenastand.NotRun)
			return false
		}
		c.refuse(err)
		return false
	}
	for {
		select {
		case o := <-r.results:
			if done, succeeded := r.handleOutcome(o); done {
				return succeeded
			}
		case <-r.hedgeTimer.C:
			r.hedge()
		case <-ctx.Done():
			c.interrupt(ctx, r.verdict())
			return false
		case <-limit.C:
			r.timeOut()
			return false
		}
	}
}

// begin sends the request to the first server, or delegates it if this host reaches none.
// A delegated request is counted by the host that sends it.
func (r *runner) begin() error {
	if r.cut() {
		if r.mayDelegate(r.ctx) && r.delegate() {
			return nil
		}
		return r.noServer(errCut)
	}
	if r.sent == 0 {
		r.budget.RecordRequest()
	}
	choice, err := r.chooseFirst(r.ctx)
	if errors.Is(err, balancer.ErrNoServer) && r.mayDelegate(r.ctx) && r.delegate() {
		return nil
	}
	if err == nil {
		err = r.checkEvidence(r.ctx, choice)
	}
	if err != nil {
		return err
	}
	r.startAttempt(choice)
	return nil
}

// cancelAttempts ends the attempts whose response is no longer needed. A request
// that must not run twice is left to complete, since its caller may learn the result
// in another way.
func (r *runner) cancelAttempts() {
	if r.route.Retryable() {
		for _, cancel := range r.cancels {
			cancel()
		}
	}
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			o := <-r.results
			if o.acceptable() && !o.body.Complete() {
				o.finish(errNotNeeded)
			}
			o.release()
		}
	}()
}

// releaseMemory gives up the responses in memory.
func (r *runner) releaseMemory() {
	for _, o := range r.handled {
		o.release()
	}
}

// startAttempt sends the request to the chosen server.
func (r *runner) startAttempt(choice balancer.Choice) {
	base := r.caller
	if !r.route.Retryable() {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithDeadline(base, r.deadline.Add(responseGrace))
	r.cancels = append(r.cancels, cancel)
	r.running++
	r.sent++
	r.tried = append(r.tried, choice.Server)
	number := r.sent
	go func() { r.results <- r.attempt(ctx, choice, number) }()
	r.stalledAt = r.carrier.config.Clock.Now().Add(stallFactor * choice.Estimate)
	if !r.hedged && r.route.Retryable() && r.request.Buffered() {
		r.hedgeTimer.Reset(r.hedgeDelay(choice))
	}
}

// hedgeDelay returns how long after the start of an attempt a hedge is considered.
func (r *runner) hedgeDelay(choice balancer.Choice) time.Duration {
	base := r.service.Expected(r.route)
	early := time.Duration(hedgeFactor * float64(base))
	if r.carrier.config.Clock.Now().Add(early + base).Before(r.targetTime) {
		return early
	}
	return stallFactor * choice.Estimate
}

// handleOutcome delivers the response of an attempt that ended, or else retries the
// request or waits for its other attempt. done reports whether the request has ended,
// succeeded whether a response that is no failure was delivered.
func (r *runner) handleOutcome(o *outcome) (done, succeeded bool) {
	r.running--
	r.handled = append(r.handled, o)
	if o.delegate != "" {
		return r.handleDelegated(o)
	}
	if o.acceptable() {
		return true, r.deliver(o)
	}
	r.recordOutcome(o)
	if r.ctx.Err() != nil {
		r.interrupt(r.ctx, r.verdict())
		return true, false
	}
	if r.retry(o) {
		return false, false
	}
	if r.running > 0 {
		return false, false
	}
	r.finishFailed()
	return true, false
}

func (r *runner) recordOutcome(o *outcome) {
	if o.unreachable() && o.delegate == "" {
		r.unreachable++
		r.sent--
	}
	if !o.notRun() {
		r.mayHaveRun = true
	}
	if o.err != nil {
		r.lastErr = o.err
		return
	}
	if !o.response.NotRun {
		r.fallback = o
	}
}

// retry sends the request to another server if that is allowed.
func (r *runner) retry(o *outcome) bool {
	r.retryDenied = r.retryDenial(o)
	if r.retryDenied != "" {
		return false
	}
	if r.cut() {
		return r.retryByDelegate()
	}
	choice, err := r.service.Choose(r.ctx, balancer.Query{Route: r.route, Tried: r.tried, Avoided: r.avoided()})
	if errors.Is(err, balancer.ErrNoServer) && r.mayDelegate(r.ctx) {
		return r.retryByDelegate()
	}
	if err != nil {
		r.retryDenied = retryNoServer
		return false
	}
	if r.checkEvidence(r.ctx, choice) != nil {
		r.retryDenied = retryQuarantined
		return false
	}
	pastDeadline := r.carrier.config.Clock.Now().Add(choice.Estimate).After(r.beforeStop(r.deadline))
	switch {
	case pastDeadline || choice.Full:
		r.retryDenied = "notInTime"
	case r.sent > 0 && !r.budget.Allow():
		r.retryDenied = "budget"
	}
	if r.retryDenied != "" {
		choice.Release()
		return false
	}
	r.startAttempt(choice)
	return true
}

// retryByDelegate lets another host send the request again. It is a retry like any other
// if a server may have received it.
func (r *runner) retryByDelegate() bool {
	switch {
	case r.delegating || !r.mayDelegate(r.ctx):
		r.retryDenied = retryNoServer
	case r.sent > 0 && !r.budget.Allow():
		r.retryDenied = "budget"
	case !r.delegate():
		r.retryDenied = retryNoServer
	}
	return r.retryDenied == ""
}

// retryNoServer is the reason why a request is not retried if no server is reached.
const retryNoServer = "noServer"

// retryQuarantined is the reason why a request that crashes servers is not retried.
const retryQuarantined = "quarantined"

// retryDenial returns the reason why the request must not be retried, empty if it
// may.
func (r *runner) retryDenial(o *outcome) string {
	switch {
	case r.ctx.Err() != nil:
		return "callerLeft"
	case r.bodyTaken.Load():
		return "bodyNotHeld"
	case !o.notRun() && !r.route.Retryable():
		return "mayHaveRun"
	case r.carrier.config.Quarantiner.Check(r.fingerprint) != nil:
		return retryQuarantined
	case r.sent >= r.route.MaxAttempts():
		return "maxAttempts"
	case r.unreachable > maxUnreachable:
		return "unreached"
	}
	return ""
}

// hedge sends a second attempt if a lightly loaded server is available, or tries
// again soon. If the first attempt has stalled, any server that is not full is accepted.
func (r *runner) hedge() {
	if r.hedged || r.running != 1 || r.sent >= r.route.MaxAttempts() {
		return
	}
	if r.cut() {
		r.hedged = r.hedgeByDelegate()
		return
	}
	choice, ok := r.chooseHedge()
	if !ok {
		r.hedgeTimer.Reset(max(hedgeInterval, r.service.Expected(r.route)/2))
		return
	}
	r.hedged = true
	r.startAttempt(choice)
}

// hedgeByDelegate lets another host send a request again whose server is no longer
// reached.
func (r *runner) hedgeByDelegate() bool {
	suspected := r.carrier.config.Quarantiner.PossiblySuspected(r.fingerprint)
	return !suspected && !r.delegating && r.mayDelegate(r.ctx) && r.budget.Available() >= hedgeReserve && r.budget.Allow() && r.delegate()
}

func (r *runner) chooseHedge() (balancer.Choice, bool) {
	suspected := r.carrier.config.Quarantiner.PossiblySuspected(r.fingerprint)
	if suspected || r.budget.Available() < hedgeReserve || r.service.Waiting() > 0 {
		return balancer.Choice{}, false
	}
	choice, err := r.service.Choose(r.ctx, balancer.Query{Route: r.route, Tried: r.tried, Avoided: r.avoided(), CheckLimit: hedgeChecks})
	if err != nil {
		return choice, false
	}
	now := r.carrier.config.Clock.Now()
	useful := choice.LightlyLoaded || (now.After(r.stalledAt) && !choice.Full)
	if !useful || now.Add(choice.Estimate).After(r.deadline) || !r.budget.Allow() {
		choice.Release()
		return choice, false
	}
	return choice, true
}

// finishFailed responds to a request for which no attempt succeeded.
func (r *runner) finishFailed() {
	if r.fallback != nil && !impliesNotRun(r.fallback.response.Status) {
		r.deliver(r.fallback)
		return
	}
	if r.mayHaveRun {
		reason := verbenastand.ReasonServerFailed
		if errors.Is(r.lastErr, sender.ErrIncompleteRequest) {
			reason = verbenastand.ReasonBadRequest
		}
		r.refuse(verbenastand.NewRequestError(verbenastand.MayHaveRun, reason, r.lastErr))
		return
	}
	if err := r.carrier.config.Quarantiner.Check(r.fingerprint); err != nil {
		r.refuse(err)
		return
	}
	// The servers refused the request; it was not this host that refused it for lack
	// of capacity. A retry may be served at once, unless all servers pause.
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonRefused, r.lastErr)
	r.refuse(refusal.WithRetryAfter(r.retryAfterPause()))
}

// timeOut responds to a request whose time limit has passed.
func (r *runner) timeOut() {
	r.refuse(verbenastand.NewRequestError(r.verdict(), verbenastand.ReasonDeadline, r.lastErr))
}

// verdict returns whether the request may have run, if no further attempt is made.
func (r *runner) verdict() verbenastand.Verdict {
	if r.mayHaveRun || r.running > 0 {
		return verbenastand.MayHaveRun
	}
	return verbenastand.NotRun
}
