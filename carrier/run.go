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
	hedging  hedging
	// cancels end the attempts and delegations, by their index.
	cancels []context.CancelFunc
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
	r.hedging.timer = time.NewTimer(time.Hour)
	defer r.hedging.timer.Stop()
	defer r.endHedging()
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
		case <-r.hedging.timer.C:
			r.onHedgeTimer()
		case <-ctx.Done():
			c.interrupt(ctx, r.verdict())
			return false
		case <-limit.C:
			r.timeOut()
			return false
		}
	}
}

// begin sends the request to the first server, or delegates it if this host reaches none or has
// no share of their limits.
// A delegated request is counted by the host that sends it.
func (r *runner) begin() error {
	if err := r.excludedEverywhere(); err != nil {
		return r.noServer(err)
	}
	if r.cut() {
		if r.mayDelegate(r.ctx) && r.delegate() {
			return nil
		}
		return r.noServer(errCut)
	}
	if r.unshared() && r.hasDelegates() && r.delegate() {
		return nil
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
	r.drainAttempts()
}

// drainAttempts releases what the attempts hold that have been cancelled.
func (r *runner) drainAttempts() {
	running := r.running
	r.running = 0
	go func() {
		for range running {
			o := <-r.results
			if o.acceptable() && !o.body.Complete() {
				o.finish(errNotNeeded)
			}
			o.release()
			r.hedging.recordEnd(o)
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
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	r.sent++
	r.tried = append(r.tried, choice.Server)
	sent := sentAttempt{number: r.sent, hedge: r.hedging.isHedge(index)}
	go func() {
		o := r.attempt(ctx, choice, sent)
		o.index = index
		r.results <- o
	}()
	r.planHedge(choice, index)
}

// handleOutcome delivers the response of an attempt that ended, or else retries the
// request or waits for its other attempt. done reports whether the request has ended,
// succeeded whether a response that is no failure was delivered.
func (r *runner) handleOutcome(o *outcome) (done, succeeded bool) {
	r.running--
	r.handled = append(r.handled, o)
	if !o.acceptable() || o.body.Complete() {
		r.hedging.recordEnd(o)
	}
	if o.delegate != "" {
		return r.handleDelegated(o)
	}
	if o.acceptable() {
		r.endOtherAttempts(o)
		return true, r.deliver(o)
	}
	r.recordOutcome(o)
	if r.ctx.Err() != nil {
		r.interrupt(r.ctx, r.verdict())
		return true, false
	}
	if r.awaitsOther() || r.retry(o) {
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
	choice, err := r.service.Choose(r.ctx, balancer.Query{Route: r.route, Tried: r.tried, Avoided: r.avoided(), BodyBytes: r.bodyBytes()})
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
