package acceptor

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is cut since the write deadline of an earlier response, or
// of an earlier part of a response, has passed (issue 40, LOST).
func TestAnEarlierWriteDeadlineCutsNoConnection(t *testing.T) {
	const stall = 2 * time.Second
	t.Run("100 Continue on a kept connection", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, c := connectTo(t, Config{StallTimeout: stall, Handler: HandlerFunc(echoPath)})
			c.send(t, get("/a"))
			_, _ = c.receive(t)
			time.Sleep(stall + time.Second)
			c.send(t, "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
			response, _ := c.receive(t)
			require.Equal(t, http.StatusContinue, response.StatusCode)
			c.send(t, "abc")
			response, body := c.receive(t)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "/b", body)
		})
	})
	cases := []struct {
		name   string
		length int64
	}{
		{"the end of a chunked response with a pause before it", -1},
		{"the end of a response of known length with a pause before it", 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := connectTo(t, Config{StallTimeout: stall, Handler: HandlerFunc(func(_ context.Context, w *Response, _ *Request) {
					body, server := io.Pipe()
					go func() {
						_, _ = io.WriteString(server, "body")
						time.Sleep(stall + time.Second)
						_ = server.Close()
					}()
					_ = w.Copy(http.StatusOK, http.Header{}, tc.length, body)
				})})
				c.send(t, get("/a"))
				response, err := http.ReadResponse(c.reader, nil)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
			})
		})
	}
}
