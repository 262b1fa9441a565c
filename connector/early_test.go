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
	"github.com/verbenastand/verbenastand/internal/fake"
)

const okHead = "HTTP/1.1 200 OK\r\n"

// sendUpload sends a long request and returns the body of the response.
func sendUpload(t *testing.T, c *Connector, address string, length int64) (string, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", io.NopCloser(fake.Upload()))
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
// is delivered as a complete one (issue 58): the system reports a reset once, to the write or to the read.
func TestAnEarlyResponseThatIsResetIsIncomplete(t *testing.T) {
	for _, length := range []int64{fake.UploadBytes, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			address := fake.Listen(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				fake.ResetEarly(conn, okHead, func() { time.Sleep(10 * time.Millisecond) })
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
	for _, tc := range fake.EarlyResponses(okHead, t.Context().Done()) {
		for _, length := range []int64{fake.UploadBytes, -1} {
			t.Run(tc.Name+strconv.FormatInt(length, 10), func(t *testing.T) {
				t.Parallel()
				address := fake.Listen(t, func(conn *net.TCPConn) {
					if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						tc.Respond(conn, r)
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
