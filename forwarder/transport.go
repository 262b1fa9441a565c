package forwarder

import (
	"io"
	"net/http"

	"github.com/quic-go/quic-go"

	verbenastand "github.com/verbenastand/verbenastand"
)

// peerTransport is implemented by http3.Transport.
type peerTransport interface {
	http.RoundTripper
	io.Closer
}

// roundTrip sends a request. An invalid response is an error: http3 accepts any number as a status code.
func (c *peerConn) roundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := verbenastand.CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func quicConfig(closeIdle bool) *quic.Config {
	c := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout,
		KeepAlivePeriod: keepAlive, MaxIncomingStreams: maxStreams,
	}
	if closeIdle {
		c.KeepAlivePeriod, c.MaxIdleTimeout = 0, neighborIdleTimeout
		// The probes of a connection's path are larger than most of what it carries before
		// it is closed again.
		c.DisablePathMTUDiscovery = true
		c.InitialStreamReceiveWindow, c.InitialConnectionReceiveWindow = initialWindow, initialWindow
	}
	return c
}

// initialWindow is the initial receive window of hosts that close idle connections.
// They exchange gossip messages and changes of the configuration store, and forward
// requests only while they reach no server.
const initialWindow = 64 << 10
