package connector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// respondOnce returns the address of a server that sends the same bytes to each request, and a channel that is
// closed once the first of its connections has ended.
func respondOnce(t *testing.T, sent string) (address string, ended chan struct{}) {
	ended = make(chan struct{})
	return listen(t, func(conn net.Conn) {
		defer close(ended)
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, sent)
		_, _ = io.Copy(io.Discard, reader)
	}), ended
}

// requireMalformed checks the error of a request or of its response, and that its connection is closed.
func requireMalformed(t *testing.T, err error, ended <-chan struct{}) {
	t.Helper()
	require.ErrorIs(t, err, ErrMalformedResponse)
	require.NotErrorIs(t, err, ErrConnectionLost)
	require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the connection is still open")
	}
}

// Guards against responses with an invalid line in their header that are delivered (issue 58).
func TestFieldsThatAreNone(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, line := range fake.InvalidFields() {
		for name, sent := range map[string]string{
			"first":                     ok + line + "\r\nContent-Length: 4\r\n\r\nbody",
			"last":                      ok + "Content-Length: 4\r\nDate: today\r\n" + line + "\r\n\r\nbody",
			"without another length":    ok + "Date: today\r\n" + line + "\r\n\r\nbody and more",
			"without a body":            ok + "Content-Length: 0\r\nDate: today\r\n" + line + "\r\n\r\n",
			"a refusal":                 "HTTP/1.1 503 X\r\n" + verbenastand.HeaderVerdict + ": notRun\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
			"an interim response":       "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody",
			"after an interim response": "HTTP/1.1  103 Early Hints\r\n\r\n" + ok + "Date: today\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody",
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				address, ended := respondOnce(t, sent)
				var reported error
				c := NewConnector(Config{MaxConnections: 1, OnResult: func(_ verbenastand.Server, _ bool, err error) { reported = err }})
				defer c.Close()
				response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address))
				if err == nil {
					_ = response.Body.Close()
				}
				requireMalformed(t, err, ended)
				require.Error(t, reported, "the server has failed")
			})
		}
	}
}

// Guards against trailers with invalid names, also if the header announces them, that are delivered.
func TestTrailersThatAreNone(t *testing.T) {
	for _, tc := range []struct {
		announced, sent string
		valid           bool
	}{
		{"T", "T: 1\r\n", true}, {"T", "T: 1\r\nOther: 2\r\n", true}, {"Odd Name", "Odd Name: 1\r\n", false}, {"Odd Name", "", false},
		{"Odd\x01Name", "", false}, {"T", "T: 1\r\nOdd Name: 2\r\n", false}, {"T", "T : 1\r\n", false}, {"T", "T\x01: 1\r\n", false},
	} {
		t.Run(fmt.Sprintf("%q %q", tc.announced, tc.sent), func(t *testing.T) {
			address, ended := respondOnce(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: "+tc.announced+"\r\n\r\n4\r\nbody\r\n0\r\n"+tc.sent+"\r\n")
			c := NewConnector(Config{MaxConnections: 1})
			defer c.Close()
			response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
			}
			if tc.valid {
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
				require.Equal(t, "1", response.Trailer.Get("T"))
				return
			}
			requireMalformed(t, err, ended)
		})
	}
}

// TestFieldsOfSoundServers: unusual names and values are still delivered.
func TestFieldsOfSoundServers(t *testing.T) {
	const fields = "x!#$%&'*+-.^_`|~09: a : b\tc \r\nEmpty:\r\nLATIN: \xe9\r\n"
	address, _ := respondOnce(t, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n"+"HTTP/1.1 200\r\n"+fields+"Content-Length: 4\r\n\r\nbody")
	c := NewConnector(Config{MaxConnections: 1})
	defer c.Close()
	response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address))
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	require.Equal(t, "\xe9", response.Header.Get("Latin"))
	require.NoError(t, response.Body.Close())
}
