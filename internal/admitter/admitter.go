// Package admitter bounds what the servers of net/http hold for their clients: connections,
// headers, and the requests of which a handler runs.
package admitter

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	// What a connection and a request take beside headers and bodies: goroutines, buffers,
	// the connection to a server.
	connectionMemory = 16 << 10
	requestMemory    = 40 << 10
	// closedShare is the part of the idle connections that are closed at once.
	closedShare = 64
	// admitTimeout bounds the wait for connections that are being closed.
	admitTimeout = 20 * time.Millisecond
	admitPoll    = time.Millisecond
)

// Config is the configuration of an Admitter.
type Config struct {
	// Memory is what all servers of a host share.
	Memory *bounder.Shares
	// MaxConnections bounds the connections, unless it is zero.
	MaxConnections int
	// MaxHeader is the limit of the server for headers.
	MaxHeader int
	// Refuse responds to a request for which no memory is left; if nil, with 503.
	Refuse http.HandlerFunc
	// OnShortage is called when no memory is left for a client at once, with its address;
	// may be nil.
	OnShortage func(client string)
}

// Admitter bounds what one server holds.
type Admitter struct {
	config Config
	closed atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewAdmitter returns an admitter without connections.
func NewAdmitter(c Config) *Admitter {
	if c.Refuse == nil {
		c.Refuse = refuse
	}
	if c.OnShortage == nil {
		c.OnShortage = func(string) {}
	}
	return &Admitter{config: c, conns: make(map[*conn]struct{})}
}

// Serve makes a server use the admitter for what it accepts from a listener.
func (a *Admitter) Serve(s *http.Server, l net.Listener) error {
	s.ConnState = a.observe
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.Handler = a.handler(s.Handler)
	return s.Serve(&listener{Listener: l, admitter: a})
}

// Closed returns the number of connections that were closed because there were too many, or
// for lack of memory.
func (a *Admitter) Closed() int64 { return a.closed.Load() }

type connKey struct{}

// Memory returns the share of the client whose request has the context, nil if its server has
// no admitter.
func Memory(ctx context.Context) bounder.Source {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.share
	}
	return nil
}

// refuse responds that the request has not been executed, with the time of the next attempt.
func refuse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, "the host has no memory left for this client", http.StatusServiceUnavailable)
}

// retryAfter is in seconds.
const retryAfter = "1"

// handler charges requests for the time in which they are handled.
func (a *Admitter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		defer c.endRequest()
		cost := requestMemory + bounder.HeaderCost(r.Header)
		if !c.share.Take(cost) {
			a.config.OnShortage(r.RemoteAddr)
			a.config.Refuse(w, r)
			return
		}
		defer c.share.Return(cost)
		next.ServeHTTP(w, r)
	})
}

// observe follows the states of connections.
func (a *Admitter) observe(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateHijacked:
		c.end()
	case http.StateClosed:
		_ = c.Close()
	}
}

// admit makes room for a connection, and reports whether there is any. If no connection can be
// closed for it, others that wait to be accepted are not kept waiting.
func (a *Admitter) admit(c *conn) bool {
	if !c.share.Take(connectionMemory) {
		if !a.closeIdle(c.account) || !c.share.Await(nil, nil, admitTimeout, connectionMemory) {
			return false
		}
	}
	if !a.admitCount() {
		c.share.Return(connectionMemory)
		return false
	}
	a.mu.Lock()
	a.conns[c] = struct{}{}
	a.mu.Unlock()
	return true
}

// admitCount makes room among the connections, and reports whether there is any.
func (a *Admitter) admitCount() bool {
	if a.config.MaxConnections == 0 || a.count() < a.config.MaxConnections {
		return true
	}
	if !a.closeIdle("") {
		return false
	}
	for end := time.Now().Add(admitTimeout); a.count() >= a.config.MaxConnections; time.Sleep(admitPoll) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (a *Admitter) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// closeIdle closes those connections that have been idle or lingering longest, of one account
// unless that is empty, and reports whether there were any.
func (a *Admitter) closeIdle(account string) bool {
	type candidate struct {
		conn  *conn
		since time.Time
	}
	var idle []candidate
	a.mu.Lock()
	for c := range a.conns {
		if account != "" && c.account != account {
			continue
		}
		if since, ok := c.idle(); ok {
			idle = append(idle, candidate{c, since})
		}
	}
	a.mu.Unlock()
	slices.SortFunc(idle, func(x, y candidate) int { return x.since.Compare(y.since) })
	for i := range min(len(idle), 1+len(idle)/closedShare) {
		if idle[i].conn.closeUnlessBusy() {
			a.closed.Add(1)
		}
	}
	return len(idle) > 0
}

// listener accepts connections for which there is room.
type listener struct {
	net.Listener
	admitter *Admitter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.admitter, nc)
		if l.admitter.admit(c) {
			return c, nil
		}
		l.admitter.closed.Add(1)
		c.share.Close()
		_ = nc.Close()
	}
}
