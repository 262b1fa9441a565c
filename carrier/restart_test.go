package carrier

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/quarantiner"
)

const (
	// registrationDelay is how long after its start the registration of a server reaches
	// the hosts.
	registrationDelay = 300 * time.Millisecond
	// registrationLifetime is how long the registration of a crashed server remains.
	registrationLifetime = 4500 * time.Millisecond
	// cutTime is how long a host is cut off at the moment of a crash.
	cutTime = 2 * time.Second
	// gossipInterval is the time between two exchanges of evidence.
	gossipInterval = 50 * time.Millisecond
)

// restartingServer is a server that crashes under requests below /x/crash, and starts
// again at its address.
type restartingServer struct {
	service *restartingService
	address string
	// id and startTime identify the current process; up is set while it runs.
	id        string
	startTime int64
	up        bool
	// conns holds the open connections with their hosts.
	conns map[net.Conn]int
	// cutFrom holds the hosts that can't reach the server.
	cutFrom map[int]bool
}

// restartConfig describes how the servers of a restartingService crash and start again.
type restartConfig struct {
	servers int
	// down is the number of servers that have crashed, but are still registered.
	down int
	// restartAfter is how long a crashed server is down, zero if it is back at once.
	restartAfter time.Duration
	// sameID is set if a server keeps its ID.
	sameID bool
	// cutAtCrash is set if the host whose request crashes a server is cut off from all servers
	// at that moment, for cutTime.
	cutAtCrash bool
}

// restartingService is a set of servers that a fleet of hosts shares.
type restartingService struct {
	config restartConfig
	fleet  *delegatingFleet
	// evidence holds the quarantiner of each host.
	evidence []*quarantiner.Quarantiner

	mu            sync.Mutex
	servers       []*restartingServer
	registrations map[string]verbenastand.Registration
	// slow is set while health checks take longer than an examination.
	slow bool
	// runs counts the runs that crashed a server, by path.
	runs map[string]int
}

// withRestartingService runs a test in virtual time with a fleet whose hosts exchange
// evidence.
func withRestartingService(t *testing.T, hosts int, c restartConfig, test func(s *restartingService)) {
	t.Helper()
	backends := make([]*backend, c.servers)
	for i := range backends {
		backends[i] = &backend{}
	}
	change := func(c *verbenastand.RouteConfig) { c.MaxAttempts = 2 }
	withDelegatingFleet(t, hosts, change, backends, func(f *delegatingFleet) {
		s := &restartingService{config: c, fleet: f, registrations: make(map[string]verbenastand.Registration), runs: make(map[string]int)}
		for i := range c.servers {
			server := &restartingServer{service: s, address: fmt.Sprintf("10.0.0.%d:80", i), cutFrom: make(map[int]bool)}
			s.servers = append(s.servers, server)
			s.start(server)
			if i < c.down {
				server.stop()
			}
		}
		ctx, cancel := context.WithCancel(f.t.Context())
		for i, h := range f.hosts {
			h.open = func(address string) (net.Conn, error) { return s.open(i, address) }
			s.evidence = append(s.evidence, nil)
			s.restartHost(i)
			f.watches[i]()
		}
		defer s.stop()
		defer cancel()
		go s.gossip(ctx)
		time.Sleep(2 * registrationDelay)
		test(s)
	})
}

// restartHost discards what a host knows of evidence, once it handles nothing: handlers read
// the configuration that is replaced after their responses were written.
func (s *restartingService) restartHost(i int) {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence[i] = quarantiner.NewQuarantiner(quarantiner.Config{Clock: wallClock{}})
	s.fleet.hosts[i].carrier.config.Quarantiner = s.evidence[i]
}

func (s *restartingService) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.stop()
	}
}

// gossip spreads evidence, as the gossiper does.
func (s *restartingService) gossip(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(gossipInterval)
		s.mu.Lock()
		evidence := slices.Clone(s.evidence)
		s.mu.Unlock()
		for i, from := range evidence {
			to := evidence[(i+1+5*round)%len(evidence)]
			for _, pair := range [][2]*quarantiner.Quarantiner{{from, to}, {to, from}} {
				for _, e := range pair[0].Evidence(quarantiner.MaxSuspects) {
					pair[1].Merge(e)
				}
			}
		}
	}
}

// start starts a server. The caller must hold the lock, or be the only one to use s.
func (s *restartingService) start(server *restartingServer) {
	if server.id == "" || !s.config.sameID {
		server.id = fmt.Sprintf("%s-%d", server.address, time.Now().UnixMilli())
	}
	server.startTime, server.up, server.conns = time.Now().UnixMilli(), true, make(map[net.Conn]int)
	r := verbenastand.NewRegistration(verbenastand.RegistrationConfig{
		Server: verbenastand.ServerID(server.id), StartTime: server.startTime, Service: "svc", Zone: "z", Address: server.address, Slots: 6,
	})
	time.AfterFunc(registrationDelay, func() { s.register(r) })
}

func (s *restartingService) register(r verbenastand.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrations[string(r.Server())] = r
	s.updateViews()
}

func (s *restartingService) unregister(r verbenastand.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registrations[string(r.Server())].SameProcess(r) {
		delete(s.registrations, string(r.Server()))
	}
	s.updateViews()
}

func (s *restartingService) updateViews() {
	var list []verbenastand.Registration
	for _, r := range s.registrations {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b verbenastand.Registration) int { return cmp.Compare(a.Server(), b.Server()) })
	for _, h := range s.fleet.hosts {
		h.setView(verbenastand.NewView(verbenastand.ViewConfig{
			Table: h.table, Servers: map[verbenastand.ServiceName][]verbenastand.Registration{"svc": list},
		}))
	}
}

// crash ends the process of a server, which starts again later. The caller must hold the
// lock.
func (s *restartingService) crash(server *restartingServer) {
	server.stop()
	if r, found := s.registrations[server.id]; found {
		time.AfterFunc(registrationLifetime, func() { s.unregister(r) })
	}
	if s.config.restartAfter == 0 {
		s.start(server)
		return
	}
	time.AfterFunc(s.config.restartAfter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.start(server)
	})
}

func (server *restartingServer) stop() {
	server.up = false
	for c := range server.conns {
		_ = c.Close()
	}
	clear(server.conns)
}

// open connects a host to the server at an address.
func (s *restartingService) open(host int, address string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.address != address || !server.up || server.cutFrom[host] {
			continue
		}
		near, far := net.Pipe()
		server.conns[far] = host
		go s.serve(server, far, server.id)
		return near, nil
	}
	return nil, errors.New("connection refused")
}

// cut resets the connections of hosts to some servers and refuses new ones, until heal.
func (s *restartingService) cut(hosts, servers []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range servers {
		for _, host := range hosts {
			s.servers[i].cutFrom[host] = true
		}
		for c, host := range s.servers[i].conns {
			if s.servers[i].cutFrom[host] {
				delete(s.servers[i].conns, c)
				_ = c.Close()
			}
		}
	}
}

// heal ends all cuts.
func (s *restartingService) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		clear(server.cutFrom)
	}
}

// warm opens connections between all hosts and servers.
func (s *restartingService) warm() {
	var calls sync.WaitGroup
	for range 6 * s.config.servers {
		for i := range s.fleet.hosts {
			calls.Go(func() { _, _, _ = s.fleet.send(i, "GET", "warm") })
		}
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
}

func (s *restartingService) serve(server *restartingServer, conn net.Conn, id string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case r.URL.Path == "/health":
			if s.isSlow() {
				time.Sleep(2 * identificationTimeout)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance: %s\r\nX-Load: 1,0,6,1\r\nContent-Length: 0\r\n\r\n", id)
		case r.Header.Get("X-Expected") != id:
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		case strings.HasPrefix(r.URL.Path, "/x/reset"):
			s.mu.Lock()
			s.slow = true
			s.mu.Unlock()
			return
		case strings.HasPrefix(r.URL.Path, "/x/crash"):
			time.Sleep(delay)
			s.mu.Lock()
			host, open := server.conns[conn]
			if open {
				s.runs[r.URL.Path]++
				s.crash(server)
			}
			s.mu.Unlock()
			if open && s.config.cutAtCrash {
				s.cut([]int{host}, hostRange(0, s.config.servers))
				time.AfterFunc(cutTime, s.heal)
			}
			return
		default:
			reply(delay)(conn, r)
		}
	}
}

func (s *restartingService) isSlow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

// crashes returns how many servers have crashed under the requests to a path.
func (s *restartingService) crashes(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

// serves reports whether a host serves a request, or one of its caller's retries.
func (s *restartingService) serves(host int, path string) bool {
	const attempts = 4
	for range attempts {
		status, header, _ := s.fleet.send(host, "GET", path)
		if status == http.StatusOK {
			return true
		}
		s.fleet.t.Logf("host %d: %d %s", host, status, header.Get(verbenastand.HeaderReason))
		time.Sleep(refusedRetryAfter)
	}
	return false
}

// sendCopies sends copies of a crashing request to the hosts in turn.
func (s *restartingService) sendCopies(path string, count int, interval time.Duration) {
	for i := range count {
		status, header, _ := s.fleet.send(i*5%len(s.fleet.hosts), "GET", path)
		s.fleet.t.Logf("copy %d: %d %s, %d servers crashed", i, status, header.Get(verbenastand.HeaderReason), s.crashes("/x/"+path))
		time.Sleep(interval)
	}
}

// Guards against a request that crashes further servers because, while nothing else of the
// service responds, its crashes leave no evidence (issue 29, BUDGET).
func TestACrashIsProvedThoughNothingElseResponds(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		restartConfig
	}{
		{"all servers up", 14, restartConfig{servers: 8, restartAfter: 2500 * time.Millisecond}},
		{"six of eight down", 14, restartConfig{servers: 8, down: 6, restartAfter: 2500 * time.Millisecond}},
		{"six of eight down, the same IDs", 14, restartConfig{servers: 8, down: 6, restartAfter: 2500 * time.Millisecond, sameID: true}},
		{"seven of eight down", 14, restartConfig{servers: 8, down: 7, restartAfter: 2500 * time.Millisecond}},
		{"seven of eight down, the same IDs", 14, restartConfig{servers: 8, down: 7, restartAfter: 2500 * time.Millisecond, sameID: true}},
		{"two servers, back at once", 14, restartConfig{servers: 2}},
		{"eight servers, back at once", 14, restartConfig{servers: 8}},
		{"eight servers, back at once under their IDs", 14, restartConfig{servers: 8, sameID: true}},
		{"one server", 14, restartConfig{servers: 1, restartAfter: 2500 * time.Millisecond}},
		{"seven of eight down, one host", 1, restartConfig{servers: 8, down: 7, restartAfter: 2500 * time.Millisecond}},
		{"seven of eight down, 56 hosts", 56, restartConfig{servers: 8, down: 7, restartAfter: 2500 * time.Millisecond}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withRestartingService(t, tc.hosts, tc.restartConfig, func(s *restartingService) {
				s.sendCopies("crash", 12, 3*time.Second)
				require.LessOrEqual(s.fleet.t, s.crashes("/x/crash"), quarantiner.CrashLimit)
				require.True(s.fleet.t, s.serves(0, "other"), "other requests are served")
			})
		})
	}
}

// Guards against a host that takes a service for unreached although one of its servers is up,
// because it looks for one among those that are down (issue 29, BUDGET: harmless requests are
// served). Hosts that are not alone ask each other.
func TestALoneHostFindsTheOnlyServerThatIsUp(t *testing.T) {
	const rounds = 10
	for round := range rounds {
		c := restartConfig{servers: 8, down: 7, restartAfter: 2500 * time.Millisecond}
		withRestartingService(t, 1, c, func(s *restartingService) {
			s.sendCopies("crash", 12, 3*time.Second)
			require.True(s.fleet.t, s.serves(0, "other"), "round %d", round)
		})
	}
}

// Guards against harmless requests that are refused because connections to running servers
// were lost while they ran (issue 26, RECOVER; issue 29, BUDGET).
func TestLostConnectionsQuarantineNoInnocentRequest(t *testing.T) {
	const hosts, servers = 14, 8
	cases := []struct {
		name    string
		hosts   []int
		servers []int
		// healed is set if the requests are sent after the cut.
		healed bool
		within time.Duration
	}{
		{"a zone is cut off from all servers", zoneOf(hosts, 1), hostRange(0, servers), false, 4 * time.Second},
		{"a zone is cut off from half of the servers", zoneOf(hosts, 1), hostRange(0, servers/2), false, 4 * time.Second},
		{"a zone is cut off from all servers but one", zoneOf(hosts, 1), hostRange(1, servers), false, 4 * time.Second},
		{"half of the hosts are cut off from half of the servers", hostRange(0, hosts/2), hostRange(0, servers/2), false, 4 * time.Second},
		{"all hosts were cut off from all servers", hostRange(0, hosts), hostRange(0, servers), true, 4 * time.Second},
		{"all hosts were cut off from half of the servers", hostRange(0, hosts), hostRange(0, servers/2), true, 4 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withRestartingService(t, hosts, restartConfig{servers: servers}, func(s *restartingService) {
				s.warm()
				time.Sleep(2 * time.Second)
				var calls sync.WaitGroup
				for i := range s.fleet.hosts {
					for range 3 {
						calls.Go(func() { _, _, _ = s.fleet.send(i, "GET", "popular") })
					}
				}
				time.Sleep(delay / 2)
				s.cut(tc.hosts, tc.servers)
				calls.Wait()
				if tc.healed {
					time.Sleep(time.Second)
					s.heal()
				}
				end := time.Now().Add(tc.within)
				for time.Now().Before(end) {
					for i := range s.fleet.hosts {
						calls.Go(func() { _, _, _ = s.fleet.send(i, "GET", "popular") })
					}
					time.Sleep(200 * time.Millisecond)
				}
				calls.Wait()
				for i := range s.fleet.hosts {
					require.True(s.fleet.t, s.serves(i, "popular"), "host %d", i)
				}
			})
		})
	}
}

// Guards against crashes that go unproved because hosts are cut off from servers meanwhile
// (issue 29, BUDGET).
func TestCrashesBesideCutsAreProved(t *testing.T) {
	const hosts, servers = 14, 8
	cases := []struct {
		name           string
		hosts, servers []int
	}{
		{"a zone is cut off from all servers", zoneOf(hosts, 1), hostRange(0, servers)},
		{"a zone is cut off from half of the servers", zoneOf(hosts, 1), hostRange(0, servers/2)},
		{"half of the hosts are cut off from all servers but one", hostRange(0, hosts/2), hostRange(1, servers)},
		{"one host reaches the servers", hostRange(1, hosts), hostRange(0, servers)},
	}
	for _, tc := range cases {
		for _, restartAfter := range []time.Duration{0, 2500 * time.Millisecond} {
			t.Run(fmt.Sprint(tc.name, ", back after ", restartAfter), func(t *testing.T) {
				withRestartingService(t, hosts, restartConfig{servers: servers, restartAfter: restartAfter}, func(s *restartingService) {
					s.warm()
					s.cut(tc.hosts, tc.servers)
					time.Sleep(time.Second)
					s.sendCopies("crash", 12, 3*time.Second)
					require.LessOrEqual(s.fleet.t, s.crashes("/x/crash"), quarantiner.SharedCrashLimit)
					require.True(s.fleet.t, s.serves(0, "other"), "other requests are served")
				})
			})
		}
	}
}

// Guards against a server that is taken for crashed because it closes a connection and then
// responds late, as it does while it is busy.
func TestABusyServerIsNotTakenForCrashed(t *testing.T) {
	withRestartingService(t, 2, restartConfig{servers: 4}, func(s *restartingService) {
		s.warm()
		_, _, _ = s.fleet.send(0, "GET", "reset")
		time.Sleep(3 * time.Second)
		require.True(s.fleet.t, s.isSlow())
		for _, e := range s.evidence[0].Evidence(quarantiner.MaxSuspects) {
			require.Empty(s.fleet.t, e.Losses)
		}
	})
}

// Guards against crashes that go unproved because the host that ran the request is cut off at
// that moment, or because hosts restart and forget them (issue 29, BUDGET).
func TestCrashesAreProvedBesideRestartsAndCutsOfTheirHosts(t *testing.T) {
	const hosts = 14
	cases := []struct {
		name string
		restartConfig
		// restarts is set if another host restarts after each copy.
		restarts bool
	}{
		{"the host is cut off at the moment of the crash", restartConfig{servers: 8, restartAfter: 2500 * time.Millisecond, cutAtCrash: true}, false},
		{"the same, servers back at once", restartConfig{servers: 8, cutAtCrash: true}, false},
		{"the same, under their IDs", restartConfig{servers: 8, cutAtCrash: true, sameID: true}, false},
		{"the same, six of eight down", restartConfig{servers: 8, down: 6, restartAfter: 2500 * time.Millisecond, cutAtCrash: true}, false},
		{"hosts restart", restartConfig{servers: 8, restartAfter: 2500 * time.Millisecond}, true},
		{"hosts restart, six of eight down", restartConfig{servers: 8, down: 6, restartAfter: 2500 * time.Millisecond}, true},
		{"hosts restart, servers back at once", restartConfig{servers: 8}, true},
		{"hosts restart, the host is cut off", restartConfig{servers: 8, cutAtCrash: true, restartAfter: 2500 * time.Millisecond}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withRestartingService(t, hosts, tc.restartConfig, func(s *restartingService) {
				s.warm()
				for i := range 12 {
					host := i * 5 % hosts
					status, header, _ := s.fleet.send(host, "GET", "crash")
					s.fleet.t.Logf("copy %d: %d %s, %d servers crashed", i, status, header.Get(verbenastand.HeaderReason), s.crashes("/x/crash"))
					time.Sleep(time.Second)
					if tc.restarts {
						s.restartHost(host)
					}
					time.Sleep(2 * time.Second)
				}
				require.LessOrEqual(s.fleet.t, s.crashes("/x/crash"), quarantiner.SharedCrashLimit)
				require.True(s.fleet.t, s.serves(0, "other"), "other requests are served")
			})
		})
	}
}

// Guards against two crashes of one server that count as one, because the host to which a
// retry is delegated sends it to the same server, which has started again and is not registered
// yet (issue 29, BUDGET).
func TestADelegatedRetryCrashesNoServerTwice(t *testing.T) {
	const rounds = 10
	for round := range rounds {
		withRestartingService(t, 14, restartConfig{servers: 2, cutAtCrash: true, sameID: true}, func(s *restartingService) {
			s.warm()
			began := time.Now().UnixMilli()
			_, _, _ = s.fleet.send(0, "GET", "crash")
			s.mu.Lock()
			restarted := 0
			for _, server := range s.servers {
				if server.startTime >= began {
					restarted++
				}
			}
			s.mu.Unlock()
			require.Equal(s.fleet.t, s.crashes("/x/crash"), restarted, "round %d", round)
		})
	}
}
