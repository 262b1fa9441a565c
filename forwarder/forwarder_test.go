package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
)

// TestAFailedConnectionIsReplaced: a connection that was idle during a partition has
// failed on both sides. The first message after the partition, for example evidence
// about a request that crashes servers, must not be lost with it.
func TestAFailedConnectionIsReplaced(t *testing.T) {
	certificates, err := certifier.NewSharedCertifier("a secret")
	require.NoError(t, err)
	server := NewServer(ServerConfig{Certifier: certificates, Exchange: func(message []byte) ([]byte, error) {
		return append([]byte("re: "), message...), nil
	}})
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(conn) }()
	defer func() { _ = server.Close() }()
	f := NewForwarder(Config{Certifier: certificates})
	defer func() { _ = f.Close() }()
	peer := verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: conn.LocalAddr().String()})
	response, err := f.Exchange(t.Context(), peer, []byte("1"))
	require.NoError(t, err)
	require.Equal(t, "re: 1", string(response))
	c, used := f.connection(peer)
	require.True(t, used)
	require.NoError(t, c.transport.Close())
	response, err = f.Exchange(t.Context(), peer, []byte("2"))
	require.NoError(t, err)
	require.Equal(t, "re: 2", string(response))
}

// newTunnelServer returns a forwarder and a peer that serves tunnels.
func newTunnelServer(t *testing.T, serve func(conn net.Conn, origin verbenastand.Origin) bool) (*Forwarder, verbenastand.Host, *Server) {
	f, peer, server, _ := newSilencedTunnelServer(t, serve)
	return f, peer, server
}

// silencedConn drops what it receives once it is silenced.
type silencedConn struct {
	net.PacketConn
	silenced atomic.Bool
}

// ReadFrom implements net.PacketConn.
func (c *silencedConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || !c.silenced.Load() {
			return n, from, err
		}
	}
}

// newSilencedTunnelServer is newTunnelServer, and returns the peer's socket.
func newSilencedTunnelServer(t *testing.T, serve func(conn net.Conn, origin verbenastand.Origin) bool) (*Forwarder, verbenastand.Host, *Server, *silencedConn) {
	certificates, err := certifier.NewSharedCertifier("a secret")
	require.NoError(t, err)
	server := NewServer(ServerConfig{Certifier: certificates, CloseIdle: true, Tunnel: serve})
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	conn := &silencedConn{PacketConn: socket}
	go func() { _ = server.Serve(conn) }()
	f := NewForwarder(Config{Certifier: certificates, CloseIdle: true})
	t.Cleanup(func() {
		_ = f.Close()
		_ = server.Close()
	})
	return f, verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: conn.LocalAddr().String()}), server, conn
}

// TestTunnel: a request and a large response pass in both directions, and the end of
// either side ends the other.
func TestTunnel(t *testing.T) {
	const size = 1 << 20
	origin := verbenastand.Origin{Host: "h1", Caller: "10.0.0.1:4711", Service: "s", Attempts: 1}
	ended := make(chan error, 1)
	f, peer, _ := newTunnelServer(t, func(conn net.Conn, got verbenastand.Origin) bool {
		require.Equal(t, origin, got)
		go func() {
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					ended <- err
					return
				}
				body, _ := io.ReadAll(r.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}()
		return true
	})
	conn, err := f.Tunnel(t.Context(), peer, origin)
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for range 2 {
		go func() {
			_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
			_, _ = conn.Write(make([]byte, size))
		}()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Len(t, body, size)
	}
	require.NoError(t, conn.Close())
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the peer did not notice the end of the tunnel")
	}
}

// Guards against a delegated request that the peer routes by its own table, which may be
// another one (issue 44, CONFIG).
func TestATunnelCarriesTheRoute(t *testing.T) {
	origins := make(chan verbenastand.Origin, 1)
	f, peer, _ := newTunnelServer(t, func(conn net.Conn, origin verbenastand.Origin) bool {
		origins <- origin
		_ = conn.Close()
		return true
	})
	route := verbenastand.NewRoute(verbenastand.RouteConfig{
		Name: "r", HostName: "a.example", PathPrefix: "/x/", RetrySafety: verbenastand.Bulk, Timeout: time.Second,
		Target: 300 * time.Millisecond, MaxAttempts: 2, PriorityLevel: 1,
	})
	sent := verbenastand.Origin{Caller: "c", Service: "s", Route: &route, Table: 7}
	conn, err := f.Tunnel(t.Context(), peer, sent)
	require.NoError(t, err)
	_ = conn.Close()
	require.Equal(t, sent, <-origins)
}

func TestRoutesOfPeersAreValidated(t *testing.T) {
	valid := verbenastand.RouteConfig{Name: "r", HostName: "a", PathPrefix: "/", Timeout: time.Second, MaxAttempts: 1}
	cases := []struct {
		name   string
		change func(*verbenastand.RouteConfig)
	}{
		{"no time limit", func(c *verbenastand.RouteConfig) { c.Timeout = 0 }},
		{"a negative target", func(c *verbenastand.RouteConfig) { c.Target = -1 }},
		{"no attempts", func(c *verbenastand.RouteConfig) { c.MaxAttempts = 0 }},
		{"an unknown retry safety", func(c *verbenastand.RouteConfig) { c.RetrySafety = verbenastand.Bulk + 1 }},
		{"a negative retry safety", func(c *verbenastand.RouteConfig) { c.RetrySafety = -1 }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := valid
			tc.change(&c)
			text, err := encodeRoute(verbenastand.NewRoute(c), 1)
			require.NoError(t, err)
			_, _, err = decodeRoute(text)
			require.Error(t, err)
		})
	}
	for _, text := range []string{"!", "AA", "/w"} {
		_, _, err := decodeRoute(text)
		require.Error(t, err, text)
	}
	route, _, err := decodeRoute("")
	require.NoError(t, err, "hosts of earlier versions send none")
	require.Nil(t, route)
}

// Guards against a delegated retry of which the peer does not learn under which servers it has
// lost its connections (issue 29, BUDGET).
func TestATunnelCarriesLosses(t *testing.T) {
	const age = time.Second
	sent := verbenastand.LossConfig{Server: "s-1", Service: "s", Address: "10.0.0.1:80", StartTime: 4711, Instance: "i", At: time.Now().Add(-age)}
	origins := make(chan verbenastand.Origin, 1)
	f, peer, _ := newTunnelServer(t, func(conn net.Conn, origin verbenastand.Origin) bool {
		origins <- origin
		_ = conn.Close()
		return true
	})
	began := time.Now()
	conn, err := f.Tunnel(t.Context(), peer, verbenastand.Origin{
		Caller: "c", Losses: []verbenastand.LossFinding{{Loss: verbenastand.NewLoss(sent), Examined: true, State: verbenastand.ProcessEnded}},
	})
	require.NoError(t, err)
	_ = conn.Close()
	received := (<-origins).Losses
	require.Len(t, received, 1)
	require.True(t, received[0].Examined)
	require.Equal(t, verbenastand.ProcessEnded, received[0].State)
	require.WithinRange(t, received[0].Loss.At(), sent.At, sent.At.Add(time.Since(began)))
	sent.At = received[0].Loss.At()
	require.Equal(t, verbenastand.NewLoss(sent), received[0].Loss)
}

// TestMalformedLosses: a peer that sends what can't be read gets an error, one of an earlier
// version sends nothing.
func TestMalformedLosses(t *testing.T) {
	encode := func(objects ...lossObject) string {
		data, err := cbor.Marshal(objects)
		require.NoError(t, err)
		return base64.RawStdEncoding.EncodeToString(data)
	}
	cases := []struct {
		name, text string
		count      int
		malformed  bool
	}{
		{"nothing", "", 0, false},
		{"one", encode(lossObject{Server: "a"}), 1, false},
		{"as many as allowed", encode(make([]lossObject, maxLosses)...), maxLosses, false},
		{"too many", encode(make([]lossObject, maxLosses+1)...), 0, true},
		{"no base64", "*", 0, true},
		{"no CBOR", "AAAA", 0, true},
		{"nested deeply", base64.RawStdEncoding.EncodeToString(bytes.Repeat([]byte{0x81}, 4096)), 0, true},
		{"a negative age", encode(lossObject{Age: -1}), 0, true},
		{"an unknown state", encode(lossObject{State: verbenastand.ProcessRunning + 1}), 0, true},
		{"a negative state", encode(lossObject{State: -1}), 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			losses, err := decodeLosses(tc.text, time.Now())
			require.Equal(t, tc.malformed, err != nil, "%v", err)
			require.Len(t, losses, tc.count)
		})
	}
	many := make([]verbenastand.LossFinding, maxLosses+1)
	text, err := encodeLosses(many, time.Now())
	require.NoError(t, err)
	losses, err := decodeLosses(text, time.Now())
	require.NoError(t, err)
	require.Len(t, losses, maxLosses)
}

// TestAPeerThatEndsATunnel: a response that breaks off must not look complete.
func TestAPeerThatEndsATunnel(t *testing.T) {
	f, peer, _ := newTunnelServer(t, func(conn net.Conn, _ verbenastand.Origin) bool {
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			_ = conn.Close()
		}()
		return true
	})
	conn, err := f.Tunnel(t.Context(), peer, verbenastand.Origin{Caller: "c"})
	require.NoError(t, err)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a stopping host that loses its last responses to delegated requests: they
// are still on their way when nothing more is pending (issue 36).
func TestAResponseOverATunnelOutlivesItsConnection(t *testing.T) {
	const size = 200 << 10
	for range 20 {
		written := make(chan struct{})
		f, peer, server := newTunnelServer(t, func(conn net.Conn, _ verbenastand.Origin) bool {
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
				_ = conn.Close()
				close(written)
			}()
			return true
		})
		conn, err := f.Tunnel(t.Context(), peer, verbenastand.Origin{Caller: "c"})
		require.NoError(t, err)
		go func() {
			<-written
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			server.AwaitResponses(ctx)
			_ = server.Close()
		}()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Len(t, body, size)
		_ = conn.Close()
	}
}

// Guards against a stopping host that loses its last responses to forwarded requests: they are
// still on their way when nothing more is pending (issue 40).
func TestAResponseToAForwardedRequestOutlivesItsHandler(t *testing.T) {
	const size = 200 << 10
	certificates, err := certifier.NewSharedCertifier("a secret")
	require.NoError(t, err)
	for range 20 {
		written := make(chan struct{})
		server := NewServer(ServerConfig{Certifier: certificates, ForwardHandler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size))
			close(written)
		})})
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = server.Serve(conn) }()
		go func() {
			<-written
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			server.AwaitResponses(ctx)
			_ = server.Close()
		}()
		f := NewForwarder(Config{Certifier: certificates})
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", nil)
		require.NoError(t, err)
		response, err := f.Forward(verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: conn.LocalAddr().String()}), r)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Len(t, body, size)
		_ = f.Close()
		_ = server.Close()
	}
}

// Guards against a delegated request that gets no response because it takes longer than the idle
// timeout of the connection, while the hosts exchange nothing else (issue 37).
func TestATunnelOutlivesTheIdleTimeout(t *testing.T) {
	t.Parallel()
	f, peer, _ := newTunnelServer(t, func(conn net.Conn, _ verbenastand.Origin) bool {
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			time.Sleep(neighborIdleTimeout + time.Second)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}()
		return true
	})
	conn, err := f.Tunnel(t.Context(), peer, verbenastand.Origin{Caller: "c"})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, response.Body.Close())
}

// Guards against a delegated request that waits for the idle timeout of the connection after its
// peer does not respond any more, instead of being sent elsewhere.
func TestATunnelEndsOnceItsPeerIsSilent(t *testing.T) {
	t.Parallel()
	f, peer, _, socket := newSilencedTunnelServer(t, func(net.Conn, verbenastand.Origin) bool { return true })
	conn, err := f.Tunnel(t.Context(), peer, verbenastand.Origin{Caller: "c"})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	socket.silenced.Store(true)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(neighborIdleTimeout-time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the tunnel has not ended before the idle timeout")
}

// Checks that a tunnel which does not end delays a stop only for a bounded time.
func TestAwaitResponsesIsBounded(t *testing.T) {
	f, peer, server := newTunnelServer(t, func(net.Conn, verbenastand.Origin) bool { return true })
	conn, err := f.Tunnel(t.Context(), peer, verbenastand.Origin{Caller: "c"})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const limit = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	started := time.Now()
	server.AwaitResponses(ctx)
	require.GreaterOrEqual(t, time.Since(started), limit)
	require.Less(t, time.Since(started), limit+5*time.Second)
}

// TestATunnelThatIsNotAccepted: nothing is sent before the peer has accepted the tunnel.
func TestATunnelThatIsNotAccepted(t *testing.T) {
	f, peer, server := newTunnelServer(t, func(net.Conn, verbenastand.Origin) bool { return false })
	_, err := f.Tunnel(t.Context(), peer, verbenastand.Origin{Caller: "c"})
	require.ErrorContains(t, err, "503")
	_, err = f.Tunnel(t.Context(), peer, verbenastand.Origin{})
	require.ErrorContains(t, err, "400")
	_ = server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = f.Tunnel(ctx, peer, verbenastand.Origin{Caller: "c"})
	require.Error(t, err)
}

// BenchmarkTunnel measures what a delegated request adds: a tunnel, the request and its
// response over it, and its end.
func BenchmarkTunnel(b *testing.B) {
	certificates, err := certifier.NewSharedCertifier("a secret")
	require.NoError(b, err)
	server := NewServer(ServerConfig{Certifier: certificates, CloseIdle: true, Tunnel: func(conn net.Conn, _ verbenastand.Origin) bool {
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			}
		}()
		return true
	}})
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = server.Serve(conn) }()
	f := NewForwarder(Config{Certifier: certificates, CloseIdle: true})
	defer func() { _ = f.Close() }()
	defer func() { _ = server.Close() }()
	peer := verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: conn.LocalAddr().String()})
	for b.Loop() {
		tunnel, err := f.Tunnel(b.Context(), peer, verbenastand.Origin{Caller: "c"})
		require.NoError(b, err)
		_, _ = io.WriteString(tunnel, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(tunnel), nil)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = tunnel.Close()
	}
}
