package carrier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/limiter"
)

// bodyServer holds the bodies of its requests until it responds.
type bodyServer struct {
	took time.Duration

	mu          sync.Mutex
	held, most  int64
	running     int
	mostRunning int
}

func (s *bodyServer) add(bytes int64, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += bytes
	s.running += requests
	s.most, s.mostRunning = max(s.most, s.held), max(s.mostRunning, s.running)
}

func (s *bodyServer) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,6,1", min(s.running, 6), max(0, s.running-6))
}

func (s *bodyServer) serve(conn net.Conn, r *http.Request) {
	s.add(r.ContentLength, 1)
	time.Sleep(s.took)
	s.add(-r.ContentLength, -1)
	_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: "+s.report()))
}

// upload sends a body of a number of bytes and returns the response, nil if there is none. The body
// of a request that is refused may not be read to its end.
func (h *harness) upload(bytes int) *http.Response {
	conn := h.connect()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes))
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = conn.Close()
	return response
}

// bodyFleet returns hosts that share the bytes of bodies, or each do as if there were no others.
func bodyFleet(t *testing.T, hosts int, shared bool, servers []*backend) []*harness {
	var list []verbenastand.Host
	for i := range hosts {
		list = append(list, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("host-", i)), 1), Zone: "z",
		}))
	}
	var fleet []*harness
	for _, host := range list {
		h := newHarness(t, func(c *verbenastand.RouteConfig) { c.RetrySafety = verbenastand.AtMostOnce }, servers...)
		config := balancer.Config{Clock: wallClock{}, Zone: "z", HealthChecker: h.checker, Limiter: h.limiter, Excluder: h.excluder, BodyLimiter: balancer.OwnBodies{}}
		if shared {
			config.BodyLimiter = limiter.NewBodies(limiter.BodiesConfig{
				Clock: wallClock{}, Self: host.ID(), Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return list },
			})
		}
		h.balancer = balancer.NewBalancer(config)
		h.balancer.Update(h.view)
		h.carrier.config.Balancer = h.balancer
		fleet = append(fleet, h)
	}
	return fleet
}

// TestBodiesInFlightToAServer: pattern: 8 hosts get 5 uploads of 1 MB each at the same moment, the largest
// that callers may send, and 2 servers with 6 slots take 300 ms for each. It guards against a server that
// holds more bytes than the largest body for each of its slots, whose process would crash.
func TestBodiesInFlightToAServer(t *testing.T) {
	const slots, hosts, uploads, bytes = 6, 8, 5, 1 << 20
	cases := []struct {
		name      string
		size      int
		shared    bool
		within    bool
		leastDone int64
	}{
		{"uploads of the largest size", bytes, true, true, 24},
		{"uploads of the largest size, hosts without knowledge of each other", bytes, false, false, 0},
		{"small uploads", bytes / 8, true, true, hosts * uploads / 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := []*bodyServer{{took: 300 * time.Millisecond}, {took: 300 * time.Millisecond}}
				var backends []*backend
				for _, s := range servers {
					backends = append(backends, &backend{serve: s.serve, report: s.report})
				}
				fleet := bodyFleet(t, hosts, tc.shared, backends)
				var served, refused atomic.Int64
				var callers sync.WaitGroup
				for i := range hosts * uploads {
					callers.Go(func() {
						switch r := fleet[i%hosts].upload(tc.size); {
						case r == nil:
						case r.StatusCode == http.StatusOK:
							served.Add(1)
						case r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(verbenastand.HeaderVerdict) == verbenastand.NotRun.String():
							refused.Add(1)
						}
					})
				}
				callers.Wait()
				require.EqualValues(t, hosts*uploads, served.Load()+refused.Load())
				for _, s := range servers {
					t.Logf("most bytes held: %d, requests: %d; %d served, %d refused", s.most, s.mostRunning, served.Load(), refused.Load())
					require.Equal(t, tc.within, s.most <= slots*bytes)
				}
				require.GreaterOrEqual(t, served.Load(), tc.leastDone)
				time.Sleep(30 * time.Second)
				for _, h := range fleet {
					require.Zero(t, h.balancer.BodyBytes())
					h.carrier.config.Sender.Close()
					h.acceptor.Close()
				}
				synctest.Wait()
			})
		})
	}
}

// TestAHostStreamsOneLargeBodyToASlowServer guards against further large bodies that a host starts to
// send to a server while it still sends one, and the server is slow.
func TestAHostStreamsOneLargeBodyToASlowServer(t *testing.T) {
	var started atomic.Int64
	slow := &backend{report: func() string { return "1,0,6,3" }}
	slow.serve = func(conn net.Conn, r *http.Request) {
		started.Add(1)
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: 1,0,6,3"))
	}
	withHarness(t, func(c *verbenastand.RouteConfig) { c.RetrySafety, c.Timeout = verbenastand.AtMostOnce, 5*time.Second }, []*backend{slow}, func(h *harness) {
		var callers sync.WaitGroup
		var served atomic.Int64
		for range 3 {
			callers.Go(func() {
				if r := h.upload(400 << 10); r != nil && r.StatusCode == http.StatusOK {
					served.Add(1)
				}
			})
		}
		time.Sleep(250 * time.Millisecond)
		require.LessOrEqual(t, started.Load(), int64(1))
		callers.Wait()
		require.EqualValues(t, 3, served.Load(), "they follow each other")
		require.Zero(t, h.balancer.BodyBytes())
	})
}
