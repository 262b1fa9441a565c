package carrier

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/delegator"
	"github.com/verbenastand/verbenastand/limiter"
)

const (
	evacuateAfter = time.Second
	// lookupValidity is how long callers use a lookup response, which names hosts of their zone.
	lookupValidity = 2 * time.Second
)

// sharingModel is a model whose servers and hosts are in three zones. All servers name limits, which the
// hosts of their zones share.
type sharingModel struct {
	*model
	hosts []verbenastand.Host
	// members are the hosts that are considered alive.
	members []verbenastand.Host
	// evacuated holds the evacuated zones.
	evacuated atomic.Pointer[[]verbenastand.Zone]
	// delegated counts the tunnels to other hosts. None is opened while refuses is set.
	delegated atomic.Int64
	refuses   atomic.Bool
}

// Hosts implements the membership of every host.
func (m *sharingModel) Hosts() []verbenastand.Host { return m.members }

// evacuate evacuates some zones, on all hosts at once.
func (m *sharingModel) evacuate(zones ...verbenastand.Zone) {
	m.evacuated.Store(&zones)
	for _, h := range m.harnesses {
		h.evacuate(zones...)
	}
}

// lift removes the limit of a server on all hosts.
func (m *sharingModel) lift(server int) {
	for _, h := range m.harnesses {
		h.limiter.Observe(limiter.Response{Process: h.currentView().Servers("svc")[server].Process(), Succeeded: true, SentAt: time.Now()})
	}
}

func newSharingModel(t *testing.T, c modelConfig, delegates bool) *sharingModel {
	m := &sharingModel{model: newModel(t, c)}
	for i := range c.hosts {
		m.hosts = append(m.hosts, verbenastand.NewHost(verbenastand.HostConfig{
			Instance: verbenastand.NewInstance(verbenastand.HostID(fmt.Sprint("h", i)), 1), Zone: zoneNumber(i),
		}))
	}
	m.members = m.hosts
	for i, h := range m.harnesses {
		h.hostCount = c.hosts
		h.limiter = limiter.NewLimiter(limiter.Config{
			Clock: wallClock{}, Self: m.hosts[i].ID(), Hosts: func(verbenastand.ServerProcess) []verbenastand.Host { return m.hosts },
		})
		h.balancer = balancer.NewBalancer(balancer.Config{
			Clock: wallClock{}, Zone: zoneNumber(i), HealthChecker: h.checker, Limiter: h.limiter, Excluder: h.excluder,
		})
		h.carrier.config.Self, h.carrier.config.Limiter, h.carrier.config.Balancer = m.hosts[i].ID(), h.limiter, h.balancer
		if delegates {
			h.carrier.config.Delegator = delegator.NewDelegator(delegator.Config{
				Self: m.hosts[i], Membership: m, Tunnel: m.tunnel,
				Evacuated: func(z verbenastand.Zone) bool { return slices.Contains(*m.evacuated.Load(), z) },
			})
		}
	}
	m.evacuate()
	for _, h := range m.harnesses {
		for _, r := range h.currentView().Servers("svc") {
			h.limiter.Observe(limiter.Response{Process: r.Process(), Named: true, Text: fmt.Sprint(c.limit), Succeeded: true, SentAt: time.Now()})
		}
	}
	return m
}

// tunnel connects to the acceptor of a host, as the forwarder does.
func (m *sharingModel) tunnel(_ context.Context, host verbenastand.Host, origin verbenastand.Origin) (net.Conn, error) {
	time.Sleep(3 * time.Millisecond)
	if m.refuses.Load() {
		return nil, errors.New("refused")
	}
	m.delegated.Add(1)
	number, _ := strconv.Atoi(strings.TrimPrefix(string(host.ID()), "h"))
	near, far := net.Pipe()
	m.harnesses[number].acceptor.ServeDelegated(far, origin)
	return near, nil
}

// run runs the pattern: callers use hosts of their zones, and those of the evacuated zone hosts of
// others once their lookup responses are no longer valid.
func (m *sharingModel) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, s := range m.servers {
		go s.simulateNoise(ctx)
	}
	began := time.Now()
	timer := time.AfterFunc(evacuateAfter, func() { m.evacuate("z0") })
	defer timer.Stop()
	random := rand.New(rand.NewPCG(7, 7+m.config.seed))
	rate := m.config.load * m.config.limit * float64(m.config.servers*2/3)
	for i := 0; time.Since(began) < m.config.length; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		host := random.IntN(m.config.hosts)
		valid := time.Duration(random.Float64() * float64(lookupValidity))
		for zoneNumber(host) == "z0" && time.Since(began) > evacuateAfter+valid {
			host = random.IntN(m.config.hosts)
		}
		m.callers.Go(func() { m.call(m.config.caller(host, i), "/x/1", fmt.Sprintf("%d-%d", host, i)) })
	}
	m.finish(cancel)
}

// mostAtAServer returns the largest number of requests that a server got within a window.
func (m *sharingModel) mostAtAServer() (most int) {
	times := make(map[string][]time.Time)
	for _, h := range m.harnesses {
		for _, r := range h.requests() {
			times[r.server] = append(times[r.server], r.at)
		}
	}
	for _, list := range times {
		slices.SortFunc(list, time.Time.Compare)
		most = max(most, mostInWindow(list))
	}
	return most
}

// Guards against requests that hosts of an evacuated zone refuse although the limits of the servers
// elsewhere allow them. Pattern: all servers name limits, a zone is evacuated after a second, and its callers
// use its hosts until their lookup responses expire. load is relative to the limits of the two other zones.
func TestHostsOfAnEvacuatedZoneDelegateWhatTheyHaveNoShareFor(t *testing.T) {
	cases := []struct {
		limit, load float64
		// refused bounds the refused requests, relative to those without delegation.
		refused float64
	}{
		{10, 0.5, 0.5}, {25, 0.5, 0.1}, {25, 0.8, 0.1}, {25, 1.2, 1},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("limit %g, load %g", tc.limit, tc.load), func(t *testing.T) {
			var served, refused [2]int64
			for i, delegates := range []bool{false, true} {
				for seed := range uint64(2) {
					synctest.Test(t, func(t *testing.T) {
						m := newSharingModel(t, typicalServers(func(c *modelConfig) {
							c.hosts, c.limit, c.load, c.length, c.seed = 15, tc.limit, tc.load, 4*time.Second, seed
						}), delegates)
						m.run(t)
						t.Logf("delegation %t: %d delegated, %s", delegates, m.delegated.Load(), m)
						served[i] += m.inTime.Load() + m.late.Load()
						refused[i] += m.refused.Load()
						require.LessOrEqual(t, m.mostAtAServer(), allowedInWindow(tc.limit))
						require.Equal(t, delegates, m.delegated.Load() > 0)
					})
				}
			}
			require.LessOrEqual(t, float64(refused[1]), tc.refused*float64(refused[0]))
			require.GreaterOrEqual(t, served[1], served[0])
		})
	}
}

// Guards against requests that are delegated without need, in a circle or without end, and against
// refusals that do not say that the request has not been executed.
func TestDelegationFromAnEvacuatedZone(t *testing.T) {
	const own, sameZone = 0, 3
	cases := []struct {
		name      string
		change    func(m *sharingModel)
		status    int
		delegated int64
		// explained is set if the request is said to be delegated.
		explained bool
	}{
		{"another host has a share", func(m *sharingModel) { m.evacuate("z0") }, http.StatusOK, 1, true},
		{"no evacuation", func(*sharingModel) {}, http.StatusOK, 0, false},
		{"another zone is evacuated", func(m *sharingModel) { m.evacuate("z1") }, http.StatusOK, 0, false},
		{"the evacuation has ended", func(m *sharingModel) {
			m.evacuate("z0")
			m.evacuate()
		}, http.StatusOK, 0, false},
		{"all zones are evacuated", func(m *sharingModel) { m.evacuate("z0", "z1", "z2") }, http.StatusServiceUnavailable, 0, false},
		{"a server has no limit", func(m *sharingModel) {
			m.lift(1)
			m.evacuate("z0")
		}, http.StatusOK, 0, false},
		{"the other hosts are not reached", func(m *sharingModel) {
			m.refuses.Store(true)
			m.evacuate("z0")
		}, http.StatusServiceUnavailable, 0, true},
		{"all other hosts have no share", func(m *sharingModel) {
			m.members = []verbenastand.Host{m.hosts[own], m.hosts[sameZone]}
			m.evacuate("z0")
		}, http.StatusServiceUnavailable, 1, true},
	}
	for _, tc := range cases {
		for _, method := range []string{"GET", "POST"} {
			t.Run(tc.name+", "+method, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newSharingModel(t, typicalServers(func(c *modelConfig) { c.hosts, c.servers, c.limit = 6, 3, 20 }), true)
					time.Sleep(time.Second)
					tc.change(m)
					h := m.harnesses[own]
					require.Equal(t, tc.explained, h.carrier.Explain(RouteQuery{HostName: "a.example", Path: "/x/1"}).Step == DelegatedStep)
					response, _ := h.call(method, "/x/1", "")
					require.Equal(t, tc.status, response.StatusCode)
					require.Equal(t, tc.delegated, m.delegated.Load())
					received := 0
					for _, h := range m.harnesses {
						received += len(h.requests())
					}
					if tc.status == http.StatusOK {
						require.Equal(t, 1, received)
					} else {
						require.Zero(t, received)
						require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
						require.NotEmpty(t, response.Header.Get("Retry-After"))
					}
					m.finish(func() {})
				})
			})
		}
	}
}
