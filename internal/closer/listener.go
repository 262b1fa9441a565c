package closer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Lingerer is a connection that lingers when it is closed.
type Lingerer interface {
	// CloseThen closes the connection, and calls ended once it does not linger any more. It
	// returns at once, with an error if the connection was closed before.
	CloseThen(ended func()) error
	// Abort ends lingering.
	Abort()
}

// Listener accepts connections that linger in the background when they are closed, for
// servers that close them at once.
type Listener struct {
	*net.TCPListener
	config Config
	// lingering is the number of connections that linger. A sync.WaitGroup must not be used
	// anew while others wait for it.
	lingering atomic.Int64
}

// NewListener returns a listener whose connections linger.
func NewListener(l *net.TCPListener, c Config) *Listener { return &Listener{TCPListener: l, config: c} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, fmt.Errorf("closer: %w", err)
	}
	return &lingeringConn{TCPConn: conn, listener: l}, nil
}

// pollPeriod is the time between two checks of the connections that linger.
const pollPeriod = 10 * time.Millisecond

// Wait waits until no connection lingers, or until ctx is done.
func (l *Listener) Wait(ctx context.Context) {
	poll := time.NewTicker(pollPeriod)
	defer poll.Stop()
	for l.lingering.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// lingeringConn is a connection of a Listener.
type lingeringConn struct {
	*net.TCPConn
	listener *Listener
	// closing is held while the connection is closed, and while the server sets a deadline.
	closing sync.Mutex
	closed  atomic.Bool
	// reading is held while the server reads.
	reading sync.Mutex
}

// Read implements net.Conn. What arrives after Close is not the server's.
func (c *lingeringConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetDeadline implements net.Conn. After Close it does nothing.
func (c *lingeringConn) SetDeadline(t time.Time) error {
	return c.setDeadline(c.TCPConn.SetDeadline, t)
}

// SetReadDeadline implements net.Conn. After Close it does nothing.
func (c *lingeringConn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(c.TCPConn.SetReadDeadline, t)
}

func (c *lingeringConn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.closing.Lock()
	defer c.closing.Unlock()
	if c.closed.Load() {
		return net.ErrClosed
	}
	return set(t)
}

func (c *lingeringConn) markClosed() (first bool) {
	c.closing.Lock()
	defer c.closing.Unlock()
	return !c.closed.Swap(true)
}

// Close implements net.Conn. It returns at once.
func (c *lingeringConn) Close() error { return c.CloseThen(func() {}) }

// CloseThen implements Lingerer.
func (c *lingeringConn) CloseThen(ended func()) error {
	if !c.markClosed() {
		return net.ErrClosed
	}
	if Undelivered(c.TCPConn) == 0 {
		defer ended()
		return c.TCPConn.Close()
	}
	c.listener.lingering.Add(1)
	go func() {
		defer c.listener.lingering.Add(-1)
		defer ended()
		defer func() { _ = c.TCPConn.Close() }()
		// The server may be waiting for a request.
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
		c.reading.Lock()
		defer c.reading.Unlock()
		Linger(c.TCPConn, c.listener.config)
	}()
	return nil
}

// Abort implements Lingerer.
func (c *lingeringConn) Abort() { _ = c.TCPConn.Close() }
