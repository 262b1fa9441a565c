// Package connector sends requests to backend servers over HTTP/1.1.
package connector

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the usual keep-alive timeout of servers, so that
	// servers rarely close a connection just as a request is sent.
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 64 << 10
	bufferBytes    = 16 << 10
)

// Config configures a Connector.
type Config struct {
	// MaxConnections is the maximum number of connections to one server.
	MaxConnections int
	// OnResult is called with the result of each request; newConnection is set if its
	// connection was opened for it. The error is nil if there was a response. It may be
	// nil.
	OnResult func(server verbenastand.Server, newConnection bool, err error)
	// MaxUnframedBody bounds a response body in bytes if its length is not announced: a faulty server
	// may send without end. Zero for bounder.DefaultMaxUnframedBody.
	MaxUnframedBody int64
}

// Connector manages connections to servers. It implements
// verbenastand.ServerTransport.
type Connector struct {
	config    Config
	transport *http.Transport
}

// NewConnector returns a connector without connections.
func NewConnector(c Config) *Connector {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if c.MaxUnframedBody == 0 {
		c.MaxUnframedBody = bounder.DefaultMaxUnframedBody
	}
	if c.OnResult == nil {
		c.OnResult = func(verbenastand.Server, bool, error) {}
	}
	return &Connector{config: c, transport: &http.Transport{
		DialContext:            dialServer(dialer.DialContext),
		MaxConnsPerHost:        c.MaxConnections,
		MaxIdleConnsPerHost:    c.MaxConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}}
}

// ErrConnectionLost means that a server closed the connection during a request.
var ErrConnectionLost = errors.New("connector: the server closed the connection")

// ErrMalformedResponse means that a server sent what is no response, over a connection that
// was still open.
var ErrMalformedResponse = errors.New("connector: the response is malformed")

// ErrUnexpectedResponse means that a server sent the response to another request.
var ErrUnexpectedResponse = errors.New("connector: the response belongs to another request")

// emptyBody replaces an absent body. The transport of net/http retries requests with
// an idempotency key by itself if their body is nil, which could run them twice. It
// does not retry requests whose body it cannot rewind.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// RoundTrip sends r to the server. The verdict of an error is NotRun only if no
// connection was obtained, so that no byte of the request was written. The header of the
// response takes memory from the source that the context of r carries, which its user returns.
func (c *Connector) RoundTrip(server verbenastand.Server, r *http.Request) (*http.Response, error) {
	var connected, reused atomic.Bool
	var used atomic.Pointer[use]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		used.Store(newUse(info.Conn, bounder.FromContext(r.Context())))
		reused.Store(info.Reused)
	}}
	out := r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	out.URL.Scheme = "http"
	out.URL.Host = server.Address()
	out.RequestURI = ""
	out.GetBody = nil
	var source *sourceBody
	if out.Body != nil && out.Body != http.NoBody {
		source = &sourceBody{ReadCloser: out.Body}
		out.Body = source
	}
	keyed := out.Header.Get(verbenastand.HeaderIdempotencyKey) != ""
	if keyed && (out.Body == nil || out.Body == http.NoBody) {
		out.Body = emptyBody{}
	}
	id := strconv.FormatUint(rand.Uint64(), 36)
	out.Header.Set(verbenastand.HeaderRequest, id)
	response, err := c.transport.RoundTrip(out)
	if err == nil {
		err = used.Load().check(response)
	}
	if err != nil && used.Load().noMemory() {
		// The server has responded.
		c.config.OnResult(server, !reused.Load(), nil)
		return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, ErrNoMemory)
	}
	if !errors.Is(r.Context().Err(), context.Canceled) {
		c.config.OnResult(server, !reused.Load(), err)
	}
	if err == nil && anonymousRefusal(response) && !used.Load().acceptRefusal(response) {
		return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonInvalidResponse, ErrUnexpectedResponse)
	}
	if err == nil {
		return matchResponse(c.limitBody(r.Context(), response, used.Load()), id)
	}
	if errors.Is(err, verbenastand.ErrInvalidResponse) {
		return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonInvalidResponse, err)
	}
	if !connected.Load() {
		return nil, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonServerFailed, err)
	}
	if source.failed() {
		return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonBadRequest, err)
	}
	return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonServerFailed, used.Load().classify(r.Context(), err))
}

// limitBody replaces the body of a response by one whose errors are classified, and whose length is bounded.
func (c *Connector) limitBody(ctx context.Context, response *http.Response, u *use) *http.Response {
	body := &responseBody{ReadCloser: response.Body, ctx: ctx, response: response, use: u, remaining: bounder.Unlimited}
	if response.ContentLength < 0 {
		body.remaining = c.config.MaxUnframedBody
	}
	response.Body = body
	return response
}

// matchResponse rejects the response to another request: a server may send one late,
// or twice, on a connection that is in use again. Servers that do not return the ID
// are not checked.
func matchResponse(response *http.Response, id string) (*http.Response, error) {
	received := response.Header.Get(verbenastand.HeaderRequest)
	response.Header.Del(verbenastand.HeaderRequest)
	if received == "" || received == id {
		return response, nil
	}
	// A body that is closed before its end closes the connection. A response without a
	// body leaves it open, but the next one is checked like this one.
	_ = response.Body.Close()
	return nil, verbenastand.NewRequestError(verbenastand.MayHaveRun, verbenastand.ReasonInvalidResponse, ErrUnexpectedResponse)
}

// Close closes idle connections.
func (c *Connector) Close() { c.transport.CloseIdleConnections() }
