package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/hedger"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/scheduler"
)

// timerUnset is the delay of a timer that is armed later.
const timerUnset = time.Hour

// hedge sends a request to a second server if its first server is stalled, or if the limit of
// extra server time is set and the distribution of durations shows that it is worthwhile. It
// uses whichever response comes first. By the default policy the trigger is a server that
// makes no progress, not a request that takes long, so that hedging adds no load while
// servers are healthy.
type hedge struct {
	dispatcher *Dispatcher
	request    *proxiedRequest
	first      scheduler.Grant
	stopFirst  context.CancelFunc
	ctx        context.Context
	stop       context.CancelFunc
	timer      *time.Timer
	interval   time.Duration

	// won is set by the first attempt that gets a response.
	won atomic.Bool
	// started is set when the second attempt starts, or to prevent it from
	// starting. done is closed when the second attempt ends. pair is set before the second
	// attempt starts.
	started  atomic.Bool
	done     chan struct{}
	response *serverResponse
	pair     atomic.Pointer[hedger.Pair]
	// wanted is set once a second attempt was worthwhile by the distribution of durations.
	wanted bool
	// stalled is set if the first server was stalled when the second attempt started.
	stalled bool

	// expired is set once the second attempt was cancelled because the limit allows no more
	// server time.
	leaseMu sync.Mutex
	expired bool
}

// roundTripHedged sends the request to the server of the grant and, if that server
// stalls, to another. It returns the first response.
func (d *Dispatcher) roundTripHedged(ctx context.Context, req *proxiedRequest, grant scheduler.Grant, attempt int) (*serverResponse, error) {
	if !d.mayHedge(req, attempt) {
		return d.roundTrip(ctx, req, grant, attempt, false)
	}
	firstCtx, stopFirst := context.WithCancel(ctx)
	hedgeCtx, stopHedge := context.WithCancel(ctx)
	h := &hedge{
		dispatcher: d, request: req, first: grant, stopFirst: stopFirst,
		ctx: hedgeCtx, stop: stopHedge, done: make(chan struct{}), interval: hedger.StallCheckInterval(req.class.Expected()),
	}
	delay := h.interval
	if d.config.Hedger.Mode() == hedger.Limited {
		delay, _ = d.config.Hedger.Delay(h.attempt())
	}
	// The timer is armed only after the field that its function reads is set.
	h.timer = time.AfterFunc(timerUnset, h.check)
	h.timer.Reset(delay)
	resp, err := d.roundTrip(firstCtx, req, grant, attempt, false)
	return h.finish(resp, err)
}

// mayHedge reports whether the request may be hedged: it must be idempotent, short,
// buffered in memory, and not a retry.
func (d *Dispatcher) mayHedge(req *proxiedRequest, attempt int) bool {
	return d.config.Hedger.Mode() != hedger.Disabled &&
		req.idempotent && req.buffered && attempt == 1 && req.attempt == 0 && req.class.Size() == verbenastand.Short
}

// attempt returns the first attempt as it is now.
func (h *hedge) attempt() hedger.Attempt {
	expected := h.request.class.Expected()
	return hedger.Attempt{
		Service: h.request.service, Route: h.request.class.Route(), Expected: expected, Estimate: expected,
		Elapsed: h.elapsed(h.first), Slowdown: 1, SlowdownNow: 1,
	}
}

func (h *hedge) elapsed(g scheduler.Grant) time.Duration {
	return h.dispatcher.config.Timer.Now().Sub(g.GrantedAt())
}

// check starts the second attempt if it is worthwhile, or else schedules the next check. While a
// second attempt runs, it ends its lease.
func (h *hedge) check() {
	if h.started.Load() {
		h.endLease()
		return
	}
	if h.ctx.Err() != nil || h.won.Load() {
		return
	}
	if h.dispatcher.config.Quarantiner.PossiblySuspected(h.request.crashFingerprint) {
		h.deny(hedger.Suspected)
		return
	}
	components := h.request.components
	h.stalled = components.Scheduler().Stalled(h.first)
	if denial := h.denial(); denial != hedger.Allowed {
		h.deny(denial)
		h.timer.Reset(h.interval)
		return
	}
	if r := h.dispatcher.config.Reachability; r != nil && h.stalled {
		r.Stalled(h.first.Server())
	}
	second, ok := components.Scheduler().TryAcquire(&scheduler.Waiter{
		Priority: h.request.class.Priority(), Expected: h.request.class.Expected(),
		Deadline: h.request.deadline, Tried: []scheduler.Grant{h.first},
	})
	if !ok {
		h.deny(hedger.NoLightServer)
		h.timer.Reset(h.interval)
		return
	}
	if denial := h.begin(); denial != hedger.Allowed {
		h.deny(denial)
		components.Scheduler().Release(second, estimator.Abandoned, scheduler.NoReport)
		if denial != hedger.OverRetryBudget && !h.started.Load() {
			h.timer.Reset(h.interval)
		}
		return
	}
	if lease := h.pair.Load().Lease(); lease > 0 {
		h.timer.Reset(lease)
	}
	h.run(second)
}

func (h *hedge) deny(reason hedger.Denial) {
	h.dispatcher.config.Hedger.Deny(h.request.service, reason)
}

// denial returns why no server is searched for a second attempt.
func (h *hedge) denial() hedger.Denial {
	config := h.dispatcher.config
	limited := config.Hedger.Mode() == hedger.Limited
	switch {
	case !h.worthwhile() && !h.stalled:
		return hedger.NotWorthwhile
	case limited && h.request.components.Budget().Available() < hedger.RetryReserve:
		return hedger.OverRetryBudget
	case limited && config.Hedger.NearCapacity(h.request.service):
		return hedger.RequestsWait
	}
	return hedger.Allowed
}

// worthwhile reports whether a second attempt is worthwhile by the distribution of durations.
func (h *hedge) worthwhile() bool {
	config, attempt := h.dispatcher.config.Hedger, h.attempt()
	if config.Mode() != hedger.Limited || !config.Worthwhile(attempt, 1) {
		return false
	}
	if !h.wanted {
		h.wanted = true
		config.CountWorthwhile(attempt)
	}
	return true
}

// begin reserves the server time and the retry of a second attempt, and prevents that the
// first one ends unnoticed.
func (h *hedge) begin() hedger.Denial {
	pair, denial := h.dispatcher.config.Hedger.Begin(h.attempt())
	if denial != hedger.Allowed {
		return denial
	}
	h.pair.Store(pair)
	retry := retrier.Request{Attempt: 1, Idempotent: true, Verdict: verbenastand.MayHaveRun}
	if !h.request.components.Budget().Allow(retry) {
		pair.Abandon()
		return hedger.OverRetryBudget
	}
	if !h.started.CompareAndSwap(false, true) {
		pair.Abandon()
		return hedger.NotWorthwhile
	}
	return hedger.Allowed
}

// endLease cancels the second attempt unless the limit allows more server time.
func (h *hedge) endLease() {
	pair := h.pair.Load()
	if pair == nil || h.won.Load() {
		return
	}
	if pair.Extend() {
		h.timer.Reset(pair.Lease())
		return
	}
	h.leaseMu.Lock()
	defer h.leaseMu.Unlock()
	if !h.won.Load() {
		h.expired = true
		h.stop()
	}
}

// run sends the second attempt and, if that wins, cancels the first one.
func (h *hedge) run(grant scheduler.Grant) {
	defer close(h.done)
	pair := h.pair.Load()
	h.dispatcher.config.Meter.Hedged(h.request.service)
	pair.Sent()
	resp, err := h.dispatcher.roundTrip(h.ctx, h.request, grant, 1, true)
	h.request.recordVerdict(verbenastand.VerdictOf(err))
	if err != nil {
		pair.Ended(hedger.Second, h.elapsed(grant))
		return
	}
	if !h.winLease() {
		resp.discard()
		pair.Ended(hedger.Second, h.elapsed(grant))
		return
	}
	pair.Won(hedger.Second)
	h.response = resp
	if h.stalled {
		h.request.components.Scheduler().RecordHedgeLoss(h.first)
	}
	h.stopFirst()
}

// winLease reports whether the second attempt wins, and was not cancelled.
func (h *hedge) winLease() bool {
	h.leaseMu.Lock()
	defer h.leaseMu.Unlock()
	return !h.expired && h.won.CompareAndSwap(false, true)
}

// finish processes the result of the first attempt and returns the response of the
// attempt that won.
func (h *hedge) finish(resp *serverResponse, err error) (*serverResponse, error) {
	// This prevents a second attempt from starting.
	hedgeStarted := !h.started.CompareAndSwap(false, true)
	if err == nil && h.won.CompareAndSwap(false, true) {
		h.timer.Stop()
		h.stop()
		if hedgeStarted {
			h.pair.Load().Won(hedger.First)
		}
		resp.stop = h.stopFirst
		return resp, nil
	}
	if resp != nil {
		resp.discard()
	}
	if hedgeStarted {
		h.pair.Load().Ended(hedger.First, h.elapsed(h.first))
		<-h.done
		h.pair.Load().Close()
	}
	h.timer.Stop()
	h.stopFirst()
	if h.response != nil {
		h.response.stop = h.stop
		return h.response, nil
	}
	h.stop()
	return nil, err
}

// observeDuration passes on how long an attempt took.
func (resp *serverResponse) observeDuration() {
	d := resp.dispatcher
	kind := hedger.Ended
	switch resp.result {
	case estimator.Succeeded:
		kind = hedger.Completed
	case estimator.Abandoned:
		kind = hedger.Cancelled
	}
	took := resp.took
	if took == 0 {
		took = d.config.Timer.Now().Sub(resp.grant.GrantedAt())
	}
	d.config.Hedger.Observe(hedger.Observation{
		Service: resp.request.service, Route: resp.request.class.Route(), Result: kind, First: resp.first, Took: took, Slowdown: 1,
	})
}
