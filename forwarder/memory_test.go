package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Guards against clients without a certificate that make a host keep any number of connections,
// or keep others from connecting, and against places that are not returned.
func TestHandshakesAreBounded(t *testing.T) {
	cases := []struct {
		name      string
		addresses int
		want      int64
	}{
		{"one address", 1, maxHandshakes / 2},
		{"three addresses", 3, maxHandshakes * 3 / 4},
		{"many addresses", 1000, maxHandshakes},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			refusals := int64(0)
			h := newHandshakes(func(string) { refusals++ })
			ctx, cancel := context.WithCancel(t.Context())
			client := func(i int) *quic.ClientInfo {
				return &quic.ClientInfo{RemoteAddr: &net.UDPAddr{IP: net.IPv4(10, 0, byte(i>>8), byte(i)), Port: 1000 + i}}
			}
			var places []*place
			for i := range 3000 {
				require.Equal(t, h.inProgress() >= unverifiedHandshakes, h.mustVerify(nil))
				if c, err := h.begin(ctx, client(i%tc.addresses)); err == nil {
					places = append(places, c.Value(placeKey{}).(*place))
				}
			}
			require.InDelta(t, tc.want, h.inProgress(), 1)
			require.Equal(t, 3000-h.inProgress(), refusals)
			require.Equal(t, refusals, h.refused.Load())
			if tc.addresses < 10 {
				_, err := h.begin(ctx, client(2000))
				require.NoError(t, err, "another address is refused")
			}
			places[0].end()
			cancel()
			require.Eventually(t, func() bool { return h.inProgress() == 0 }, 10*time.Second, time.Millisecond)
			places[0].end()
			require.Zero(t, h.inProgress())
		})
	}
}

// newPeerServer starts a server that answers messages, and returns a peer that may connect to it.
func newPeerServer(t *testing.T, c ServerConfig) (*Server, *Forwarder, verbenastand.Host) {
	certificates, err := certifier.NewSharedCertifier("a secret")
	require.NoError(t, err)
	c.Certifier = certificates
	c.Exchange = func(message []byte) ([]byte, error) { return append([]byte("re: "), message...), nil }
	s := NewServer(c)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(conn) }()
	f := NewForwarder(Config{Certifier: certificates})
	t.Cleanup(func() {
		_ = f.Close()
		_ = s.Close()
		_ = conn.Close()
	})
	return s, f, verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: conn.LocalAddr().String()})
}

// retryOnlyConn receives no other packets than those by which a server verifies its address.
type retryOnlyConn struct{ net.PacketConn }

// ReadFrom implements net.PacketConn.
func (c retryOnlyConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || (n > 0 && p[0]>>4 == 0xf) {
			return n, from, err
		}
	}
}

// Guards against a host that keeps any number of handshakes that don't end, or that doesn't
// answer other hosts meanwhile.
func TestStalledHandshakesAreBounded(t *testing.T) {
	s, f, peer := newPeerServer(t, ServerConfig{})
	address, err := net.ResolveUDPAddr("udp", peer.PeerAddress())
	require.NoError(t, err)
	insecure := s.config.Certifier.ClientConfig(http3.NextProtoH3)
	insecure.Certificates, insecure.InsecureSkipVerify = nil, true
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for range maxHandshakes {
		socket, err := net.ListenPacket("udp", "127.0.0.2:0")
		require.NoError(t, err)
		transport := &quic.Transport{Conn: retryOnlyConn{socket}}
		clients.Go(func() {
			for ctx.Err() == nil {
				_, _ = transport.Dial(ctx, address, insecure, &quic.Config{HandshakeIdleTimeout: time.Second})
			}
			_ = transport.Close()
			_ = socket.Close()
		})
	}
	most := int64(0)
	require.Eventually(t, func() bool {
		most = max(most, s.Handshakes())
		return s.Refused() > 0
	}, 20*time.Second, time.Millisecond)
	for range 10 {
		var response []byte
		// On a machine that is very busy a handshake of the other host may time out, too.
		require.Eventually(t, func() bool {
			var err error
			response, err = f.Exchange(t.Context(), peer, []byte("1"))
			return err == nil
		}, 30*time.Second, time.Millisecond)
		require.Equal(t, "re: 1", string(response))
		most = max(most, s.Handshakes())
		f.mu.Lock()
		c := f.connections[peer.PeerAddress()]
		f.mu.Unlock()
		f.discard(c)
	}
	t.Logf("at most %d handshakes in progress", most)
	require.LessOrEqual(t, most, int64(maxHandshakes/2+2))
	require.Greater(t, most, int64(unverifiedHandshakes))
	cancel()
	clients.Wait()
	require.Eventually(t, func() bool { return s.Handshakes() == 0 }, 20*time.Second, 10*time.Millisecond)
}

// Guards against clients without a certificate whose connections keep their places, or are served.
func TestAClientWithoutACertificateIsNotServed(t *testing.T) {
	s, f, peer := newPeerServer(t, ServerConfig{})
	insecure := s.config.Certifier.ClientConfig(http3.NextProtoH3)
	insecure.Certificates, insecure.InsecureSkipVerify = nil, true
	transport := &http3.Transport{TLSClientConfig: insecure}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+peer.PeerAddress()+"/", http.NoBody)
	require.NoError(t, err)
	r.Header.Set(purposeHeader, purposeKeepAlive)
	_, err = transport.RoundTrip(r)
	require.Error(t, err)
	require.NoError(t, transport.Close())
	_, err = f.Exchange(t.Context(), peer, nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Handshakes() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against requests of a peer that take any amount of memory with their streams and
// headers, that keep its messages out, or that are refused as if they had run.
func TestRequestsOfAPeerAreBounded(t *testing.T) {
	const size = 2 << 20
	cases := []struct {
		name  string
		lines int
		most  int
	}{
		{"ordinary", 10, size / 2 / streamMemory},
		{"many lines", 1500, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			memory := bounder.NewShares(size)
			release := make(chan struct{})
			held := make(chan struct{}, 200)
			s, f, peer := newPeerServer(t, ServerConfig{
				Memory: memory,
				ForwardHandler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					held <- struct{}{}
					<-release
				}),
				Refuse: func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(verbenastand.HeaderVerdict, verbenastand.NotRun.String())
					w.WriteHeader(http.StatusServiceUnavailable)
				},
			})
			send := func() (int, string) {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
				require.NoError(t, err)
				for i := range tc.lines {
					r.Header[fmt.Sprintf("X%d", i)] = []string{""}
				}
				response, err := f.Forward(peer, r)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, response.Body)
				require.NoError(t, response.Body.Close())
				return response.StatusCode, response.Header.Get(verbenastand.HeaderVerdict)
			}
			var requests sync.WaitGroup
			for s.Refused() == 0 {
				ended := make(chan int, 1)
				requests.Go(func() {
					status, _ := send()
					ended <- status
				})
				select {
				case <-held:
				case status := <-ended:
					require.Equal(t, http.StatusServiceUnavailable, status)
				}
			}
			status, verdict := send()
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Equal(t, verbenastand.NotRun.String(), verdict)
			require.GreaterOrEqual(t, memory.Left(), int64(size/2-streamMemory))
			response, err := f.Exchange(t.Context(), peer, []byte("1"))
			require.NoError(t, err)
			require.Equal(t, "re: 1", string(response))
			close(release)
			requests.Wait()
			status, _ = send()
			require.Equal(t, http.StatusOK, status)
			require.Eventually(t, func() bool { return memory.Left() == size }, 10*time.Second, time.Millisecond)
			require.LessOrEqual(t, len(held), tc.most)
		})
	}
}

// Guards against a bound on the requests of a host that is not derived from its memory, or that
// changes where that is unknown.
func TestTheNumberOfStreamsFollowsTheMemory(t *testing.T) {
	cases := []struct {
		memory *bounder.Shares
		want   int64
	}{
		{nil, maxStreams},
		{bounder.NewShares(0), minStreams},
		{bounder.NewShares(23 << 20), 588},
		{bounder.NewShares(1 << 40), maxStreams},
	}
	for _, tc := range cases {
		s := &Server{config: ServerConfig{Memory: tc.memory}}
		require.Equal(t, tc.want, s.maxStreams())
	}
}
