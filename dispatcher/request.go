package dispatcher

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/classifier"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/registrar"
)

const (
	// maxBufferedBody is the maximum size of a body that is buffered in memory if
	// the request has no idempotency key. Only buffered requests can be retried.
	maxBufferedBody = 64 << 10
	// maxKeyedBody is the maximum body size of a request with an idempotency key.
	maxKeyedBody = 1 << 20
)

// proxiedRequest is a request of a caller and the state of processing it.
type proxiedRequest struct {
	request    *http.Request
	service    verbenastand.ServiceName
	key        deduplicator.Key
	keyed      bool
	idempotent bool
	forwarded  bool
	// delegated is set if the host that forwarded the request keeps its idempotency key.
	delegated bool
	attempt   int
	depth     int
	timeout   time.Duration
	arrived   time.Time
	deadline  time.Time
	body      []byte
	buffered  bool
	// memory provides the memory for the response, nil if it isn't bounded.
	memory bounder.Source
	// keyFingerprint detects an idempotency key that is reused for another request.
	keyFingerprint uint64
	// crashFingerprint identifies equal requests of a caller in crash evidence.
	crashFingerprint quarantiner.Fingerprint

	components *registrar.ServiceComponents
	class      classifier.Class
	// mayHaveRun is set once any attempt may have run, from this host or another.
	mayHaveRun atomic.Bool
}

// recordVerdict records the verdict of an attempt.
func (req *proxiedRequest) recordVerdict(v verbenastand.Verdict) {
	if v != verbenastand.NotRun {
		req.mayHaveRun.Store(true)
	}
}

// combineVerdicts returns the error with the combined verdict of all attempts. A
// last attempt with notRun does not rule out that an earlier one ran.
func (req *proxiedRequest) combineVerdicts(err error) error {
	var re *verbenastand.RequestError
	if !req.mayHaveRun.Load() || !errors.As(err, &re) || re.Verdict() != verbenastand.NotRun {
		return err
	}
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, re.Reason(), err).WithRetryAfter(re.RetryAfter())
}

// parse validates the request without using any state of the host, so that every
// copy of a request is refused in the same way.
func (d *Dispatcher) parse(r *http.Request, forwarded bool) (*proxiedRequest, error) {
	req := &proxiedRequest{request: r, forwarded: forwarded, arrived: d.config.Timer.Now()}
	req.service = serviceOf(r)
	if !verbenastand.ValidName(string(req.service)) {
		return nil, badRequest("the service is missing or malformed")
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return nil, badRequest("CONNECT and Upgrade are not supported")
	}
	if err := req.parseNumericHeaders(); err != nil {
		return nil, err
	}
	req.idempotent = idempotentMethod(r.Method)
	if text := r.Header.Get(verbenastand.HeaderIdempotencyKey); text != "" {
		key, err := deduplicator.ParseKey(text)
		if err != nil {
			return nil, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonBadKey, err)
		}
		req.key, req.keyed, req.idempotent = key, true, false
	}
	if forwarded && r.Header.Get(headerDelegated) != "" {
		r.Header.Del(headerDelegated)
		req.delegated, req.keyed = true, false
	}
	if r.ContentLength > d.config.MaxBody || (req.keyed && r.ContentLength > maxKeyedBody) {
		return nil, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonTooLarge, nil)
	}
	return req, nil
}

func badRequest(text string) error {
	return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonBadRequest, errors.New(text))
}

// serviceOf returns the service named in the header or else in the first label of
// the host name.
func serviceOf(r *http.Request) verbenastand.ServiceName {
	if name := r.Header.Get(verbenastand.HeaderService); name != "" {
		return verbenastand.ServiceName(name)
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if net.ParseIP(host) != nil {
		return ""
	}
	label, _, _ := strings.Cut(host, ".")
	return verbenastand.ServiceName(label)
}

func (req *proxiedRequest) parseNumericHeaders() error {
	fields := []struct {
		name    string
		maximum int
		value   *int
	}{
		{verbenastand.HeaderAttempt, 1000, &req.attempt},
		{verbenastand.HeaderDepth, verbenastand.MaxDepth, &req.depth},
	}
	for _, f := range fields {
		text := req.request.Header.Get(f.name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > f.maximum {
			return badRequest(fmt.Sprintf("%s: want a number from 0 to %d", f.name, f.maximum))
		}
		*f.value = n
	}
	text := req.request.Header.Get(verbenastand.HeaderTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return badRequest(verbenastand.HeaderTimeout + ": want milliseconds above 0")
	}
	req.timeout = time.Duration(ms) * time.Millisecond
	return nil
}

// idempotentMethod reports whether a method is idempotent (RFC 9110, 9.2.2).
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// readBody buffers a small body in memory and computes the fingerprints. The body
// of a request with an idempotency key is always buffered, because the request
// runs even if its caller disconnects.
func (req *proxiedRequest) readBody() error {
	limit := req.bodyLimit()
	hasBody := req.hasBody()
	if req.bufferedSize() > 0 {
		body, err := io.ReadAll(io.LimitReader(req.request.Body, limit+1))
		if err != nil {
			return req.bodyError(err)
		}
		if int64(len(body)) > limit {
			return verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonTooLarge, nil)
		}
		req.body = body
	}
	req.buffered = !hasBody || req.body != nil
	req.keyFingerprint = req.computeKeyFingerprint()
	req.crashFingerprint = req.computeCrashFingerprint()
	return nil
}

// bodyLimit returns the size up to which a body is buffered.
func (req *proxiedRequest) bodyLimit() int64 {
	if req.keyed {
		return maxKeyedBody
	}
	return maxBufferedBody
}

func (req *proxiedRequest) hasBody() bool {
	return req.request.Body != nil && req.request.Body != http.NoBody && req.request.ContentLength != 0
}

// bufferedSize returns the size of the body, or its limit if the size is unknown, zero if the
// body isn't buffered.
func (req *proxiedRequest) bufferedSize() int64 {
	length, limit := req.request.ContentLength, req.bodyLimit()
	switch {
	case !req.hasBody():
		return 0
	case length > 0 && length <= limit:
		return length
	case req.keyed:
		return limit
	}
	return 0
}

// bodyError returns the error for a body that could not be read. Its sender gets a response,
// since it may be there still: bytes that can't be parsed are no end of its connection. An
// earlier copy of a request with an idempotency key may have run.
func (req *proxiedRequest) bodyError(err error) error {
	verdict, reason := verbenastand.NotRun, verbenastand.ReasonBadRequest
	if req.keyed {
		verdict = verbenastand.MayHaveRun
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = verbenastand.ReasonDeadline
	}
	return verbenastand.NewRequestError(verdict, reason, err)
}

// computeKeyFingerprint returns a hash of the service, method, URI and body. It does
// not depend on the host name or the idempotency key, so that requests for the same
// operation have the same fingerprint.
func (req *proxiedRequest) computeKeyFingerprint() uint64 {
	h := xxhash.New()
	for _, text := range []string{string(req.service), req.request.Method, req.request.URL.RequestURI()} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body)
	return h.Sum64()
}

func (req *proxiedRequest) computeCrashFingerprint() quarantiner.Fingerprint {
	return quarantiner.NewFingerprint(quarantiner.FingerprintConfig{
		Caller: req.caller(), Service: string(req.service),
		Method: req.request.Method, Path: req.request.URL.Path, Body: req.body,
	})
}

// caller returns the network address of the caller. A peer that forwards a request
// has appended it to the header field.
func (req *proxiedRequest) caller() string {
	if list := req.request.Header.Get(forwardedFor); req.forwarded && list != "" {
		return strings.TrimSpace(list[strings.LastIndexByte(list, ',')+1:])
	}
	caller, _, err := net.SplitHostPort(req.request.RemoteAddr)
	if err != nil {
		return req.request.RemoteAddr
	}
	return caller
}

// newBody returns the body and content length of one attempt.
func (req *proxiedRequest) newBody() (io.ReadCloser, int64) {
	if len(req.body) > 0 {
		return io.NopCloser(bytes.NewReader(req.body)), int64(len(req.body))
	}
	if req.buffered {
		return http.NoBody, 0
	}
	return req.request.Body, req.request.ContentLength
}
