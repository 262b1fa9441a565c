package carrier

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/router"
	"github.com/verbenastand/verbenastand/sender"
)

// testHeaderFormat names the header fields of the callers and servers under test.
type testHeaderFormat struct{}

func (testHeaderFormat) Names() verbenastand.HeaderNames {
	return verbenastand.HeaderNames{
		RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Signature",
		ExpectedInstance: "X-Expected", Instance: "X-Instance", NotRun: "X-Not-Run", Load: "X-Load", Limit: "X-Limit", Leaving: "X-Leaving", Warmup: "X-Warmup",
	}
}

func (testHeaderFormat) ParseLoad(field string) (verbenastand.LoadReport, bool) {
	if field == "panic" {
		panic(field)
	}
	var r verbenastand.LoadReport
	n, err := fmt.Sscanf(field, "%d,%d,%d,%g", &r.Running, &r.Waiting, &r.Slots, &r.Slowdown)
	return r, err == nil && n == 4
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// receivedRequest is a request as a server received it.
type receivedRequest struct {
	server string
	*http.Request
	body string
	at   time.Time
}

// backend is a scripted in-memory backend server.
type backend struct {
	name string
	// serve responds to a request or closes the connection.
	serve func(conn net.Conn, r *http.Request)
	// report returns the load report, by default that of a lightly loaded server.
	report func() string
	// remaining returns how long the server states that it stays cold, in milliseconds; nil if it
	// does not state it.
	remaining func() string
	down      bool
	// lost has the effect of down for a backend that several harnesses share.
	lost atomic.Bool
}

// harness runs a carrier with an acceptor, a balancer and a sender over in-memory
// connections.
type harness struct {
	t        *testing.T
	mu       sync.Mutex
	servers  map[string]*backend
	received []receivedRequest
	// checks counts the health checks of each server.
	checks      map[string]int
	disconnects int
	carrier     *Carrier
	acceptor    *acceptor.Acceptor
	balancer    *balancer.Balancer
	limiter     *limiter.Limiter
	excluder    *excluder.Excluder
	events      []Event
	panics      []string
	hostCount   int
	// callerAddress is the network address of the connections that connect opens.
	callerAddress net.Addr
	table         *verbenastand.RouteTable
	view          *verbenastand.View
	checker       *HealthChecker
	// link is the path to all servers, nil if it can't fail.
	link *link
	// open opens a connection to a server; nil for those in servers.
	open func(address string) (net.Conn, error)
}

// setView replaces the route table and the servers.
func (h *harness) setView(v *verbenastand.View) {
	h.mu.Lock()
	h.view = v
	h.mu.Unlock()
	h.balancer.Update(v)
}

// setServers replaces the servers of the service.
func (h *harness) setServers(list []verbenastand.Registration) {
	h.setView(verbenastand.NewView(verbenastand.ViewConfig{
		Table: h.table, Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"svc": list},
	}))
}

func (h *harness) currentView() *verbenastand.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// addRoute adds a second route to the same service.
func (h *harness) addRoute(c verbenastand.RouteConfig) {
	c.HostName, c.Split = "a.example", []verbenastand.WeightedService{verbenastand.NewWeightedService("svc", 1)}
	h.table = verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
		Version: h.table.Version() + 1, Routes: append(h.table.Routes(), verbenastand.NewRoute(c)),
		Services: h.table.Services(), Limits: h.table.Limits(),
	})
	h.carrier.config.Router.Update(h.table)
}

// renameRoute replaces the first route by one that differs in its name only.
func (h *harness) renameRoute(number int) {
	old := h.table.Routes()[0]
	h.table = verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
		Version: h.table.Version() + 1, Services: h.table.Services(), Limits: h.table.Limits(),
		Routes: []verbenastand.Route{verbenastand.NewRoute(verbenastand.RouteConfig{
			Name: verbenastand.RouteName(fmt.Sprint("renamed-", number)), HostName: old.HostName(), PathPrefix: old.PathPrefix(),
			RetrySafety: verbenastand.Idempotent, Timeout: old.Timeout(), Target: old.Target(), MaxAttempts: old.MaxAttempts(), Split: old.Split(),
		})},
	})
	h.carrier.config.Router.Update(h.table)
}

func (h *harness) AttemptSent(Event)    {}
func (h *harness) AttemptEnded(e Event) { h.recordEvent(e) }
func (h *harness) Delegated(e Event)    { h.recordEvent(e) }
func (h *harness) RequestEnded(e Event) {
	h.recordEvent(e)
}

// Panicked implements Observer.
func (h *harness) Panicked(id string, _ any, _ []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.panics = append(h.panics, id)
}

func (h *harness) recordEvent(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// lastFingerprint returns the fingerprint of the request of the last event.
func (h *harness) lastFingerprint() quarantiner.Fingerprint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[len(h.events)-1].Fingerprint
}

// reply responds successfully after the given time.
func reply(took time.Duration) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		time.Sleep(took)
		_, _ = io.WriteString(conn, okResponse(r, "body"))
	}
}

func okResponse(r *http.Request, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nContent-Length: %d\r\n", r.Header.Get("X-Id"), len(body))
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head + "\r\n" + body
}

func replyRaw(text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Id")))
		_ = conn.Close()
	}
}

// self is the host under test.
var self = verbenastand.NewHost(verbenastand.HostConfig{Instance: verbenastand.NewInstance("self", 1), Zone: "z"})

const target = 250 * time.Millisecond

func newHarness(t *testing.T, change func(*verbenastand.RouteConfig), servers ...*backend) *harness {
	h := &harness{t: t, servers: make(map[string]*backend), checks: make(map[string]int), hostCount: 1, callerAddress: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 40000}}
	var registrations []verbenastand.Registration
	for i, s := range servers {
		s.name = fmt.Sprintf("s%d", i)
		address := fmt.Sprintf("10.0.0.%d:80", i)
		h.servers[address] = s
		registrations = append(registrations, verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: verbenastand.ServerID(s.name), Service: "svc", Zone: "z", Address: address, Slots: 6,
		}))
	}
	c := verbenastand.RouteConfig{
		Name: "r", HostName: "a.example", PathPrefix: "/x/", RetrySafety: verbenastand.Idempotent,
		Timeout: time.Second, Target: target, MaxAttempts: 2, Split: []verbenastand.WeightedService{verbenastand.NewWeightedService("svc", 1)},
	}
	if change != nil {
		change(&c)
	}
	table := verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
		Version: 1, Routes: []verbenastand.Route{verbenastand.NewRoute(c)},
		Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{"svc": {HealthPath: "/health"}},
		Limits:   verbenastand.CallerLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 15 * time.Second},
	})
	h.table = table
	routes := router.NewRouter()
	routes.Update(table)
	s := sender.NewSender(sender.Config{HeaderFormat: testHeaderFormat{}, Dial: h.dial})
	h.excluder = excluder.NewExcluder(excluder.Config{Clock: wallClock{}})
	checker := &HealthChecker{Sender: s, Names: testHeaderFormat{}.Names(), Excluder: h.excluder, OnCheck: func(verbenastand.ServiceName, bool) {}}
	h.limiter = limiter.NewLimiter(limiter.Config{Clock: wallClock{}, Self: self.ID(), Hosts: func(verbenastand.ServerProcess) []verbenastand.Host {
		return []verbenastand.Host{self}
	}})
	h.balancer = balancer.NewBalancer(balancer.Config{Clock: wallClock{}, Zone: "z", HealthChecker: checker, Limiter: h.limiter, Excluder: h.excluder, FairQueueing: true, Regions: testRegions, BodyLimiter: balancer.OwnBodies{}})
	h.view = verbenastand.NewView(verbenastand.ViewConfig{
		Table: table, Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"svc": registrations},
	})
	h.balancer.Update(h.view)
	h.checker = checker
	h.carrier = NewCarrier(Config{
		Clock: wallClock{}, Names: testHeaderFormat{}.Names(), HeaderFormat: testHeaderFormat{}, Router: routes, Balancer: h.balancer, Sender: s,
		Quarantiner: quarantiner.NewQuarantiner(quarantiner.Config{Clock: wallClock{}}), Observer: h,
		Limiter: h.limiter, Excluder: h.excluder, HealthChecker: checker,
		Tracer: noop.NewTracerProvider().Tracer(""), OnCrashSuspected: func(quarantiner.Suspect) {}, MaxConcurrent: 1000,
		NewBudget: func(verbenastand.ServiceName) *retrier.WindowBudget {
			return retrier.NewWindowBudget(retrier.WindowBudgetConfig{
				Clock: wallClock{}, Duration: 10 * time.Second, Ratio: 0.2, Allowance: 50, Hosts: func() int { return h.hostCount },
			})
		},
	})
	h.acceptor = acceptor.NewAcceptor(acceptor.Config{Handler: h.carrier, Limits: table.Limits})
	return h
}

func (h *harness) dial(ctx context.Context, address string) (net.Conn, error) {
	if h.link == nil {
		return h.dialServer(address)
	}
	return h.link.dial(ctx, func() (net.Conn, error) { return h.dialServer(address) })
}

func (h *harness) dialServer(address string) (net.Conn, error) {
	if h.open != nil {
		return h.open(address)
	}
	s := h.servers[address]
	h.mu.Lock()
	down := s.down
	h.mu.Unlock()
	if down || s.lost.Load() {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go h.run(s, far)
	return near, nil
}

func (h *harness) run(s *backend, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			h.mu.Lock()
			h.disconnects++
			h.mu.Unlock()
			return
		}
		if r.URL.Path == "/health" {
			h.mu.Lock()
			h.checks[s.name]++
			h.mu.Unlock()
			load := "1,0,6,1"
			if s.report != nil {
				load = s.report()
			}
			fields := "X-Instance: " + s.name + "\r\nX-Load: " + load + "\r\n"
			if s.remaining != nil {
				fields += "X-Warmup: " + s.remaining() + "\r\n"
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 0\r\n\r\n")
			continue
		}
		body, _ := io.ReadAll(r.Body)
		h.mu.Lock()
		h.received = append(h.received, receivedRequest{server: s.name, Request: r, body: string(body), at: time.Now()})
		h.mu.Unlock()
		s.serve(conn, r)
	}
}

// requests returns the requests that the servers have received.
func (h *harness) requests() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]receivedRequest(nil), h.received...)
}

// listener passes a single connection to an acceptor.
type listener struct{ conns chan net.Conn }

func (l listener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l listener) Close() error   { return nil }
func (l listener) Addr() net.Addr { return &net.TCPAddr{} }

// callerConn is a connection from a caller with the given address.
type callerConn struct {
	net.Conn
	address net.Addr
}

func (c callerConn) RemoteAddr() net.Addr { return c.address }

// changeCaller gives later connections another network address.
func (h *harness) changeCaller(number int) {
	h.callerAddress = &net.TCPAddr{IP: net.IPv4(10, 1, byte(number>>8), byte(number)), Port: 40000}
}

// connect opens a connection as a caller.
func (h *harness) connect() net.Conn { return h.connectFrom(h.callerAddress) }

// connectFrom opens a connection as the caller with an address.
func (h *harness) connectFrom(address net.Addr) net.Conn {
	near, far := net.Pipe()
	l := listener{make(chan net.Conn, 1)}
	l.conns <- callerConn{far, address}
	close(l.conns)
	_ = h.acceptor.Serve(l)
	h.t.Cleanup(func() { _ = near.Close() })
	return near
}

// call sends one request and returns its response, nil if the connection is closed.
func (h *harness) call(method, path, body string, fields ...string) (*http.Response, string) {
	return h.callOn(h.connect(), method, path, body, fields...)
}

// callOn is call on an open connection.
func (h *harness) callOn(conn net.Conn, method, path, body string, fields ...string) (*http.Response, string) {
	text := method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	for _, f := range fields {
		text += f + "\r\n"
	}
	_, err := io.WriteString(conn, text+"\r\n"+body)
	require.NoError(h.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, ""
	}
	data, err := io.ReadAll(response.Body)
	require.NoError(h.t, err)
	return response, string(data)
}

// withHarness runs a test in virtual time and closes all connections after it.
func withHarness(t *testing.T, change func(*verbenastand.RouteConfig), servers []*backend, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, change, servers...)
		defer func() {
			time.Sleep(30 * time.Second)
			h.carrier.config.Sender.Close()
			h.acceptor.Close()
			synctest.Wait()
		}()
		test(h)
	})
}

// leaveToRunWithoutRaceDetector ends a statistical test under the race detector, which makes it ten times as
// long, so that the package exceeds its time. tools/test.sh runs these tests a second time without it.
func leaveToRunWithoutRaceDetector(t *testing.T) {
	if raceEnabled {
		t.Skip("tools/test.sh runs this without the race detector")
	}
}
