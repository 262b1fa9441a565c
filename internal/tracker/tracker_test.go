package tracker

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection whose reads find the end of file at once. A write returns an error
// once Write has been released, or once its deadline is set.
type scriptedConn struct {
	net.Conn
	writeErr         error
	begun, released  chan struct{}
	deadline         chan struct{}
	begin, interrupt sync.Once
}

func newScriptedConn(writeErr error) *scriptedConn {
	return &scriptedConn{writeErr: writeErr, begun: make(chan struct{}), released: make(chan struct{}), deadline: make(chan struct{})}
}

// Read implements net.Conn.
func (*scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *scriptedConn) Write([]byte) (int, error) {
	c.begin.Do(func() { close(c.begun) })
	select {
	case <-c.released:
		return 0, c.writeErr
	case <-c.deadline:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetWriteDeadline implements net.Conn.
func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	c.interrupt.Do(func() { close(c.deadline) })
	return nil
}

// Guards against a loss that reads take for the orderly end of a connection, since a write got the error.
func TestReadsReportALossThatAWriteFound(t *testing.T) {
	cases := []struct {
		name          string
		writeErr      error
		lost, stalled bool
	}{
		{"reset", syscall.ECONNRESET, true, false},
		{"written after a reset", syscall.EPIPE, true, false},
		{"the peer is no longer reached", syscall.ETIMEDOUT, true, true},
		{"no route", syscall.EHOSTUNREACH, true, false},
		{"no error", nil, false, false},
		{"deadline", os.ErrDeadlineExceeded, false, true},
		{"closed by this host", net.ErrClosed, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, write := range []func(*Conn) error{
				func(c *Conn) error { _, err := c.Write([]byte("x")); return err },
				func(c *Conn) error { _, err := c.WriteBuffers(net.Buffers{[]byte("x"), []byte("y")}); return err },
			} {
				raw := newScriptedConn(tc.writeErr)
				close(raw.released)
				c := NewConn(raw)
				require.ErrorIs(t, write(c), tc.writeErr)
				for range 2 {
					_, err := c.Read(make([]byte, 1))
					if !tc.lost {
						require.Equal(t, io.EOF, err)
						continue
					}
					require.ErrorIs(t, err, ErrLost)
					require.ErrorIs(t, err, tc.writeErr)
					require.NotErrorIs(t, err, io.EOF)
				}
				require.True(t, c.Lost())
				require.Equal(t, tc.stalled, c.Stalled())
			}
		})
	}
}

// Guards against a read that returns before the write that got the error has recorded it.
func TestTheEndOfFileWaitsForAWrite(t *testing.T) {
	raw := newScriptedConn(nil)
	c := NewConn(raw)
	written := make(chan error)
	go func() {
		_, err := c.Write([]byte("x"))
		written <- err
	}()
	<-raw.begun
	_, err := c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the write was interrupted, not lost")
	require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
	require.False(t, c.Stalled())
}

// Checks both orders in which the write and the read of a connection find its reset.
func TestAResetConnectionHasNoOrderlyEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	for range 200 {
		raw, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		peer, err := l.Accept()
		require.NoError(t, err)
		c := NewConn(raw)
		written := make(chan struct{})
		go func() {
			defer close(written)
			for err := error(nil); err == nil; {
				_, err = c.Write(make([]byte, 64<<10))
			}
		}()
		_, err = io.WriteString(peer, "part")
		require.NoError(t, err)
		require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
		require.NoError(t, peer.Close())
		_, err = io.ReadAll(c)
		require.Error(t, err)
		require.True(t, c.Lost())
		<-written
		require.NoError(t, c.Close())
	}
}
