package sender

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

// newEarlyServer returns a server that calls a function with each request as soon as it has read
// the header.
func newEarlyServer(t *testing.T, respond func(conn *net.TCPConn, r *http.Request)) Target {
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
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return Target{Server: "s1", Address: l.Addr().String()}
}

func upload(length int64) *Request {
	r := request("r1")
	r.Method, r.Length, r.Stream = http.MethodPost, length, io.LimitReader(zeroReader{}, uploadBytes)
	return r
}

const unframedPart = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart"

// Guards against a response whose connection is reset while the request is written, and that
// passes for a complete one (issue 58): the system reports a reset once, to the write or to the read.
func TestAnEarlyResponseThatIsResetIsIncomplete(t *testing.T) {
	for _, length := range []int64{uploadBytes, -1} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			target := newEarlyServer(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, unframedPart)
				time.Sleep(10 * time.Millisecond)
				reset(conn)
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			for range 50 {
				body, err := exchange(s, target, upload(length))
				require.Error(t, err, "%q passes for the whole body", body)
				require.ErrorIs(t, err, ErrConnectionLost)
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				require.Zero(t, s.Idle())
			}
		})
	}
}

// Checks that responses that are complete before the request has been sent are still delivered.
func TestEarlyResponsesOfSoundServers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
	cases := []struct {
		name    string
		respond func(conn *net.TCPConn, r *http.Request)
	}{
		{"with a length, the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"Content-Length: 4\r\n\r\nbody")
			<-t.Context().Done()
		}},
		{"chunked, the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
			<-t.Context().Done()
		}},
		{"with a length, the rest is read", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, head+"Connection: close\r\nContent-Length: 4\r\n\r\nbody")
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"closed after the rest was read", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, head+"\r\nbody")
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"half-closed while the rest is read", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, head+"\r\nbody")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"half-closed while the rest is not read", func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, head+"\r\nbody")
			_ = conn.CloseWrite()
			<-t.Context().Done()
		}},
	}
	for _, tc := range cases {
		for _, length := range []int64{uploadBytes, -1} {
			t.Run(tc.name+strconv.FormatInt(length, 10), func(t *testing.T) {
				t.Parallel()
				target := newEarlyServer(t, tc.respond)
				s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
				for range 5 {
					body, err := exchange(s, target, upload(length))
					require.NoError(t, err)
					require.Equal(t, "body", body)
				}
			})
		}
	}
}
