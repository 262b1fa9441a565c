package forwarder

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
)

// Guards against a status of another host that is none and reaches the caller, or guarantees that the request
// was not executed. Statuses below 100 can't be sent with this library.
func TestStatusCodesThatAreNone(t *testing.T) {
	certificates, err := certifier.NewSharedCertifier("a secret")
	require.NoError(t, err)
	for _, status := range []int{600, 999} {
		server := NewServer(ServerConfig{Certifier: certificates, ForwardHandler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verbenastand.HeaderVerdict, verbenastand.NotRun.String())
			w.WriteHeader(status)
		})})
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = server.Serve(conn) }()
		f := NewForwarder(Config{Certifier: certificates})
		peer := verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: conn.LocalAddr().String()})
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", nil)
		require.NoError(t, err)
		response, err := f.Forward(peer, r)
		if err == nil {
			_ = response.Body.Close()
		}
		require.ErrorIs(t, err, verbenastand.ErrInvalidStatus)
		require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
		_ = f.Close()
		_ = server.Close()
	}
}

// Guards against a message to a peer whose response has a status that is none.
func TestMessagesWithStatusCodesThatAreNone(t *testing.T) {
	for _, status := range []int{0, 20, 99, 600, 999} {
		c := &peerConn{transport: respondWith(status)}
		f := NewForwarder(Config{})
		_, err := f.roundTrip(context.Background(), c, verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: "127.0.0.1:1"}), purposeExchange, "", nil)
		require.ErrorIs(t, err, verbenastand.ErrInvalidStatus, status)
	}
}

// respondWith is a transport whose responses have a status.
type respondWith int

// RoundTrip implements http.RoundTripper.
func (s respondWith) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Body: http.NoBody}, nil
}

// Close implements io.Closer.
func (respondWith) Close() error { return nil }

// Guards against invalid names of fields in the response of another host. The HTTP/3 library refuses such
// names itself, so the test replaces the transport.
func TestMessagesWithFieldsThatAreNone(t *testing.T) {
	for _, name := range []string{"Odd Name", "Odd-Name ", "Odd\x01Name", ""} {
		c := &peerConn{transport: respondWithField(name)}
		f := NewForwarder(Config{})
		_, err := f.roundTrip(context.Background(), c, verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: "127.0.0.1:1"}), purposeExchange, "", nil)
		require.ErrorIs(t, err, verbenastand.ErrInvalidField, name)
	}
}

// respondWithField is a transport whose responses have a field.
type respondWithField string

// RoundTrip implements http.RoundTripper.
func (f respondWithField) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{string(f): {"x"}}, Body: http.NoBody}, nil
}

// Close implements io.Closer.
func (respondWithField) Close() error { return nil }

// endlessBody is a body without end that counts what is read of it.
type endlessBody struct {
	read   int64
	closed bool
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += int64(len(p))
	return len(p), nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	b.closed = true
	return nil
}

// Guards against messages of other hosts that are read without end (issue 58).
func TestMessagesWithoutEnd(t *testing.T) {
	for _, limit := range []int64{maxMessageBytes, maxRelayBytes, maxTicketsBytes} {
		body := &endlessBody{}
		data, err := readResponse(&http.Response{StatusCode: http.StatusOK, Body: body}, verbenastand.Host{}, purposeExchange, limit)
		require.NoError(t, err, "what is cut off is no message, which its reader finds")
		require.Len(t, data, int(limit))
		require.EqualValues(t, limit, body.read)
		require.True(t, body.closed)
	}
}
