package closer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that sets a deadline on a connection that another goroutine has
// just closed, as net/http does when a connection becomes idle during Shutdown: the
// connection, and the stop of the host, would wait for the caller without a limit.
func TestADeadlineAfterCloseDoesNotPreventItsEnd(t *testing.T) {
	cases := []struct {
		name string
		set  func(net.Conn)
	}{
		{"read deadline", func(c net.Conn) { _ = c.SetReadDeadline(time.Time{}) }},
		{"deadline", func(c net.Conn) { _ = c.SetDeadline(time.Time{}) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := NewListener(tcp.(*net.TCPListener), Config{Bytes: 1 << 20, Delivery: 2 * time.Second})
			defer func() { _ = l.Close() }()
			caller, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = caller.Close() }()
			conn, err := l.Accept()
			require.NoError(t, err)
			_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			for err == nil {
				_, err = conn.Write(make([]byte, 64<<10))
			}
			require.Positive(t, Undelivered(conn))
			require.NoError(t, conn.Close())
			time.Sleep(100 * time.Millisecond)
			tc.set(conn)
			// The caller reads everything and keeps its connection open.
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			l.Wait(ctx)
			require.NoError(t, ctx.Err(), "the connection still lingers")
		})
	}
}

// Guards against a panic of a stopping host that waits for connections to end while others are
// closed.
func TestConnectionsMayBeClosedWhileTheListenerWaits(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := NewListener(tcp.(*net.TCPListener), Config{Bytes: 1 << 20, Delivery: time.Second})
	defer func() { _ = l.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 2000 {
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return
			}
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(make([]byte, 128<<10))
			_ = conn.Close()
			_, _ = io.Copy(io.Discard, caller)
			_ = caller.Close()
		}
	}()
	for {
		select {
		case <-ended:
			return
		default:
			l.Wait(context.Background())
		}
	}
}

// Guards against a server that counts a connection as closed while it lingers, and against one
// that lingers on although it is aborted.
func TestTheEndOfLingeringIsReported(t *testing.T) {
	cases := []struct {
		name    string
		written int
		abort   bool
	}{
		{"nothing is undelivered", 0, false},
		{"the caller reads", 64 << 10, false},
		{"aborted", 64 << 10, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := NewListener(tcp.(*net.TCPListener), Config{Bytes: 1 << 20, Delivery: time.Minute})
			defer func() { _ = l.Close() }()
			caller, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = caller.Close() }()
			conn, err := l.Accept()
			require.NoError(t, err)
			_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			for err == nil && tc.written > 0 {
				_, err = conn.Write(make([]byte, tc.written))
			}
			ended := make(chan struct{})
			lingerer := conn.(Lingerer)
			require.NoError(t, lingerer.CloseThen(func() { close(ended) }))
			require.ErrorIs(t, lingerer.CloseThen(func() { t.Error("reported twice") }), net.ErrClosed)
			if tc.written > 0 {
				select {
				case <-ended:
					t.Fatal("reported while the connection lingers")
				case <-time.After(100 * time.Millisecond):
				}
			}
			if tc.abort {
				lingerer.Abort()
			} else {
				go func() { _, _ = io.Copy(io.Discard, caller) }()
			}
			select {
			case <-ended:
			case <-time.After(10 * time.Second):
				t.Fatal("the end is not reported")
			}
		})
	}
}
