package carrier

import (
	"context"
	"errors"
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
	"github.com/verbenastand/verbenastand/acceptor"
	"github.com/verbenastand/verbenastand/detector"
)

// zoneNumber returns the zone of a server by its number.
func zoneNumber(server int) verbenastand.Zone { return verbenastand.Zone(fmt.Sprint("z", server%3)) }

func zoneOfServer(name string) verbenastand.Zone {
	number, _ := strconv.Atoi(strings.TrimPrefix(name, "s"))
	return zoneNumber(number)
}

// evacuate spreads the servers over three zones and evacuates some of them.
func (h *harness) evacuate(zones ...verbenastand.Zone) {
	evacuated := make(map[verbenastand.Zone]bool)
	for _, z := range zones {
		evacuated[z] = true
	}
	var list []verbenastand.Registration
	for i := range len(h.servers) {
		list = append(list, verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: verbenastand.ServerID(fmt.Sprintf("s%d", i)), Service: "svc", Zone: zoneNumber(i), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 6,
		}))
	}
	h.setView(verbenastand.NewView(verbenastand.ViewConfig{
		Table: h.table, Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"svc": list}, Evacuated: evacuated,
	}))
}

// detect lets the host probe servers as a gateway does.
func (h *harness) detect() *detector.Detector {
	d := detector.NewDetector(detector.Config{
		Clock: wallClock{}, View: h.currentView, OnChange: func(detector.Change) {},
		Probe: func(ctx context.Context, r verbenastand.Registration) error {
			return h.checker.Probe(ctx, r, "/health")
		},
	})
	h.checker.Reachability, h.carrier.config.Reachability = d, d
	return d
}

// receivedIn returns the number of requests and health checks that the servers of a zone have
// received.
func (h *harness) receivedIn(z verbenastand.Zone) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.received {
		if zoneOfServer(r.server) == z {
			n++
		}
	}
	for server, checks := range h.checks {
		if zoneOfServer(server) == z {
			n += checks
		}
	}
	return n
}

func newBackends(count int, serve func(net.Conn, *http.Request)) (servers []*backend) {
	for range count {
		servers = append(servers, &backend{serve: serve})
	}
	return servers
}

// replyWith responds with the given text in which ID stands for that of the request.
func replyWith(text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Id")))
	}
}

// Guards against requests, retries, hedged requests and health checks to the servers of an evacuated
// zone, and against requests in progress that are ended.
func TestEvacuatedServersReceiveNothing(t *testing.T) {
	cases := []struct {
		name string
		// serve is what servers do with requests after the evacuation.
		serve  func(net.Conn, *http.Request)
		status int
	}{
		{"first attempts", reply(delay), http.StatusOK},
		{"retries of refused requests", replyWith("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), http.StatusServiceUnavailable},
		{"retries of failed requests", replyWith("HTTP/1.1 500 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"), http.StatusInternalServerError},
		{"retries of lost connections", func(conn net.Conn, _ *http.Request) { _ = conn.Close() }, http.StatusBadGateway},
		{"hedged requests", reply(700 * time.Millisecond), http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var serve atomic.Pointer[func(net.Conn, *http.Request)]
			first := reply(300 * time.Millisecond)
			serve.Store(&first)
			backends := newBackends(9, func(conn net.Conn, r *http.Request) { (*serve.Load())(conn, r) })
			withHarness(t, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 6 }, backends, func(h *harness) {
				h.detect()
				h.evacuate()
				done := make(chan int, 1)
				go func() {
					response, _ := h.call("GET", "/x/early", "")
					done <- response.StatusCode
				}()
				time.Sleep(100 * time.Millisecond)
				h.evacuate("z0")
				before := h.receivedIn("z0")
				serve.Store(&tc.serve)
				require.Equal(t, http.StatusOK, <-done, "a request in progress completes")
				for i := range 30 {
					h.changeCaller(i)
					response, _ := h.call("GET", fmt.Sprint("/x/", i), "")
					require.NotNil(t, response)
					require.Equal(t, tc.status, response.StatusCode)
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, before, h.receivedIn("z0"))
				require.Positive(t, h.receivedIn("z1"))
			})
		})
	}
}

// Guards against requests that wait, are delegated or get a false verdict while no server may get
// them.
func TestRequestsOfAnEvacuatedServiceAreRefused(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cut %t", method, cut), func(t *testing.T) {
				withHarness(t, func(c *verbenastand.RouteConfig) { c.RetrySafety = verbenastand.AtMostOnce }, newBackends(3, reply(delay)), func(h *harness) {
					d := h.detect()
					h.evacuate()
					if cut {
						h.link = &link{}
						h.link.set(cutRefuse)
						for range 2 {
							_, _ = h.call(method, "/x/1", "")
							time.Sleep(time.Second)
						}
						require.True(t, d.Cut("svc"))
						h.link.set(cutNone)
					}
					h.carrier.config.Delegator = noDelegator{t}
					retried := &call{carrier: h.carrier, request: &acceptor.Request{}, service: h.balancer.Service("svc"), serviceName: "svc"}
					require.Equal(t, cut, retried.mayDelegate(h.t.Context()))
					h.evacuate("z0", "z1", "z2")
					require.False(t, retried.mayDelegate(h.t.Context()))
					checks := h.receivedIn("z0") + h.receivedIn("z1") + h.receivedIn("z2")
					began := time.Now()
					response, _ := h.call(method, "/x/1", "")
					require.Zero(t, time.Since(began))
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
					require.NotEmpty(t, response.Header.Get("Retry-After"))
					require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
					synctest.Wait()
					require.ErrorIs(t, h.events[len(h.events)-1].Err, errEvacuated)
					for range 50 {
						d.Tick(time.Now())
						time.Sleep(100 * time.Millisecond)
					}
					require.Equal(t, checks, h.receivedIn("z0")+h.receivedIn("z1")+h.receivedIn("z2"))
					require.False(t, d.Cut("svc"))
					h.evacuate("z0", "z2")
					response, _ = h.call(method, "/x/1", "")
					require.Equal(t, http.StatusOK, response.StatusCode)
				})
			})
		}
	}
}

// noDelegator fails the test if a request is delegated.
type noDelegator struct{ t *testing.T }

func (d noDelegator) Select([]verbenastand.HostID, verbenastand.Regions) (verbenastand.Host, error) {
	d.t.Error("delegated")
	return verbenastand.Host{}, errors.New("no host")
}
func (d noDelegator) Release(verbenastand.Host) {}
func (d noDelegator) Connect(context.Context, verbenastand.Host, verbenastand.Origin) (net.Conn, error) {
	d.t.Error("delegated")
	return nil, io.EOF
}

// Guards against a request that reaches a server of a zone whose evacuation begins between the
// choice of the server and the transmission. Nothing has been sent, so another one may get it even
// if it must not run twice.
func TestAnEvacuationBetweenChoiceAndTransmission(t *testing.T) {
	for _, all := range []bool{false, true} {
		t.Run(fmt.Sprint("all zones ", all), func(t *testing.T) {
			withHarness(t, func(c *verbenastand.RouteConfig) { c.RetrySafety = verbenastand.AtMostOnce }, newBackends(3, reply(delay)), func(h *harness) {
				h.evacuate()
				var began atomic.Bool
				// Without load reports servers are not checked, so the connection is opened
				// after the choice.
				for _, s := range h.servers {
					s.report = func() string { return "none" }
				}
				for range 10 {
					_, _ = h.call("POST", "/x/1", "")
				}
				h.carrier.config.Sender.CloseIdle()
				var chosen verbenastand.Zone
				var sent int
				h.open = func(address string) (net.Conn, error) {
					if began.CompareAndSwap(false, true) {
						chosen = zoneOfServer(h.servers[address].name)
						sent = h.receivedIn(chosen)
						zones := []verbenastand.Zone{"z0", "z1", "z2"}
						if !all {
							zones = []verbenastand.Zone{chosen}
						}
						h.evacuate(zones...)
					}
					near, far := net.Pipe()
					go h.run(h.servers[address], far)
					return near, nil
				}
				response, _ := h.call("POST", "/x/1", "")
				require.True(t, began.Load())
				want := http.StatusOK
				if all {
					want = http.StatusServiceUnavailable
					require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
					require.NotEmpty(t, response.Header.Get("Retry-After"))
				}
				require.Equal(t, want, response.StatusCode)
				require.Equal(t, sent, h.receivedIn(chosen))
			})
		})
	}
}

// Guards against checks of a server whose connection was lost, in an evacuated zone or in one that
// is no longer known, and against missing that it ended.
func TestLostServersOfEvacuatedZonesAreNotExamined(t *testing.T) {
	cases := []struct {
		name  string
		lost  func(h *harness) verbenastand.Loss
		state verbenastand.ProcessState
	}{
		{"evacuated", func(*harness) verbenastand.Loss { return lostServer("s0", 0) }, verbenastand.ProcessUnknown},
		{"not registered", func(*harness) verbenastand.Loss { return lostServer("gone", 0) }, verbenastand.ProcessUnknown},
		{"in another zone", func(*harness) verbenastand.Loss { return lostServer("s1", 1) }, verbenastand.ProcessResponding},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, nil, newBackends(6, reply(delay)), func(h *harness) {
				d := h.detect()
				h.evacuate("z0")
				require.Equal(t, tc.state, h.carrier.examine(h.t.Context(), tc.lost(h), false))
				for range 20 {
					require.True(t, d.ReachesOthers(h.currentView().Servers("svc")[1]))
				}
				require.Zero(t, h.receivedIn("z0"))
			})
		})
	}
}

func lostServer(server verbenastand.ServerID, number int) verbenastand.Loss {
	return verbenastand.NewLoss(verbenastand.LossConfig{
		Server: server, Service: "svc", Address: fmt.Sprintf("10.0.0.%d:80", number), At: time.Now(),
	})
}

// Measures what callers get while two of three zones carry the load of three: pattern: typical
// requests for 12 servers, four of which are in a zone whose evacuation begins in the second second.
func TestTwoZonesCarryTheLoadOfThree(t *testing.T) {
	cases := []struct {
		load      float64
		evacuated []verbenastand.Zone
		bound     float64
	}{
		{0.5, nil, 0.9},
		{0.5, []verbenastand.Zone{"z0"}, 0.9},
		{0.7, nil, 0.9},
		{0.7, []verbenastand.Zone{"z0"}, 0.8},
		{1, nil, 0.8},
		{1, []verbenastand.Zone{"z0"}, 2.0 / 3},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("load %g, evacuated %v", tc.load, tc.evacuated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := typicalServers(func(c *modelConfig) { c.load, c.length = tc.load, 6*time.Second })
				m := newModel(t, c)
				for _, h := range m.harnesses {
					h.evacuate()
				}
				var before int
				timer := time.AfterFunc(time.Second, func() {
					for _, h := range m.harnesses {
						h.evacuate(tc.evacuated...)
					}
					before = m.receivedIn("z0")
				})
				defer timer.Stop()
				share := m.run(t)
				possible := min(1, float64(3-len(tc.evacuated))/3/tc.load)
				t.Logf("%.3f in time, %.3f of what the zones can serve: %s", share, share/possible, m)
				require.GreaterOrEqual(t, share/possible, tc.bound)
				require.Equal(t, len(tc.evacuated) > 0, before == m.receivedIn("z0"))
			})
		})
	}
}

// receivedIn is that of all hosts together.
func (m *model) receivedIn(z verbenastand.Zone) (n int) {
	for _, h := range m.harnesses {
		n += h.receivedIn(z)
	}
	return n
}
