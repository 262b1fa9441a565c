package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/prefetcher"
)

// misdirected reports whether the request should be forwarded to a home host. A
// request that is not idempotent and has no idempotency key is never forwarded.
func (d *Dispatcher) misdirected(req *proxiedRequest) bool {
	return !req.forwarded && req.idempotent && req.buffered && !req.components.IsHome() && len(req.components.Homes()) > 0
}

// forward forwards an idempotent request to a home host. It reports false, with
// nothing written, if no home responded; this host then serves the request.
func (d *Dispatcher) forward(ctx context.Context, w http.ResponseWriter, req *proxiedRequest) bool {
	for _, home := range req.components.Homes() {
		response, err := d.sendWithTimeout(ctx, home, req)
		if err != nil {
			req.recordVerdict(verbenastand.VerdictOf(err))
			if ctx.Err() != nil {
				d.writeError(w, req.service, verbenastand.NewRequestError(verbenastand.MayHaveRun, endReason(ctx), ctx.Err()))
				return true
			}
			continue
		}
		if req.mayHaveRun.Load() && response.Header.Get(verbenastand.HeaderVerdict) == verbenastand.NotRun.String() {
			_ = response.Body.Close()
			d.writeError(w, req.service, keyOwnerUnreachableError(errRefusedByLaterHome))
			return true
		}
		d.relay(w, req, response)
		return true
	}
	return false
}

// endReason returns why the context of a request has ended.
func endReason(ctx context.Context) verbenastand.RefusalReason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verbenastand.ReasonCancelled
	}
	return verbenastand.ReasonDeadline
}

// errRefusedByLaterHome means that a home refused a request that another one may
// have run.
var errRefusedByLaterHome = errors.New("dispatcher: refused by one home after another may have run it")

// forwardKeyed forwards a request to the host that has its idempotency key. If that
// host is unreachable the verdict is mayHaveRun, because an earlier copy of the
// request may have run there.
func (d *Dispatcher) forwardKeyed(ctx context.Context, w http.ResponseWriter, req *proxiedRequest) {
	req.deadline = req.arrived.Add(d.timeoutOf(req))
	if d.tooLate(req) {
		// An earlier copy of the request may have run.
		d.writeError(w, req.service, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonDraining, nil))
		return
	}
	ctx, unwatch, cancel := d.withLimits(ctx, req)
	defer cancel()
	owner, found := d.config.Membership.KeyOwner(req.key.Instance())
	if req.forwarded || !found {
		d.writeError(w, req.service, keyOwnerUnreachableError(nil))
		return
	}
	response, err := d.send(ctx, owner, req)
	unwatch()
	if err != nil && d.stopped.Err() != nil {
		d.writeError(w, req.service, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonDraining, err))
		return
	}
	if err != nil {
		d.writeError(w, req.service, keyOwnerUnreachableError(err))
		return
	}
	d.relay(w, req, response)
}

// sendWithTimeout waits at most half of the remaining time for the response header,
// so that a stalled home leaves time to try the next one.
func (d *Dispatcher) sendWithTimeout(ctx context.Context, home verbenastand.Host, req *proxiedRequest) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	remaining := req.deadline.Sub(d.config.Timer.Now())
	timer := time.AfterFunc(remaining/2, cancel)
	response, err := d.send(ctx, home, req)
	inTime := timer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	if !inTime {
		_ = response.Body.Close()
		return nil, context.Canceled
	}
	response.Body = &cancellingBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// cancellingBody cancels the context of a request when its response body is
// closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func keyOwnerUnreachableError(cause error) error {
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonKeyOwnerUnreachable, cause)
}

func (d *Dispatcher) send(ctx context.Context, peer verbenastand.Host, req *proxiedRequest) (*http.Response, error) {
	ctx, span := d.config.Tracer.Start(ctx, "forward")
	defer span.End()
	out := d.newRequest(ctx, req)
	if req.timeout > 0 {
		setTimeout(out, req.timeout-d.config.Timer.Now().Sub(req.arrived))
	}
	return d.forwardTo(peer, out)
}

func (d *Dispatcher) forwardTo(peer verbenastand.Host, out *http.Request) (*http.Response, error) {
	response, err := d.config.Peers.Forward(peer, out)
	d.config.Meter.Forwarded(err == nil)
	if err == nil && !chargeHeader(out.Context(), response.Header) {
		_ = response.Body.Close()
		return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, errNoMemory)
	}
	return response, err
}

// relay streams a peer's response to the caller.
func (d *Dispatcher) relay(w http.ResponseWriter, req *proxiedRequest, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	copyHeader(w.Header(), response.Header)
	announceTrailers(w, response)
	w.WriteHeader(response.StatusCode)
	body := d.readAhead(req, prefetcher.Config{
		Body: response.Body, Finish: func(error) {}, Interrupt: func() { _ = response.Body.Close() },
	})
	if err := d.stream(w, nil, body, response.ContentLength < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	copyTrailers(w, response)
	if response.Header.Get(verbenastand.HeaderVerdict) == verbenastand.Ran.String() {
		d.recordResponse(req)
	}
}
