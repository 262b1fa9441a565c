package saturator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultyServers is the number of servers of the faulty service of a host under test.
const faultyServers = 4

// faultyServer is a server whose response the last part of a path selects.
type faultyServer struct {
	id string
	// ended is closed at the end of the test.
	ended <-chan struct{}
}

// newFaultyServer returns the address of a faulty server.
func newFaultyServer(t *testing.T, id string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		_ = l.Close()
	})
	s := &faultyServer{id: id, ended: ended}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// serve responds to health checks, and to one request.
func (s *faultyServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if respond, found := faultyResponses[path.Base(r.URL.Path)]; found {
			respond(s, conn, r)
			return
		}
		_, _ = io.WriteString(conn, s.head(r)+"Content-Length: 0\r\n\r\n")
	}
}

// head returns a header without the empty line behind it.
func (s *faultyServer) head(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nVerbenastand-Request: %s\r\nInstance-Id: %s\r\nResponse-Signature: s\r\nServer-Load: 0,0,1000,100\r\n",
		r.Header.Get("Request-Id"), r.Header.Get("Verbenastand-Request"), s.id)
}

// faultyResponses are the responses of faulty servers by name.
var faultyResponses = map[string]func(s *faultyServer, conn *net.TCPConn, r *http.Request){
	"early, reset": func(s *faultyServer, conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, s.head(r)+"\r\npart")
		time.Sleep(10 * time.Millisecond)
		_ = conn.SetLinger(0)
	},
	"sound": respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"),
	"early, with a length": func(s *faultyServer, conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, s.head(r)+"Connection: close\r\nContent-Length: 4\r\n\r\nbody")
		<-s.ended
	},
	"status 000":         respondRaw("HTTP/1.1 000 X\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody"),
	"a blank in a name":  respondRaw("HTTP/1.1 200 OK\r\nOdd Name: x\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody"),
	"a blank behind one": respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nContent-Length : 4\r\n\r\nbody and more"),
	"a blank before one": respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nDate: x\r\n Content-Length: 4\r\n\r\nbody and more"),
	"a control byte":     respondRaw("HTTP/1.1 200 OK\r\nOdd\x01Name: x\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody"),
	"early, closed after the upload": func(s *faultyServer, conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, s.head(r)+"\r\nbody")
		_, _ = io.Copy(io.Discard, r.Body)
	},
}

// respondRaw returns a function that sends a text with the IDs of the request, and closes the connection.
func respondRaw(text string) func(*faultyServer, *net.TCPConn, *http.Request) {
	return func(_ *faultyServer, conn *net.TCPConn, r *http.Request) {
		ids := strings.NewReplacer("ID", r.Header.Get("Request-Id"), "KEY", r.Header.Get("Verbenastand-Request"))
		_, _ = ids.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// uploadBytes is the largest body that the hosts under test accept. It is more than the buffers of a
// connection hold.
const uploadBytes = 16 << 20

// upload sends a request with a long body to the faulty service and returns the response, nil if there
// is none, and whether its body is complete.
func (h *host) upload(name string) (response *http.Response, body string, complete bool) {
	h.t.Helper()
	conn, err := dialerFrom(ordinaryCaller).Dial("tcp", h.address)
	require.NoError(h.t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(startTime))
	_, err = fmt.Fprintf(conn, "POST /faulty/%d/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: u\r\nVerbenastand-Service: faulty\r\nContent-Length: %d\r\n\r\n",
		time.Now().UnixNano(), strings.ReplaceAll(name, " ", "%20"), uploadBytes)
	require.NoError(h.t, err)
	go func() { _, _ = conn.Write(make([]byte, uploadBytes)) }()
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", false
	}
	data, err := io.ReadAll(response.Body)
	return response, string(data), err == nil
}

// Guards against a part of a response that callers get as the whole, since its server reset the
// connection while the host sent it an upload (issue 58).
func TestEarlyResponses(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			h := kind.start(t)
			for range 25 {
				response, body, complete := h.upload("early, reset")
				if response == nil || !complete {
					continue
				}
				require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
				require.Equal(t, "mayHaveRun", response.Header.Get("Verbenastand-Verdict"))
			}
			for _, name := range []string{"early, with a length", "early, closed after the upload"} {
				for range 5 {
					response, body, complete := h.upload(name)
					require.NotNil(t, response, name)
					require.Equal(t, http.StatusOK, response.StatusCode, name)
					require.Equal(t, "body", body, name)
					require.True(t, complete, name)
				}
			}
			h.check()
		})
	}
}

// Guards against callers that get bytes as a response that are none (issue 58).
func TestInvalidResponses(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			h := kind.start(t)
			for _, name := range []string{"status 000", "a blank in a name", "a blank behind one", "a blank before one", "a control byte"} {
				response, body, _ := h.upload(name)
				require.NotNil(t, response, name)
				require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s: %s", name, body)
				require.Equal(t, "mayHaveRun", response.Header.Get("Verbenastand-Verdict"), name)
				response, body, complete := h.upload("sound")
				require.NotNil(t, response, name)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, "body", body)
				require.True(t, complete)
			}
			h.check()
		})
	}
}
