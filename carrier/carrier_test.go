package carrier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

const usual = 80 * time.Millisecond

func once(c *verbenastand.RouteConfig) { c.Repeats = verbenastand.AtMostOnce }

func TestARequestReachesTheServerUnchanged(t *testing.T) {
	inWorld(t, once, []*server{{serve: good(usual)}}, func(w *world) {
		response, body := w.call("POST", "/x/a%2Fb?q=1;2", "the body",
			"X-Deadline: 800", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 2", "Keep-Alive: 5", "X-Expected: forged")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "body", body)
		require.Equal(t, "signed", response.Header.Get("X-Signature"))
		got := w.requests()
		require.Len(t, got, 1)
		require.Equal(t, "POST", got[0].Method)
		require.Equal(t, "/x/a%2Fb?q=1;2", got[0].RequestURI)
		require.Equal(t, "a.example", got[0].Host)
		require.Equal(t, "the body", got[0].body)
		require.Equal(t, "id1", got[0].Header.Get("X-Id"))
		require.Equal(t, "s0", got[0].Header.Get("X-Expected"))
		require.Equal(t, "2", got[0].Header.Get("X-Kept"))
		require.Empty(t, got[0].Header.Get("X-Hop"))
		require.Empty(t, got[0].Header.Get("Keep-Alive"))
		require.Equal(t, "800", got[0].Header.Get("X-Deadline"))
	})
}

// TestFailuresOfAServer: what the caller gets and how often the request runs, for
// work that may be repeated and work that must not.
func TestFailuresOfAServer(t *testing.T) {
	cases := []struct {
		name  string
		serve func(net.Conn, *http.Request)
		// repeats and onces are how many servers get the request.
		repeats, onces int
		// onceStatus is the answer for work that must not run twice.
		onceStatus int
	}{
		{"the connection is cut", failing(""), 2, 1, http.StatusBadGateway},
		{"no HTTP", failing("rubbish\r\n\r\n"), 2, 1, http.StatusBadGateway},
		{"cut short", failing("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"another's response", failing("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"without a signature", failing("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 3\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"in an encoding nobody asked for", failing("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc"), 2, 1, http.StatusBadGateway},
		{"an error that ran", failing("HTTP/1.1 500 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"), 2, 1, http.StatusInternalServerError},
		{"a status that promises, without the promise", failing("HTTP/1.1 503 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"), 2, 1, http.StatusBadGateway},
		{"refused as not run", failing("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 2, 2, http.StatusOK},
		{"another process at the address", failing("HTTP/1.1 421 X\r\nX-Instance: other\r\nContent-Length: 0\r\n\r\n"), 2, 2, http.StatusOK},
		{"a refusal by the caller's fault", failing("HTTP/1.1 404 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"), 1, 1, http.StatusNotFound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, change := range []func(*verbenastand.RouteConfig){nil, once} {
				var first atomic.Bool
				serve := func(conn net.Conn, r *http.Request) {
					if first.CompareAndSwap(false, true) {
						tc.serve(conn, r)
						return
					}
					good(usual)(conn, r)
				}
				inWorld(t, change, []*server{{serve: serve}, {serve: serve}}, func(w *world) {
					response, _ := w.call("GET", "/x/1", "")
					require.NotNil(t, response)
					want, status := tc.repeats, http.StatusOK
					if change != nil {
						want, status = tc.onces, tc.onceStatus
					} else if tc.repeats == 1 {
						status = tc.onceStatus
					}
					require.Equal(t, status, response.StatusCode)
					require.Len(t, w.requests(), want)
					if status == http.StatusBadGateway {
						require.Empty(t, response.Header.Get("X-Signature"))
						require.Equal(t, "mayHaveRun", response.Header.Get(verbenastand.HeaderVerdict))
					}
				})
			}
		})
	}
}

func TestNoMoreServersThanTheRouteAllows(t *testing.T) {
	bad := func() *server { return &server{serve: failing("")} }
	for attempts := 1; attempts <= 3; attempts++ {
		change := func(c *verbenastand.RouteConfig) { c.MaxAttempts = attempts }
		inWorld(t, change, []*server{bad(), bad(), bad(), bad(), bad()}, func(w *world) {
			response, _ := w.call("GET", "/x/1", "")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Len(t, w.requests(), attempts)
		})
	}
}

func TestARepeatCarriesTheTimeThatIsLeft(t *testing.T) {
	slow := func(conn net.Conn, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		_ = conn.Close()
	}
	inWorld(t, func(c *verbenastand.RouteConfig) { c.Target = time.Second }, []*server{{serve: slow}, {serve: slow}}, func(w *world) {
		_, _ = w.call("GET", "/x/1", "", "X-Deadline: 900")
		got := w.requests()
		require.Len(t, got, 2)
		for _, r := range got {
			left, err := strconv.Atoi(r.Header.Get("X-Deadline"))
			require.NoError(t, err)
			passed := r.at.Sub(got[0].at).Milliseconds()
			require.InDelta(t, 900-passed, left, 5)
		}
	})
}

// TestTheRoutesLimit: a request that is still unanswered at the limit of its route
// is answered then, not half a second later, and the servers were told the limit.
func TestTheRoutesLimit(t *testing.T) {
	for _, change := range []func(*verbenastand.RouteConfig){nil, once} {
		never := func(net.Conn, *http.Request) { time.Sleep(20 * time.Second) }
		inWorld(t, change, []*server{{serve: never}, {serve: never}}, func(w *world) {
			began := time.Now()
			response, _ := w.call("GET", "/x/1", "", "X-Deadline: 5000")
			require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
			require.Less(t, time.Since(began), time.Second+250*time.Millisecond)
			require.GreaterOrEqual(t, time.Since(began), time.Second)
			require.Equal(t, "1000", w.requests()[0].Header.Get("X-Deadline"))
		})
	}
}

func TestAnAnswerThatIsReadyIsDeliveredThoughLate(t *testing.T) {
	late := good(900 * time.Millisecond)
	inWorld(t, once, []*server{{serve: late}}, func(w *world) {
		response, _ := w.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}

func TestACallerThatLeaves(t *testing.T) {
	cases := []struct {
		name   string
		change func(*verbenastand.RouteConfig)
		// stopped is whether the server's work ends with the caller.
		stopped bool
	}{
		{"work that may be repeated ends", nil, true},
		{"work that must not run twice goes on", once, false},
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
					_, _ = io.WriteString(conn, whole(r, ""))
				}
			}
			inWorld(t, tc.change, []*server{{serve: serve}}, func(w *world) {
				conn := w.connect()
				_, _ = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\n\r\n")
				time.Sleep(100 * time.Millisecond)
				_ = conn.Close()
				time.Sleep(time.Second)
				require.Len(t, w.requests(), 1)
				require.Equal(t, tc.stopped, !finished.Load())
			})
		})
	}
}

// TestFullServersAreNotSentMore: servers that never answer what they cannot queue
// get nothing while they are full, and the caller is told at once when to come back.
func TestFullServersAreNotSentMore(t *testing.T) {
	full := func() *server { return &server{serve: good(usual), report: func() string { return "6,5,6,1" }} }
	for _, change := range []func(*verbenastand.RouteConfig){nil, once} {
		inWorld(t, change, []*server{full(), full(), full()}, func(w *world) {
			began := time.Now()
			response, _ := w.call("GET", "/x/1", "")
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, "notRun", response.Header.Get(verbenastand.HeaderVerdict))
			seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Greater(t, seconds, 0.0)
			require.Less(t, time.Since(began)+time.Duration(seconds*float64(time.Second)), time.Second)
			require.Less(t, time.Since(began), target)
			require.Empty(t, w.requests())
		})
	}
}

func TestWhatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name, path string
		fields     []string
		servers    []*server
		status     int
	}{
		{"no route", "/y/1", nil, []*server{{serve: good(usual)}}, http.StatusNotFound},
		{"no server", "/x/1", nil, nil, http.StatusServiceUnavailable},
		{"all servers down", "/x/1", nil, []*server{{down: true}, {down: true}}, http.StatusServiceUnavailable},
		{"a deadline that is none", "/x/1", []string{"X-Deadline: soon"}, []*server{{serve: good(usual)}}, http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inWorld(t, nil, tc.servers, func(w *world) {
				began := time.Now()
				response, _ := w.call("GET", tc.path, "", tc.fields...)
				require.Equal(t, tc.status, response.StatusCode)
				require.Less(t, time.Since(began), target/8)
				require.Equal(t, tc.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
				require.Equal(t, "notRun", response.Header.Get(verbenastand.HeaderVerdict))
			})
		})
	}
}

// TestARefusalTellsWhatTimeTheCallerLeft: without it a refusal beside free servers
// cannot be explained from the logs.
func TestARefusalTellsWhatTimeTheCallerLeft(t *testing.T) {
	inWorld(t, nil, []*server{{serve: good(usual)}}, func(w *world) {
		w.call("GET", "/x/1", "", "X-Deadline: 20")
		synctest.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		e := w.events[len(w.events)-1]
		require.True(t, e.Refused)
		require.Equal(t, verbenastand.NotRun, e.Verdict)
		require.Equal(t, 20*time.Millisecond, e.Deadline)
		require.Greater(t, e.Estimate, e.Deadline)
	})
}

// TestASecondCopyRescues: a request whose server stands still is sent to another
// one within the budget, in time, and its first copy is stopped.
func TestASecondCopyRescues(t *testing.T) {
	var first atomic.Bool
	serve := func(conn net.Conn, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			_, _ = conn.Read(make([]byte, 1))
			return
		}
		good(usual)(conn, r)
	}
	inWorld(t, nil, []*server{{serve: serve}, {serve: serve}}, func(w *world) {
		for range 10 {
			// Earn a budget.
			w.carrier.Budget("svc").Request()
		}
		began := time.Now()
		response, _ := w.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Less(t, time.Since(began), target)
		require.Len(t, w.requests(), 2)
	})
}

// TestASecondCopyIsTriedAgain: a server goes silent in the middle of its response
// while all others are noisy. The second copy is sent once one of them calms down.
func TestASecondCopyIsTriedAgain(t *testing.T) {
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
		good(usual)(conn, r)
	}
	inWorld(t, nil, []*server{{serve: serve, report: report}, {serve: serve, report: report}}, func(w *world) {
		response, body := w.call("GET", "/x/1", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "body", body)
	})
}

func TestWithoutBudgetNothingIsRepeated(t *testing.T) {
	inWorld(t, nil, []*server{{serve: failing("")}, {serve: failing("")}}, func(w *world) {
		w.fleet = 0
		response, _ := w.call("GET", "/x/1", "")
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Len(t, w.requests(), 1)
	})
}

// TestARequestThatCrashesServers is refused once it has crashed two servers,
// while other requests are served and lost responses blame nobody.
func TestARequestThatCrashesServers(t *testing.T) {
	var w *world
	var servers []*server
	for range 6 {
		s := &server{}
		s.serve = func(conn net.Conn, r *http.Request) {
			if strings.Contains(r.URL.Path, "crash") {
				w.mu.Lock()
				s.down = true
				w.mu.Unlock()
				_ = conn.Close()
				return
			}
			if strings.Contains(r.URL.Path, "lost") {
				_ = conn.Close()
				return
			}
			good(usual)(conn, r)
		}
		servers = append(servers, s)
	}
	inWorld(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 1 }, servers, func(world *world) {
		w = world
		for range 8 {
			_, _ = w.call("GET", "/x/crash", "")
			_, _ = w.call("GET", "/x/lost", "")
			time.Sleep(3 * time.Second)
		}
		crashed, lost := 0, 0
		for _, r := range w.requests() {
			if strings.Contains(r.URL.Path, "crash") {
				crashed++
			} else {
				lost++
			}
		}
		require.Equal(t, 2, crashed)
		require.Equal(t, 8, lost)
		response, _ := w.call("GET", "/x/other", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}

func TestRequestsBehindOneAnotherGetTheirOwnAnswers(t *testing.T) {
	serve := func(conn net.Conn, r *http.Request) {
		time.Sleep(time.Duration(len(r.URL.Path)) * 10 * time.Millisecond)
		_, _ = io.WriteString(conn, whole(r, r.URL.Path))
	}
	inWorld(t, nil, []*server{{serve: serve}, {serve: serve}}, func(w *world) {
		conn := w.connect()
		var sent strings.Builder
		paths := []string{"/x/long-long", "/x/a", "/x/middle", "/x/b"}
		for i, p := range paths {
			fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: id%d\r\n\r\n", p, i)
		}
		go func() { _, _ = io.WriteString(conn, sent.String()) }()
		data := make([]byte, 1<<14)
		var answers string
		for strings.Count(answers, "HTTP/1.1 200") < len(paths) {
			n, err := conn.Read(data)
			require.NoError(t, err)
			answers += string(data[:n])
		}
		synctest.Wait()
		last := -1
		for i, p := range paths {
			at := strings.Index(answers, fmt.Sprintf("X-Id: id%d\r\n", i))
			require.Greater(t, at, last)
			require.Greater(t, strings.Index(answers, "\r\n\r\n"+p), at)
			last = at
		}
	})
}
