package carrier

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
)

// impliesNotRun reports whether callers take the status as a guarantee that the
// request has not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// deliver forwards a server's response to the caller, and reports whether the whole
// response was delivered and is no failure.
func (c *call) deliver(o *outcome) bool {
	h := endToEnd(o.response.Header)
	h.Del(c.carrier.config.Names.Load)
	c.stripVerdict(h)
	var err error
	if o.body.Complete() {
		err = c.writer.Write(o.response.Status, h, o.body.Bytes())
	} else {
		c.carrier.streamed.record(c.route.Name(), c.carrier.config.Clock.Now())
		body := c.fullBody(o)
		err = c.writer.Copy(o.response.Status, h, o.response.Length, body)
		body.close()
	}
	c.reportEnd(o.response.Status, func(e *Event) {
		if o.server != nil {
			e.Server = o.server.Registration().Server()
		}
		e.Delegate, e.Err = o.delegate, err
	})
	return err == nil && o.response.Status < http.StatusInternalServerError
}

// refuse responds to a request without a server's response. Only a request that has
// not run and never will gets a status that guarantees so.
func (c *call) refuse(err error) {
	var re *verbenastand.RequestError
	if !errors.As(err, &re) {
		re = verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, err)
	}
	status := http.StatusServiceUnavailable
	if re.Verdict() != verbenastand.NotRun {
		status = http.StatusBadGateway
		if re.Reason() == verbenastand.ReasonDeadline || re.Reason() == verbenastand.ReasonDraining {
			status = http.StatusGatewayTimeout
		}
	}
	writeErr := c.writer.Write(status, c.refusalHeader(re), nil)
	c.reportEnd(status, func(e *Event) {
		e.Refused = true
		e.Verdict, e.Reason, e.RetryAfter = re.Verdict(), re.Reason(), re.RetryAfter()
		e.Err = errors.Join(err, writeErr)
	})
}

func (c *call) refusalHeader(re *verbenastand.RequestError) http.Header {
	return refusalHeader(c.carrier.config.Names, c.id, re)
}

func refusalHeader(names verbenastand.HeaderNames, id string, re *verbenastand.RequestError) http.Header {
	h := http.Header{}
	if id != "" {
		h.Set(names.RequestID, id)
	}
	h.Set(verbenastand.HeaderVerdict, re.Verdict().String())
	h.Set(verbenastand.HeaderReason, re.Reason().String())
	if re.RetryAfter() > 0 {
		h.Set("Retry-After", formatSeconds(re.RetryAfter()))
	}
	return h
}

// formatSeconds formats a duration in seconds, rounded to milliseconds, with as many
// decimals as necessary.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Round(time.Millisecond).Seconds(), 'f', -1, 64)
}

// refuseEarly refuses a request before its route and its deadline are known.
func (c *Carrier) refuseEarly(w *acceptor.Response, r *acceptor.Request, status int, reason verbenastand.RefusalReason, retryAfter time.Duration) {
	id := r.Header.Get(c.config.Names.RequestID)
	re := verbenastand.NewRequestError(verbenastand.NotRun, reason, nil).WithRetryAfter(retryAfter)
	err := w.Write(status, refusalHeader(c.config.Names, id, re), nil)
	e := Event{
		ID: id, At: r.Arrived(), Took: c.config.Clock.Now().Sub(r.Arrived()), Status: status,
		Refused: true, Verdict: verbenastand.NotRun, Reason: reason, RetryAfter: retryAfter, Err: err,
	}
	if t := c.config.Router.Table(); t != nil {
		e.Version = t.Version()
	}
	c.config.Observer.RequestEnded(e)
}

// interrupt ends a request whose context has ended: its caller has disconnected, or
// the host is stopping and responds with the verdict.
func (c *call) interrupt(ctx context.Context, verdict verbenastand.Verdict) {
	if !errors.Is(context.Cause(ctx), errStopped) {
		c.abandon()
		return
	}
	refusal := verbenastand.NewRequestError(verdict, verbenastand.ReasonDraining, errStopped)
	if verdict == verbenastand.NotRun {
		refusal = refusal.WithRetryAfter(elsewhereRetryAfter)
	}
	c.refuse(refusal)
}

// abandon ends a request whose caller has disconnected.
func (c *call) abandon() {
	c.writer.Abort()
	c.reportEnd(0, func(e *Event) {
		e.Refused = true
		e.Verdict, e.Reason = verbenastand.MayHaveRun, verbenastand.ReasonCancelled
	})
}
