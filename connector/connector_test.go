package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// droppingServer responds to the first request of each connection and closes the
// connection after reading the second. It counts the requests it reads.
func droppingServer(t *testing.T) (address string, read *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	read = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for i := range 2 {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					read.Add(1)
					if i == 0 {
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), read
}

func keyedRequest(t *testing.T, address string) *http.Request {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", nil)
	require.NoError(t, err)
	r.Header.Set(verbenastand.HeaderIdempotencyKey, "key")
	return r
}

// The transport of net/http retries a request with an idempotency key and without a
// body when a reused connection fails, which could run it twice. The test shows this
// with a plain transport; the connector must not retry.
func TestKeyedRequestIsNeverSentTwice(t *testing.T) {
	address, read := droppingServer(t)
	plainTransport := &http.Transport{}
	for range 2 {
		if response, err := plainTransport.RoundTrip(keyedRequest(t, address)); err == nil {
			_ = response.Body.Close()
		}
	}
	require.EqualValues(t, 3, read.Load(), "the plain transport sends the second request twice")

	read.Store(0)
	c := NewConnector(Config{MaxConnections: 1})
	server := verbenastand.NewServer(verbenastand.ServerConfig{Address: address})
	response, err := c.RoundTrip(server, keyedRequest(t, address))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	_, err = c.RoundTrip(server, keyedRequest(t, address))
	require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
	require.ErrorIs(t, err, ErrConnectionLost)
	require.EqualValues(t, 2, read.Load())
}

func TestUnreachableServerHasNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := NewConnector(Config{MaxConnections: 1})
	_, err = c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address))
	require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
}

func TestDeadlineIsNotAClosedConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	<-ctx.Done()
	require.NotErrorIs(t, Classify(ctx, errors.New("reset")), ErrConnectionLost)
	require.ErrorIs(t, Classify(context.Background(), errors.New(strings.Repeat("x", 3))), ErrConnectionLost)
}
