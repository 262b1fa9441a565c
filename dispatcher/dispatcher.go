// Package dispatcher proxies requests from callers to backend servers. It finds
// the service, runs a request with an idempotency key at most once, waits for a
// slot, sends the request to a server, retries it if allowed, and returns the
// response.
package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/hedger"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/meter"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/registrar"
	"github.com/verbenastand/verbenastand/scheduler"
)

// Config configures a Dispatcher.
type Config struct {
	Timer        verbenastand.TimerService
	Self         verbenastand.Host
	Membership   verbenastand.Membership
	Registrar    *registrar.Registrar
	Deduplicator *deduplicator.Deduplicator
	Quarantiner  *quarantiner.Quarantiner
	Limiter      *limiter.Limiter
	Excluder     *excluder.Excluder
	// Reachability tells which services this host reaches; if nil, it reaches all.
	Reachability Reachability
	Peers        verbenastand.PeerTransport
	Servers      verbenastand.ServerTransport
	// Hedger decides when a request is sent to a second server; nil for the default policy.
	Hedger *hedger.Hedger
	Meter  *meter.Meter
	Tracer trace.Tracer
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// Memory returns what provides the memory for the body of a request and its response, given
	// its context; nil, or if it returns nil, the memory isn't bounded.
	Memory func(context.Context) bounder.Source
	// ReadAhead is set if responses are read ahead of callers that read slowly, as far as Memory allows.
	ReadAhead bool
	// StallTimeout is how long a caller may take to send a small body or to
	// accept one write of a response body.
	StallTimeout time.Duration
	// MaxConcurrent is the maximum number of concurrent requests on this host.
	MaxConcurrent int64
	// OnDrainNotice is called when a response shows for the first time that a
	// server is draining.
	OnDrainNotice func(verbenastand.ServiceName, scheduler.DrainNotice)
	// OnCrashSuspected is called when a request is newly suspected of crashing a
	// server, before its response is written. It notifies the other home hosts.
	OnCrashSuspected func(homes []verbenastand.Host, s quarantiner.Suspect)
	// OnConnectionLost is called with what is known about a server after the connection
	// to it was lost.
	OnConnectionLost func(quarantiner.Suspect)
}

// Dispatcher serves requests of callers and requests forwarded by peers.
type Dispatcher struct {
	config   Config
	inFlight atomic.Int64
	draining atomic.Bool
	// stopped ends when Stop is called.
	stopped context.Context
	stop    context.CancelFunc
	// plannedStop is nil while Stop is not planned.
	plannedStop atomic.Pointer[plannedStop]
}

// plannedStop tells when Stop will be called, and until when requests are taken that may not
// be complete by then.
type plannedStop struct{ openUntil, at time.Time }

// NewDispatcher returns a dispatcher.
func NewDispatcher(c Config) *Dispatcher {
	if c.OnConnectionLost == nil {
		c.OnConnectionLost = func(quarantiner.Suspect) {}
	}
	if c.Hedger == nil {
		c.Hedger = hedger.NewHedger(hedger.Config{Clock: c.Timer})
	}
	stopped, stop := context.WithCancel(context.Background())
	return &Dispatcher{config: c, stopped: stopped, stop: stop}
}

// StartDraining makes the dispatcher refuse all new requests with the verdict
// notRun. Requests with a known idempotency key still get their stored response.
func (d *Dispatcher) StartDraining() { d.draining.Store(true) }

// StopAt announces that Stop will be called at a given time. From openUntil on, requests are
// refused whose deadlines are later than that.
func (d *Dispatcher) StopAt(openUntil, at time.Time) {
	d.plannedStop.Store(&plannedStop{openUntil: openUntil, at: at})
}

// tooLate reports whether a request may not be complete when Stop is called.
func (d *Dispatcher) tooLate(req *proxiedRequest) bool {
	p := d.plannedStop.Load()
	return p != nil && !d.config.Timer.Now().Before(p.openUntil) && req.deadline.After(p.at)
}

// Stop responds to all requests that wait for a server or for its response, with a verdict
// that indicates whether they may have run.
func (d *Dispatcher) Stop() { d.stop() }

// withLimits returns a context that ends at the deadline of the request, and when Stop is
// called until the request is unwatched: a response that has begun is delivered.
func (d *Dispatcher) withLimits(ctx context.Context, req *proxiedRequest) (limited context.Context, unwatch, cancel func()) {
	limited, cancelLimited := context.WithTimeout(ctx, req.deadline.Sub(d.config.Timer.Now()))
	unregister := context.AfterFunc(d.stopped, cancelLimited)
	unwatch = func() { unregister() }
	return limited, unwatch, func() {
		unwatch()
		cancelLimited()
	}
}

// describeStop returns an error, or one that names the stop of this host if that has ended
// the request.
func (d *Dispatcher) describeStop(err error) error {
	var re *verbenastand.RequestError
	if d.stopped.Err() == nil || !errors.As(err, &re) || re.Reason() != verbenastand.ReasonCancelled {
		return err
	}
	return verbenastand.NewRequestError(re.Verdict(), verbenastand.ReasonDraining, err)
}

// InFlight returns the number of requests in progress on this host.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// ServeHTTP serves a request of a caller.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.serve(w, r, false) }

// ForwardHandler returns the handler of requests that peers forward.
func (d *Dispatcher) ForwardHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, true) })
}

func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	w.Header().Set(verbenastand.HeaderHost, d.config.Self.Instance().String())
	req, err := d.parse(r, forwarded)
	if err != nil {
		d.writeError(w, serviceOf(r), err)
		return
	}
	account, ok := d.openAccount(r.Context(), req)
	if !ok {
		d.RefuseForMemory(w, r)
		return
	}
	ctx, span := d.startSpan(r, "call")
	defer span.End()
	if account != nil {
		defer account.Close()
		req.memory, ctx = account, bounder.NewContext(ctx, account)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d.config.StallTimeout))
	if err := req.readBody(); err != nil {
		if r.ProtoMajor == 1 {
			// What is left of the body must not be taken for the next request.
			w.Header().Set("Connection", "close")
		}
		d.writeError(w, req.service, err)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if req.keyed {
		d.serveKeyed(ctx, w, req)
		return
	}
	d.serveUnkeyed(ctx, w, req)
}

// serveKeyed runs a request with an idempotency key at most once. Only the host
// instance named in the key, or a host that imported the keys of that instance,
// knows whether the request ran, so only that host may report notRun.
func (d *Dispatcher) serveKeyed(ctx context.Context, w http.ResponseWriter, req *proxiedRequest) {
	instance := req.key.Instance()
	if instance != d.config.Self.Instance() && !d.config.Deduplicator.HasImported(instance) {
		d.forwardKeyed(ctx, w, req)
		return
	}
	joinCtx, cancel := context.WithTimeout(ctx, d.timeoutOf(req))
	attempt, outcome := d.config.Deduplicator.Begin(joinCtx, req.key, req.keyFingerprint)
	cancel()
	if attempt == nil {
		d.config.Meter.RetryJoined()
		d.writeOutcome(w, req, outcome)
		return
	}
	d.runKeyed(context.WithoutCancel(ctx), w, req, attempt)
}

// runKeyed runs the request even if the caller disconnects, and stores the
// outcome for requests that repeat the key.
func (d *Dispatcher) runKeyed(ctx context.Context, w http.ResponseWriter, req *proxiedRequest, attempt *deduplicator.Attempt) {
	finished := false
	finish := func(o deduplicator.Outcome) {
		finished = true
		attempt.Finish(o)
	}
	defer func() {
		if !finished {
			attempt.Finish(deduplicator.NewFailure(verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, nil)))
		}
	}()
	err := d.prepare(req)
	if err != nil {
		finish(failureOutcome(d.describeStop(err)))
		d.writeError(w, req.service, err)
		return
	}
	ctx, unwatch, cancel := d.withLimits(ctx, req)
	defer cancel()
	if d.cut(req) {
		d.runElsewhere(ctx, w, req, finish)
		return
	}
	resp, err := d.execute(ctx, req)
	if err != nil {
		finish(failureOutcome(d.describeStop(err)))
		d.writeError(w, req.service, err)
		return
	}
	defer resp.close()
	if err := resp.buffer(deduplicator.MaxStoredBody); err != nil {
		finish(failureOutcome(d.describeStop(err)))
		d.writeError(w, req.service, err)
		return
	}
	unwatch()
	finish(deduplicator.NewResponse(resp.response.StatusCode, resp.header(), resp.prefix, resp.complete))
	d.writeResponse(w, req, resp)
}

func failureOutcome(err error) deduplicator.Outcome {
	var re *verbenastand.RequestError
	if errors.As(err, &re) {
		return deduplicator.NewFailure(re)
	}
	return deduplicator.NewFailure(verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, err))
}

func (d *Dispatcher) serveUnkeyed(ctx context.Context, w http.ResponseWriter, req *proxiedRequest) {
	if err := d.prepare(req); err != nil {
		d.writeError(w, req.service, err)
		return
	}
	ctx, unwatch, cancel := d.withLimits(ctx, req)
	defer cancel()
	if d.cut(req) {
		d.serveElsewhere(ctx, w, req)
		return
	}
	if d.misdirected(req) && d.forward(ctx, w, req) {
		return
	}
	resp, err := d.execute(ctx, req)
	unwatch()
	if err != nil {
		d.writeError(w, req.service, err)
		return
	}
	defer resp.close()
	d.writeResponse(w, req, resp)
}

// prepare makes the checks that depend on the state of the host, and sets the
// class and the deadline of the request.
func (d *Dispatcher) prepare(req *proxiedRequest) error {
	if d.draining.Load() {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonDraining, nil)
	}
	if d.inFlight.Load() > d.config.MaxConcurrent {
		refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, nil)
		return refusal.WithRetryAfter(time.Second)
	}
	req.components = d.config.Registrar.Find(req.service)
	if req.components == nil && d.config.Registrar.Empty() {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonStarting, nil).WithRetryAfter(time.Second)
	}
	if req.components == nil {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonUnknownService, nil)
	}
	if !req.idempotent && !req.keyed && !req.delegated && req.components.Service().RequireKey() {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonKeyRequired, nil)
	}
	req.class = req.components.Classifier().Classify(req.request.Method, req.request.URL.Path, req.keyed)
	req.deadline = req.arrived.Add(d.timeoutOf(req))
	if d.tooLate(req) {
		return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonDraining, nil)
	}
	return nil
}

// timeoutOf returns the timeout of the request: the caller's, limited by that of
// the service, or by one minute if the service is unknown.
func (d *Dispatcher) timeoutOf(req *proxiedRequest) time.Duration {
	limit := time.Minute
	if c := d.config.Registrar.Find(req.service); c != nil {
		limit = c.Service().Timeout()
	}
	if req.timeout > 0 {
		limit = min(limit, req.timeout)
	}
	return limit
}
