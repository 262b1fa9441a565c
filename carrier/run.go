package carrier

import (
	"context"
	"errors"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
)

const (
	// hedgeFactor times the expected duration passes before a second copy is sent
	// that can still be in time.
	hedgeFactor = 1.4
	// stuckFactor times the estimate passes before one that cannot.
	stuckFactor = 3
	// hedgePause is the shortest time between two tries to send a second copy.
	hedgePause = 20 * time.Millisecond
	// hedgeLooks bounds the looks for a second copy.
	hedgeLooks = 2
	// hedgeReserve is the part of the retry budget that is left to requests whose
	// server failed.
	hedgeReserve = 2
	// againSoon is advised to callers whose request was refused by servers that
	// are not known to be full.
	againSoon = 10 * time.Millisecond
	// maxUnreached bounds the servers tried to which no connection is had.
	maxUnreached = 4
)

// errNotWanted ends an attempt that another one has overtaken.
var errNotWanted = errors.New("carrier: the response is not wanted any more")

// race is the course of one request over its attempts.
type race struct {
	*call
	ctx     context.Context
	results chan *outcome
	// running counts attempts under way; sent counts servers that got the request.
	running   int
	sent      int
	unreached int
	tried     []*balancer.Server
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// fallback is a response that is delivered if nothing better comes.
	fallback *outcome
	lastErr  error
	hedged   bool
	// stuckAt is when the last copy counts as standing still.
	stuckAt time.Time
	timer   *time.Timer
	cancels []context.CancelFunc
}

// run sends the request to servers until it is answered, and reports whether a
// server answered it.
func (l *call) run(ctx context.Context) bool {
	r := &race{call: l, ctx: ctx, results: make(chan *outcome, 1+l.route.MaxAttempts()+maxUnreached)}
	limit := time.NewTimer(l.deadline.Add(answerGrace).Sub(l.carrier.config.Clock.Now()))
	defer limit.Stop()
	r.timer = time.NewTimer(time.Hour)
	defer r.timer.Stop()
	defer r.stop()
	choice, err := l.admit(ctx)
	if err != nil {
		if ctx.Err() != nil {
			l.abandon()
			return false
		}
		l.refuse(err)
		return false
	}
	r.launch(choice)
	for {
		select {
		case o := <-r.results:
			if done, answered := r.take(o); done {
				return answered
			}
		case <-r.timer.C:
			r.hedge()
		case <-ctx.Done():
			l.abandon()
			return false
		case <-limit.C:
			r.timeOut()
			return false
		}
	}
}

// stop ends the attempts that are no longer wanted. Work that must not run twice
// is left to its end, for its caller may learn of it elsewhere.
func (r *race) stop() {
	if r.route.MayRepeat() {
		for _, cancel := range r.cancels {
			cancel()
		}
	}
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			if o := <-r.results; o.err == nil && !o.whole {
				o.finish(errNotWanted)
			}
		}
	}()
}

// launch sends the request to the chosen server.
func (r *race) launch(choice balancer.Choice) {
	base := r.ctx
	if !r.route.MayRepeat() {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithDeadline(base, r.deadline.Add(answerGrace))
	r.cancels = append(r.cancels, cancel)
	r.running++
	r.sent++
	r.tried = append(r.tried, choice.Server)
	number := r.sent
	go func() { r.results <- r.attempt(ctx, choice, number) }()
	r.stuckAt = r.carrier.config.Clock.Now().Add(stuckFactor * choice.Estimate)
	if !r.hedged && r.route.MayRepeat() && r.request.Buffered() {
		r.timer.Reset(r.hedgeDelay(choice))
	}
}

// hedgeDelay is how long the first copy is given before a second is considered.
func (r *race) hedgeDelay(choice balancer.Choice) time.Duration {
	base := r.service.Expected(r.route)
	early := time.Duration(hedgeFactor * float64(base))
	if r.carrier.config.Clock.Now().Add(early + base).Before(r.target) {
		return early
	}
	return stuckFactor * choice.Estimate
}

// take judges the end of an attempt.
func (r *race) take(o *outcome) (done, answered bool) {
	r.running--
	if o.good() {
		r.deliver(o)
		return true, true
	}
	r.note(o)
	if r.again(o) {
		return false, false
	}
	if r.running > 0 {
		return false, false
	}
	return true, r.fail()
}

func (r *race) note(o *outcome) {
	if o.unreached() {
		r.unreached++
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

// again sends the request to another server if that is allowed.
func (r *race) again(o *outcome) bool {
	r.repeatDenied = r.mayNotRepeat(o)
	if r.repeatDenied != "" {
		return false
	}
	choice, err := r.service.Choose(r.ctx, balancer.Query{Route: r.route, Tried: r.tried})
	if err != nil {
		r.repeatDenied = "noServer"
		return false
	}
	hopeless := r.carrier.config.Clock.Now().Add(choice.Estimate).After(r.deadline)
	switch {
	case hopeless || choice.Full:
		r.repeatDenied = "notInTime"
	case r.sent > 0 && !r.budget.Allow():
		r.repeatDenied = "budget"
	}
	if r.repeatDenied != "" {
		choice.Release()
		return false
	}
	r.launch(choice)
	return true
}

// mayNotRepeat says why the request must not be sent again, empty if it may.
func (r *race) mayNotRepeat(o *outcome) string {
	switch {
	case r.ctx.Err() != nil:
		return "callerLeft"
	case !r.request.Buffered():
		return "bodyNotHeld"
	case !o.notRun() && !r.route.MayRepeat():
		return "mayHaveRun"
	case r.sent >= r.route.MaxAttempts():
		return "maxAttempts"
	case r.unreached > maxUnreached:
		return "unreached"
	}
	return ""
}

// hedge sends a second copy if a calm server has room for it, or looks again soon.
// A copy whose server stands still goes to any server that is not full.
func (r *race) hedge() {
	if r.hedged || r.running != 1 || r.sent >= r.route.MaxAttempts() {
		return
	}
	choice, ok := r.chooseSecond()
	if !ok {
		r.timer.Reset(max(hedgePause, r.service.Expected(r.route)/2))
		return
	}
	r.hedged = true
	r.launch(choice)
}

func (r *race) chooseSecond() (balancer.Choice, bool) {
	if r.budget.Available() < hedgeReserve || r.service.Waiting() > 0 {
		return balancer.Choice{}, false
	}
	choice, err := r.service.Choose(r.ctx, balancer.Query{Route: r.route, Tried: r.tried, CheckLimit: hedgeLooks})
	if err != nil {
		return choice, false
	}
	now := r.carrier.config.Clock.Now()
	useful := choice.LightlyLoaded || (now.After(r.stuckAt) && !choice.Full)
	if !useful || now.Add(choice.Estimate).After(r.deadline) || !r.budget.Allow() {
		choice.Release()
		return choice, false
	}
	return choice, true
}

// fail answers a request that no server answered well, and reports whether a
// server did answer it.
func (r *race) fail() bool {
	if r.fallback != nil && !promisesNotRun(r.fallback.response.Status) {
		r.deliver(r.fallback)
		return true
	}
	if r.mayHaveRun {
		r.refuse(verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, r.lastErr))
		return false
	}
	// The servers refused it, not this host for want of room: another try may be
	// served at once.
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonRefused, r.lastErr)
	r.refuse(refusal.WithRetryAfter(againSoon))
	return false
}

// timeOut answers a request whose time is over.
func (r *race) timeOut() {
	verdict := verbenastand.NotRun
	if r.mayHaveRun || r.running > 0 {
		verdict = verbenastand.MayHaveRun
	}
	r.refuse(verbenastand.NewRequestError(verdict, verbenastand.ReasonDeadline, r.lastErr))
}
