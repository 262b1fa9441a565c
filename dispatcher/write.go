package dispatcher

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/connector"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/estimator"
)

// problem is the body of an error response of this host.
type problem struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

var statusByReason = []struct {
	reason verbenastand.RefusalReason
	status int
}{
	{verbenastand.ReasonUnknownService, http.StatusNotFound},
	{verbenastand.ReasonStarting, http.StatusServiceUnavailable},
	{verbenastand.ReasonNoServer, http.StatusServiceUnavailable},
	{verbenastand.ReasonOverload, http.StatusServiceUnavailable},
	{verbenastand.ReasonDeadline, http.StatusGatewayTimeout},
	{verbenastand.ReasonDraining, http.StatusServiceUnavailable},
	{verbenastand.ReasonBadKey, http.StatusUnprocessableEntity},
	{verbenastand.ReasonKeyRequired, http.StatusUnprocessableEntity},
	{verbenastand.ReasonKeyExpired, http.StatusConflict},
	{verbenastand.ReasonKeyConflict, http.StatusConflict},
	{verbenastand.ReasonKeyOwnerUnreachable, http.StatusConflict},
	{verbenastand.ReasonQuarantined, http.StatusServiceUnavailable},
	{verbenastand.ReasonServerFailed, http.StatusBadGateway},
	{verbenastand.ReasonCancelled, http.StatusServiceUnavailable},
	{verbenastand.ReasonTooLarge, http.StatusRequestEntityTooLarge},
	{verbenastand.ReasonResponseNotStored, http.StatusConflict},
	{verbenastand.ReasonBadRequest, http.StatusBadRequest},
}

func statusFor(re *verbenastand.RequestError) int {
	if re.Reason() == verbenastand.ReasonDraining && re.Verdict() != verbenastand.NotRun {
		return http.StatusGatewayTimeout
	}
	for _, s := range statusByReason {
		if s.reason == re.Reason() {
			return s.status
		}
	}
	return http.StatusBadGateway
}

// writeError writes the error response to a request without a server response.
func (d *Dispatcher) writeError(w http.ResponseWriter, service verbenastand.ServiceName, err error) {
	var re *verbenastand.RequestError
	if !errors.As(d.describeStop(err), &re) {
		re = verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, err)
	}
	known := d.config.Registrar.Find(service) != nil
	if !known {
		service = "unknown"
	}
	d.config.Meter.Refused(service, re.Verdict(), re.Reason())
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verbenastand.HeaderVerdict, re.Verdict().String())
	h.Set(verbenastand.HeaderReason, re.Reason().String())
	if re.RetryAfter() > 0 {
		seconds := math.Ceil(re.RetryAfter().Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(statusFor(re))
	_ = json.NewEncoder(w).Encode(problem{Verdict: re.Verdict().String(), Reason: re.Reason().String(), Message: re.Error()})
}

// writeOutcome responds to a repeated idempotency key with its stored outcome.
func (d *Dispatcher) writeOutcome(w http.ResponseWriter, req *proxiedRequest, o deduplicator.Outcome) {
	if o.Err() != nil {
		d.writeError(w, req.service, o.Err())
		return
	}
	if !o.Complete() {
		d.writeError(w, req.service, verbenastand.NewRequestError(verbenastand.Ran, verbenastand.ReasonResponseNotStored, nil))
		return
	}
	copyHeader(w.Header(), o.Header())
	w.Header().Set(verbenastand.HeaderVerdict, verbenastand.Ran.String())
	w.WriteHeader(o.Status())
	_, _ = w.Write(o.Body())
	d.recordResponse(req)
}

// writeResponse writes a server's response to the caller. If the server truncates
// the body, the caller's connection is aborted, so that the caller cannot mistake
// the response for a complete one.
func (d *Dispatcher) writeResponse(w http.ResponseWriter, req *proxiedRequest, resp *serverResponse) {
	for name, values := range resp.header() {
		w.Header()[name] = values
	}
	w.Header().Set(verbenastand.HeaderVerdict, verbenastand.Ran.String())
	announceTrailers(w, resp.response)
	w.WriteHeader(resp.response.StatusCode)
	if err := resp.writeBody(w); err != nil {
		panic(http.ErrAbortHandler)
	}
	copyTrailers(w, resp.response)
	d.recordResponse(req)
}

func (d *Dispatcher) recordResponse(req *proxiedRequest) {
	d.config.Meter.Responded(req.service, d.config.Timer.Now().Sub(req.arrived))
}

func (resp *serverResponse) writeBody(w http.ResponseWriter) error {
	if resp.complete {
		_, err := w.Write(resp.prefix)
		return ignoreBodyNotAllowed(err)
	}
	return resp.dispatcher.stream(w, resp.prefix, resp.readAhead(), resp.response.ContentLength < 0)
}

func ignoreBodyNotAllowed(err error) error {
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	return err
}

// serverBodyReader reads the body from the server and counts read errors, to
// distinguish them from errors of the caller's connection.
type serverBodyReader struct{ serverResponse *serverResponse }

func (s *serverBodyReader) Read(p []byte) (int, error) {
	resp := s.serverResponse
	n, err := resp.response.Body.Read(p)
	if err == nil || errors.Is(err, io.EOF) || resp.interrupted.Load() {
		return n, err
	}
	resp.result = estimator.Abandoned
	if errors.Is(err, connector.ErrConnectionLost) || errors.Is(err, connector.ErrMalformedResponse) {
		resp.result = estimator.Failed
		resp.dispatcher.config.Meter.Truncated()
	}
	return n, err
}
