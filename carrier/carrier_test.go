package carrier

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
)

const delay = 80 * time.Millisecond

func atMostOnce(c *verbenastand.RouteConfig) { c.RetrySafety = verbenastand.AtMostOnce }

func TestARequestReachesTheServerUnchanged(t *testing.T) {
	withHarness(t, atMostOnce, []*backend{{serve: reply(delay)}}, func(h *harness) {
		response, body := h.call("POST", "/x/a%2Fb?q=1;2", "the body",
			"X-Deadline: 800", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 2", "Keep-Alive: 5", "X-Expected: forged")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "body", body)
		require.Equal(t, "signed", response.Header.Get("X-Signature"))
		received := h.requests()
		require.Len(t, received, 1)
		require.Equal(t, "POST", received[0].Method)
		require.Equal(t, "/x/a%2Fb?q=1;2", received[0].RequestURI)
		require.Equal(t, "a.example", received[0].Host)
		require.Equal(t, "the body", received[0].body)
		require.Equal(t, "id1", received[0].Header.Get("X-Id"))
		require.Equal(t, "s0", received[0].Header.Get("X-Expected"))
		require.Equal(t, "2", received[0].Header.Get("X-Kept"))
		require.Empty(t, received[0].Header.Get("X-Hop"))
		require.Empty(t, received[0].Header.Get("Keep-Alive"))
		require.Equal(t, "800", received[0].Header.Get("X-Deadline"))
	})
}

// TestServerFailures checks what the caller receives and how often the request is
// sent, for requests that are safe to retry and for at-most-once requests.
func TestServerFailures(t *testing.T) {
	cases := []struct {
		name  string
		serve func(net.Conn, *http.Request)
		// idempotentAttempts and atMostOnceAttempts are how many servers receive the
		// request.
		idempotentAttempts, atMostOnceAttempts int
		// atMostOnceStatus is the status for at-most-once requests.
		atMostOnceStatus int
	}{
		{"the connection is closed", replyRaw(""), 2, 1, http.StatusBadGateway},
		{"not HTTP", replyRaw("rubbish\r\n\r\n"), 2, 1, http.StatusBadGateway},
		{"truncated", replyRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"truncated in a chunk", replyRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc"), 2, 1, http.StatusBadGateway},
		{"truncated between chunks", replyRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), 2, 1, http.StatusBadGateway},
		{"truncated failure in a chunk", replyRaw("HTTP/1.1 500 X\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc"), 2, 1, http.StatusBadGateway},
		{"response to another request", replyRaw("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"without a signature", replyRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 3\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"in an encoding that was not requested", replyRaw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"an error after the request ran", replyRaw("HTTP/1.1 500 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"), 2, 1, http.StatusInternalServerError},
		{"a status that implies not run, without the not-run field", replyRaw("HTTP/1.1 503 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"), 2, 1, http.StatusBadGateway},
		{"too many requests, without the not-run field", replyRaw("HTTP/1.1 429 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"), 2, 1, http.StatusBadGateway},
		{"a time-out, without the not-run field", replyRaw("HTTP/1.1 408 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"), 2, 1, http.StatusBadGateway},
		{"refused as not run", replyRaw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 2, 2, http.StatusOK},
		{"another process at the address", replyRaw("HTTP/1.1 421 X\r\nX-Instance: other\r\nContent-Length: 0\r\n\r\n"), 2, 2, http.StatusOK},
		{"a client error", replyRaw("HTTP/1.1 404 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"), 1, 1, http.StatusNotFound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, change := range []func(*verbenastand.RouteConfig){nil, atMostOnce} {
				var first atomic.Bool
				serve := func(conn net.Conn, r *http.Request) {
					if first.CompareAndSwap(false, true) {
						tc.serve(conn, r)
						return
					}
					reply(delay)(conn, r)
				}
				withHarness(t, change, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
					response, _ := h.call("GET", "/x/1", "")
					require.NotNil(t, response)
					want, status := tc.idempotentAttempts, http.StatusOK
					if change != nil {
						want, status = tc.atMostOnceAttempts, tc.atMostOnceStatus
					} else if tc.idempotentAttempts == 1 {
						status = tc.atMostOnceStatus
					}
					require.Equal(t, status, response.StatusCode)
					require.Len(t, h.requests(), want)
					if status == http.StatusBadGateway {
						require.Empty(t, response.Header.Get("X-Signature"))
						require.Equal(t, "mayHaveRun", response.Header.Get(verbenastand.HeaderVerdict))
					}
				})
			}
		})
	}
}

func TestMaxAttemptsIsRespected(t *testing.T) {
	bad := func() *backend { return &backend{serve: replyRaw("")} }
	for attempts := 1; attempts <= 3; attempts++ {
		change := func(c *verbenastand.RouteConfig) { c.MaxAttempts = attempts }
		withHarness(t, change, []*backend{bad(), bad(), bad(), bad(), bad()}, func(h *harness) {
			response, _ := h.call("GET", "/x/1", "")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Len(t, h.requests(), attempts)
		})
	}
}

func TestARetryCarriesTheRemainingTime(t *testing.T) {
	slow := func(conn net.Conn, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		_ = conn.Close()
	}
	withHarness(t, func(c *verbenastand.RouteConfig) { c.Target = time.Second }, []*backend{{serve: slow}, {serve: slow}}, func(h *harness) {
		_, _ = h.call("GET", "/x/1", "", "X-Deadline: 900")
		received := h.requests()
		require.Len(t, received, 2)
		for _, r := range received {
			remaining, err := strconv.Atoi(r.Header.Get("X-Deadline"))
			require.NoError(t, err)
			passed := r.at.Sub(received[0].at).Milliseconds()
			require.InDelta(t, 900-passed, remaining, 5)
		}
	})
}

// TestRouteTimeout guards against late timeouts: at the time limit of its route a
// request gets a response at once, not half a second later. The servers receive the
// limit in their deadline field.
func TestRouteTimeout(t *testing.T) {
	for _, change := range []func(*verbenastand.RouteConfig){nil, atMostOnce} {
		never := func(net.Conn, *http.Request) { time.Sleep(20 * time.Second) }
		withHarness(t, change, []*backend{{serve: never}, {serve: never}}, func(h *harness) {
			began := time.Now()
			response, _ := h.call("GET", "/x/1", "", "X-Deadline: 5000")
			require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
			require.Less(t, time.Since(began), time.Second+250*time.Millisecond)
			require.GreaterOrEqual(t, time.Since(began), time.Second)
			require.Equal(t, "1000", h.requests()[0].Header.Get("X-Deadline"))
		})
	}
}

func TestALateResponseIsDelivered(t *testing.T) {
	late := reply(900 * time.Millisecond)
	withHarness(t, atMostOnce, []*backend{{serve: late}}, func(h *harness) {
		response, _ := h.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}

func TestACallerDisconnects(t *testing.T) {
	cases := []struct {
		name   string
		change func(*verbenastand.RouteConfig)
		// stopped is set if the server's work should end when the caller
		// disconnects.
		stopped bool
	}{
		{"an idempotent request is cancelled", nil, true},
		{"an at-most-once request completes", atMostOnce, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var finished atomic.Bool
			serve := func(conn net.Conn, r *http.Request) {
				done := make(chan struct{})
				go func() {
					_, _ = conn.Read(make([]byte, 1))
					close(done)
				}()
				select {
				case <-done:
				case <-time.After(500 * time.Millisecond):
					finished.Store(true)
					_, _ = io.WriteString(conn, okResponse(r, ""))
				}
			}
			withHarness(t, tc.change, []*backend{{serve: serve}}, func(h *harness) {
				conn := h.connect()
				_, _ = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\n\r\n")
				time.Sleep(100 * time.Millisecond)
				_ = conn.Close()
				time.Sleep(time.Second)
				require.Len(t, h.requests(), 1)
				require.Equal(t, tc.stopped, !finished.Load())
			})
		})
	}
}

// TestFullServersGetNoRequests: full servers never respond to requests that they
// can't queue. They must receive none. A caller is told, while it still waits, that its
// request has not run, or is served if a server becomes free while it has the time.
func TestFullServersGetNoRequests(t *testing.T) {
	for _, fullFor := range []time.Duration{500 * time.Millisecond, time.Hour} {
		for _, change := range []func(*verbenastand.RouteConfig){nil, atMostOnce} {
			var began time.Time
			full := func() *backend {
				return &backend{serve: reply(delay), report: func() string {
					if time.Since(began) < fullFor {
						return "6,5,6,1"
					}
					return "0,0,6,1"
				}}
			}
			withHarness(t, change, []*backend{full(), full(), full()}, func(h *harness) {
				began = time.Now()
				response, _ := h.call("GET", "/x/1", "")
				if fullFor < time.Second {
					require.Equal(t, http.StatusOK, response.StatusCode)
					require.Less(t, time.Since(began), fullFor+2*delay)
					require.GreaterOrEqual(t, h.requests()[0].at.Sub(began), fullFor)
					return
				}
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, "notRun", response.Header.Get(verbenastand.HeaderVerdict))
				seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, seconds, 0.0)
				require.Less(t, time.Since(began)+time.Duration(seconds*float64(time.Second)), time.Second)
				require.Empty(t, h.requests())
			})
		}
	}
}

func TestRequestsThatCannotBeServedAreRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name, path string
		fields     []string
		servers    []*backend
		status     int
	}{
		{"no route", "/y/1", nil, []*backend{{serve: reply(delay)}}, http.StatusNotFound},
		{"no server", "/x/1", nil, nil, http.StatusServiceUnavailable},
		{"all servers down", "/x/1", nil, []*backend{{down: true}, {down: true}}, http.StatusServiceUnavailable},
		{"a malformed deadline", "/x/1", []string{"X-Deadline: soon"}, []*backend{{serve: reply(delay)}}, http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, nil, tc.servers, func(h *harness) {
				began := time.Now()
				response, _ := h.call("GET", tc.path, "", tc.fields...)
				require.Equal(t, tc.status, response.StatusCode)
				require.Less(t, time.Since(began), target/8)
				require.Equal(t, tc.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
				require.Equal(t, "notRun", response.Header.Get(verbenastand.HeaderVerdict))
			})
		})
	}
}

// TestARefusalRecordsTheCallersDeadline: without the deadline the logs do not
// explain why a request was refused while servers were free.
func TestARefusalRecordsTheCallersDeadline(t *testing.T) {
	withHarness(t, nil, []*backend{{serve: reply(delay)}}, func(h *harness) {
		h.call("GET", "/x/1", "", "X-Deadline: 20")
		synctest.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		e := h.events[len(h.events)-1]
		require.True(t, e.Refused)
		require.Equal(t, verbenastand.NotRun, e.Verdict)
		require.Equal(t, 20*time.Millisecond, e.Deadline)
		require.Greater(t, e.Estimate, e.Deadline)
	})
}

// TestAHedgeReplacesAStalledAttempt: a request whose server has stalled is sent to
// another one within the retry budget and in time, and the stalled attempt is
// cancelled.
func TestAHedgeReplacesAStalledAttempt(t *testing.T) {
	var first atomic.Bool
	serve := func(conn net.Conn, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			_, _ = conn.Read(make([]byte, 1))
			return
		}
		reply(delay)(conn, r)
	}
	withHarness(t, nil, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
		for range 10 {
			// Adds to the retry budget.
			h.carrier.Budget("svc").RecordRequest()
		}
		began := time.Now()
		response, _ := h.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Less(t, time.Since(began), target)
		require.Len(t, h.requests(), 2)
	})
}

// TestAHedgeIsTriedUntilAServerIsAvailable: a server stalls in the middle of its
// response while all others run slowly because of other tenants. The hedge is sent
// once one of them has recovered.
func TestAHedgeIsTriedUntilAServerIsAvailable(t *testing.T) {
	var first atomic.Bool
	var noisyUntil atomic.Int64
	report := func() string {
		if time.Now().UnixNano() < noisyUntil.Load() {
			return "1,0,6,50"
		}
		return "1,0,6,1"
	}
	serve := func(conn net.Conn, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			noisyUntil.Store(time.Now().Add(400 * time.Millisecond).UnixNano())
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Signature: s\r\nContent-Length: 900\r\n\r\npart")
			_, _ = conn.Read(make([]byte, 1))
			return
		}
		reply(delay)(conn, r)
	}
	withHarness(t, nil, []*backend{{serve: serve, report: report}, {serve: serve, report: report}}, func(h *harness) {
		response, body := h.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "body", body)
	})
}

func TestNoRetriesWithoutBudget(t *testing.T) {
	withHarness(t, nil, []*backend{{serve: replyRaw("")}, {serve: replyRaw("")}}, func(h *harness) {
		h.hostCount = 0
		response, _ := h.call("GET", "/x/1", "")
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Len(t, h.requests(), 1)
	})
}

// TestARequestThatCrashesServers checks that a request is refused once it has
// crashed two servers. Other requests are served, and closed connections of running
// servers raise no suspicion.
func TestARequestThatCrashesServers(t *testing.T) {
	var h *harness
	var servers []*backend
	for range 6 {
		s := &backend{}
		s.serve = func(conn net.Conn, r *http.Request) {
			if strings.Contains(r.URL.Path, "crash") {
				h.mu.Lock()
				s.down = true
				h.mu.Unlock()
				_ = conn.Close()
				return
			}
			if strings.Contains(r.URL.Path, "lost") {
				_ = conn.Close()
				return
			}
			reply(delay)(conn, r)
		}
		servers = append(servers, s)
	}
	withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 1 }, servers, func(harness *harness) {
		h = harness
		for range 8 {
			_, _ = h.call("GET", "/x/crash", "")
			_, _ = h.call("GET", "/x/lost", "")
			time.Sleep(3 * time.Second)
		}
		crashed, lost := 0, 0
		for _, r := range h.requests() {
			if strings.Contains(r.URL.Path, "crash") {
				crashed++
			} else {
				lost++
			}
		}
		require.Equal(t, 2, crashed)
		require.Equal(t, 8, lost)
		response, _ := h.call("GET", "/x/other", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}

func TestPipelinedRequestsGetTheirOwnResponses(t *testing.T) {
	serve := func(conn net.Conn, r *http.Request) {
		time.Sleep(time.Duration(len(r.URL.Path)) * 10 * time.Millisecond)
		_, _ = io.WriteString(conn, okResponse(r, r.URL.Path))
	}
	withHarness(t, nil, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
		conn := h.connect()
		var sent strings.Builder
		paths := []string{"/x/long-long", "/x/a", "/x/middle", "/x/b"}
		for i, p := range paths {
			fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: id%d\r\n\r\n", p, i)
		}
		go func() { _, _ = io.WriteString(conn, sent.String()) }()
		data := make([]byte, 1<<14)
		var responses string
		for strings.Count(responses, "HTTP/1.1 200") < len(paths) {
			n, err := conn.Read(data)
			require.NoError(t, err)
			responses += string(data[:n])
		}
		synctest.Wait()
		last := -1
		for i, p := range paths {
			at := strings.Index(responses, fmt.Sprintf("X-Id: id%d\r\n", i))
			require.Greater(t, at, last)
			require.Greater(t, strings.Index(responses, "\r\n\r\n"+p), at)
			last = at
		}
	})
}

// TestStopRespondsToPendingRequests guards against a planned stop that closes
// connections without a response, or that reports a request as not run although a
// server has received it.
func TestStopRespondsToPendingRequests(t *testing.T) {
	hanging := func() *backend { return &backend{serve: reply(20 * time.Second)} }
	full := func() *backend {
		return &backend{serve: reply(delay), report: func() string { return "6,4,6,1" }}
	}
	long := func(safety verbenastand.RetrySafety) func(*verbenastand.RouteConfig) {
		return func(c *verbenastand.RouteConfig) {
			c.RetrySafety, c.Timeout, c.Target, c.MaxAttempts = safety, 30*time.Second, 25*time.Second, 1
		}
	}
	cases := []struct {
		name    string
		server  *backend
		safety  verbenastand.RetrySafety
		status  int
		verdict verbenastand.Verdict
	}{
		{"an idempotent request at a server", hanging(), verbenastand.Idempotent, http.StatusGatewayTimeout, verbenastand.MayHaveRun},
		{"an at-most-once request at a server", hanging(), verbenastand.AtMostOnce, http.StatusGatewayTimeout, verbenastand.MayHaveRun},
		{"an idempotent request that waits for a server", full(), verbenastand.Idempotent, http.StatusServiceUnavailable, verbenastand.NotRun},
		{"an at-most-once request that waits for a server", full(), verbenastand.AtMostOnce, http.StatusServiceUnavailable, verbenastand.NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, long(tc.safety), []*backend{tc.server}, func(h *harness) {
				time.AfterFunc(time.Second, h.carrier.Stop)
				began := time.Now()
				response, _ := h.call("POST", "/x/1", "")
				require.NotNil(t, response)
				require.Equal(t, time.Second, time.Since(began))
				require.Equal(t, tc.status, response.StatusCode)
				require.Equal(t, tc.verdict.String(), response.Header.Get(verbenastand.HeaderVerdict))
				require.Equal(t, tc.verdict == verbenastand.NotRun, response.Header.Get("Retry-After") != "")
				if tc.verdict == verbenastand.NotRun {
					require.Empty(t, h.requests())
				}
				response, _ = h.call("POST", "/x/2", "")
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "a request after the stop")
			})
		})
	}
}

// Guards against a stopping host that takes requests which it then breaks off: what may not be
// complete before the stop is refused at once, so that its caller moves in time. While the
// host has most of its time left, that is what no server is expected to complete; later also what its
// own time limit may end too late.
func TestAStoppingHostRefusesWhatItCannotComplete(t *testing.T) {
	cases := []struct {
		name string
		// left is the time until the stop, limit the time limit of the request.
		left, limit time.Duration
		// open is set if the request arrives while the host has most of its time left.
		open   bool
		status int
	}{
		{"time enough", 10 * delay, 9 * delay, false, http.StatusOK},
		{"a longer time limit", 10 * delay, 11 * delay, false, http.StatusServiceUnavailable},
		{"a longer time limit, while the host has time", 10 * delay, 11 * delay, true, http.StatusOK},
		{"less time than a server takes", delay / 2, 9 * delay, false, http.StatusServiceUnavailable},
		{"less time than a server takes, while the host has time", delay / 2, 9 * delay, true, http.StatusServiceUnavailable},
	}
	for _, safety := range []verbenastand.RetrySafety{verbenastand.Idempotent, verbenastand.AtMostOnce} {
		for _, tc := range cases {
			t.Run(safety.String()+" "+tc.name, func(t *testing.T) {
				withHarness(t, func(c *verbenastand.RouteConfig) { c.RetrySafety, c.Timeout = safety, time.Minute }, []*backend{{serve: reply(delay)}}, func(h *harness) {
					for range 20 {
						h.call("POST", "/x/1", "")
					}
					sent := len(h.requests())
					openUntil := time.Now()
					if tc.open {
						openUntil = openUntil.Add(time.Millisecond)
					}
					h.carrier.StopAt(openUntil, time.Now().Add(tc.left))
					began := time.Now()
					response, _ := h.call("POST", "/x/1", "", fmt.Sprintf("X-Deadline: %d", tc.limit.Milliseconds()))
					require.Equal(t, tc.status, response.StatusCode)
					if tc.status == http.StatusOK {
						return
					}
					require.Less(t, time.Since(began), delay/2)
					require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
					require.Equal(t, verbenastand.ReasonDraining.String(), response.Header.Get(verbenastand.HeaderReason))
					require.NotEmpty(t, response.Header.Get("Retry-After"))
					require.Len(t, h.requests(), sent)
				})
			})
		}
	}
}

// Guards against an upload that is still arriving when the intake ends: it gets a refusal
// that lets its caller send it elsewhere, and never reaches a server.
func TestALateUploadIsRefused(t *testing.T) {
	withHarness(t, atMostOnce, []*backend{{serve: reply(delay)}}, func(h *harness) {
		conn := h.connect()
		_, err := io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\nContent-Length: 10\r\n\r\nhalf")
		require.NoError(t, err)
		synctest.Wait()
		h.acceptor.Drain()
		h.acceptor.StopReading()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.True(t, response.Close)
		require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
		require.Equal(t, "id1", response.Header.Get("X-Id"))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Empty(t, h.requests())
	})
}

// Guards against a second, late copy of a refusal without a request ID that is taken for the
// answer to the next request of its connection (review/1): the request would run again
// elsewhere, or be reported as not run.
func TestALateCopyOfARefusalIsNoAnswer(t *testing.T) {
	for _, copies := range []int{1, 2} {
		var mu sync.Mutex
		runs := make(map[string]int)
		serve := func() func(net.Conn, *http.Request) {
			refused := make(map[net.Conn]int)
			served := 0
			return func(conn net.Conn, r *http.Request) {
				const refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
				mu.Lock()
				served++
				pending := refused[conn]
				refuses := served%3 == 1 && pending == 0
				refused[conn] = 0
				if refuses {
					refused[conn] = copies
				} else {
					runs[r.URL.Path]++
				}
				mu.Unlock()
				if refuses {
					_, _ = io.WriteString(conn, refusal)
					return
				}
				_, _ = io.WriteString(conn, strings.Repeat(refusal, pending)+okResponse(r, "own "+r.URL.Path))
			}
		}
		withHarness(t, atMostOnce, []*backend{{serve: serve()}, {serve: serve()}}, func(h *harness) {
			for i := range 60 {
				path := fmt.Sprint("/x/", i)
				response, body := h.call("POST", path, "")
				require.NotNil(t, response)
				mu.Lock()
				ran := runs[path]
				mu.Unlock()
				require.LessOrEqual(t, ran, 1, "request %d ran twice", i)
				switch response.StatusCode {
				case http.StatusOK:
					require.Equal(t, "own "+path, body)
				case http.StatusServiceUnavailable:
					require.Zero(t, ran, "request %d was refused as not run", i)
				}
			}
		})
	}
}

// sendUntilClosed sends the prefix and then bytes without end until the connection is
// closed.
func sendUntilClosed(prefix string) func(net.Conn, *http.Request) {
	filler := make([]byte, 32<<10)
	return func(conn net.Conn, r *http.Request) {
		_, err := io.WriteString(conn, strings.ReplaceAll(prefix, "ID", r.Header.Get("X-Id")))
		for err == nil {
			_, err = conn.Write(filler)
		}
	}
}

const (
	endlessSuccess = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\n"
	hugeSuccess    = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 1000000000\r\n\r\n"
	endlessFailure = "HTTP/1.1 500 X\r\nX-Id: ID\r\nX-Signature: s\r\n\r\n"
	endlessRefusal = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n\r\n"
)

// TestResponsesWithoutEndUseLittleMemory: fifty responses without end arrive at once
// on a host of 184 MB, and their callers are slow.
func TestResponsesWithoutEndUseLittleMemory(t *testing.T) {
	const calls, bound = 50, 32 << 20
	cases := []struct{ name, prefix string }{
		{"success without a length", endlessSuccess},
		{"success with a large length", hugeSuccess},
		{"failure", endlessFailure},
		{"refusal", endlessRefusal},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			long := func(c *verbenastand.RouteConfig) { c.Timeout, c.Target = time.Minute, time.Minute }
			withHarness(t, long, []*backend{{serve: sendUntilClosed(tc.prefix)}}, func(h *harness) {
				heap := func() int64 {
					var m runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&m)
					return int64(m.HeapAlloc)
				}
				before := heap()
				for i := range calls {
					conn := h.connect()
					_, err := fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: %d\r\n\r\n", i)
					require.NoError(t, err)
					defer func() { _ = conn.Close() }()
				}
				synctest.Wait()
				require.LessOrEqual(t, heap()-before, int64(bound))
			})
		})
	}
}

// TestAFailureWithoutEnd: the connection of a failure or refusal that does not end is
// closed, the request gets a true verdict, and memory is returned.
func TestAFailureWithoutEnd(t *testing.T) {
	cases := []struct {
		name, prefix string
		safety       verbenastand.RetrySafety
		status       int
		verdict      string
	}{
		{"failure, idempotent", endlessFailure, verbenastand.Idempotent, http.StatusOK, ""},
		{"failure, at most once", endlessFailure, verbenastand.AtMostOnce, http.StatusBadGateway, "mayHaveRun"},
		{"refusal, idempotent", endlessRefusal, verbenastand.Idempotent, http.StatusOK, ""},
		{"refusal, at most once", endlessRefusal, verbenastand.AtMostOnce, http.StatusOK, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var closed atomic.Int32
			var first atomic.Bool
			serve := func(conn net.Conn, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					sendUntilClosed(tc.prefix)(conn, r)
					closed.Add(1)
					return
				}
				reply(delay)(conn, r)
			}
			change := func(c *verbenastand.RouteConfig) { c.RetrySafety = tc.safety }
			withHarness(t, change, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
				response, _ := h.call("POST", "/x/1", "")
				require.Equal(t, tc.status, response.StatusCode)
				require.Equal(t, tc.verdict, response.Header.Get(verbenastand.HeaderVerdict))
				synctest.Wait()
				require.EqualValues(t, 1, closed.Load())
				require.Equal(t, balancer.Failed, h.events[0].Result, "the server is distrusted")
				require.EqualValues(t, maxResponseMemory, h.carrier.responseMemory.Left())
			})
		})
	}
}

// TestACallerThatLeavesDuringAResponseEndsIt: a server must not go on with a response
// that nobody reads.
func TestACallerThatLeavesDuringAResponseEndsIt(t *testing.T) {
	for _, safety := range []verbenastand.RetrySafety{verbenastand.Bulk, verbenastand.AtMostOnce} {
		t.Run(safety.String(), func(t *testing.T) {
			var closed atomic.Bool
			serve := func(conn net.Conn, r *http.Request) {
				sendUntilClosed(hugeSuccess)(conn, r)
				closed.Store(true)
			}
			long := func(c *verbenastand.RouteConfig) { c.RetrySafety, c.Timeout = safety, time.Hour }
			withHarness(t, long, []*backend{{serve: serve}}, func(h *harness) {
				conn := h.connect()
				_, err := io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n")
				require.NoError(t, err)
				_, err = io.ReadFull(conn, make([]byte, 100<<10))
				require.NoError(t, err)
				require.NoError(t, conn.Close())
				synctest.Wait()
				require.True(t, closed.Load())
				require.EqualValues(t, maxResponseMemory, h.carrier.responseMemory.Left())
				require.Zero(t, h.carrier.InFlight())
			})
		})
	}
}

// TestUploads: a body that is too large to be kept is sent to another server only if
// no server has received any of it.
func TestUploads(t *testing.T) {
	const size = 700_000
	refuse := func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	report := func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: 1,0,6,1"))
	}
	cases := []struct {
		name     string
		first    func(net.Conn, *http.Request)
		down     bool
		status   int
		verdict  string
		received int
	}{
		{"accepted", reply(delay), false, http.StatusOK, "", 1},
		{"the server is unreachable", report, true, http.StatusOK, "", 2},
		{"the server refuses it", refuse, false, http.StatusServiceUnavailable, "notRun", 1},
		{"the server closes the connection", replyRaw(""), false, http.StatusBadGateway, "mayHaveRun", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, atMostOnce, []*backend{{serve: tc.first}, {serve: reply(delay)}}, func(h *harness) {
				// The second server is chosen only if there is no other.
				h.balancer.Service("svc").Servers()[1].MarkUnreachable()
				if tc.down {
					// The first one is chosen without a check, since its report is recent.
					h.call("GET", "/x/0", "")
					h.carrier.config.Sender.CloseIdle()
					h.mu.Lock()
					h.servers["10.0.0.0:80"].down = true
					h.mu.Unlock()
				}
				response, _ := h.call("POST", "/x/1", strings.Repeat("x", size))
				require.NotNil(t, response)
				require.Equal(t, tc.status, response.StatusCode)
				require.Equal(t, tc.verdict, response.Header.Get(verbenastand.HeaderVerdict))
				received := h.requests()
				require.Len(t, received, tc.received)
				require.Len(t, received[tc.received-1].body, size)
			})
		})
	}
}

func TestRequestTimeout(t *testing.T) {
	cases := []struct {
		name, path, field string
		want              time.Duration
	}{
		{"of the route", "/x", "", 2 * time.Second},
		{"of the caller", "/x", "500", 500 * time.Millisecond},
		{"of the route, lower than that of the caller", "/x", "60000", 2 * time.Second},
		{"malformed", "/x", "-1", 0},
		{"no route", "/none", "500", 0},
	}
	withHarness(t, nil, nil, func(h *harness) {
		h.addRoute(verbenastand.RouteConfig{Name: "x", PathPrefix: "/x", Timeout: 2 * time.Second})
		for _, tc := range cases {
			r, err := http.NewRequest(http.MethodPost, "http://a.example"+tc.path, nil)
			require.NoError(h.t, err)
			r.Header.Set("X-Deadline", tc.field)
			require.Equal(h.t, tc.want, h.carrier.RequestTimeout(r), tc.name)
		}
	})
}

// Guards against a route whose number of attempts ends the process at its first request.
func TestARouteWithManyAttemptsIsServed(t *testing.T) {
	for _, attempts := range []int{1 << 40, math.MaxInt} {
		withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = attempts }, []*backend{{serve: reply(delay)}}, func(h *harness) {
			response, _ := h.call("GET", "/x/1", "")
			require.Equal(t, http.StatusOK, response.StatusCode)
		})
	}
}
