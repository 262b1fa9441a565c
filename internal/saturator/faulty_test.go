package saturator

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/fake"
)

const (
	// faultyServers is the number of servers of the faulty service of a host under test.
	faultyServers = 4
	// endlessTimeout is how long the clients of responses without end wait.
	endlessTimeout = 3 * time.Second
)

// faultyServer is a server whose response the last part of a path selects.
type faultyServer struct {
	id, address string
	// ended is closed at the end of the test.
	ended <-chan struct{}
	// endless is the number of connections on which it sends without end, and checksEndless is set while it
	// does so for health checks.
	endless       atomic.Int64
	checksEndless atomic.Bool
}

// newFaultyServer starts a faulty server.
func newFaultyServer(t *testing.T, id string) *faultyServer {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	s := &faultyServer{id: id, ended: ended}
	s.address = fake.Listen(t, s.serve)
	return s
}

// newFaultyServers starts the servers of the faulty service.
func (h *host) newFaultyServers() []*faultyServer {
	for i := range faultyServers {
		h.faulty = append(h.faulty, newFaultyServer(h.t, fmt.Sprintf("f-%d", i)))
	}
	return h.faulty
}

// serve responds to health checks, and to one request.
func (s *faultyServer) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		name := path.Base(r.URL.Path)
		if respond, found := faultyResponses[name]; found {
			respond(s, conn, r)
			return
		}
		if e, found := endlessResponses[name]; found {
			e.send(s, conn, r)
			return
		}
		if s.checksEndless.Load() {
			names := slices.Sorted(maps.Keys(endlessResponses))
			endlessResponses[names[rand.IntN(len(names))]].send(s, conn, r)
			return
		}
		_, _ = io.WriteString(conn, s.head(r)+"Content-Length: 0\r\n\r\n")
	}
}

// head returns a header without its empty line.
func (s *faultyServer) head(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nVerbenastand-Request: %s\r\nInstance-Id: %s\r\nResponse-Signature: s\r\nServer-Load: 0,0,1000,100\r\n",
		r.Header.Get("Request-Id"), r.Header.Get("Verbenastand-Request"), s.id)
}

// faultyResponses are the responses of faulty servers by name.
var faultyResponses = map[string]func(s *faultyServer, conn *net.TCPConn, r *http.Request){
	"early, reset": func(s *faultyServer, conn *net.TCPConn, r *http.Request) {
		fake.ResetEarly(conn, s.head(r), func() { time.Sleep(10 * time.Millisecond) })
	},
	"sound": respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"),
	"early, with a length": func(s *faultyServer, conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, s.head(r)+"Connection: close\r\nContent-Length: 4\r\n\r\nbody")
		<-s.ended
	},
	"status 000":         respondRaw("HTTP/1.1 000 X\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody"),
	"a blank in a name":  respondRaw("HTTP/1.1 200 OK\r\nOdd Name: x\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody"),
	"a blank after one":  respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nVerbenastand-Request: KEY\r\nResponse-Signature: s\r\nContent-Length : 4\r\n\r\nbody and more"),
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

// upload sends a request with a long body to the faulty service and returns the response, nil if there
// is none, and whether its body is complete.
func (h *host) upload(name string) (response *http.Response, body string, complete bool) {
	h.t.Helper()
	conn, err := dialerFrom(ordinaryCaller).Dial("tcp", h.address)
	require.NoError(h.t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(startTime))
	_, err = fmt.Fprintf(conn, "POST /faulty/%d/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: u\r\nVerbenastand-Service: faulty\r\nContent-Length: %d\r\n\r\n",
		time.Now().UnixNano(), strings.ReplaceAll(name, " ", "%20"), fake.UploadBytes)
	require.NoError(h.t, err)
	go func() { _, _ = conn.Write(make([]byte, fake.UploadBytes)) }()
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
				require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s %v", body, response.Header)
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

// Guards against invalid responses that are delivered (issue 58).
func TestInvalidResponses(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			h := kind.start(t)
			for _, name := range []string{"status 000", "a blank in a name", "a blank after one", "a blank before one", "a control byte"} {
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

// endlessResponse is a response that does not end: a prefix, then a filler that is repeated.
type endlessResponse struct{ prefix, filler string }

// endlessResponses are by name; HEAD in a prefix is replaced by a header without its empty line.
var endlessResponses = map[string]endlessResponse{
	"no HTTP":                 {"", "\x00\xff"},
	"a status line":           {"HTTP/1.1 200 ", "x"},
	"lines of a header":       {"HEAD", "a:\r\n"},
	"names":                   {"HEAD", "X-%d: x\r\n"},
	"a line of a header":      {"HEADX-Fill: ", "x"},
	"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	"a body without a length": {"HEAD\r\n", "x"},
	"a body with a length":    {"HEADContent-Length: 1000000000000\r\n\r\n", "x"},
	"a chunked body":          {"HEADTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	"tiny chunks":             {"HEADTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"a chunk extension":       {"HEADTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":                {"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-%d: x\r\n"},
	"a failure":               {"HTTP/1.1 500 X\r\nRequest-Id: u\r\n\r\n", "x"},
	"a refusal":               {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nVerbenastand-Verdict: notRun\r\n\r\n", "x"},
	"responses to others":     {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nVerbenastand-Request: other\r\nContent-Length: 1\r\n\r\nx"},
	"after a whole response":  {"HEADContent-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	"after an early response": {"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "x"},
}

// send sends until the connection is closed.
func (e endlessResponse) send(s *faultyServer, conn net.Conn, r *http.Request) {
	s.endless.Add(1)
	defer s.endless.Add(-1)
	_, err := io.WriteString(conn, strings.ReplaceAll(e.prefix, "HEAD", s.head(r)))
	for i := 0; err == nil; i++ {
		part := e.filler
		if strings.Contains(part, "%d") {
			part = fmt.Sprintf(part, i)
		}
		_, err = io.WriteString(conn, strings.Repeat(part, max(1, 4<<10/len(part))))
	}
}

// faultySource is a store or a platform that may send without end.
type faultySource struct {
	// endless is the name of the response to each request; if empty or nil, responses are sound. responses counts
	// those without end.
	endless   atomic.Pointer[string]
	responses atomic.Int64
	server    *httptest.Server
}

// start serves h until it sends without end.
func (s *faultySource) start(t *testing.T, h http.Handler) {
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := s.endless.Load()
		if name == nil || *name == "" {
			h.ServeHTTP(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		s.responses.Add(1)
		endlessResponses[*name].send(&faultyServer{}, conn, r)
	}))
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
}

// request sends a request to the faulty service and reads the response for as long as it lasts.
func (h *host) request(name string) {
	conn, err := dialerFrom("127.0.0.2").Dial("tcp", h.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /faulty/%d/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: u\r\nRequest-Deadline: %d\r\n"+
		"Verbenastand-Service: faulty\r\nVerbenastand-Timeout: %[3]d\r\nConnection: close\r\n\r\n",
		time.Now().UnixNano(), strings.ReplaceAll(name, " ", "%20"), endlessTimeout.Milliseconds())
	if err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Guards against hosts that run out of memory for servers that send without end, responses that never
// end, and other callers that get no response meanwhile (issue 58).
func TestServersThatSendWithoutEnd(t *testing.T) {
	const clients = 24
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			h := kind.start(t)
			names := slices.Sorted(maps.Keys(endlessResponses))
			var requests sync.WaitGroup
			ended := time.Now().Add(sendTime)
			for i := range clients {
				requests.Go(func() {
					for next := i; time.Now().Before(ended); next++ {
						h.request(names[next%len(names)])
					}
				})
			}
			served := 0
			for ; time.Now().Before(ended); served++ {
				if served > 0 && served%50 == 0 {
					for _, s := range h.faulty {
						s.checksEndless.Store(served%100 == 0)
					}
				}
				h.requireOne("/read/during")
				h.countDescriptors()
			}
			requests.Wait()
			t.Logf("%d requests of others were served", served)
			require.Eventually(t, func() bool {
				open := int64(0)
				for _, s := range h.faulty {
					open += s.endless.Load()
				}
				return open == 0
			}, 2*endlessTimeout, 50*time.Millisecond, "connections on which servers send without end are open")
			h.requireOne("/read/after")
			h.check()
		})
	}
}

// Guards against hosts that run out of memory for a store or a platform that sends without end, and other
// callers that get no response meanwhile.
func TestSourcesThatSendWithoutEnd(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			h := kind.start(t)
			for _, name := range []string{"a body with a length", "a body without a length", "a chunked body", "lines of a header", "names", "trailers"} {
				h.source.endless.Store(&name)
				h.source.server.CloseClientConnections()
				for ended := time.Now().Add(startTime); h.source.responses.Load() < 2 && time.Now().Before(ended); {
					h.requireOne("/read/during")
					h.countDescriptors()
				}
				t.Logf("%s: %d responses, at most %d MB", name, h.source.responses.Load(), h.peakMemory()>>20)
				require.Positive(t, h.source.responses.Swap(0))
			}
			h.source.endless.Store(nil)
			h.requireOne("/read/after")
			h.check()
		})
	}
}
