package carrier

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/prefetcher"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/sender"
)

const (
	// maxBufferedBody bounds the part of a response that is buffered before the caller
	// receives any of it, so that another attempt can replace a response that ends
	// early.
	maxBufferedBody = 1 << 20
	// maxResponseMemory is the default bound of the buffered responses of all requests
	// together, since the hosts may be small and servers in trouble may send without end.
	// Responses that find no memory left are delivered while they are read.
	maxResponseMemory = 8 << 20
)

// errOversizedFailure means that a server sent a failure or a refusal with a body
// that is too long to be buffered.
var errOversizedFailure = errors.New("carrier: the body of a failure is too long")

// outcome is the result of one attempt: a response, or an error whose verdict
// indicates whether the request may have run.
type outcome struct {
	server *balancer.Server
	// delegate is the host to which the request was delegated, instead of a server.
	delegate verbenastand.HostID
	response *sender.Response
	// body is the part of the response body that has been read.
	body bounder.Buffer
	err  error
	// connection is where the rest of the body is read from.
	connection *sender.Connection
	// finish ends the attempt after the rest of the body has been read.
	finish func(error)
	// index is the place of the attempt among those of the request, took its time at the server,
	// or until the part of the response in memory had been read.
	index int
	took  time.Duration
	// crashChecked is closed when it is known whether the server crashed; nil if the
	// connection was not lost.
	crashChecked <-chan struct{}
}

// release returns the memory of the response.
func (o *outcome) release() {
	o.body.Release()
	if o.response != nil {
		o.response.Release()
	}
}

// notRun reports whether the server did not run the request and never will.
func (o *outcome) notRun() bool {
	if o.err != nil {
		return verbenastand.VerdictOf(o.err) == verbenastand.NotRun
	}
	return o.response.NotRun
}

// acceptable reports whether the response goes to the caller as it is, unlike a
// failure that another server might not have, or a status that would falsely guarantee that
// the request has not run.
func (o *outcome) acceptable() bool {
	return o.err == nil && !o.response.NotRun && o.response.Status < http.StatusInternalServerError && !impliesNotRun(o.response.Status)
}

// unreachable reports whether nothing was sent to the server.
func (o *outcome) unreachable() bool { return errors.Is(o.err, sender.ErrUnreachable) }

// sentAttempt is the number of an attempt, and whether it is a hedge.
type sentAttempt struct {
	number int
	hedge  bool
}

// attempt sends the request to the chosen server and reads its response.
func (c *call) attempt(ctx context.Context, choice balancer.Choice, sent sentAttempt) (o *outcome) {
	end := choice.Release
	defer c.containPanic(&o, &end)
	registration := choice.Server.Registration()
	ctx, span := c.carrier.config.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	connection, err := c.connect(ctx, choice, registration)
	if err != nil {
		choice.Release()
		choice.Server.MarkUnreachable()
		c.carrier.config.Reachability.Failed(registration)
		return &outcome{server: choice.Server, err: err}
	}
	if choice.Server.Evacuated() || !choice.Server.Allowed(c.route) {
		c.carrier.config.Sender.PutIdle(connection)
		choice.Conn = nil
		choice.Release()
		return &outcome{server: choice.Server, err: errEvacuatedMeanwhile()}
	}
	end = func() {
		choice.Release()
		connection.Close()
	}
	request := c.newRequest(registration.Server())
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	if request.Stream != nil {
		c.bodyTaken.Store(true)
	}
	tracked := choice.Begin(c.route.Name())
	end = func() {
		tracked.End(balancer.Failed, nil)
		connection.Close()
	}
	event := c.event(choice, sent.number)
	event.Hedge = sent.hedge
	c.carrier.config.Observer.AttemptSent(event)
	response, err := connection.Exchange(ctx, request)
	o = &outcome{server: choice.Server, response: response, err: err, connection: connection}
	if err == nil {
		c.carrier.config.Reachability.Responded(registration, !connection.Reused())
	}
	if err == nil {
		o.err = c.validate(response)
	}
	if o.err == nil {
		c.observeServer(registration, response, event.At)
	}
	if o.err == nil {
		o.err = c.readBody(o)
	}
	o.took = c.carrier.config.Clock.Now().Sub(event.At)
	o.finish = func(err error) {
		result, report := c.attemptResult(ctx, o, err), c.loadReport(response)
		end = func() {}
		if err == nil {
			c.carrier.config.Sender.PutIdle(connection)
		} else {
			connection.Close()
		}
		tracked.End(result, report)
		event.Result = result
		event.Err = err
		event.Took = c.carrier.config.Clock.Now().Sub(event.At)
		c.carrier.config.Observer.AttemptEnded(event)
		c.observeDuration(sent, result, err, choice.Report.Slowdown, o.took)
		if err != nil {
			o.took = event.Took
		}
		if result == balancer.ConnectionLost {
			c.carrier.config.Reachability.Failed(registration)
			o.crashChecked = c.recordLoss(registration)
		}
	}
	switch {
	case o.err != nil || o.body.Complete():
		o.finish(o.err)
		c.awaitEvidence(o)
	case !o.acceptable():
		o.finish(errOversizedFailure)
	}
	return o
}

// readBody reads the beginning of the response body. A failure must be read
// completely, since it is delivered only if there is no better response. A refusal
// holds without its body.
func (c *call) readBody(o *outcome) error {
	length := o.response.Length
	if c.request.Method == http.MethodHead {
		length = 0
	}
	var err error
	o.body, err = bounder.ReadBuffer(bounder.BufferConfig{
		Reader: o.response.Body, Length: length, Limit: maxBufferedBody, Budget: c.responseMemory(),
	})
	if o.response.NotRun {
		return nil
	}
	if err == nil && !o.body.Complete() && !o.acceptable() {
		err = errOversizedFailure
	}
	var re *verbenastand.RequestError
	if err == nil || errors.As(err, &re) {
		return err
	}
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonInvalidResponse, err)
}

// responseMemory returns what provides the memory for responses to the request.
func (c *call) responseMemory() bounder.Source {
	return bounder.Sources{c.request.Memory(), c.carrier.responseMemory}
}

// connect uses the connection of the health check, or else another one.
func (c *call) connect(ctx context.Context, choice balancer.Choice, r verbenastand.Registration) (*sender.Connection, error) {
	if checked, ok := choice.Conn.(*checkConn); ok && checked != nil {
		return checked.connection, nil
	}
	return c.carrier.config.Sender.Connect(ctx, targetOf(r))
}

// validate rejects responses that can't come from the server itself: a success
// without a signature, or a body in an encoding that was not requested.
func (c *call) validate(r *sender.Response) error {
	if r.NotRun {
		return nil
	}
	success := r.Status >= 200 && r.Status < 300
	encoded := r.Header.Get("Content-Encoding") != "" && c.request.Header.Get("Accept-Encoding") == ""
	unsigned := success && !r.Signed && c.carrier.config.Names.Signature != ""
	if !encoded && !unsigned {
		return nil
	}
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonInvalidResponse, sender.ErrUnexpectedResponse)
}

// observeServer passes on what the response states about its server, unless it is that of
// another process at the server's address.
func (c *call) observeServer(server verbenastand.Registration, r *sender.Response, sentAt time.Time) {
	if r.Status == http.StatusMisdirectedRequest {
		return
	}
	c.carrier.config.Excluder.Observe(exclusionResponse(c.carrier.config.Names, server, r.Status, r.Header))
	named := r.Header.Values(c.carrier.config.Names.Limit)
	c.carrier.config.Limiter.Observe(limiter.Response{
		Process: server.Process(), Named: len(named) > 0, Text: strings.Join(named, ", "),
		Succeeded: !r.NotRun && r.Status < http.StatusInternalServerError, SentAt: sentAt,
	})
}

func (c *call) loadReport(r *sender.Response) *verbenastand.LoadReport {
	if r == nil {
		return nil
	}
	report, ok := c.carrier.config.HeaderFormat.ParseLoad(r.Header.Get(c.carrier.config.Names.Load))
	if !ok {
		return nil
	}
	return &report
}

// attemptResult classifies an attempt for the balancer.
func (c *call) attemptResult(ctx context.Context, o *outcome, err error) balancer.Result {
	switch {
	case err == nil && o.response.Status == http.StatusMisdirectedRequest:
		return balancer.Misdirected
	case err == nil && o.response.NotRun:
		return balancer.Refused
	case err == nil && o.response.Status >= http.StatusInternalServerError:
		return balancer.Failed
	case err == nil:
		return balancer.Succeeded
	case errors.Is(err, sender.ErrIncompleteRequest):
		return balancer.Abandoned
	case errors.Is(err, sender.ErrConnectionLost):
		return balancer.ConnectionLost
	case errors.Is(err, context.DeadlineExceeded):
		return balancer.Failed
	case ctx.Err() != nil:
		return balancer.Abandoned
	}
	return balancer.Failed
}

// awaitEvidence delays the end of an attempt that lost its connection until it is
// known whether its server and those of earlier attempts crashed, unless this is the
// first such attempt: a retry could crash a server beyond the limit.
func (c *call) awaitEvidence(o *outcome) {
	if o.crashChecked == nil {
		return
	}
	c.crashMu.Lock()
	c.crashChecks = append(c.crashChecks, o.crashChecked)
	checks := slices.Clone(c.crashChecks)
	c.crashMu.Unlock()
	if len(checks) == 1 && !c.carrier.config.Quarantiner.PossiblySuspected(c.fingerprint) {
		return
	}
	for _, checked := range checks {
		<-checked
	}
}

// fullBody returns the response body from its beginning. It must be closed.
func (c *call) fullBody(o *outcome) *bodyReader {
	return &bodyReader{held: o.body.Bytes(), rest: prefetcher.NewReader(prefetcher.Config{
		Body: o.response.Body, Memory: c.responseMemory(), Finish: o.finish, Interrupt: o.connection.Interrupt,
		ReportPanic: func(value any) error { return c.carrier.reportPanic(c.id, value) },
	})}
}

// bodyReader reads the buffered part of a body, then the rest from the server.
type bodyReader struct {
	held []byte
	rest *prefetcher.Reader
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.held) > 0 {
		n := copy(p, r.held)
		r.held = r.held[n:]
		return n, nil
	}
	return r.rest.Read(p)
}

// close ends an attempt whose response was not read to its end, for example because
// the caller has disconnected.
func (r *bodyReader) close() { r.rest.Close() }
