package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/merger"
	"github.com/verbenastand/verbenastand/quarantiner"
)

const (
	defaultSoakSeconds = 10
	defaultSoakSeed    = 1
	soakCallers        = 12
	faultInterval      = 400 * time.Millisecond
	convergenceLimit   = 10 * time.Second
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// soak injects all faults at random under load, and checks the guarantees against
// the servers' record of the requests that ran.
type soak struct {
	*cluster
	random *rand.Rand
	ticket verbenastand.TicketNumber
	counts map[string]int

	mu            sync.Mutex
	drainingSince map[string]time.Time
	hostStarts    []time.Time
	stop          chan struct{}
	wg            sync.WaitGroup
}

// TestEntrySoak injects faults for SOAK_SECONDS, with the random seed SOAK_SEED.
func TestEntrySoak(t *testing.T) {
	seed, seconds := envInt("SOAK_SEED", defaultSoakSeed), envInt("SOAK_SECONDS", defaultSoakSeconds)
	s := &soak{
		cluster: newCluster(t, clusterConfig{deployment: emulator.Qalib().Reduced(4, 3), entries: 5, relayed: true, flags: []string{"--drain-timeout", "10s"}}),
		random:  rand.New(rand.NewPCG(uint64(seed), 0)), counts: make(map[string]int),
		drainingSince: make(map[string]time.Time), stop: make(chan struct{}), ticket: 1,
	}
	s.wg.Go(s.watchTickets)
	finish := s.startLoad(soakCallers, s.request)
	started := time.Now()
	for time.Since(started) < time.Duration(seconds)*time.Second {
		s.injectFault()
		time.Sleep(faultInterval)
	}
	s.endFaults()
	results := finish()
	close(s.stop)
	s.wg.Wait()
	s.check(results)
	t.Logf("seed %d, %d s, %d requests, faults %v", seed, seconds, len(results), s.counts)
}

// request returns the n-th request of the load.
func (s *soak) request(n int) emulator.Request {
	id := "q" + strconv.Itoa(n)
	switch n % 5 {
	case 0, 1:
		r := keyedRequest(id, 0)
		r.Timeout = 2 * time.Second
		return r
	case 2:
		r := getRequest("patterns", id, 0)
		r.Path, r.Size, r.Timeout = "/long/template", 300_000, 2*time.Second
		return r
	}
	r := getRequest("catalogue", id, 0)
	if n%5 == 3 {
		r.Service = "ledger"
	}
	r.Timeout = 2 * time.Second
	return r
}

func (s *soak) pickEntry() *entry { return s.entries[s.random.IntN(len(s.entries))] }

func (s *soak) pickServer() verbenastand.ServerID {
	service := s.deployment.Services[s.random.IntN(3)]
	return emulator.ServerName(service.Name, s.random.IntN(service.Servers))
}

// injectFault injects a randomly chosen fault.
func (s *soak) injectFault() {
	faults := []struct {
		name string
		run  func()
	}{
		{"kill host", func() {
			e := s.pickEntry()
			e.kill()
			s.restart(e)
		}},
		{"freeze host", func() {
			e := s.pickEntry()
			e.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(100+s.random.IntN(1500)) * time.Millisecond)
			e.signal(syscall.SIGCONT)
		}},
		{"stop host", func() {
			e := s.pickEntry()
			e.signal(syscall.SIGTERM)
			<-e.done
			s.restart(e)
		}},
		{"kill server", func() {
			p := s.servers[s.pickServer()]
			p.kill()
			time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
			p.start(s.t)
		}},
		{"freeze server", func() {
			p := s.servers[s.pickServer()]
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		}},
		{"faulty server", func() {
			query := []string{"slow=10", "failing", "shedding", "lying", "truncating", ""}
			s.setFault(s.pickServer(), query[s.random.IntN(len(query))])
		}},
		{"draining server", func() {
			id := emulator.ServerName("ledger", s.random.IntN(3))
			s.setFault(id, "draining")
			s.mu.Lock()
			if _, known := s.drainingSince[string(id)]; !known {
				s.drainingSince[string(id)] = time.Now()
			}
			s.mu.Unlock()
		}},
		{"partition hosts", func() {
			s.partitioned.Store(true)
			time.Sleep(time.Duration(200+s.random.IntN(7000)) * time.Millisecond)
			s.partitioned.Store(false)
		}},
		{"crashing request", s.sendCrashingRequest},
		{"ticket", func() {
			s.ticket++
			s.publish(merger.Ticket{Number: s.ticket, Services: []merger.ServiceObject{{Name: "extra", Timeout: fmt.Sprintf("%ds", 1+s.ticket%9)}}})
		}},
		{"platform", func() {
			mode := []string{"up", "down", "stalled", "stale&at=1"}
			s.post(s.platformAddress, "/emulator/mode?mode="+mode[s.random.IntN(len(mode))], nil)
		}},
	}
	f := faults[s.random.IntN(len(faults))]
	s.counts[f.name]++
	started := time.Now()
	f.run()
	s.t.Logf("%s to %s: %s%s", started.Format("05.000"), time.Now().Format("05.000"), f.name, s.unexpectedEnds())
}

// unexpectedEnds describes the hosts that are not running after a fault, although
// every fault leaves all of them running.
func (s *soak) unexpectedEnds() string {
	var text strings.Builder
	for _, e := range s.entries {
		if !e.running() {
			fmt.Fprintf(&text, "; %s: %s", e.id, e.ended)
		}
	}
	return text.String()
}

// sendCrashingRequest sends a request that crashes its servers through several hosts
// one after the other, and restarts the crashed servers.
func (s *soak) sendCrashingRequest() {
	id := fmt.Sprint("crash-", s.counts["crashing request"])
	c := s.caller()
	for range 6 {
		r := emulator.Request{Service: "catalogue", Method: http.MethodGet, Path: "/crash/" + id, ID: id, Timeout: time.Second}
		c.Send(context.Background(), s.pickEntry().call, r, "", 0)
	}
	require.LessOrEqual(s.t, s.runsWithID(id), quarantiner.CrashLimit, "servers lost to one request")
	for _, p := range s.servers {
		if !p.running() {
			p.start(s.t)
		}
	}
}

// endFaults ends all faults but the draining of servers.
func (s *soak) endFaults() {
	s.post(s.platformAddress, "/emulator/mode?mode=up", nil)
	for id, p := range s.servers {
		if !p.running() {
			p.start(s.t)
		}
		if !strings.HasPrefix(string(id), "ledger") {
			s.waitUntil("server "+string(id), func() bool { return s.get(s.serverAddresses[id], "/emulator/figures") != "" })
			s.setFault(id, "")
		}
	}
}

// watchTickets asserts that the ticket number of a running instance never decreases.
func (s *soak) watchTickets() {
	highest := make(map[string]int64)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, e := range s.entries {
			status := s.status(e)
			if status == nil {
				continue
			}
			if status.TicketNumber < highest[status.Instance] {
				s.t.Errorf("the ticket number of %s decreased from %d to %d", status.Instance, highest[status.Instance], status.TicketNumber)
			}
			highest[status.Instance] = status.TicketNumber
		}
	}
}

func (s *soak) check(results []emulator.Result) {
	s.checkKeys(results)
	complete := 0
	for _, r := range results {
		if r.Complete {
			complete++
		}
	}
	incomplete := len(results) - complete
	s.t.Logf("%d complete responses, %d requests without", complete, incomplete)
	s.checkDraining()
	s.checkConverged()
	s.checkProbeBudget()
}

// checkDraining asserts that no request reached a server more than 4 s after it began
// to drain. Requests shortly after the start of a host are exempt, because a host
// that starts during a partition learns that a server drains only from the server's
// first response or from its first probe.
func (s *soak) checkDraining() {
	const limit = 4 * time.Second
	for _, r := range s.runs() {
		since, draining := s.drainingSince[string(r.Server)]
		if !draining || r.At.Sub(since) <= limit || s.startedWithin(r.At.Add(-limit), r.At) {
			continue
		}
		require.Fail(s.t, "request at a draining server", "%s, %s after, at %s", r.Server, r.At.Sub(since), r.At.Format("05.000"))
	}
}

// startedWithin reports whether a host was started in the given period.
func (s *soak) startedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(s.hostStarts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// restart starts a host again and records the time.
func (s *soak) restart(e *entry) {
	e.start(s.t)
	s.hostStarts = append(s.hostStarts, time.Now())
}

// checkConverged asserts that all hosts hold the newest ticket, that no host exited
// unexpectedly, and that requests succeed again.
func (s *soak) checkConverged() {
	started := time.Now()
	s.waitUntil("one configuration everywhere", func() bool {
		digest := ""
		for _, e := range s.entries {
			status := s.status(e)
			if status == nil || status.TicketNumber != int64(s.ticket) || digest != "" && status.TicketDigest != digest {
				return false
			}
			digest = status.TicketDigest
		}
		return true
	})
	require.Less(s.t, time.Since(started), convergenceLimit)
	for _, e := range s.entries {
		if !e.running() {
			require.Fail(s.t, "a host exited", "%s: %s\n%s", e.id, e.ended, e.output)
		}
		require.Zero(s.t, s.status(e).InvariantFailures)
	}
	s.waitUntil("a request succeeds", func() bool {
		return s.caller().Do(context.Background(), emulator.Request{Service: "bookings", Method: http.MethodPost, Path: "/reserve", ID: "end", Timeout: time.Second, Keyed: true}).Complete
	})
}

// checkProbeBudget asserts that the probes of all hosts stay within their budget, a
// fraction of each server's slot time since the start of the cluster.
func (s *soak) checkProbeBudget() {
	const budget, cost = 0.01, 6 * time.Millisecond
	for id := range s.servers {
		figures := s.get(s.serverAddresses[id], "/emulator/figures")
		var runs, probes, mostRunning int
		_, err := fmt.Sscanf(figures, "runs=%d probes=%d mostRunning=%d", &runs, &probes, &mostRunning)
		require.NoError(s.t, err, "%s: %q", id, figures)
		seconds := time.Since(s.started).Seconds()
		allowed := budget * emulator.Slots * seconds / cost.Seconds()
		require.LessOrEqual(s.t, float64(probes), allowed+1, "probes of %s", id)
	}
}
