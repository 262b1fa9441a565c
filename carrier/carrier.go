// Package carrier takes a caller's request to a backend server and its response
// back: it finds the route, chooses a server, repeats what may be repeated within
// the budget, and refuses at once what cannot be served in time.
package carrier

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/router"
	"github.com/verbenastand/verbenastand/sender"
)

const (
	// answerGrace is how long after a request's time limit a response is still
	// waited for: servers stop at the limit and say so.
	answerGrace = 100 * time.Millisecond
	// startingRetryAfter is advised while no route table is known.
	startingRetryAfter = 200 * time.Millisecond
	// maxDeadline bounds a caller's deadline.
	maxDeadline = time.Hour
)

// Observer is told of what becomes of requests.
type Observer interface {
	// Sent is called for each attempt that is sent to a server.
	Sent(Event)
	// Ended is called for each attempt that has ended.
	Ended(Event)
	// Answered is called once for each request, with its outcome.
	Answered(Event)
}

// Config holds the values of a Carrier.
type Config struct {
	Clock       verbenastand.Clock
	Names       verbenastand.HeaderNames
	Dialect     verbenastand.ServerDialect
	Router      *router.Router
	Balancer    *balancer.Balancer
	Sender      *sender.Sender
	Quarantiner *quarantiner.Quarantiner
	// NewBudget returns the retry budget of a service.
	NewBudget func(verbenastand.ServiceName) *retrier.Window
	Observer  Observer
	Tracer    trace.Tracer
	// OnEvidence is called when a request was newly suspected of crashing a server.
	OnEvidence func()
	// MaxConcurrent bounds the requests on this host.
	MaxConcurrent int
}

// Carrier serves callers. It implements acceptor.Handler.
type Carrier struct {
	config     Config
	concurrent chan struct{}

	mu      sync.Mutex
	budgets map[verbenastand.ServiceName]*retrier.Window
}

// NewCarrier returns a carrier.
func NewCarrier(c Config) *Carrier {
	return &Carrier{
		config: c, concurrent: make(chan struct{}, c.MaxConcurrent),
		budgets: make(map[verbenastand.ServiceName]*retrier.Window),
	}
}

// InFlight returns the number of requests on this host.
func (c *Carrier) InFlight() int { return len(c.concurrent) }

// Budget returns the retry budget of a service.
func (c *Carrier) Budget(n verbenastand.ServiceName) *retrier.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.budgets[n]
	if b == nil {
		b = c.config.NewBudget(n)
		c.budgets[n] = b
	}
	return b
}

// call is a request on its way through the host.
type call struct {
	carrier  *Carrier
	request  *acceptor.Request
	writer   *acceptor.Response
	id       string
	version  verbenastand.TableVersion
	route    verbenastand.Route
	service  *balancer.Service
	name     verbenastand.ServiceName
	budget   *retrier.Window
	header   http.Header
	arrived  time.Time
	deadline time.Time
	target   time.Time
	span     trace.Span
	// fingerprint identifies the work that the request asks for.
	fingerprint uint64

	// considered is the choice that was weighed when the request was refused.
	considered balancer.Choice
	// repeatDenied says why a failed request was not sent again.
	repeatDenied string
}

// Serve implements acceptor.Handler.
func (c *Carrier) Serve(ctx context.Context, w *acceptor.Response, r *acceptor.Request) {
	select {
	case c.concurrent <- struct{}{}:
		defer func() { <-c.concurrent }()
	default:
		c.refuseEarly(w, r, http.StatusServiceUnavailable, verbenastand.ReasonOverload, startingRetryAfter)
		return
	}
	l := &call{carrier: c, request: r, writer: w, id: r.Header.Get(c.config.Names.RequestID), arrived: r.Arrived()}
	if !l.resolve() {
		return
	}
	ctx, l.span = c.config.Tracer.Start(l.traced(ctx), "call", trace.WithSpanKind(trace.SpanKindServer))
	defer l.span.End()
	if !l.route.MayRepeat() {
		// One that must not run twice is not sent while an earlier answer may yet
		// close the connection.
		if err := r.AwaitTurn(ctx); err != nil {
			l.abandon()
			return
		}
	}
	l.budget.Request()
	if err := c.config.Quarantiner.Enter(ctx, l.fingerprint); err != nil {
		l.refuse(err)
		return
	}
	answered := l.run(ctx)
	c.config.Quarantiner.Leave(l.fingerprint, answered)
}

func (l *call) traced(ctx context.Context) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(l.request.Header))
}

// resolve finds the route and the limits of the request, or refuses it.
func (l *call) resolve() bool {
	c := l.carrier
	r := l.request
	table := c.config.Router.Table()
	if table == nil {
		c.refuseEarly(l.writer, r, http.StatusServiceUnavailable, verbenastand.ReasonStarting, startingRetryAfter)
		return false
	}
	l.version = table.Version()
	match, found := c.config.Router.Find(r.Host, r.URL.Path)
	if !found {
		c.refuseEarly(l.writer, r, http.StatusNotFound, verbenastand.ReasonNoRoute, 0)
		return false
	}
	l.route = match.Route()
	wait, err := l.callerDeadline()
	if err != nil {
		c.refuseEarly(l.writer, r, http.StatusBadRequest, verbenastand.ReasonBadRequest, 0)
		return false
	}
	l.deadline = l.arrived.Add(wait)
	l.target = l.arrived.Add(min(l.route.Target(), wait))
	l.name = match.Next()
	l.service = c.config.Balancer.Service(l.name)
	l.budget = c.Budget(l.name)
	l.header = l.forwardedHeader()
	l.fingerprint = l.computeFingerprint()
	return true
}

// callerDeadline returns how long the request may take: the caller's own limit
// within that of the route.
func (l *call) callerDeadline() (time.Duration, error) {
	wait := l.route.Timeout()
	text := l.request.Header.Get(l.carrier.config.Names.Deadline)
	if text == "" {
		return wait, nil
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(ms > 0) {
		return 0, errors.New("carrier: malformed deadline")
	}
	own := time.Duration(min(ms, float64(maxDeadline.Milliseconds())) * float64(time.Millisecond))
	if wait <= 0 {
		return own, nil
	}
	return min(wait, own), nil
}

// hopByHop are the header fields that end with a connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of the fields that do not end with a connection.
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

func (l *call) forwardedHeader() http.Header {
	h := endToEnd(l.request.Header)
	names := l.carrier.config.Names
	h.Del(names.Deadline)
	h.Del(names.ExpectedInstance)
	if l.id != "" {
		h.Set(names.RequestID, l.id)
	}
	return h
}

// computeFingerprint covers the caller too: a request that crashes servers comes
// again from the same caller, and others are not to suffer for it.
func (l *call) computeFingerprint() uint64 {
	caller, _, err := net.SplitHostPort(l.request.Remote())
	if err != nil {
		caller = l.request.Remote()
	}
	h := xxhash.New()
	for _, text := range []string{caller, string(l.route.Name()), l.request.Method, l.request.RequestURI} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(l.request.Bytes())
	return h.Sum64()
}

// newRequest returns the request for one attempt, with the time that is left.
func (l *call) newRequest(server verbenastand.ServerID) *sender.Request {
	names := l.carrier.config.Names
	h := l.header.Clone()
	left := max(1, l.deadline.Sub(l.carrier.config.Clock.Now()).Milliseconds())
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectedInstance, string(server))
	uri := l.request.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = l.request.URL.RequestURI()
	}
	r := &sender.Request{
		Method: l.request.Method, URI: uri, Host: l.request.Host, Header: h,
		Body: l.request.Bytes(), ID: l.id,
	}
	if !l.request.Buffered() {
		r.Stream = l.request.Stream()
		r.Length = l.request.ContentLength
	}
	return r
}

// maxHeld bounds the part of a response that is held before its caller gets any
// of it, so that a response that proves to be cut can be replaced.
const maxHeld = 1 << 20

// readHeld reads up to maxHeld of a body, and reports whether that is all of it.
func readHeld(r io.Reader, length int64) (body []byte, whole bool, err error) {
	if length >= 0 && length <= maxHeld {
		body = make([]byte, length)
		if _, err = io.ReadFull(r, body); err != nil {
			return nil, false, err
		}
		// The end has to be seen for the connection to be judged.
		var end [1]byte
		if n, err := r.Read(end[:]); n != 0 || !errors.Is(err, io.EOF) {
			return nil, false, errors.Join(sender.ErrUnexpectedResponse, err)
		}
		return body, true, nil
	}
	body, err = io.ReadAll(io.LimitReader(r, maxHeld+1))
	return body, len(body) <= maxHeld, err
}
