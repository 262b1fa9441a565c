package forwarder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
)

// Guards against a part of another host's response that is delivered as the whole, while the request is
// written (issue 58). Unlike connections, QUIC streams report an end and a reset separately.
func TestAnEarlyResponseOfAPeerThatBreaksOffIsIncomplete(t *testing.T) {
	certificates, err := certifier.NewSharedCertifier("a secret")
	require.NoError(t, err)
	server := NewServer(ServerConfig{Certifier: certificates, ForwardHandler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
	})})
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(conn) }()
	defer func() { _ = server.Close() }()
	f := NewForwarder(Config{Certifier: certificates})
	defer func() { _ = f.Close() }()
	peer := verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: conn.LocalAddr().String()})
	for _, path := range []string{"/broken", "/whole"} {
		for range 10 {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://a"+path, strings.NewReader(strings.Repeat("x", 4<<20)))
			require.NoError(t, err)
			response, err := f.Forward(peer, r)
			if err != nil {
				require.Equal(t, "/broken", path)
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				continue
			}
			body, err := io.ReadAll(response.Body)
			require.Equal(t, path == "/broken", err != nil, "%q", body)
			_ = response.Body.Close()
		}
	}
}
