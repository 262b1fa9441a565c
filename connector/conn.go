package connector

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	verbenastand "github.com/verbenastand/verbenastand"
)

// serverConn is a connection to a server. It remembers whether a refusal without a request
// ID arrived over it: a late copy of that would pass for the response to a later request.
type serverConn struct {
	net.Conn
	// requests counts the requests that used the connection.
	requests atomic.Int64
	refused  atomic.Bool
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dialServer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &serverConn{Conn: conn}, nil
	}
}

// use is the use of a connection by one request.
type use struct {
	conn   *serverConn
	number int64
}

func newUse(conn net.Conn) *use {
	c, ok := conn.(*serverConn)
	if !ok {
		return nil
	}
	return &use{conn: c, number: c.requests.Add(1)}
}

// acceptRefusal ends the connection after a refusal without a request ID, and reports
// whether that can only be the response to this request. A connection that carries the next
// request already stays open, and accepts no further such refusal.
func (u *use) acceptRefusal(response *http.Response) bool {
	if u == nil {
		return true
	}
	first := !u.conn.refused.Swap(true)
	_ = response.Body.Close()
	response.Body = http.NoBody
	if u.conn.requests.Load() == u.number {
		_ = u.conn.Close()
	}
	return first
}

// anonymousRefusal reports whether a response states that the server did not run its
// request, but not which one that was.
func anonymousRefusal(response *http.Response) bool {
	return response.Header.Get(verbenastand.HeaderRequest) == "" &&
		response.Header.Get(verbenastand.HeaderVerdict) == verbenastand.NotRun.String()
}
