package forwarder

import (
	"io"
	"net/http"

	verbenastand "github.com/verbenastand/verbenastand"
)

// peerTransport is implemented by http3.Transport.
type peerTransport interface {
	http.RoundTripper
	io.Closer
}

// roundTrip sends a request. A response with an invalid status code is an error: http3 accepts any number.
func (c *peerConn) roundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := verbenastand.CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
