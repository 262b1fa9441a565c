package admitter

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// lingeringPipe is a connection that lingers until it is aborted.
type lingeringPipe struct {
	net.Conn
	from    string
	ended   func()
	closed  atomic.Bool
	aborted atomic.Bool
}

func (p *lingeringPipe) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(p.from), Port: 1}
}

func (p *lingeringPipe) CloseThen(ended func()) error {
	if p.closed.Swap(true) {
		return net.ErrClosed
	}
	p.ended = ended
	return nil
}

func (p *lingeringPipe) Abort() {
	if !p.aborted.Swap(true) {
		_ = p.Close()
		go p.ended()
	}
}

// Guards against connections that linger without being counted, whose memory is returned before
// they end, or that can't be closed for others; and against closing the wrong ones.
func TestLingeringConnectionsCount(t *testing.T) {
	const most = 4
	cases := []struct {
		name string
		// memory is that of the host, in connections.
		memory int64
		from   string
	}{
		{"no more connections", 100, "10.0.0.9"},
		// A new holder gets memory as long as it holds less than is left.
		{"no more memory for the address", 2*most - 1, "10.0.0.1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			memory := bounder.NewShares(tc.memory * connectionMemory)
			a := NewAdmitter(Config{Memory: memory, MaxConnections: most, MaxHeader: 1 << 10})
			admit := func(from string) (*conn, *lingeringPipe) {
				near, far := net.Pipe()
				t.Cleanup(func() { _ = near.Close() })
				p := &lingeringPipe{Conn: far, from: from}
				c := newConn(a, p)
				require.True(t, a.admit(c), "a connection is not accepted")
				return c, p
			}
			var conns []*conn
			var pipes []*lingeringPipe
			for range most {
				c, p := admit("10.0.0.1")
				conns, pipes = append(conns, c), append(pipes, p)
			}
			// The third one is the longest, the first one is still busy.
			require.True(t, conns[0].beginRequest())
			for _, i := range []int{2, 1, 3} {
				require.NoError(t, conns[i].Close())
				require.Error(t, conns[i].Close())
				time.Sleep(time.Millisecond)
			}
			require.Equal(t, most, a.count())
			require.Equal(t, most*int64(connectionMemory), memory.Size()-memory.Left())
			c, p := admit(tc.from)
			conns, pipes = append(conns, c), append(pipes, p)
			for i, p := range pipes {
				require.Equal(t, i == 2, p.aborted.Load(), i)
			}
			require.Equal(t, most, a.count())
			require.EqualValues(t, 1, a.Closed())
			conns[0].endRequest()
			for i, c := range conns {
				_ = c.Close()
				pipes[i].Abort()
			}
			require.Eventually(t, func() bool { return memory.Left() == memory.Size() && a.count() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}
