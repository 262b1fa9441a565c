// Package acceptor serves HTTP/1.1 to callers. Unlike the server of net/http it
// reads pipelined requests immediately, handles them concurrently and writes the
// responses in order. It detects that a caller has disconnected even while pipelined
// requests are still unread. Messages are parsed by net/http.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Handler responds to one request. It must call exactly one of the Response's
// methods before it returns. It must not run a request that is late.
type Handler interface {
	Serve(ctx context.Context, w *Response, r *Request)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, w *Response, r *Request)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, w *Response, r *Request) { f(ctx, w, r) }

// Config is the configuration of an Acceptor.
type Config struct {
	Handler Handler
	// Limits returns the current limits for callers.
	Limits func() verbenastand.CallerLimits
	// MaxPipelined bounds the pending requests of one connection.
	MaxPipelined int
	// BufferedBody is the size up to which a request body is buffered in memory.
	BufferedBody int64
	// RequestMemory bounds the buffered bodies of all requests together. Bodies that
	// find no memory left are read while they are sent to a server.
	RequestMemory int64
	// Memory bounds what is held for callers: connections, headers, bodies and responses.
	// If nil, only bodies are bounded. Others may share it.
	Memory *bounder.Shares
	// MaxRequests bounds the requests that are handled at the same time, and MaxConnections
	// the connections; if zero, they are not bounded.
	MaxRequests, MaxConnections int
	// OnShortage is called when a connection is not read because its caller's share of the
	// memory, or of MaxRequests, is exhausted; may be nil.
	OnShortage func(Shortage)
	// Observer receives what ends connections; nil if nobody does.
	Observer Observer
	// StallTimeout bounds how long a caller may take to send a body or to accept a
	// part of a response.
	StallTimeout time.Duration
	// RequestTimeout returns the time limit of a request, zero if there is none. A buffered
	// body that is not complete by then is refused.
	RequestTimeout func(*http.Request) time.Duration
}

// Defaults of a Config.
const (
	DefaultMaxPipelined = 32
	DefaultBufferedBody = 256 << 10
	// DefaultRequestMemory is a small part of the memory of the smallest hosts.
	DefaultRequestMemory = 16 << 20
	DefaultStallTimeout  = 10 * time.Second
)

// Acceptor serves the connections accepted by a listener.
type Acceptor struct {
	config        Config
	requestMemory *bounder.Budget
	memory        *bounder.Shares
	requests      *bounder.Shares
	draining      atomic.Bool
	// idleClosed counts the connections that were closed because there were too many, and
	// rejected those that were closed at once.
	idleClosed, rejected atomic.Int64

	mu          sync.Mutex
	connections map[*connection]struct{}
	// stopped is set once StopReading was called.
	stopped bool
	done    sync.WaitGroup
}

// NewAcceptor returns an acceptor that does nothing until Serve is called.
func NewAcceptor(c Config) *Acceptor {
	if c.MaxPipelined == 0 {
		c.MaxPipelined = DefaultMaxPipelined
	}
	if c.BufferedBody == 0 {
		c.BufferedBody = DefaultBufferedBody
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = DefaultStallTimeout
	}
	if c.RequestMemory == 0 {
		c.RequestMemory = DefaultRequestMemory
	}
	if c.RequestTimeout == nil {
		c.RequestTimeout = func(*http.Request) time.Duration { return 0 }
	}
	if c.Observer == nil {
		c.Observer = ignorer{}
	}
	if c.Memory == nil {
		c.Memory = bounder.NewShares(unlimited)
	}
	if c.OnShortage == nil {
		c.OnShortage = func(Shortage) {}
	}
	requests := int64(unlimited)
	if c.MaxRequests > 0 {
		requests = int64(c.MaxRequests)
	}
	return &Acceptor{
		config: c, requestMemory: bounder.NewBudget(c.RequestMemory), memory: c.Memory, requests: bounder.NewShares(requests),
		connections: make(map[*connection]struct{}),
	}
}

// Serve accepts connections until the listener is closed.
func (a *Acceptor) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The listener stays usable after a failed accept, for example when the
			// process ran out of file descriptors.
			time.Sleep(acceptRetryDelay)
			continue
		}
		a.start(conn)
	}
}

// acceptRetryDelay is the delay before accepting again after an error, so that a
// host without free file descriptors does not spin.
const acceptRetryDelay = 5 * time.Millisecond

func (a *Acceptor) start(conn net.Conn) {
	c := newConnection(a, conn)
	if !a.admit(c) {
		a.rejected.Add(1)
		c.closeShares()
		_ = conn.Close()
		return
	}
	a.mu.Lock()
	a.connections[c] = struct{}{}
	stopped := a.stopped
	a.mu.Unlock()
	if stopped {
		c.stopReading()
	}
	a.done.Go(func() {
		c.run()
		a.mu.Lock()
		delete(a.connections, c)
		a.mu.Unlock()
		c.closeShares()
	})
}

// delegatedConn is a connection over which another host sends requests of its callers.
type delegatedConn struct {
	net.Conn
	origin verbenastand.Origin
}

// ServeDelegated serves a connection over which another host sends requests of its
// callers. It returns at once.
func (a *Acceptor) ServeDelegated(conn net.Conn, origin verbenastand.Origin) {
	a.start(&delegatedConn{Conn: conn, origin: origin})
}

// Drain makes the next response of each connection end its intake: no further request is
// read, and the last response announces the close. Callers that pipeline would otherwise
// keep a connection open, and would learn of the stop only behind their slowest request.
func (a *Acceptor) Drain() { a.draining.Store(true) }

// StopReading ends the intake of requests. Connections without pending requests are
// closed unread; the others after the responses to the requests that were read, the last
// of which announces it. A request whose body is incomplete, or that another host has
// delegated, is passed to the handler as late.
func (a *Acceptor) StopReading() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for c := range a.connections {
		c.stopReading()
	}
}

// Connections returns the number of open connections.
func (a *Acceptor) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.connections)
}

// Close closes every connection and waits until all handlers have returned.
func (a *Acceptor) Close() {
	a.mu.Lock()
	for c := range a.connections {
		c.abort(CutClosed, nil)
	}
	a.mu.Unlock()
	a.done.Wait()
}
