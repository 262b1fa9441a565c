package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// pipeConn is an in-memory connection with two directions that close separately, like one of TCP.
type pipeConn struct{ net.Conn }

// CloseWrite does not tell the caller, which reads no further than the response.
func (pipeConn) CloseWrite() error { return nil }

// Guards against a server that gets a body with gaps as a complete one: an attempt that was left
// to complete reads the body on when its request has been responded to, while the connection
// discards what arrives.
func TestABodyReadAfterTheResponseHasNoGaps(t *testing.T) {
	const interval = 100 * time.Millisecond
	cases := []struct {
		name, head, part string
		parts            int
		end              string
	}{
		{"chunked", "Transfer-Encoding: chunked", "8\r\n%8d\r\n", 8, "0\r\n\r\n"},
		{"chunked, with another part", "Transfer-Encoding: chunked", "8\r\n%8d\r\n", 9, "0\r\n\r\n"},
		{"with a length, and more behind it", "Content-Length: 64", "%8d", 16, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				read := make(chan string, 1)
				a := NewAcceptor(Config{
					BufferedBody: 4, Limits: func() verbenastand.CallerLimits { return testLimits },
					Handler: HandlerFunc(func(_ context.Context, w *Response, r *Request) {
						go func() {
							body, err := io.ReadAll(r.Stream())
							if err != nil {
								body = nil
							}
							read <- string(body)
						}()
						time.Sleep(interval * 5 / 2)
						_ = w.Write(http.StatusGatewayTimeout, http.Header{}, nil)
					}),
				})
				near, far := net.Pipe()
				a.start(pipeConn{far})
				go func() {
					_, _ = fmt.Fprint(near, "POST /p HTTP/1.1\r\nHost: a\r\n", tc.head, "\r\n\r\n")
					for i := range tc.parts {
						time.Sleep(interval)
						_, _ = fmt.Fprintf(near, tc.part, i)
					}
					_, _ = io.WriteString(near, tc.end)
				}()
				started := time.Now()
				response, err := http.ReadResponse(bufio.NewReader(near), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
				a.done.Wait()
				assert.Less(t, time.Since(started), lingerBodyTimeout+time.Second, "the connection is read no longer than it lingers")
				if body := <-read; body != "" {
					var want strings.Builder
					for i := range 8 {
						fmt.Fprintf(&want, "%8d", i)
					}
					require.Equal(t, want.String(), body)
				}
			})
		})
	}
}
