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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/delegator"
	"github.com/verbenastand/verbenastand/detector"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// cutMode is how a host is partitioned from all servers.
type cutMode int32

const (
	cutNone cutMode = iota
	// cutHang drops all bytes, and new connections are not established.
	cutHang
	// cutReset resets the connections, and refuses new ones.
	cutReset
	// cutRefuse refuses new connections; those that are open live on.
	cutRefuse
)

// link is the path of a host to all servers.
type link struct {
	mode  atomic.Int32
	mu    sync.Mutex
	conns []*linkConn
}

func (l *link) dial(ctx context.Context, dial func() (net.Conn, error)) (net.Conn, error) {
	switch cutMode(l.mode.Load()) {
	case cutHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutReset, cutRefuse:
		return nil, errors.New("connection refused")
	}
	conn, err := dial()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &linkConn{Conn: conn, link: l}
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *link) set(mode cutMode) {
	l.mode.Store(int32(mode))
	if mode != cutReset {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.reset.Store(true)
		_ = c.Close()
	}
	l.conns = nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link  *link
	reset atomic.Bool
}

func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.reset.Load() {
			return 0, syscall.ECONNRESET
		}
		if err != nil || cutMode(c.link.mode.Load()) != cutHang {
			return n, err
		}
	}
}

func (c *linkConn) Write(p []byte) (int, error) {
	if cutMode(c.link.mode.Load()) == cutHang {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// announceDelay is how long hosts take to learn that another one reaches no server.
const announceDelay = 300 * time.Millisecond

// delegatingFleet is a set of hosts that share servers and can be cut off from them.
type delegatingFleet struct {
	t         *testing.T
	hosts     []*harness
	detectors []*detector.Detector
	tunnels   []atomic.Int64
	// watches start the probes of a host, which are idle until its first cut.
	watches []func()
	// mostTunnels is the largest number of concurrent tunnels to a host.
	mostTunnels atomic.Int64
	delegated   atomic.Int64
	// dropTunnels makes hosts close tunnels once the response has begun to arrive.
	dropTunnels atomic.Bool

	mu      sync.Mutex
	members []verbenastand.Host
}

// Hosts implements the membership of every host.
func (f *delegatingFleet) Hosts() []verbenastand.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

func (f *delegatingFleet) update(i int, change func(*verbenastand.HostConfig)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := append([]verbenastand.Host(nil), f.members...)
	h := members[i]
	c := verbenastand.HostConfig{Instance: h.Instance(), Zone: h.Zone(), Detached: h.Detached(), Leaving: h.Leaving()}
	change(&c)
	members[i] = verbenastand.NewHost(c)
	f.members = members
}

func newDelegatingFleet(ctx context.Context, t *testing.T, size int, change func(*verbenastand.RouteConfig), servers []*backend) *delegatingFleet {
	f := &delegatingFleet{t: t, tunnels: make([]atomic.Int64, size)}
	evidence := quarantiner.NewQuarantiner(quarantiner.Config{Clock: wallClock{}})
	for i := range size {
		f.members = append(f.members, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprintf("h%d", i)), 1), Zone: verbenastand.Zone(fmt.Sprint(i % 4)),
		}))
	}
	for i := range size {
		h := newHarness(t, change, servers...)
		h.link, h.hostCount = &link{}, size
		d := detector.NewDetector(detector.Config{
			Clock: wallClock{}, View: h.currentView, OnChange: func(detector.Change) {},
			Probe: func(ctx context.Context, r verbenastand.Registration) error {
				return h.checker.Probe(ctx, r, "/health")
			},
		})
		h.checker.Reachability = d
		h.carrier.config.Self, h.carrier.config.Reachability, h.carrier.config.Quarantiner = f.members[i].ID(), d, evidence
		h.carrier.config.Delegator = delegator.NewDelegator(delegator.Config{Self: f.members[i], Membership: f, Tunnel: f.tunnel})
		f.hosts, f.detectors = append(f.hosts, h), append(f.detectors, d)
		f.watches = append(f.watches, sync.OnceFunc(func() { go f.watch(ctx, i) }))
	}
	return f
}

// watch tells the other hosts whether a host reaches servers.
func (f *delegatingFleet) watch(ctx context.Context, i int) {
	announced := false
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		f.detectors[i].Tick(time.Now())
		if detached := f.detectors[i].Detached(); detached != announced {
			announced = detached
			time.Sleep(announceDelay)
			f.update(i, func(c *verbenastand.HostConfig) { c.Detached = detached })
		}
	}
}

// tunnel connects to the acceptor of a host, as the forwarder does.
func (f *delegatingFleet) tunnel(ctx context.Context, host verbenastand.Host, origin verbenastand.Origin) (net.Conn, error) {
	time.Sleep(3 * time.Millisecond)
	number, _ := strconv.Atoi(string(host.ID())[1:])
	if f.detectors[number].Detached() || f.Hosts()[number].Leaving() {
		return nil, errors.New("refused")
	}
	f.delegated.Add(1)
	count := f.tunnels[number].Add(1)
	for most := f.mostTunnels.Load(); count > most && !f.mostTunnels.CompareAndSwap(most, count); most = f.mostTunnels.Load() {
	}
	near, far := net.Pipe()
	f.hosts[number].acceptor.ServeDelegated(far, origin)
	return &tunnelConn{Conn: near, fleet: f, host: number}, nil
}

type tunnelConn struct {
	net.Conn
	fleet *delegatingFleet
	host  int
	once  sync.Once
}

func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.fleet.dropTunnels.Load() {
		_ = c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *tunnelConn) Close() error {
	c.once.Do(func() { c.fleet.tunnels[c.host].Add(-1) })
	return c.Conn.Close()
}

func (f *delegatingFleet) cut(mode cutMode, hosts ...int) {
	for _, i := range hosts {
		f.hosts[i].link.set(mode)
		f.watches[i]()
	}
}

// send sends one request to a host on a new connection.
func (f *delegatingFleet) send(host int, method, id string) (status int, header http.Header, took time.Duration) {
	began := time.Now()
	conn := f.hosts[host].connect()
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%s /x/%s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline: 1200\r\nContent-Length: 0\r\n\r\n", method, id, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, time.Since(began)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header, time.Since(began)
}

// load sends requests to a host at the given rate, and returns how many were served.
func (f *delegatingFleet) load(host int, name string, perSecond int, length time.Duration) (sent, served int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		id := fmt.Sprintf("%s-%d-%d", name, host, sent)
		calls.Go(func() {
			status, _, _ := f.send(host, "GET", id)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
	return sent, served
}

// executions returns how often each request reached a server, by its ID.
func (f *delegatingFleet) executions() map[string]int {
	counts := make(map[string]int)
	for _, h := range f.hosts {
		for _, r := range h.requests() {
			counts[r.Header.Get("X-Id")]++
		}
	}
	return counts
}

func (f *delegatingFleet) close(cancel context.CancelFunc) {
	cancel()
	f.cut(cutNone, f.all()...)
	time.Sleep(30 * time.Second)
	for _, h := range f.hosts {
		h.carrier.config.Sender.Close()
		h.acceptor.Close()
	}
	synctest.Wait()
}

func (f *delegatingFleet) all() []int { return hostRange(0, len(f.hosts)) }

func hostRange(from, to int) (hosts []int) {
	for i := from; i < to; i++ {
		hosts = append(hosts, i)
	}
	return hosts
}

// zoneOf returns a share of the hosts of the first availability zone.
func zoneOf(size int, share float64) (hosts []int) {
	for i := 0; i < size; i += 4 {
		hosts = append(hosts, i)
	}
	return hosts[:max(1, int(share*float64(len(hosts))))]
}

// withDelegatingFleet runs a test in virtual time.
func withDelegatingFleet(t *testing.T, size int, change func(*verbenastand.RouteConfig), servers []*backend, test func(f *delegatingFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newDelegatingFleet(ctx, t, size, change, servers)
		defer f.close(cancel)
		test(f)
	})
}

// closeAfterReply closes the connection after the response.
func closeAfterReply(took time.Duration) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		time.Sleep(took)
		_, _ = io.WriteString(conn, okResponse(r, "body", "Connection: close"))
		_ = conn.Close()
	}
}

func steadyBackends(count int) (servers []*backend) {
	for range count {
		servers = append(servers, &backend{serve: reply(40 * time.Millisecond)})
	}
	return servers
}

// Guards against hosts that refuse their callers because they themselves reach no server
// (issue 26, RECOVER). The bounds are those of the users.
func TestCutHostsServeTheirCallers(t *testing.T) {
	cases := []struct {
		name string
		size int
		mode cutMode
		cut  []int
		// closing is set if servers close each connection after its response.
		closing bool
	}{
		{"one of 14, hang", 14, cutHang, []int{0}, false},
		{"one of 14, reset", 14, cutReset, []int{0}, false},
		{"one of 14, refusal", 14, cutRefuse, []int{0}, false},
		{"most of a zone of 14, hang", 14, cutHang, zoneOf(14, 0.75), false},
		{"a zone of 14, hang", 14, cutHang, zoneOf(14, 1), false},
		{"a zone of 14, reset", 14, cutReset, zoneOf(14, 1), false},
		{"a zone of 14, refusal", 14, cutRefuse, zoneOf(14, 1), false},
		{"one of 14, refusal of each connection", 14, cutRefuse, []int{0}, true},
		{"a zone of 14, refusal of each connection", 14, cutRefuse, zoneOf(14, 1), true},
		{"a zone of 472, refusal of each connection", 472, cutRefuse, zoneOf(472, 1), true},
		{"most of a zone of 56, reset", 56, cutReset, zoneOf(56, 0.75), false},
		{"a zone of 56, hang", 56, cutHang, zoneOf(56, 1), false},
		{"one of 472, hang", 472, cutHang, []int{0}, false},
		{"a zone of 472, hang", 472, cutHang, zoneOf(472, 1), false},
		{"a zone of 472, reset", 472, cutReset, zoneOf(472, 1), false},
		{"a zone of 472, refusal", 472, cutRefuse, zoneOf(472, 1), false},
	}
	const stable = 3 * time.Second
	// Of the hosts that are not cut off, only so many get requests of their own.
	const maxLoadedHosts = 80
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			servers := steadyBackends(24)
			if tc.closing {
				for _, b := range servers {
					b.serve = closeAfterReply(40 * time.Millisecond)
				}
			}
			withDelegatingFleet(t, tc.size, nil, servers, func(f *delegatingFleet) {
				// The servers take 3,600 requests a second.
				perSecond := max(2, min(20, 800/tc.size))
				loadAll := func(name string, length time.Duration) (sent, served map[bool]int) {
					sent, served = make(map[bool]int), make(map[bool]int)
					var mu sync.Mutex
					var loads sync.WaitGroup
					isCut := make(map[int]bool)
					for _, i := range tc.cut {
						isCut[i] = true
					}
					for i := range tc.size {
						if !isCut[i] && i >= maxLoadedHosts {
							continue
						}
						loads.Go(func() {
							n, ok := f.load(i, name, perSecond, length)
							mu.Lock()
							defer mu.Unlock()
							sent[isCut[i]] += n
							served[isCut[i]] += ok
						})
					}
					loads.Wait()
					return sent, served
				}
				loadAll("before", time.Second)
				f.cut(tc.mode, tc.cut...)
				loadAll("early", stable)
				sent, served := loadAll("during", 2*time.Second)
				t.Logf("cut hosts served %d of %d, the others %d of %d; %d delegated, at most %d at a host",
					served[true], sent[true], served[false], sent[false], f.delegated.Load(), f.mostTunnels.Load())
				require.GreaterOrEqual(t, 3*served[true]*sent[false], 2*served[false]*sent[true])
				require.LessOrEqual(t, sent[true]-served[true], 10+sent[true]/50)
				require.LessOrEqual(t, f.mostTunnels.Load(), int64(delegatedShare*100), "no host is overrun")
				f.cut(cutNone, tc.cut...)
				time.Sleep(2 * time.Second)
				delegated := f.delegated.Load()
				_, served = loadAll("after", time.Second)
				require.Equal(t, delegated, f.delegated.Load(), "the cut has ended")
				require.GreaterOrEqual(t, served[true], perSecond*len(tc.cut)*9/10)
			})
		})
	}
}

// TestNoServerWorks: hosts refuse at once, with an honest verdict and delay, if none of
// them reaches a server.
func TestNoServerWorks(t *testing.T) {
	withDelegatingFleet(t, 14, nil, steadyBackends(8), func(f *delegatingFleet) {
		f.cut(cutHang, f.all()...)
		for i := range f.hosts {
			_, _ = f.load(i, "early", 4, 2*time.Second)
		}
		time.Sleep(time.Second)
		delegated := f.delegated.Load()
		for i := range f.hosts {
			status, header, took := f.send(i, "GET", fmt.Sprint("none-", i))
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Equal(t, "notRun", header.Get(verbenastand.HeaderVerdict))
			require.NotEmpty(t, header.Get("Retry-After"))
			require.Less(t, took, 50*time.Millisecond)
		}
		require.Equal(t, delegated, f.delegated.Load())
		require.Zero(t, f.executions()["none-0"])
	})
}

// cutOff cuts a host off and waits until it knows.
func (f *delegatingFleet) cutOff(mode cutMode, hosts ...int) {
	f.cut(mode, hosts...)
	for _, i := range hosts {
		_, _ = f.load(i, "probe", 4, 2*time.Second)
	}
	time.Sleep(time.Second)
}

// Guards against requests that must not run twice and do, or are reported as not run,
// because their response is lost on the way back from another host.
func TestADelegatedRequestRunsAtMostOnce(t *testing.T) {
	withDelegatingFleet(t, 14, atMostOnce, steadyBackends(8), func(f *delegatingFleet) {
		f.cutOff(cutReset, 0)
		f.dropTunnels.Store(true)
		for i := range 5 {
			id := fmt.Sprint("lost-", i)
			status, _, _ := f.send(0, "POST", id)
			require.Equal(t, http.StatusBadGateway, status)
			require.Equal(t, 1, f.executions()[id])
		}
		f.dropTunnels.Store(false)
		status, _, _ := f.send(0, "POST", "whole")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, 1, f.executions()["whole"])
	})
}

// TestADelegatedRequestKeepsItsLimits: the time that is left, the number of servers and
// the evidence of crashes hold over both hosts.
func TestADelegatedRequestKeepsItsLimits(t *testing.T) {
	t.Run("the time that is left", func(t *testing.T) {
		withDelegatingFleet(t, 14, nil, steadyBackends(8), func(f *delegatingFleet) {
			f.cutOff(cutHang, 0)
			status, _, _ := f.send(0, "GET", "timed")
			require.Equal(t, http.StatusOK, status)
			for _, h := range f.hosts {
				for _, r := range h.requests() {
					left, err := strconv.Atoi(r.Header.Get("X-Deadline"))
					require.NoError(t, err)
					require.LessOrEqual(t, left, 1000, "the timeout of the route")
				}
			}
		})
	})
	t.Run("the number of servers", func(t *testing.T) {
		failing := replyRaw("HTTP/1.1 500 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n")
		var servers []*backend
		for range 8 {
			servers = append(servers, &backend{serve: failing})
		}
		withDelegatingFleet(t, 14, func(c *verbenastand.RouteConfig) { c.MaxAttempts = 3 }, servers, func(f *delegatingFleet) {
			f.cutOff(cutReset, 0)
			status, _, _ := f.send(0, "GET", "failing")
			require.Equal(t, http.StatusInternalServerError, status)
			require.LessOrEqual(t, f.executions()["failing"], 3)
		})
	})
	t.Run("evidence of crashes", func(t *testing.T) {
		servers, assign := newFragileBackends(12)
		withDelegatingFleet(t, 14, nil, servers, func(f *delegatingFleet) {
			*assign = f.hosts[1]
			f.cutOff(cutReset, 0)
			for range 6 {
				_, _, _ = f.send(0, "GET", "crash")
				time.Sleep(time.Second)
			}
			require.LessOrEqual(t, f.executions()["crash"], quarantiner.CrashLimit)
		})
	})
}

// TestDelegatedRetriesStayInTheBudget: a request that was lost at the start of a cut and
// is sent by another host is a retry; all hosts together stay within the budget.
func TestDelegatedRetriesStayInTheBudget(t *testing.T) {
	failing := replyRaw("HTTP/1.1 500 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n")
	var servers []*backend
	for range 8 {
		servers = append(servers, &backend{serve: failing})
	}
	withDelegatingFleet(t, 14, nil, servers, func(f *delegatingFleet) {
		f.cut(cutReset, 0, 4, 8)
		var loads sync.WaitGroup
		for i := range 14 {
			loads.Go(func() { _, _ = f.load(i, "budget", 20, 9*time.Second) })
		}
		loads.Wait()
		requests, arrivals := 0, 0
		for _, n := range f.executions() {
			requests++
			arrivals += n
		}
		// The ratio and the allowance of the harness.
		require.LessOrEqual(t, arrivals-requests, requests/5+50)
	})
}

// TestAStoppingHostIsNoDelegate: a host that stops finishes the requests that others have
// delegated to it, and gets no more.
func TestAStoppingHostIsNoDelegate(t *testing.T) {
	servers := []*backend{{serve: reply(400 * time.Millisecond)}, {serve: reply(400 * time.Millisecond)}, {serve: reply(400 * time.Millisecond)}}
	withDelegatingFleet(t, 2, func(c *verbenastand.RouteConfig) { c.RetrySafety, c.Target = verbenastand.AtMostOnce, time.Second }, servers, func(f *delegatingFleet) {
		f.cutOff(cutReset, 0)
		var pending sync.WaitGroup
		pending.Go(func() {
			status, _, _ := f.send(0, "POST", "pending")
			require.Equal(t, http.StatusOK, status)
		})
		time.Sleep(100 * time.Millisecond)
		f.update(1, func(c *verbenastand.HostConfig) { c.Leaving = true })
		f.hosts[1].acceptor.Drain()
		status, header, _ := f.send(0, "POST", "later")
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "notRun", header.Get(verbenastand.HeaderVerdict))
		pending.Wait()
		require.Zero(t, f.executions()["later"])
	})
}

// TestAHostDoesNotDelegateFurther: a host that reaches no server refuses what another one
// delegates to it, instead of passing it on.
func TestAHostDoesNotDelegateFurther(t *testing.T) {
	withDelegatingFleet(t, 14, nil, steadyBackends(4), func(f *delegatingFleet) {
		f.cutOff(cutReset, 0)
		delegated := f.delegated.Load()
		near, far := net.Pipe()
		f.hosts[0].acceptor.ServeDelegated(far, verbenastand.Origin{Host: "h9", Caller: "10.0.0.1:1"})
		_, _ = io.WriteString(near, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: far\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(near), nil)
		require.NoError(t, err)
		_ = near.Close()
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, delegated, f.delegated.Load())
	})
}

// TestALimitHoldsForDelegatedRequests: the host that sends a delegated request counts it
// against the limit that the server names.
func TestALimitHoldsForDelegatedRequests(t *testing.T) {
	limited := func(conn net.Conn, r *http.Request) {
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(conn, okResponse(r, "body", "X-Limit: 2"))
	}
	withDelegatingFleet(t, 2, nil, []*backend{{serve: limited}}, func(f *delegatingFleet) {
		f.cutOff(cutReset, 0)
		_, _ = f.load(0, "first", 10, 3*time.Second)
		before := len(f.hosts[1].requests())
		_, _ = f.load(0, "limited", 20, 4*time.Second)
		require.LessOrEqual(t, len(f.hosts[1].requests())-before, int(1.5*2*4)+5)
	})
}

// Guards against harmless requests that are taken for ones that crash servers, because a
// host loses its connections to all servers while they run (issue 26, RECOVER).
func TestALostLinkIsNoEvidenceOfCrashes(t *testing.T) {
	withDelegatingFleet(t, 14, atMostOnce, steadyBackends(8), func(f *delegatingFleet) {
		for _, i := range f.all() {
			_, _ = f.load(i, "warm", 2, time.Second)
		}
		hosts := zoneOf(14, 1)
		var pending sync.WaitGroup
		for _, i := range hosts {
			pending.Go(func() { _, _, _ = f.send(i, "POST", "popular") })
		}
		time.Sleep(20 * time.Millisecond)
		f.cut(cutReset, hosts...)
		pending.Wait()
		time.Sleep(time.Second)
		for _, i := range hosts {
			h := f.hosts[i]
			require.False(t, h.carrier.config.Quarantiner.Suspected(h.lastFingerprint()), "host %d", i)
		}
	})
}

// TestADelegatedRequestKeepsItsService: the host that received a request has drawn the
// service from the split of its route; another draw would shift the shares.
func TestADelegatedRequestKeepsItsService(t *testing.T) {
	split := func(c *verbenastand.RouteConfig) {
		c.Split = []verbenastand.WeightedService{verbenastand.NewWeightedService("svc", 1), verbenastand.NewWeightedService("other", 1)}
	}
	withHarness(t, split, steadyBackends(2), func(h *harness) {
		for i := range 10 {
			near, far := net.Pipe()
			h.acceptor.ServeDelegated(far, verbenastand.Origin{Host: "h9", Caller: "10.0.0.1:1", Service: "svc"})
			_, _ = fmt.Fprintf(near, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: split-%d\r\n\r\n", i)
			response, err := http.ReadResponse(bufio.NewReader(near), nil)
			require.NoError(t, err)
			_ = near.Close()
			require.Equal(t, http.StatusOK, response.StatusCode, "request %d", i)
		}
	})
}

// sendDelegated sends a request to a host as another one does that has lost the connection to
// a server.
func (h *harness) sendDelegated(path string, losses ...verbenastand.LossFinding) *http.Response {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	h.acceptor.ServeDelegated(far, verbenastand.Origin{Host: "h9", Caller: "10.0.0.1:1", Service: "svc", Attempts: len(losses), Losses: losses})
	_, _ = fmt.Fprintf(near, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: delegated\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(near), nil)
	require.NoError(h.t, err)
	return response
}

// lossOf returns the loss of a connection to a backend a moment ago.
func lossOf(server string, state verbenastand.ProcessState) verbenastand.LossFinding {
	return verbenastand.LossFinding{Examined: true, State: state, Loss: verbenastand.NewLoss(verbenastand.LossConfig{
		Server: verbenastand.ServerID(server), Service: "svc", Address: "10.0.0." + server[1:] + ":80", At: time.Now(),
	})}
}

// Guards against a delegated retry that is sent to the server under which the request has just
// lost its connection (issue 29, BUDGET). The only server is used all the same.
func TestADelegatedRetryAvoidsTheServerThatWasLost(t *testing.T) {
	const requests = 20
	for _, count := range []int{1, 2, 8} {
		for _, report := range []string{"1,0,6,1", "none"} {
			var servers []*backend
			for range count {
				servers = append(servers, &backend{serve: reply(delay), report: func() string { return report }})
			}
			withHarness(t, nil, servers, func(h *harness) {
				require.Equal(t, http.StatusOK, h.sendDelegated("/x/first").StatusCode)
				lost := h.requests()[0].server
				for i := range requests {
					response := h.sendDelegated(fmt.Sprint("/x/", i), lossOf(lost, verbenastand.ProcessUnknown))
					require.Equal(t, http.StatusOK, response.StatusCode)
					received := h.requests()
					require.Len(t, received, i+2)
					require.Equal(t, count == 1, received[i+1].server == lost, "%d servers", count)
					lost = received[i+1].server
				}
			})
		}
	}
}

// Guards against a delegated retry that crashes a server too many, because the host that sends
// it does not know yet which servers it has crashed on the host before (issue 29, BUDGET).
func TestADelegatedRetryBringsItsEvidence(t *testing.T) {
	cases := []struct {
		state  verbenastand.ProcessState
		served bool
	}{
		{verbenastand.ProcessEnded, false},
		// The server turns out to be running.
		{verbenastand.ProcessUnknown, true},
		{verbenastand.ProcessResponding, true},
	}
	for _, tc := range cases {
		t.Run(tc.state.String(), func(t *testing.T) {
			withHarness(t, nil, []*backend{{serve: reply(delay)}, {serve: reply(delay)}}, func(h *harness) {
				require.Equal(t, http.StatusOK, h.sendDelegated("/x/1").StatusCode)
				time.Sleep(3 * time.Second)
				before := h.requests()
				recordCrash(h.carrier.config.Quarantiner, h.lastFingerprint(), "gone")
				response := h.sendDelegated("/x/1", lossOf(before[0].server, tc.state))
				if tc.served {
					require.Equal(t, http.StatusOK, response.StatusCode)
					return
				}
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, "quarantined", response.Header.Get(verbenastand.HeaderReason))
				require.Len(t, h.requests(), len(before))
			})
		})
	}
}

// Guards against a busy server that counts as possibly crashed because the loss of a connection
// to it was sent with a delegated retry before it was examined.
func TestALossIsNoEvidenceBeforeItsExamination(t *testing.T) {
	for _, examined := range []bool{false, true} {
		var assign *harness
		var fingerprint quarantiner.Fingerprint
		var suspected atomic.Bool
		serve := func(conn net.Conn, r *http.Request) {
			suspected.Store(assign.carrier.config.Quarantiner.PossiblySuspected(fingerprint))
			reply(delay)(conn, r)
		}
		withHarness(t, nil, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
			assign = h
			_ = h.sendDelegated("/x/1")
			fingerprint = h.lastFingerprint()
			// The success of the first request clears evidence.
			time.Sleep(time.Second)
			loss := lossOf("s0", verbenastand.ProcessUnknown)
			loss.Examined = examined
			_ = h.sendDelegated("/x/1", loss)
			require.Len(t, h.requests(), 2)
			require.Equal(t, examined, suspected.Load())
		})
	}
}

// Guards against a request that reaches more servers than its route allows, because this
// host delegates it once more while another host may still be sending it.
func TestARequestIsDelegatedOnceAtATime(t *testing.T) {
	var servers []*backend
	for range 8 {
		servers = append(servers, &backend{serve: func(conn net.Conn, r *http.Request) {
			if r.URL.Path == "/x/stuck" {
				time.Sleep(3 * time.Second)
			}
			reply(40*time.Millisecond)(conn, r)
		}})
	}
	change := func(c *verbenastand.RouteConfig) { c.Timeout, c.MaxAttempts = 8*time.Second, 2 }
	withDelegatingFleet(t, 14, change, servers, func(f *delegatingFleet) {
		_, _ = f.load(0, "warm", 10, 2*time.Second)
		var pending sync.WaitGroup
		for i := range 6 {
			pending.Go(func() {
				conn := f.hosts[0].connect()
				_, _ = fmt.Fprintf(conn, "GET /x/stuck HTTP/1.1\r\nHost: a.example\r\nX-Id: stuck-%d\r\nX-Deadline: 8000\r\n\r\n", i)
				_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
				_ = conn.Close()
			})
		}
		time.Sleep(20 * time.Millisecond)
		f.cut(cutHang, 0)
		_, _ = f.load(0, "probe", 4, 2*time.Second)
		f.cut(cutReset, 0)
		pending.Wait()
		for i := range 6 {
			require.LessOrEqual(t, f.executions()[fmt.Sprint("stuck-", i)], 2, "request %d", i)
		}
	})
}
