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
	// hedgeFactor times the expected duration passes before a request is hedged.
	hedgeFactor = 4
	minHedge    = 15 * time.Millisecond
	timerUnset  = time.Hour
)

// hedge sends a request a second time while its first server stands still, and
// keeps the answer that comes first. It acts on evidence about the server, not on
// the duration of the request, so that it costs nothing while servers work.
type hedge struct {
	dispatcher *Dispatcher
	call       *call
	first      scheduler.Grant
	stopFirst  context.CancelFunc
	ctx        context.Context
	stop       context.CancelFunc
	timer      *time.Timer

	// claimed is set by the attempt that wins.
	claimed atomic.Bool
	// started is set once the second attempt is under way; done is closed when it
	// ends.
	started atomic.Bool
	done    chan struct{}
	answer  *answer
}

// roundTripHedged sends the request to the server of the grant and, if that stands
// still, to another. The answer belongs to whichever was first.
func (d *Dispatcher) roundTripHedged(ctx context.Context, c *call, grant scheduler.Grant, attempt int) (*answer, error) {
	if !d.mayHedge(c, attempt) {
		return d.roundTrip(ctx, c, grant, attempt)
	}
	firstCtx, stopFirst := context.WithCancel(ctx)
	hedgeCtx, stopHedge := context.WithCancel(ctx)
	h := &hedge{
		dispatcher: d, call: c, first: grant, stopFirst: stopFirst,
		ctx: hedgeCtx, stop: stopHedge, done: make(chan struct{}),
	}
	period := max(minHedge, hedgeFactor*c.class.Expected())
	// The timer is set only after the field that its function reads.
	h.timer = time.AfterFunc(timerUnset, func() { h.look(period) })
	h.timer.Reset(period)
	a, err := d.roundTrip(firstCtx, c, grant, attempt)
	return h.settle(a, err)
}

// mayHedge reports whether the request may be sent twice: it must be idempotent,
// short, held in memory, and no retry itself.
func (d *Dispatcher) mayHedge(c *call, attempt int) bool {
	return c.idempotent && c.buffered && attempt == 1 && c.attempt == 0 && c.class.Size() == verbenastand.Short
}

// look starts the second attempt if the first server stands still, or else looks
// again later.
func (h *hedge) look(period time.Duration) {
	if h.ctx.Err() != nil || h.claimed.Load() {
		return
	}
	parts := h.call.parts
	if !parts.Scheduler().Stalled(h.first) {
		h.timer.Reset(period)
		return
	}
	second, ok := parts.Scheduler().TryAcquire(&scheduler.Waiter{
		Priority: h.call.class.Priority(), Expected: h.call.class.Expected(),
		Deadline: h.call.deadline, Tried: []scheduler.Grant{h.first},
	})
	if !ok {
		h.timer.Reset(period)
		return
	}
	allowed := parts.Budget().Allow(retrier.Request{Attempt: 1, Idempotent: true, Verdict: verbenastand.MayHaveRun})
	if !allowed || !h.started.CompareAndSwap(false, true) {
		parts.Scheduler().Release(second, estimator.Abandoned, scheduler.NoReport)
		return
	}
	h.run(second)
}

// run carries the second attempt out and stops the first if it wins.
func (h *hedge) run(grant scheduler.Grant) {
	defer close(h.done)
	h.dispatcher.config.Meter.Hedged(h.call.service)
	a, err := h.dispatcher.roundTrip(h.ctx, h.call, grant, 1)
	h.call.note(verbenastand.VerdictOf(err))
	if err != nil {
		return
	}
	if !h.claimed.CompareAndSwap(false, true) {
		a.close()
		return
	}
	h.answer = a
	h.call.parts.Scheduler().HedgeLost(h.first)
	h.stopFirst()
}

// settle takes the end of the first attempt in and returns the answer that counts.
func (h *hedge) settle(a *answer, err error) (*answer, error) {
	if err == nil && h.claimed.CompareAndSwap(false, true) {
		h.timer.Stop()
		h.stop()
		a.stop = h.stopFirst
		return a, nil
	}
	if a != nil {
		a.close()
	}
	// Nobody starts a second attempt after this.
	running := !h.started.CompareAndSwap(false, true)
	h.timer.Stop()
	if running {
		<-h.done
	}
	h.stopFirst()
	if h.answer != nil {
		h.answer.stop = h.stop
		return h.answer, nil
	}
	h.stop()
	return nil, err
}
