package forwarder

import (
	"net"
	"testing"

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
