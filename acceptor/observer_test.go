package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// observed collects what an acceptor reports.
type observed struct {
	mu       sync.Mutex
	refusals []Refusal
	cuts     []Cut
}

func (o *observed) MessageRefused(r Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusals = append(o.refusals, r)
}

func (o *observed) ConnectionCut(c Cut) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cuts = append(o.cuts, c)
}

// Checks that a connection which ends with requests pending on it is reported once, with the
// reason.
func TestACutConnectionIsReported(t *testing.T) {
	cases := []struct {
		name    string
		respond func(ctx context.Context, w *Response)
		end     func(a *Acceptor, c *caller)
		reason  CutReason
	}{
		{"the caller leaves", func(ctx context.Context, w *Response) {
			<-ctx.Done()
			w.Abort()
		}, func(_ *Acceptor, c *caller) { _ = c.Close() }, CutCallerLeft},
		{"the caller does not read", func(_ context.Context, w *Response) {
			_ = w.Write(http.StatusOK, nil, nil)
		}, func(*Acceptor, *caller) { time.Sleep(DefaultStallTimeout) }, CutCallerStalled},
		{"the response breaks off", func(_ context.Context, w *Response) {
			_ = w.Copy(http.StatusOK, nil, 5, strings.NewReader("abc"))
		}, func(_ *Acceptor, c *caller) { _, _ = c.reader.ReadBytes('c') }, CutTruncated},
		{"the handler does not respond", func(context.Context, *Response) {}, func(*Acceptor, *caller) {}, CutUnanswered},
		{"the host closes", func(ctx context.Context, w *Response) {
			<-ctx.Done()
			w.Abort()
		}, func(a *Acceptor, _ *caller) { a.Close() }, CutClosed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var o observed
				a, c := connectTo(t, Config{Observer: &o, Handler: HandlerFunc(func(ctx context.Context, w *Response, r *Request) {
					time.Sleep(time.Second)
					_ = r.AwaitTurn(ctx)
					tc.respond(ctx, w)
				})})
				c.send(t, get("/a")+get("/b"))
				time.Sleep(2 * time.Second)
				tc.end(a, c)
				time.Sleep(2 * time.Second)
				o.mu.Lock()
				defer o.mu.Unlock()
				require.Len(t, o.cuts, 1)
				require.Equal(t, tc.reason, o.cuts[0].Reason)
				require.Equal(t, 2, o.cuts[0].Pending)
				require.NotEmpty(t, o.cuts[0].Caller)
				require.Empty(t, o.refusals)
			})
		})
	}
}

// Guards against reports of cut connections whose callers have received all responses and
// leave at once.
func TestACallerThatHasItsResponseIsNoCut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var o observed
	a := NewAcceptor(Config{Handler: HandlerFunc(echoPath), Observer: &o, Limits: func() verbenastand.CallerLimits { return testLimits }})
	go func() { _ = a.Serve(listener) }()
	for i := range 1000 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		sent := get("/a")
		if i%2 == 1 {
			sent = "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n"
		}
		_, err = io.WriteString(conn, sent)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	require.NoError(t, listener.Close())
	require.Eventually(t, func() bool { return a.Connections() == 0 }, 5*time.Second, time.Millisecond)
	a.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	require.Empty(t, o.cuts)
}
