// Package carrier proxies requests of callers to backend servers: it finds the
// route, chooses a server, retries within the budget where that is safe, and refuses
// at once what can't be served in time.
package carrier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/hedger"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/router"
	"github.com/verbenastand/verbenastand/sender"
)

const (
	// responseGrace is how long after the deadline of a request its response is
	// still accepted: servers stop at the deadline and send an error.
	responseGrace = 100 * time.Millisecond
	// startingRetryAfter is the Retry-After delay of requests refused because there is no
	// route table yet. Other hosts may have started at the same time.
	startingRetryAfter = 200 * time.Millisecond
	// maxDeadline bounds a caller's deadline.
	maxDeadline = time.Hour
)

// Observer receives the events of requests.
type Observer interface {
	// AttemptSent is called for each attempt that is sent to a server.
	AttemptSent(Event)
	// AttemptEnded is called when an attempt has ended.
	AttemptEnded(Event)
	// Delegated is called when a request that was delegated to another host has ended
	// there.
	Delegated(Event)
	// RequestEnded is called once for each request, with its final result.
	RequestEnded(Event)
	// Panicked is called when the handling of a request has panicked, with the stack.
	Panicked(id string, value any, stack []byte)
}

// Config is the configuration of a Carrier.
type Config struct {
	Clock        verbenastand.Clock
	Names        verbenastand.HeaderNames
	HeaderFormat verbenastand.HeaderFormat
	Router       *router.Router
	Balancer     *balancer.Balancer
	Sender       *sender.Sender
	Quarantiner  *quarantiner.Quarantiner
	Limiter      *limiter.Limiter
	Excluder     *excluder.Excluder
	// HealthChecker identifies the processes of servers whose connections were lost.
	HealthChecker *HealthChecker
	// Self is the name of this host.
	Self verbenastand.HostID
	// Reachability reports whether this host reaches servers; if nil, it always does.
	Reachability Reachability
	// RegistrationAge returns the time since the registrations of servers were last known
	// to be current; nil if they always are.
	RegistrationAge func() time.Duration
	// RegistrationTime is the time within which a server process is registered after its
	// start.
	RegistrationTime time.Duration
	// Delegator selects the hosts that handle requests while this one reaches no server;
	// if nil, they are refused.
	Delegator Delegator
	// NewBudget returns the retry budget of a service.
	NewBudget func(verbenastand.ServiceName) *retrier.WindowBudget
	// Hedger decides when a request is sent to a second server; nil for the default policy.
	Hedger   *hedger.Hedger
	Observer Observer
	Tracer   trace.Tracer
	// OnCrashSuspected is called when a request becomes suspected of crashing a
	// server.
	OnCrashSuspected func(quarantiner.Suspect)
	// OnConnectionLost is called when it is known what has become of a server whose
	// connection was lost, or that this can't be known.
	OnConnectionLost func(quarantiner.Suspect)
	// MaxConcurrent bounds the concurrent requests on this host.
	MaxConcurrent int
	// ResponseMemory bounds the responses in memory, in addition to the shares of callers; if
	// zero, to 8 MB.
	ResponseMemory int64
}

// Carrier handles the requests of callers. It implements acceptor.Handler.
type Carrier struct {
	config    Config
	semaphore chan struct{}
	// delegated is the semaphore of the requests that other hosts delegate.
	delegated chan struct{}
	// unserved holds the services that no host is known to reach, and streamed the routes
	// with responses that are delivered before they are complete.
	unserved *recent[verbenastand.ServiceName]
	streamed *recent[verbenastand.RouteName]
	// stopped ends when Stop is called.
	stopped context.Context
	stop    context.CancelFunc
	// plannedStop is nil while Stop is not planned.
	plannedStop atomic.Pointer[plannedStop]

	mu      sync.Mutex
	budgets map[verbenastand.ServiceName]*retrier.WindowBudget
	// responseMemory bounds the response bodies in memory, of all requests together.
	responseMemory *bounder.Budget
}

// NewCarrier returns a carrier.
func NewCarrier(c Config) *Carrier {
	stopped, stop := context.WithCancel(context.Background())
	if c.Reachability == nil {
		c.Reachability = alwaysReached{}
	}
	if c.RegistrationAge == nil {
		c.RegistrationAge = func() time.Duration { return 0 }
	}
	if c.RegistrationTime == 0 {
		c.RegistrationTime = quarantiner.DefaultRegistrationTime
	}
	if c.Hedger == nil {
		c.Hedger = hedger.NewHedger(hedger.Config{Clock: c.Clock})
	}
	if c.OnConnectionLost == nil {
		c.OnConnectionLost = func(quarantiner.Suspect) {}
	}
	if c.ResponseMemory == 0 {
		c.ResponseMemory = maxResponseMemory
	}
	return &Carrier{
		delegated: make(chan struct{}, max(1, int(delegatedShare*float64(c.MaxConcurrent)))),
		config:    c, semaphore: make(chan struct{}, c.MaxConcurrent), stopped: stopped, stop: stop,
		unserved: newRecent[verbenastand.ServiceName](unservedMemory), streamed: newRecent[verbenastand.RouteName](streamedMemory),
		budgets: make(map[verbenastand.ServiceName]*retrier.WindowBudget), responseMemory: bounder.NewBudget(c.ResponseMemory),
	}
}

// plannedStop tells when Stop will be called, and until when requests are taken that may not
// be complete by then.
type plannedStop struct{ openUntil, at time.Time }

// StopAt announces that Stop will be called at a given time. From openUntil on, requests are
// refused whose deadlines are later than that; others, if no server is expected to complete them
// before.
func (c *Carrier) StopAt(openUntil, at time.Time) {
	c.plannedStop.Store(&plannedStop{openUntil: openUntil, at: at})
}

// errStopped ends requests that are still being handled when Stop is called.
var errStopped = errors.New("carrier: the host is stopping")

// Stop responds to all requests that wait for a server or for its response, with a
// verdict that indicates whether they may have run. Later requests are refused.
// Responses whose delivery has begun are not interrupted.
func (c *Carrier) Stop() { c.stop() }

// withStop returns a context that also ends when Stop is called, with errStopped as
// its cause.
func (c *Carrier) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if c.stopped.Err() != nil {
		cancel(errStopped)
	}
	unregister := context.AfterFunc(c.stopped, func() { cancel(errStopped) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// InFlight returns the number of requests that are being handled.
func (c *Carrier) InFlight() int { return len(c.semaphore) }

// Budget returns the retry budget of a service.
func (c *Carrier) Budget(n verbenastand.ServiceName) *retrier.WindowBudget {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.budgets[n]
	if b == nil {
		b = c.config.NewBudget(n)
		c.budgets[n] = b
	}
	return b
}

// call is a request that is being handled.
type call struct {
	carrier     *Carrier
	request     *acceptor.Request
	writer      *acceptor.Response
	id          string
	version     verbenastand.TableVersion
	route       verbenastand.Route
	service     *balancer.Service
	serviceName verbenastand.ServiceName
	budget      *retrier.WindowBudget
	header      http.Header
	arrived     time.Time
	deadline    time.Time
	targetTime  time.Time
	span        trace.Span
	// fingerprint is a hash of the caller and the request, used for quarantine.
	fingerprint quarantiner.Fingerprint

	// caller ends when the caller disconnects. The context of the request also ends with
	// Stop, but a response whose delivery has begun is read to its end.
	caller context.Context
	// bodyTaken is set once an attempt may have read a part of a body that is not in
	// memory. The request can't be sent to another server afterwards.
	bodyTaken atomic.Bool
	crashMu   sync.Mutex
	// crashChecks are closed when it is known whether the servers crashed that closed
	// the connections of attempts.
	crashChecks []<-chan struct{}
	// losses are the connections that attempts of this host have lost.
	losses []verbenastand.LossFinding
	// rejected is the choice that was considered when the request was refused.
	rejected balancer.Choice
	// expectedWait is the wait that was expected when the request was refused.
	expectedWait time.Duration
	// retryDenied is the reason why a failed request was not retried.
	retryDenied string
}

// Serve implements acceptor.Handler.
func (c *Carrier) Serve(ctx context.Context, w *acceptor.Response, r *acceptor.Request) {
	defer c.containPanic(w, r)
	select {
	case c.semaphore <- struct{}{}:
		defer func() { <-c.semaphore }()
	default:
		c.refuseEarly(w, r, http.StatusServiceUnavailable, verbenastand.ReasonOverload, elsewhereRetryAfter)
		return
	}
	if r.Late() {
		c.refuseEarly(w, r, http.StatusServiceUnavailable, verbenastand.ReasonDraining, elsewhereRetryAfter)
		return
	}
	incoming := &call{carrier: c, request: r, writer: w, id: r.Header.Get(c.config.Names.RequestID), arrived: r.Arrived()}
	if !incoming.resolve() {
		return
	}
	if incoming.tooLate() {
		incoming.refuse(stopsSooner())
		return
	}
	ctx, incoming.span = c.config.Tracer.Start(incoming.extractTrace(ctx), "call", trace.WithSpanKind(trace.SpanKindServer))
	defer incoming.span.End()
	incoming.caller = ctx
	ctx, release := c.withStop(ctx)
	defer release()
	// The context is checked below.
	_ = r.AwaitAhead(ctx, c.streamed.includes(incoming.route.Name(), c.config.Clock.Now()))
	if !incoming.route.Retryable() {
		// A request that must not run twice is sent only after the responses to
		// earlier requests of the connection, since one of them may close it.
		_ = r.AwaitTurn(ctx)
	}
	if ctx.Err() != nil {
		incoming.interrupt(ctx, verbenastand.NotRun)
		return
	}
	releaseDelegated, ok := c.acquireDelegated(incoming)
	if !ok {
		return
	}
	defer releaseDelegated()
	incoming.learnLosses()
	incoming.reconsider(ctx)
	if err := c.config.Quarantiner.Acquire(ctx, incoming.fingerprint); err != nil {
		if ctx.Err() != nil {
			incoming.interrupt(ctx, verbenastand.NotRun)
			return
		}
		incoming.refuse(err)
		return
	}
	succeeded := false
	defer func() { c.config.Quarantiner.Release(incoming.fingerprint, succeeded) }()
	succeeded = incoming.run(ctx)
}

func (c *call) extractTrace(ctx context.Context) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(c.request.Header))
}

// hopByHop lists the header fields that apply to a single connection (RFC 9110,
// 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of the header without hop-by-hop fields.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
	return to
}

func (c *call) forwardedHeader() http.Header {
	h := endToEnd(c.request.Header)
	names := c.carrier.config.Names
	h.Del(names.Deadline)
	h.Del(names.ExpectedInstance)
	if c.id != "" {
		h.Set(names.RequestID, c.id)
	}
	return h
}

// callerAddress returns the network address of the caller, without its port.
func (c *call) callerAddress() string {
	address, _, err := net.SplitHostPort(c.request.Remote())
	if err != nil {
		return c.request.Remote()
	}
	return address
}

func (c *call) computeFingerprint() quarantiner.Fingerprint {
	return quarantiner.NewFingerprint(quarantiner.FingerprintConfig{
		Caller: c.callerAddress(), Service: verbenastand.NormalizeHostName(c.request.Host),
		Method: c.request.Method, Path: c.request.URL.Path, Body: c.request.Bytes(),
	})
}

// newRequest returns the request for one attempt at a server, or for another host if that
// is empty, with the remaining time as its deadline.
func (c *call) newRequest(server verbenastand.ServerID) *sender.Request {
	names := c.carrier.config.Names
	h := c.header.Clone()
	left := max(1, c.deadline.Sub(c.carrier.config.Clock.Now()).Milliseconds())
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	if server != "" {
		h.Set(names.ExpectedInstance, string(server))
	}
	uri := c.request.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = c.request.URL.RequestURI()
	}
	r := &sender.Request{
		Method: c.request.Method, URI: uri, Host: c.request.Host, Header: h,
		Body: c.request.Bytes(), ID: c.id, Memory: c.request.Memory(),
	}
	if !c.request.Buffered() {
		r.Stream = c.request.Stream()
		r.Length = c.request.ContentLength
	}
	return r
}
