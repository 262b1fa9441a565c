package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/connector"
	"github.com/verbenastand/verbenastand/estimator"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/reporter"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/scheduler"
)

// execute sends the request to servers until an attempt succeeds or no further
// retry is allowed.
func (d *Dispatcher) execute(ctx context.Context, req *proxiedRequest) (*serverResponse, error) {
	var tried []scheduler.Grant
	req.components.Budget().Deposit(req.attempt > 0)
	for attempt := 1; ; attempt++ {
		resp, grant, err := d.sendAttempt(ctx, req, attempt, tried)
		if err == nil && !d.retryableStatus(resp, req) {
			return resp, nil
		}
		verdict := verbenastand.VerdictOf(err)
		req.recordVerdict(verdict)
		if err != nil && !retryable(err) {
			return nil, req.combineVerdicts(err)
		}
		allowed := req.buffered && ctx.Err() == nil && req.components.Budget().Allow(retrier.Request{
			Attempt: attempt, Retried: req.attempt > 0, Idempotent: req.idempotent, Verdict: verdict,
			Unreached: verdict == verbenastand.NotRun && !errors.Is(err, errShed),
		})
		if !allowed {
			return resp, req.combineVerdicts(err)
		}
		if resp != nil {
			resp.discard()
		}
		tried = append(tried, grant)
	}
}

// retryableStatus reports whether a response is a server error that another
// server might not return.
func (d *Dispatcher) retryableStatus(resp *serverResponse, req *proxiedRequest) bool {
	return req.idempotent && resp.response.StatusCode >= http.StatusInternalServerError &&
		resp.response.StatusCode != http.StatusNotImplemented
}

func retryable(err error) bool {
	var re *verbenastand.RequestError
	return errors.As(err, &re) && (re.Reason() == verbenastand.ReasonServerFailed || re.Reason() == verbenastand.ReasonInvalidResponse)
}

// sendAttempt sends the request to one server, or to two if it is hedged.
func (d *Dispatcher) sendAttempt(ctx context.Context, req *proxiedRequest, attempt int, tried []scheduler.Grant) (*serverResponse, scheduler.Grant, error) {
	d.config.Quarantiner.Reconsider(ctx, req.crashFingerprint, d.examine)
	if err := d.config.Quarantiner.Acquire(ctx, req.crashFingerprint); err != nil {
		return nil, scheduler.Grant{}, err
	}
	succeeded := false
	defer func() { d.config.Quarantiner.Release(req.crashFingerprint, succeeded) }()
	grant, err := d.acquire(ctx, req, tried)
	if err != nil {
		return nil, grant, err
	}
	if err := d.config.Quarantiner.Confirm(ctx, req.crashFingerprint, d.examine); err != nil {
		req.components.Scheduler().Release(grant, estimator.Abandoned, scheduler.NoReport)
		return nil, grant, err
	}
	d.config.Meter.AttemptSent(req.service, attempt > 1)
	resp, err := d.roundTripHedged(ctx, req, grant, attempt)
	succeeded = err == nil && resp.complete && resp.response.StatusCode < http.StatusInternalServerError
	return resp, grant, err
}

func (d *Dispatcher) acquire(ctx context.Context, req *proxiedRequest, tried []scheduler.Grant) (scheduler.Grant, error) {
	ctx, span := d.config.Tracer.Start(ctx, "queue")
	defer span.End()
	start := d.config.Timer.Now()
	grant, err := req.components.Scheduler().Acquire(ctx, &scheduler.Waiter{
		Priority: req.class.Priority(), Size: req.class.Size(), Expected: req.class.Expected(),
		Deadline: req.deadline, Tried: tried,
	})
	if err != nil {
		return grant, err
	}
	now := d.config.Timer.Now()
	d.config.Meter.Queued(req.service, now.Sub(start))
	d.config.Hedger.RecordWait(req.service, now.Sub(start) > immediate)
	if d.stopped.Err() != nil {
		// The slot became free because the host stops.
		req.components.Scheduler().Release(grant, estimator.Abandoned, scheduler.NoReport)
		return grant, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonCancelled, d.stopped.Err())
	}
	// The process may have been paused since the slot was granted.
	if now.After(req.deadline) || now.Sub(grant.GrantedAt()) > maxGrantAge {
		req.components.Scheduler().Release(grant, estimator.Abandoned, scheduler.NoReport)
		return grant, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonDeadline, nil)
	}
	return grant, nil
}

// immediate is the time up to which a request that gets a slot has not waited for it.
const immediate = time.Millisecond

// maxGrantAge is how long a granted slot may stay unused before it counts as
// stale.
const maxGrantAge = 500 * time.Millisecond

func (d *Dispatcher) roundTrip(ctx context.Context, req *proxiedRequest, grant scheduler.Grant, attempt int, hedge bool) (*serverResponse, error) {
	ctx, span := d.config.Tracer.Start(ctx, "server")
	out := d.newRequest(ctx, req)
	out.Header.Set(verbenastand.HeaderAttempt, strconv.Itoa(req.attempt+attempt-1))
	out.Header.Set(verbenastand.HeaderDepth, strconv.Itoa(req.depth+1))
	setTimeout(out, req.deadline.Sub(d.config.Timer.Now()))
	response, err := d.config.Servers.RoundTrip(grant.Server(), out)
	resp := &serverResponse{
		dispatcher: d, request: req, grant: grant, span: span, response: response, first: attempt == 1 && req.attempt == 0 && !hedge,
	}
	if err != nil {
		return nil, resp.closeWithError(ctx, err)
	}
	resp.report = reporter.Read(response.Header, grant.Server().Slots())
	refused := response.Header.Get(verbenastand.HeaderVerdict) == verbenastand.NotRun.String()
	d.observeServer(grant, response, !refused && response.StatusCode < http.StatusInternalServerError)
	if refused {
		resp.result = estimator.Shed
		resp.close()
		refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonServerFailed, errShed)
		return nil, refusal.WithRetryAfter(time.Second)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		resp.result = estimator.Failed
	}
	if response.ContentLength >= 0 && response.ContentLength <= maxBufferedBody {
		if err := resp.buffer(maxBufferedBody); err != nil {
			return nil, err
		}
	}
	resp.took = d.config.Timer.Now().Sub(grant.GrantedAt())
	return resp, nil
}

// observeServer passes on what the response states about its server.
func (d *Dispatcher) observeServer(g scheduler.Grant, r *http.Response, succeeded bool) {
	process := g.Server().Process()
	process.Instance = r.Header.Get(verbenastand.HeaderServerInstance)
	d.config.Excluder.Observe(excluder.Response{
		Process: process, Status: r.StatusCode, RetryAfter: r.Header.Values("Retry-After"),
	})
	named := r.Header.Values(verbenastand.HeaderServerLimit)
	d.config.Limiter.Observe(limiter.Response{
		Process: g.Server().Process(), Named: len(named) > 0, Text: strings.Join(named, ", "),
		Succeeded: succeeded, SentAt: g.GrantedAt(),
	})
}

var errShed = errors.New("dispatcher: the server refused the request")

// newRequest returns the outgoing request to a server or another host.
func (d *Dispatcher) newRequest(ctx context.Context, req *proxiedRequest) *http.Request {
	out := req.request.Clone(ctx)
	out.Header = make(http.Header, len(req.request.Header)+4)
	copyHeader(out.Header, req.request.Header)
	out.Header.Set(verbenastand.HeaderService, string(req.service))
	if _, present := out.Header["User-Agent"]; !present {
		out.Header.Set("User-Agent", "")
	}
	if !req.forwarded {
		appendForwardedFor(out.Header, req.request.RemoteAddr)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	out.Body, out.ContentLength = req.newBody()
	out.TransferEncoding = nil
	out.Close = false
	return out
}

func setTimeout(r *http.Request, remaining time.Duration) {
	r.Header.Set(verbenastand.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
}

// startSpan starts a span that continues the caller's trace.
func (d *Dispatcher) startSpan(r *http.Request, name string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return d.config.Tracer.Start(ctx, name)
}

// serverResponse is the response of a server. It holds the slot until closed.
type serverResponse struct {
	dispatcher *Dispatcher
	request    *proxiedRequest
	grant      scheduler.Grant
	span       trace.Span
	response   *http.Response
	report     scheduler.Report
	result     estimator.Result

	// prefix is the part of the body in memory, which body holds. buffered is set once it has
	// been read, and complete if it is the whole body.
	prefix             []byte
	body               bounder.Buffer
	buffered, complete bool
	closed             bool
	// interrupted is set once the rest of the body is not needed.
	interrupted atomic.Bool
	// first is set for the first attempt of a request. took is the time until the part of
	// the response that is buffered had been read, zero before.
	first bool
	took  time.Duration
	// stop cancels the context of the attempt if the attempt has a separate one.
	stop context.CancelFunc
}

// buffer reads the body up to a limit, as far as there is memory, and closes the response if
// that is the whole body. The rest of a longer body is streamed later. A body that the server
// truncated is an error.
func (resp *serverResponse) buffer(limit int64) error {
	if resp.buffered {
		return nil
	}
	var err error
	resp.body, err = bounder.ReadBuffer(bounder.BufferConfig{
		Reader: resp.response.Body, Length: resp.request.responseLength(resp.response), Limit: limit + 1, Budget: resp.request.budget(),
	})
	if err != nil {
		return resp.closeWithError(resp.response.Request.Context(), err)
	}
	resp.buffered, resp.prefix = true, resp.body.Bytes()
	if resp.body.Complete() && int64(len(resp.prefix)) <= limit {
		resp.complete = true
		resp.close()
	}
	return nil
}

// discard closes a response that is not delivered.
func (resp *serverResponse) discard() {
	resp.close()
	resp.body.Release()
}

// closeWithError closes the response after a connection error and returns the
// error with its verdict.
func (resp *serverResponse) closeWithError(ctx context.Context, err error) error {
	d := resp.dispatcher
	re := resp.requestError(ctx, err)
	switch {
	case errors.Is(re, connector.ErrConnectionLost):
		resp.result = estimator.Failed
		d.config.Meter.ConnectionLost()
		if resp.response != nil {
			d.config.Meter.Truncated()
		}
	case errors.Is(re, connector.ErrMalformedResponse), re.Verdict() == verbenastand.NotRun && ctx.Err() == nil:
		resp.result = estimator.Failed
	default:
		resp.result = estimator.Abandoned
	}
	resp.close()
	if errors.Is(re, connector.ErrConnectionLost) {
		resp.recordLoss()
	}
	return re
}

func (resp *serverResponse) requestError(ctx context.Context, err error) *verbenastand.RequestError {
	var re *verbenastand.RequestError
	if !errors.As(err, &re) {
		re = verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, err)
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return verbenastand.NewRequestError(re.Verdict(), verbenastand.ReasonDeadline, err)
	case context.Canceled:
		return verbenastand.NewRequestError(re.Verdict(), verbenastand.ReasonCancelled, err)
	}
	return re
}

// close releases the slot. It may be called more than once.
func (resp *serverResponse) close() {
	if resp.closed {
		return
	}
	resp.closed = true
	if resp.response != nil {
		_ = resp.response.Body.Close()
	}
	if resp.stop != nil {
		resp.stop()
	}
	if resp.span != nil {
		resp.span.End()
	}
	resp.observeDuration()
	req := resp.request
	if resp.result == estimator.Succeeded {
		req.components.Classifier().Observe(req.class, resp.dispatcher.config.Timer.Now().Sub(resp.grant.GrantedAt()))
	}
	if notice, isNew := req.components.Scheduler().Release(resp.grant, resp.result, resp.report); isNew {
		resp.dispatcher.config.OnDrainNotice(req.service, notice)
	}
}

// header returns the end-to-end header fields of the response.
func (resp *serverResponse) header() http.Header {
	h := make(http.Header, len(resp.response.Header))
	copyHeader(h, resp.response.Header)
	h.Del(verbenastand.HeaderLoad)
	h.Del(verbenastand.HeaderServerDraining)
	return h
}
