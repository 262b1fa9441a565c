package connector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// zeroReader is a body of zeros.
type zeroReader struct{}

// Read implements io.Reader.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// sendUpload sends a long request and returns the body of the response.
func sendUpload(t *testing.T, c *Connector, address string, length int64) (string, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", io.NopCloser(io.LimitReader(zeroReader{}, uploadBytes)))
	require.NoError(t, err)
	r.ContentLength = length
	response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a response whose connection is reset while the request is written, and that
// passes for a complete one (issue 58): the system reports a reset once, to the write or to the read.
func TestAnEarlyResponseThatIsResetIsIncomplete(t *testing.T) {
	for _, length := range []int64{uploadBytes, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			address := listen(t, func(conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(10 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			c := NewConnector(Config{MaxConnections: 1})
			defer c.Close()
			for range 50 {
				body, err := sendUpload(t, c, address, length)
				require.Error(t, err, "%q passes for the whole body", body)
				require.ErrorIs(t, err, ErrConnectionLost)
				require.NotErrorIs(t, err, ErrMalformedResponse)
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
			}
		})
	}
}

// Checks that responses that are complete before the request has been sent are still delivered.
func TestEarlyResponsesOfSoundServers(t *testing.T) {
	cases := []struct {
		name    string
		respond func(conn *net.TCPConn, r *http.Request)
	}{
		{"with a length, the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			<-t.Context().Done()
		}},
		{"chunked, the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
			<-t.Context().Done()
		}},
		{"with a length, the rest is read", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"closed after the rest was read", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"half-closed while the rest is read", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"half-closed while the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
			_ = conn.CloseWrite()
			<-t.Context().Done()
		}},
	}
	for _, tc := range cases {
		for _, length := range []int64{uploadBytes, -1} {
			t.Run(tc.name+strconv.FormatInt(length, 10), func(t *testing.T) {
				t.Parallel()
				address := listen(t, func(conn net.Conn) {
					if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						tc.respond(conn.(*net.TCPConn), r)
					}
				})
				c := NewConnector(Config{MaxConnections: 100})
				defer c.Close()
				for range 5 {
					body, err := sendUpload(t, c, address, length)
					require.NoError(t, err)
					require.Equal(t, "body", body)
				}
			})
		}
	}
}
