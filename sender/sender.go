// Package sender carries requests to backend servers over HTTP/1.1 connections
// that it keeps. Unlike the transport of net/http it never sends a request twice
// by itself, tells responses apart by the request's identifier, and lets a look at
// a server's load and the request that follows share one connection.
package sender

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Defaults of a Config.
const (
	// DefaultDialTimeout allows one lost packet between availability zones.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept if the server does not
	// say how long it keeps it.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultMaxIdle bounds the kept connections to one server.
	DefaultMaxIdle = 16
)

// idleShare is the part of the server's keep-alive time during which a connection
// is used again, so that a request does not meet its close.
const idleShare = 0.75

// Config holds the values of a Sender.
type Config struct {
	Dialect     verbenastand.ServerDialect
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int
	// OnDial is called for each new connection.
	OnDial func()
}

// Target is the server process that a connection leads to.
type Target struct {
	Server  verbenastand.ServerID
	Address string
	Born    int64
}

// Sender keeps connections to servers.
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
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return &Sender{config: c, names: c.Dialect.Names(), idle: make(map[Target][]*Connection)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// ErrUnreachable marks a server to which no connection could be opened.
var ErrUnreachable = errors.New("sender: no connection to the server")

// Connect returns a connection to the server, a kept one if there is any.
// The error has the verdict NotRun.
func (s *Sender) Connect(ctx context.Context, t Target) (*Connection, error) {
	if c := s.takeIdle(t); c != nil {
		return c, nil
	}
	return s.ConnectAnew(ctx, t)
}

// takeIdle returns the connection that was used last and is still sound.
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
		if now.Before(c.usableUntil) && c.quiet() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// Keep takes a connection back after an exchange. It is closed unless it may be
// used again.
func (s *Sender) Keep(c *Connection) {
	if !c.sound {
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
	c.usableUntil = time.Now().Add(c.keepFor)
	s.idle[c.target] = append(list, c)
}

// HasIdle reports whether a connection to the server is kept that is not too old.
func (s *Sender) HasIdle(t Target) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[t]
	return len(list) > 0 && now.Before(list[len(list)-1].usableUntil)
}

// Sweep closes kept connections that are too old, and those to servers that are
// not wanted any more.
func (s *Sender) Sweep(wanted func(Target) bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, list := range s.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(t) && now.Before(c.usableUntil) {
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

// Void closes all kept connections, after this process was paused: servers may have
// ended them meanwhile, and nothing would show it.
func (s *Sender) Void() { s.Sweep(func(Target) bool { return false }) }

// Idle returns the number of kept connections.
func (s *Sender) Idle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, list := range s.idle {
		n += len(list)
	}
	return n
}

// Close closes the kept connections; later ones are not kept.
func (s *Sender) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Sweep(func(Target) bool { return false })
}

// ConnectAnew opens a connection to the server even if one is kept, to find out
// whether the server is there.
func (s *Sender) ConnectAnew(ctx context.Context, t Target) (*Connection, error) {
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
