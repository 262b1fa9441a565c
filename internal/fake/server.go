package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Listen calls serve for each connection to the returned address, and then closes the connection.
func Listen(t testing.TB, serve func(conn *net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// RespondOnce returns the address of a server that sends the same bytes to the first request of each
// connection.
func RespondOnce(t testing.TB, sent string) (address string) {
	return Listen(t, func(conn *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, sent)
	})
}

// InvalidFields returns invalid lines of a header. If net/http parses them, some remove the length of the body,
// or change the value of the line before.
func InvalidFields() []string {
	lines := []string{
		"Odd Name: x", "Odd-Name : x", "Odd-Name\t: x", "Content-Length : 4", " Content-Length: 4", "\tContent-Length: 4",
		" Odd-Name: x", "\tOdd-Name: x", " ", " : x", ": x",
	}
	for b := range byte(0x20) {
		if b != '\n' {
			lines = append(lines, "Odd"+string(rune(b))+"Name: x", string(rune(b))+"Odd-Name: x", "Odd-Name"+string(rune(b))+": x")
		}
	}
	return append(lines, "Odd\x7fName: x")
}

// Endless is a response that does not end: a prefix, then a filler that is repeated.
type Endless struct{ Name, Prefix, Filler string }

// MaxSent bounds what a server can send of a response whose reader gives up soon: most of it is held in
// buffers of the system.
const MaxSent = 7 << 20

// EndlessHeaders are headers without end.
var EndlessHeaders = []Endless{
	{"no HTTP", "", "\x00\xff"},
	{"a status line", "HTTP/1.1 200 ", "x"},
	{"lines", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
	{"a line", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
}

// SendUntilClosed returns the address of a server that sends without end to one request, how many bytes it has sent,
// and a channel that gets a value once the connection has been closed.
func (e Endless) SendUntilClosed(t testing.TB) (address string, sent *atomic.Int64, closed <-chan struct{}) {
	sent = &atomic.Int64{}
	ended := make(chan struct{}, 1)
	address = Listen(t, func(conn *net.TCPConn) {
		_ = conn.SetWriteBuffer(64 << 10)
		_, err := http.ReadRequest(bufio.NewReader(conn))
		for part := e.Prefix; err == nil; part = strings.Repeat(e.Filler, 100) {
			var n int
			n, err = io.WriteString(conn, part)
			sent.Add(int64(n))
		}
		ended <- struct{}{}
	})
	return address, sent, ended
}

// UploadBytes is more than the buffers of a connection hold.
const UploadBytes = 16 << 20

// Upload returns a body of UploadBytes zeros.
func Upload() io.Reader { return io.LimitReader(zeroReader{}, UploadBytes) }

type zeroReader struct{}

// Read implements io.Reader.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// EarlyResponse is a response with the body "body" that a server sends before it has read the request.
type EarlyResponse struct {
	Name string
	// Respond is called with the request, whose body has not been read.
	Respond func(conn *net.TCPConn, r *http.Request)
}

// EarlyResponses returns the early responses of sound servers, given the first lines of their header. Servers that
// don't read on keep the connection open until ended is closed.
func EarlyResponses(head string, ended <-chan struct{}) []EarlyResponse {
	send := func(conn *net.TCPConn, rest string) { _, _ = io.WriteString(conn, head+rest) }
	read := func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	return []EarlyResponse{
		{"with a length, the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			send(conn, "Content-Length: 4\r\n\r\nbody")
			<-ended
		}},
		{"chunked, the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			send(conn, "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
			<-ended
		}},
		{"with a length, the rest is read", func(conn *net.TCPConn, r *http.Request) {
			send(conn, "Connection: close\r\nContent-Length: 4\r\n\r\nbody")
			read(r)
		}},
		{"closed after the rest was read", func(conn *net.TCPConn, r *http.Request) {
			send(conn, "\r\nbody")
			read(r)
		}},
		{"half-closed while the rest is read", func(conn *net.TCPConn, r *http.Request) {
			send(conn, "\r\nbody")
			_ = conn.CloseWrite()
			read(r)
		}},
		{"half-closed while the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			send(conn, "\r\nbody")
			_ = conn.CloseWrite()
			<-ended
		}},
	}
}

// ResetEarly sends a part of a response with the given head, and resets the connection while the request is
// still written.
func ResetEarly(conn *net.TCPConn, head string, wait func()) {
	_, _ = io.WriteString(conn, head+"\r\npart")
	wait()
	_ = conn.SetLinger(0)
}
