package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/scheduler"
)

const (
	// hedgeFactor times the expected duration is the interval at which the first
	// server is checked for a stall.
	hedgeFactor = 4
	minHedge    = 15 * time.Millisecond
	timerUnset  = time.Hour
)

// hedge sends a request to a second server while its first server is stalled, and
// uses whichever response comes first. The trigger is a server that makes no
// progress, not a request that takes long, so that hedging adds no load while
// servers are healthy.
type hedge struct {
	dispatcher *Dispatcher
	request    *proxiedRequest
	first      scheduler.Grant
	stopFirst  context.CancelFunc
	ctx        context.Context
	stop       context.CancelFunc
	timer      *time.Timer

	// won is set by the first attempt that gets a response.
	won atomic.Bool
	// started is set when the second attempt starts, or to prevent it from
	// starting. done is closed when the second attempt ends.
	started  atomic.Bool
	done     chan struct{}
	response *serverResponse
}

// roundTripHedged sends the request to the server of the grant and, if that server
// stalls, to another. It returns the first response.
func (d *Dispatcher) roundTripHedged(ctx context.Context, req *proxiedRequest, grant scheduler.Grant, attempt int) (*serverResponse, error) {
	if !d.mayHedge(req, attempt) {
		return d.roundTrip(ctx, req, grant, attempt)
	}
	firstCtx, stopFirst := context.WithCancel(ctx)
	hedgeCtx, stopHedge := context.WithCancel(ctx)
	h := &hedge{
		dispatcher: d, request: req, first: grant, stopFirst: stopFirst,
		ctx: hedgeCtx, stop: stopHedge, done: make(chan struct{}),
	}
	checkInterval := max(minHedge, hedgeFactor*req.class.Expected())
	// The timer is armed only after the field that its function reads is set.
	h.timer = time.AfterFunc(timerUnset, func() { h.check(checkInterval) })
	h.timer.Reset(checkInterval)
	resp, err := d.roundTrip(firstCtx, req, grant, attempt)
	return h.finish(resp, err)
}

// mayHedge reports whether the request may be hedged: it must be idempotent, short,
// buffered in memory, and not a retry.
func (d *Dispatcher) mayHedge(req *proxiedRequest, attempt int) bool {
	return req.idempotent && req.buffered && attempt == 1 && req.attempt == 0 && req.class.Size() == verbenastand.Short
}

// check starts the second attempt if the first server is stalled, or else
// schedules the next check.
func (h *hedge) check(checkInterval time.Duration) {
	if h.ctx.Err() != nil || h.won.Load() {
		return
	}
	if h.dispatcher.config.Quarantiner.PossiblySuspected(h.request.crashFingerprint) {
		return
	}
	components := h.request.components
	if !components.Scheduler().Stalled(h.first) {
		h.timer.Reset(checkInterval)
		return
	}
	if r := h.dispatcher.config.Reachability; r != nil {
		r.Stalled(h.first.Server())
	}
	second, ok := components.Scheduler().TryAcquire(&scheduler.Waiter{
		Priority: h.request.class.Priority(), Expected: h.request.class.Expected(),
		Deadline: h.request.deadline, Tried: []scheduler.Grant{h.first},
	})
	if !ok {
		h.timer.Reset(checkInterval)
		return
	}
	allowed := components.Budget().Allow(retrier.Request{Attempt: 1, Idempotent: true, Verdict: verbenastand.MayHaveRun})
	if !allowed || !h.started.CompareAndSwap(false, true) {
		components.Scheduler().Release(second, estimator.Abandoned, scheduler.NoReport)
		return
	}
	h.run(second)
}

// run sends the second attempt and, if that wins, cancels the first one.
func (h *hedge) run(grant scheduler.Grant) {
	defer close(h.done)
	h.dispatcher.config.Meter.Hedged(h.request.service)
	resp, err := h.dispatcher.roundTrip(h.ctx, h.request, grant, 1)
	h.request.recordVerdict(verbenastand.VerdictOf(err))
	if err != nil {
		return
	}
	if !h.won.CompareAndSwap(false, true) {
		resp.close()
		return
	}
	h.response = resp
	h.request.components.Scheduler().RecordHedgeLoss(h.first)
	h.stopFirst()
}

// finish processes the result of the first attempt and returns the response of the
// attempt that won.
func (h *hedge) finish(resp *serverResponse, err error) (*serverResponse, error) {
	if err == nil && h.won.CompareAndSwap(false, true) {
		h.timer.Stop()
		h.stop()
		resp.stop = h.stopFirst
		return resp, nil
	}
	if resp != nil {
		resp.close()
	}
	// This prevents a second attempt from starting.
	hedgeStarted := !h.started.CompareAndSwap(false, true)
	h.timer.Stop()
	if hedgeStarted {
		<-h.done
	}
	h.stopFirst()
	if h.response != nil {
		h.response.stop = h.stop
		return h.response, nil
	}
	h.stop()
	return nil, err
}
