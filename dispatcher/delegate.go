package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	// maxDelegations bounds the hosts that are asked for one request.
	maxDelegations = 3
	// cutRetryAfter is the Retry-After delay of requests to a service that no host
	// reaches.
	cutRetryAfter = time.Second
	// headerDelegated marks a request that a host sends on behalf of another one, which
	// keeps the idempotency key.
	headerDelegated = "Verbenastand-Delegated"
)

// Reachability tells which services this host reaches.
type Reachability interface {
	// Cut reports whether no server of a service responds to this host.
	Cut(service verbenastand.ServiceName) bool
	// Stalled records that a server makes no progress.
	Stalled(server verbenastand.Server)
	// ReachesOthers reports whether another server of a service accepts connections than
	// the one that failed.
	ReachesOthers(service verbenastand.ServiceName, failed verbenastand.ServerID) bool
	// Accepts reports whether a server to which a connection was lost accepts a new one.
	Accepts(ctx context.Context, lost verbenastand.Loss) bool
}

// cut reports whether only other hosts may be able to send the request to a server.
func (d *Dispatcher) cut(req *proxiedRequest) bool {
	return d.config.Reachability != nil && d.config.Reachability.Cut(req.service)
}

// errCut means that neither this host nor another known one reaches the service.
var errCut = errors.New("dispatcher: no host is known to reach the service")

func unreachedError() error {
	return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonNoServer, errCut).WithRetryAfter(cutRetryAfter)
}

// delegates returns the hosts that may send the request, the homes of the service first.
func (d *Dispatcher) delegates(req *proxiedRequest) []verbenastand.Host {
	var hosts []verbenastand.Host
	for _, h := range slices.Concat(req.components.Homes(), d.config.Membership.Hosts()) {
		usable := h.ID() != d.config.Self.ID() && !h.Leaving() && !h.Detached()
		known := slices.ContainsFunc(hosts, func(other verbenastand.Host) bool { return other.ID() == h.ID() })
		if usable && !known && len(hosts) < maxDelegations {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// delegate lets another host send the request and returns its response. A request that
// must not run twice goes to another host only if the one before has certainly not sent
// it. A delegated request is not passed on.
func (d *Dispatcher) delegate(ctx context.Context, req *proxiedRequest) (*http.Response, error) {
	if req.forwarded {
		return nil, unreachedError()
	}
	lastErr := unreachedError()
	for _, host := range d.delegates(req) {
		response, err := d.sendDelegated(ctx, host, req)
		if err == nil {
			err = delegateRefusal(response)
		}
		if err == nil {
			return response, nil
		}
		verdict := verbenastand.VerdictOf(err)
		req.recordVerdict(verdict)
		lastErr = err
		final := (verdict != verbenastand.NotRun && !req.idempotent) || !req.buffered || ctx.Err() != nil
		if final || !anotherHostMayServe(err) {
			break
		}
	}
	return nil, req.combineVerdicts(lastErr)
}

func (d *Dispatcher) sendDelegated(ctx context.Context, host verbenastand.Host, req *proxiedRequest) (*http.Response, error) {
	ctx, span := d.config.Tracer.Start(ctx, "delegate")
	defer span.End()
	out := d.newRequest(ctx, req)
	out.Header.Set(headerDelegated, "1")
	setTimeout(out, req.deadline.Sub(d.config.Timer.Now()))
	return d.forwardTo(host, out)
}

// delegateRefusal returns the error with which another host itself responded, nil if the
// response is that of a server.
func delegateRefusal(r *http.Response) error {
	verdict := r.Header.Get(verbenastand.HeaderVerdict)
	if verdict == verbenastand.Ran.String() {
		return nil
	}
	_ = r.Body.Close()
	v := verbenastand.MayHaveRun
	if verdict == verbenastand.NotRun.String() {
		v = verbenastand.NotRun
	}
	refusal := verbenastand.NewRequestError(v, verbenastand.ParseRefusalReason(r.Header.Get(verbenastand.HeaderReason)), nil)
	if delay, err := verbenastand.ParseRetryAfter(r.Header.Get("Retry-After")); err == nil {
		refusal = refusal.WithRetryAfter(delay)
	}
	return refusal
}

// anotherHostMayServe reports whether the reason for which a host did not send a request
// is one of this host alone.
func anotherHostMayServe(err error) bool {
	var re *verbenastand.RequestError
	if !errors.As(err, &re) {
		return false
	}
	switch re.Reason() {
	case verbenastand.ReasonNoServer, verbenastand.ReasonDraining, verbenastand.ReasonStarting, verbenastand.ReasonKeyOwnerUnreachable:
		return true
	}
	return false
}

// serveElsewhere lets another host send a request without an idempotency key.
func (d *Dispatcher) serveElsewhere(ctx context.Context, w http.ResponseWriter, req *proxiedRequest) {
	response, err := d.delegate(ctx, req)
	if err != nil {
		d.writeError(w, req.service, err)
		return
	}
	d.relay(w, req, response)
}

// runElsewhere lets another host send a request with an idempotency key, which this host
// keeps, and stores the outcome.
func (d *Dispatcher) runElsewhere(ctx context.Context, w http.ResponseWriter, req *proxiedRequest, finish func(deduplicator.Outcome)) {
	response, err := d.delegate(ctx, req)
	if err != nil {
		finish(failureOutcome(err))
		d.writeError(w, req.service, err)
		return
	}
	body, err := bounder.ReadBuffer(bounder.BufferConfig{
		Reader: response.Body, Length: req.responseLength(response), Limit: deduplicator.MaxStoredBody + 1, Budget: req.budget(),
	})
	if err != nil {
		_ = response.Body.Close()
		err = verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, err)
		finish(failureOutcome(err))
		d.writeError(w, req.service, err)
		return
	}
	prefix := body.Bytes()
	complete := body.Complete() && len(prefix) <= deduplicator.MaxStoredBody
	header := make(http.Header, len(response.Header))
	copyHeader(header, response.Header)
	finish(deduplicator.NewResponse(response.StatusCode, header, prefix[:min(len(prefix), deduplicator.MaxStoredBody)], complete))
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(prefix), response.Body), response.Body}
	d.relay(w, req, response)
}
