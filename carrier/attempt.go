package carrier

import (
	"context"
	"errors"
	"io"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/sender"
)

// outcome is how one attempt ended: with a response or with an error, whose
// verdict says whether the request may have run.
type outcome struct {
	server   *balancer.Server
	response *sender.Response
	// held is the part of the body read so far; whole is set if that is all.
	held  []byte
	whole bool
	err   error
	// finish ends the attempt once the rest of the body was read.
	finish func(error)
}

// notRun reports whether the server has not run the request and will not.
func (o *outcome) notRun() bool {
	if o.err != nil {
		return verbenastand.VerdictOf(o.err) == verbenastand.NotRun
	}
	return o.response.NotRun
}

// good reports whether the response is what the caller asked for, as against a
// failure that another server might not have.
func (o *outcome) good() bool {
	return o.err == nil && !o.response.NotRun && o.response.Status < http.StatusInternalServerError
}

// unreached reports whether nothing was sent to the server.
func (o *outcome) unreached() bool { return errors.Is(o.err, sender.ErrUnreachable) }

// attempt sends the request to the chosen server and reads its response.
func (l *call) attempt(ctx context.Context, choice balancer.Choice, number int) *outcome {
	registration := choice.Server.Registration()
	ctx, span := l.carrier.config.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	connection, err := l.connect(ctx, choice, registration)
	if err != nil {
		choice.Release()
		choice.Server.MarkUnreachable()
		return &outcome{server: choice.Server, err: err}
	}
	request := l.newRequest(registration.Server())
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	started := choice.Begin(l.route.Name())
	event := l.event(choice, number)
	l.carrier.config.Observer.Sent(event)
	response, err := connection.Exchange(ctx, request)
	o := &outcome{server: choice.Server, response: response, err: err}
	if err == nil {
		o.err = l.check(response)
	}
	if o.err == nil {
		o.held, o.whole, o.err = readHeld(response.Body, response.Length)
		if o.err != nil && verbenastand.VerdictOf(o.err) != verbenastand.MayHaveRun {
			o.err = verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonForeignAnswer, o.err)
		}
	}
	o.finish = func(err error) {
		result := l.judge(ctx, o, err)
		if err == nil {
			l.carrier.config.Sender.PutIdle(connection)
		} else {
			connection.Close()
		}
		started.End(result, l.reportOf(response))
		event.Result = result
		event.Err = err
		event.Took = l.carrier.config.Clock.Now().Sub(event.At)
		l.carrier.config.Observer.Ended(event)
		if result == balancer.Lost {
			l.suspect(choice.Server)
		}
	}
	if o.err != nil || o.whole {
		o.finish(o.err)
	}
	return o
}

// connect uses the connection of the look, or else another one.
func (l *call) connect(ctx context.Context, choice balancer.Choice, r verbenastand.Registration) (*sender.Connection, error) {
	if h, ok := choice.Conn.(*held); ok && h != nil {
		return h.connection, nil
	}
	return l.carrier.config.Sender.Connect(ctx, targetOf(r))
}

// check refuses responses that cannot be the server's own: a success without a
// signature, or a body in an encoding that nobody asked for.
func (l *call) check(r *sender.Response) error {
	if r.NotRun {
		return nil
	}
	success := r.Status >= 200 && r.Status < 300
	encoded := r.Header.Get("Content-Encoding") != "" && l.request.Header.Get("Accept-Encoding") == ""
	unsigned := success && !r.Signed && l.carrier.config.Names.Signature != ""
	if !encoded && !unsigned {
		return nil
	}
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonForeignAnswer, sender.ErrUnexpectedResponse)
}

func (l *call) reportOf(r *sender.Response) *verbenastand.LoadReport {
	if r == nil {
		return nil
	}
	report, ok := l.carrier.config.Dialect.ParseLoad(r.Header.Get(l.carrier.config.Names.Load))
	if !ok {
		return nil
	}
	return &report
}

// judge says what the end of an attempt tells of the server.
func (l *call) judge(ctx context.Context, o *outcome, err error) balancer.Result {
	switch {
	case err == nil && o.response.Status == http.StatusMisdirectedRequest:
		return balancer.Misdirected
	case err == nil && o.response.NotRun:
		return balancer.Refused
	case err == nil && o.response.Status >= http.StatusInternalServerError:
		return balancer.Failed
	case err == nil:
		return balancer.Succeeded
	case errors.Is(err, sender.ErrConnectionLost):
		return balancer.Lost
	case errors.Is(err, context.DeadlineExceeded):
		return balancer.Failed
	case ctx.Err() != nil:
		return balancer.Abandoned
	}
	return balancer.Failed
}

// suspect blames the request for the loss of a server only if the server is gone
// altogether: a connection may be lost while its server lives.
func (l *call) suspect(server *balancer.Server) {
	target := targetOf(server.Registration())
	go func() {
		c, err := l.carrier.config.Sender.ConnectNew(context.Background(), target)
		if err == nil {
			l.carrier.config.Sender.PutIdle(c)
			return
		}
		if l.carrier.config.Quarantiner.Suspect(l.fingerprint, target.Server) {
			l.carrier.config.OnEvidence()
		}
	}()
}

// rest returns the response body from its beginning.
func (o *outcome) rest() io.Reader { return &restReader{outcome: o} }

// restReader reads the held part of a body, then what the server still sends.
type restReader struct {
	outcome *outcome
	taken   int
	ended   bool
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	o := r.outcome
	if r.taken < len(o.held) {
		n := copy(p, o.held[r.taken:])
		r.taken += n
		return n, nil
	}
	n, err := o.response.Body.Read(p)
	if err != nil && !r.ended {
		r.ended = true
		if errors.Is(err, io.EOF) {
			o.finish(nil)
		} else {
			o.finish(err)
		}
	}
	return n, err
}
