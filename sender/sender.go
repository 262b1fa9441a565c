// Package sender sends requests to backend servers over a pool of HTTP/1.1
// connections. Unlike the transport of net/http it never resends a request by
// itself, matches responses to requests by request ID, and lets a health check and
// the request that follows share a connection.
package sender

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Defaults of a Config.
const (
	// DefaultDialTimeout allows for one lost packet between availability zones.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept idle if the server does
	// not announce its own keep-alive timeout.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultMaxIdle bounds the idle connections to one server.
	DefaultMaxIdle = 16
)

// keepAliveShare is the share of the server's keep-alive timeout during which a
// connection is reused, so that no request is sent while the server closes it.
const keepAliveShare = 0.75

// Config is the configuration of a Sender.
type Config struct {
	HeaderFormat verbenastand.HeaderFormat
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	DialTimeout  time.Duration
	IdleTimeout  time.Duration
	MaxIdle      int
	// MaxUnframedBody bounds a response body in bytes, with its chunk headers, if its
	// length is not announced: a server in trouble may send without end.
	MaxUnframedBody int64
	// OnDial is called for each new connection.
	OnDial func()
}

// Target identifies the server process at the other end of a connection.
type Target struct {
	Server    verbenastand.ServerID
	Address   string
	StartTime int64
}

// Sender is a pool of connections to servers.
type Sender struct {
	config Config
	names  verbenastand.HeaderNames

	mu     sync.Mutex
	idle   map[Target][]*Connection
	closed bool
}

// NewSender returns a sender without connections.
func NewSender(c Config) *Sender {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = DefaultMaxIdle
	}
	if c.MaxUnframedBody == 0 {
		c.MaxUnframedBody = bounder.DefaultMaxUnframedBody
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return &Sender{config: c, names: c.HeaderFormat.Names(), idle: make(map[Target][]*Connection)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// ErrUnreachable means that no connection to a server could be opened.
var ErrUnreachable = errors.New("sender: cannot connect to the server")

// Connect returns an idle connection to the server if there is one, or else opens a
// new one. The error has the verdict NotRun.
func (s *Sender) Connect(ctx context.Context, t Target) (*Connection, error) {
	if c := s.takeIdle(t); c != nil {
		return c, nil
	}
	return s.ConnectNew(ctx, t)
}

// takeIdle returns the most recently used connection that is still usable.
func (s *Sender) takeIdle(t Target) *Connection {
	now := time.Now()
	for {
		s.mu.Lock()
		list := s.idle[t]
		if len(list) == 0 {
			s.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		s.idle[t] = list[:len(list)-1]
		s.mu.Unlock()
		if now.Before(c.idleUntil) && c.stillIdle() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// PutIdle returns a connection to the pool after an exchange, or closes it if it is
// not reusable.
func (s *Sender) PutIdle(c *Connection) {
	if !c.reusable {
		c.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[c.target]
	if s.closed || len(list) >= s.config.MaxIdle {
		c.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.idleUntil = time.Now().Add(c.idleTimeout)
	s.idle[c.target] = append(list, c)
}

// HasIdle reports whether there is an idle connection to the server that has not
// expired.
func (s *Sender) HasIdle(t Target) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[t]
	return len(list) > 0 && now.Before(list[len(list)-1].idleUntil)
}

// Sweep closes idle connections that have expired, those to servers that are no longer
// wanted, and those that the server has closed or on which it sends data that no
// request asked for.
func (s *Sender) Sweep(wanted func(Target) bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, list := range s.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(t) && now.Before(c.idleUntil) && c.stillIdle() {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		s.idle[t] = kept
		if len(kept) == 0 {
			delete(s.idle, t)
		}
	}
}

// CloseIdle closes all idle connections. It is called after this process was paused:
// servers may have closed the connections in the meantime, and this process would
// not notice.
func (s *Sender) CloseIdle() { s.Sweep(func(Target) bool { return false }) }

// Idle returns the number of idle connections.
func (s *Sender) Idle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, list := range s.idle {
		n += len(list)
	}
	return n
}

// Close closes the idle connections; connections that are returned later are closed
// too.
func (s *Sender) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Sweep(func(Target) bool { return false })
}

// Adopt returns a connection that was opened by other means, for one exchange.
func (s *Sender) Adopt(conn net.Conn, t Target) *Connection { return newConnection(s, t, conn) }

// ConnectNew opens a new connection to the server even if there is an idle one, to
// find out whether the server is reachable.
func (s *Sender) ConnectNew(ctx context.Context, t Target) (*Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.DialTimeout)
	defer cancel()
	conn, err := s.config.Dial(ctx, t.Address)
	if err != nil {
		return nil, verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonServerFailed, errors.Join(ErrUnreachable, err))
	}
	if s.config.OnDial != nil {
		s.config.OnDial()
	}
	return newConnection(s, t, conn), nil
}
