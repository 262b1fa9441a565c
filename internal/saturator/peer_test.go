package saturator

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// stalledConn receives no other packets than those by which a host verifies its address, so that
// handshakes over it don't end.
type stalledConn struct{ net.PacketConn }

// ReadFrom implements net.PacketConn.
func (c stalledConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || (n > 0 && p[0]>>4 == 0xf) {
			return n, from, err
		}
	}
}

// stallHandshakes begins handshakes with the peer port that don't end, from a number of addresses,
// then runs whileHeld.
func (h *host) stallHandshakes(addresses, handshakes int, whileHeld func()) {
	target, err := net.ResolveUDPAddr("udp", h.peer)
	require.NoError(h.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), sendTime)
	defer cancel()
	var clients sync.WaitGroup
	var transports []*quic.Transport
	var sockets []net.PacketConn
	for i := range addresses {
		socket, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.%d:0", 2+i))
		require.NoError(h.t, err)
		transport := &quic.Transport{Conn: stalledConn{socket}}
		transports, sockets = append(transports, transport), append(sockets, socket)
		for range handshakes / addresses {
			clients.Go(func() {
				insecure := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}
				for ctx.Err() == nil {
					_, _ = transport.Dial(ctx, target, insecure, &quic.Config{HandshakeIdleTimeout: time.Second})
				}
			})
		}
	}
	for end := time.Now().Add(sendTime / 2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h.countDescriptors()
	}
	whileHeld()
	cancel()
	clients.Wait()
	for i := range transports {
		_ = transports[i].Close()
		_ = sockets[i].Close()
	}
}

// Guards against hosts that run out of memory for clients of the peer port that don't show a
// certificate.
func TestStalledHandshakes(t *testing.T) {
	for _, kind := range kinds {
		for _, addresses := range []int{1, 20} {
			t.Run(fmt.Sprintf("%s, addresses %d", kind.name, addresses), func(t *testing.T) {
				h := kind.start(t)
				h.stallHandshakes(addresses, 3000, func() { h.requireResponse("/read/during") })
				h.requireResponse("/read/after")
				h.check()
			})
		}
	}
}
