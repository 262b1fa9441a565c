package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/merger"
)

// lateSend is until when after the signal a stopping host may take what it can't complete.
const lateSend = 3 * time.Second

// sentRequest is a request that was sent to a stopping host, with its outcome.
type sentRequest struct {
	name string
	// sentAfter is the time from the signal to the end of the request.
	sentAfter time.Duration
	// endedAfter is the time from the signal to the end of the response or of the connection.
	endedAfter      time.Duration
	status          int
	verdict, reason string
	err             error
}

// stopCallers send requests to a host while it stops.
type stopCallers struct {
	k         *cluster
	host      *entry
	signalled time.Time
	workMs    int
	http2     *http.Transport
	keys      map[string]string

	mu       sync.Mutex
	requests []*sentRequest
	sending  sync.WaitGroup
}

func newStopCallers(k *cluster, host *entry, work time.Duration) *stopCallers {
	c := &stopCallers{k: k, host: host, workMs: int(work.Milliseconds()), http2: &http.Transport{Protocols: new(http.Protocols)}, keys: make(map[string]string)}
	c.http2.Protocols.SetUnencryptedHTTP2(true)
	caller := k.caller()
	homes, _ := k.homes("bookings")
	for _, h := range homes {
		c.keys[h.id] = k.newKey(caller, h, "")
	}
	return c
}

// request returns a request whose deadline is far away.
func (c *stopCallers) request(name, method, key string, workMs int) *http.Request {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/tins?id=%s&workMs=%d", c.host.call, name, workMs), nil)
	require.NoError(c.k.t, err)
	r.Header.Set(verbenastand.HeaderService, "catalogue")
	r.Header.Set(verbenastand.HeaderTimeout, "60000")
	if key != "" {
		r.Header.Set(verbenastand.HeaderService, "bookings")
		r.Header.Set(verbenastand.HeaderIdempotencyKey, c.keys[key]+name)
	}
	return r
}

func (c *stopCallers) record(s *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, s)
}

func (s *sentRequest) read(response *http.Response, err error) {
	if err == nil {
		s.status = response.StatusCode
		s.verdict, s.reason = response.Header.Get(verbenastand.HeaderVerdict), response.Header.Get(verbenastand.HeaderReason)
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	s.err = err
}

// sendHTTP2 sends a request over the HTTP/2 connection.
func (c *stopCallers) sendHTTP2(name, method, key string) {
	c.sending.Go(func() {
		s := &sentRequest{name: name, sentAfter: time.Since(c.signalled)}
		s.read(c.http2.RoundTrip(c.request(name, method, key, c.workMs)))
		s.endedAfter = time.Since(c.signalled)
		c.record(s)
	})
}

// connect opens a connection on which a first request was answered.
func (c *stopCallers) connect(name string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", c.host.call)
	require.NoError(c.k.t, err)
	c.k.t.Cleanup(func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	require.NoError(c.k.t, c.request(name, http.MethodGet, "", 1).Write(conn))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(c.k.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.k.t, err)
	return conn, reader
}

// sendOn sends requests behind each other on a connection.
func (c *stopCallers) sendOn(conn net.Conn, reader *bufio.Reader, method, key string, names ...string) {
	c.sending.Go(func() {
		var sent []*sentRequest
		for _, name := range names {
			err := c.request(name, method, key, c.workMs).Write(conn)
			sent = append(sent, &sentRequest{name: name, sentAfter: time.Since(c.signalled), err: err})
		}
		for _, s := range sent {
			s.read(http.ReadResponse(reader, nil))
			s.endedAfter = time.Since(c.signalled)
			c.record(s)
		}
	})
}

// sendFresh sends a request on a new connection, unless the host accepts no more.
func (c *stopCallers) sendFresh(name, method, key string) {
	conn, err := net.Dial("tcp", c.host.call)
	if err != nil {
		return
	}
	c.k.t.Cleanup(func() { _ = conn.Close() })
	c.sendOn(conn, bufio.NewReader(conn), method, key, name)
}

// violation describes how a request was lost, empty if it wasn't. A request that a server has
// received is answered by it, unless it was sent early and the server was still at work in the
// last sixth of the grace period. Even then it gets a response.
func (c *stopCallers) violation(s *sentRequest, grace time.Duration) string {
	ran := c.k.runsWithID(s.name) > 0
	excused := s.sentAfter <= lateSend && s.endedAfter >= grace*5/6
	own := s.verdict != verbenastand.Ran.String()
	switch {
	case !ran:
		return ""
	case s.err != nil:
		return "no response"
	case own && s.verdict == verbenastand.NotRun.String():
		return "has run and is reported as not run"
	case own && !excused:
		return "broken off"
	}
	return ""
}

// Guards against a stopping entry host that takes requests late in its drain timeout, among
// them such that must not run twice, and cuts or breaks them off at its end (issue 40).
// ENTRY_BINARY names the program of another version to test, STOP_HOSTS the number of hosts.
func TestAStoppingEntryHostLosesNoLateRequest(t *testing.T) {
	for _, grace := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			hosts, err := strconv.Atoi(os.Getenv("STOP_HOSTS"))
			if err != nil {
				hosts = 2
			}
			k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: hosts, flags: []string{
				"--drain-timeout", grace.String(), "--answer-validity", "5s",
			}})
			k.publish(merger.Ticket{Number: 2, Services: []merger.ServiceObject{
				{Name: "catalogue", Timeout: "10m", Homes: hosts}, {Name: "bookings", Timeout: "10m", Homes: hosts},
			}})
			k.waitUntil("ticket 2", func() bool {
				for _, e := range k.entries {
					if s := k.status(e); s == nil || s.TicketNumber != 2 {
						return false
					}
				}
				return true
			})
			testLateRequests(t, newStopCallers(k, k.entries[0], grace*6/10), grace)
		})
	}
}

func testLateRequests(t *testing.T, c *stopCallers, grace time.Duration) {
	const interval = 400 * time.Millisecond
	var kept []net.Conn
	var readers []*bufio.Reader
	for i := range 8 {
		conn, reader := c.connect(fmt.Sprint("kept", i))
		kept, readers = append(kept, conn), append(readers, reader)
	}
	response, err := c.http2.RoundTrip(c.request("first", http.MethodGet, "", 1))
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.host.signal(syscall.SIGTERM)
	c.signalled = time.Now()
	stopped := make(chan time.Duration, 1)
	go func() {
		<-c.host.done
		stopped <- time.Since(c.signalled)
	}()
	other := c.k.entries[1].id
	// Servers are free when the late requests arrive.
	time.Sleep(min(grace/4, lateSend*2/3))
	for i := 0; time.Since(c.signalled) < grace; i++ {
		c.sendFresh(fmt.Sprint("post", i), http.MethodPost, "")
		c.sendFresh(fmt.Sprint("get", i), http.MethodGet, "")
		c.sendFresh(fmt.Sprint("keyed", i), http.MethodPost, c.host.id)
		c.sendFresh(fmt.Sprint("forwarded", i), http.MethodPost, other)
		if i%2 == 0 && i/2 < len(kept) {
			c.sendOn(kept[i/2], readers[i/2], http.MethodGet, "", fmt.Sprint("pipelined-a", i), fmt.Sprint("pipelined-b", i), fmt.Sprint("pipelined-c", i))
		} else {
			c.sendHTTP2(fmt.Sprint("http2", i), http.MethodPost, "")
		}
		time.Sleep(interval)
	}
	c.sending.Wait()
	require.Less(t, <-stopped, grace+slowMachineMargin)
	answered, late := 0, 0
	for _, s := range c.requests {
		if v := c.violation(s, grace); v != "" {
			t.Errorf("%s, sent after %s, ended after %s: %s: %d %s %s, %v", s.name, s.sentAfter, s.endedAfter, v, s.status, s.verdict, s.reason, s.err)
		}
		if s.verdict == verbenastand.Ran.String() {
			answered++
		}
		if s.status != 0 && s.sentAfter > grace/4 {
			late++
		}
	}
	t.Logf("%d requests, %d answered by servers, %d late ones with a response", len(c.requests), answered, late)
	require.Positive(t, answered)
	require.Positive(t, late)
}

// Guards against a stopping entry host that ends before the responses to requests that another
// host has forwarded have arrived there (issue 40).
func TestAStoppingEntryHostDeliversForwardedResponses(t *testing.T) {
	t.Parallel()
	const grace, work, requests, size = 6 * time.Second, 2500 * time.Millisecond, 6, 400_000
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2, relayed: true, relayDelay: 50 * time.Millisecond, flags: []string{
		"--drain-timeout", grace.String(), "--answer-validity", "1s",
	}})
	k.publish(merger.Ticket{Number: 2, Services: []merger.ServiceObject{{Name: "catalogue", Timeout: "10m", Homes: 1}}})
	k.waitUntil("one home", func() bool { homes, _ := k.homes("catalogue"); return len(homes) == 1 })
	homes, forwarding := k.homes("catalogue")
	c := newStopCallers(k, forwarding, work)
	c.signalled = time.Now()
	var bodies [requests]int
	for i := range requests {
		c.sending.Go(func() {
			s := &sentRequest{name: fmt.Sprint("forwarded", i)}
			r := c.request(s.name, http.MethodGet, "", c.workMs)
			r.URL.RawQuery += fmt.Sprint("&size=", size)
			response, err := (&http.Transport{}).RoundTrip(r)
			if err == nil {
				var data []byte
				data, err = io.ReadAll(response.Body)
				bodies[i], s.verdict = len(data), response.Header.Get(verbenastand.HeaderVerdict)
			}
			s.err = err
			c.record(s)
		})
	}
	k.waitUntil("the requests run", func() bool { return k.runsWithID("forwarded0") > 0 })
	// No other host stays, which would get the idempotency keys first.
	forwarding.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	homes[0].signal(syscall.SIGTERM)
	c.sending.Wait()
	for _, s := range c.requests {
		require.NoError(t, s.err, s.name)
		require.Equal(t, verbenastand.Ran.String(), s.verdict, s.name)
	}
	for _, n := range bodies {
		require.Equal(t, size, n)
	}
	<-homes[0].done
}

// Guards against a stopping entry host that resets a connection on which requests are unread,
// and so discards the response before them (issue 40).
func TestAStoppingEntryHostDeliversResponsesBeforeUnreadRequests(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 1, flags: []string{
		"--drain-timeout", "6s", "--answer-validity", "3s",
	}})
	e := k.entries[0]
	connections := make([]net.Conn, 5)
	for i := range connections {
		conn, err := net.Dial("tcp", e.call)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		connections[i] = conn
	}
	e.signal(syscall.SIGTERM)
	var callers sync.WaitGroup
	for i, conn := range connections {
		callers.Go(func() {
			for j := range 3 {
				_, err := fmt.Fprintf(conn, "GET /tins?id=p%d-%d&workMs=100&size=%d HTTP/1.1\r\nHost: catalogue\r\n%s: 60000\r\n\r\n", i, j, size, verbenastand.HeaderTimeout)
				assert.NoError(t, err)
			}
			time.Sleep(200 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if !assert.NoError(t, err) {
				return
			}
			assert.Equal(t, http.StatusOK, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			assert.NoError(t, err)
			assert.Equal(t, size, len(body))
		})
	}
	callers.Wait()
}
