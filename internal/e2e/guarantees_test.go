package e2e

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/forwarder"
	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/merger"
	"github.com/verbenastand/verbenastand/quarantiner"
)

func smallDeployment() emulator.Deployment { return emulator.Qalib().Reduced(3, 2) }

func keyedRequest(id string, workMs int) emulator.Request {
	return emulator.Request{
		Service: "bookings", Method: http.MethodPost, Path: "/reserve", ID: id, Body: []byte("tin"),
		Timeout: 4 * time.Second, Keyed: true, WorkMs: workMs,
	}
}

func getRequest(service verbenastand.ServiceName, id string, workMs int) emulator.Request {
	return emulator.Request{Service: service, Method: http.MethodGet, Path: "/tins", ID: id, Timeout: 4 * time.Second, WorkMs: workMs}
}

// newKey returns an idempotency key with the prefix of the given host.
func (k *cluster) newKey(c *emulator.Caller, e *entry, id string) string {
	hosts, err := c.Hosts(context.Background(), "bookings")
	require.NoError(k.t, err)
	for _, h := range hosts {
		if h.ID == e.id {
			return h.KeyPrefix + id
		}
	}
	require.FailNow(k.t, "the host is not in the lookup response", e.id)
	return ""
}

// Checks that a request with a key runs once although its home host is killed or frozen, and
// that a host which resumes notices the pause.
func TestKeyRunsAtMostOnceWhenItsHomeIsKilledOrFrozen(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4})
	c := k.caller()
	ctx := context.Background()
	homes, other := k.homes("bookings")

	var wg sync.WaitGroup
	frozen, killed := homes[0], homes[1]
	frozenKey, killedKey := k.newKey(c, frozen, "frozen"), k.newKey(c, killed, "killed")
	wg.Go(func() { c.Send(ctx, frozen.call, keyedRequest("frozen", 800), frozenKey, 0) })
	wg.Go(func() { c.Send(ctx, killed.call, keyedRequest("killed", 800), killedKey, 0) })
	k.waitUntil("both requests run", func() bool { return k.runsWithID("frozen") == 1 && k.runsWithID("killed") == 1 })

	frozen.signal(syscall.SIGSTOP)
	killed.kill()
	short := keyedRequest("frozen", 800)
	short.Timeout = 500 * time.Millisecond
	for _, e := range []*entry{other, homes[2]} {
		result := c.Send(ctx, e.call, short, frozenKey, 1)
		require.Equal(t, verbenastand.MayHaveRun, result.Verdict, "%+v", result)
	}
	// A resumed host has to meet all bounds again after this time.
	const limit = 3 * time.Second
	counted := make(chan bool, 1)
	frozen.signal(syscall.SIGCONT)
	go func() {
		counted <- assert.Eventually(t, func() bool {
			return strings.Contains(k.get(frozen.api, "/metrics"), "verbenastand_pauses_total 1\n")
		}, limit, 20*time.Millisecond, "the pause is counted")
	}()
	k.waitUntil("the outcome is available after the host resumes", func() bool { return c.Send(ctx, other.call, keyedRequest("frozen", 800), frozenKey, 2).Complete })
	require.True(t, <-counted, "the pause is counted")

	requireUnknown := func(e *entry) {
		result := c.Send(ctx, e.call, keyedRequest("killed", 800), killedKey, 1)
		require.Equal(t, verbenastand.MayHaveRun, result.Verdict, "the instance with the outcome is gone: %+v", result)
	}
	requireUnknown(other)
	killed.start(t)
	k.waitUntil("the new instance holds the ticket", func() bool { return k.status(killed) != nil && k.status(killed).TicketNumber == 1 })
	for _, e := range k.entries {
		requireUnknown(e)
	}
	wg.Wait()
	require.Equal(t, map[string]int{frozenKey: 1, killedKey: 1}, k.runsPerKey())
}

// Two hosts are stopped with SIGTERM while they run requests with large responses,
// with and without idempotency keys, and others are queued. All of them must
// complete, and retries with the same keys must get the same result without a
// second run.
func TestGracefulShutdownCompletesAllRequests(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 5})
	c := k.caller()
	ctx := context.Background()
	homes, _ := k.homes("bookings")
	results := make([]emulator.Result, 24)
	var wg sync.WaitGroup
	for i := range results {
		id := "stop-" + strconv.Itoa(i)
		e := homes[i%2]
		key := k.newKey(c, e, id)
		request := keyedRequest(id, 700)
		if i%3 == 0 {
			request.Size = 5 << 20
		}
		if i%4 == 0 {
			request, key = getRequest("bookings", id, 700), ""
		}
		wg.Go(func() { results[i] = c.Send(ctx, e.call, request, key, 0) })
	}
	k.waitUntil("requests run", func() bool { return len(k.runs()) >= 12 })
	homes[0].signal(syscall.SIGTERM)
	homes[1].signal(syscall.SIGTERM)
	k.waitUntil("no lookup response contains the hosts", func() bool {
		c.ClearCache()
		hosts, err := c.Hosts(ctx, "bookings")
		if err != nil {
			return false
		}
		for _, h := range hosts {
			if h.ID == homes[0].id || h.ID == homes[1].id {
				return false
			}
		}
		return true
	})
	wg.Wait()
	for i, r := range results {
		require.True(t, r.Complete, "request %d: %+v", i, r)
	}
	k.waitUntil("both hosts exit", func() bool { return !homes[0].running() && !homes[1].running() })
	require.Zero(t, homes[0].command.ProcessState.ExitCode())
	require.Zero(t, homes[1].command.ProcessState.ExitCode())

	remaining := k.entries
	for i, r := range results {
		if r.Key == "" || i%3 == 0 {
			continue
		}
		for _, e := range remaining {
			if !e.running() {
				continue
			}
			retry := c.Send(ctx, e.call, keyedRequest("stop-"+strconv.Itoa(i), 700), r.Key, 1)
			require.True(t, retry.Complete, "a retry after the shutdown at %s: %+v", e.id, retry)
		}
	}
	for key, n := range k.runsPerKey() {
		require.Equal(t, 1, n, key)
	}
}

// A server reports only by a header of its responses that it is draining: the ticket
// and the host list do not show it, and its health checks succeed. Every host must
// stop using it within 3 s, and hosts that restart later must not use it again.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4})
	stop := k.startLoad(4, func(n int) emulator.Request { return getRequest("catalogue", "d-"+strconv.Itoa(n), 0) })
	k.waitUntil("servers run requests", func() bool { return len(k.runs()) > 50 })
	k.setFault("catalogue-1", "draining")
	drainStart := time.Now()
	const limit = 3 * time.Second
	time.Sleep(limit)
	for _, e := range k.entries[1:] {
		e.kill()
		e.start(t)
		k.waitUntil("the host is ready again", func() bool { s := k.status(e); return s != nil && s.State == "ready" })
	}
	time.Sleep(time.Second)
	stop()
	for _, r := range k.runs() {
		if r.Server == "catalogue-1" {
			require.Less(t, r.At.Sub(drainStart), limit, "request at a draining server")
		}
	}
}

// startLoad sends requests from several callers until stop is called.
func (k *cluster) startLoad(callers int, next func(n int) emulator.Request) (stop func() []emulator.Result) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []emulator.Result
	for i := range callers {
		c := k.caller()
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n += callers {
				result := c.Do(context.Background(), next(n))
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
			}
		})
	}
	return func() []emulator.Result {
		cancel()
		wg.Wait()
		return results
	}
}

func TestTicketsConvergeAndNeverRevert(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4})
	everywhere := func(number int64) func() bool {
		return func() bool {
			for _, e := range k.entries {
				if s := k.status(e); s == nil || s.TicketNumber != number {
					return false
				}
			}
			return true
		}
	}
	next := merger.Ticket{Number: 5, Services: []merger.ServiceObject{{Name: "ledger", Timeout: "3s"}}}
	started := time.Now()
	k.publish(next)
	k.waitUntil("ticket 5", everywhere(5))
	require.Less(t, time.Since(started), 10*time.Second)

	k.post(k.platformAddress, "/emulator/ticket", []byte(`{"number":7,"services":[{"name":"BAD NAME"}]}`))
	k.publish(merger.Ticket{Number: 6, Services: []merger.ServiceObject{{Name: "added"}}})
	k.waitUntil("ticket 6 after an invalid ticket", everywhere(6))
	k.publish(merger.Ticket{Number: 6, Services: []merger.ServiceObject{{Name: "added", Timeout: "7s"}}})
	k.publish(merger.Ticket{Number: 3, Services: []merger.ServiceObject{{Name: "ledger", Deleted: true}}})
	k.waitUntil("one digest on all hosts after a conflict", func() bool {
		digest := k.requireStatus(k.entries[0]).TicketDigest
		for _, e := range k.entries {
			s := k.requireStatus(e)
			if s.TicketDigest != digest || s.TicketConflicts == 0 && e == k.entries[0] {
				return false
			}
		}
		return true
	})

	k.post(k.platformAddress, "/emulator/mode?mode=stale&at=1", nil)
	for _, e := range k.entries[1:] {
		e.kill()
		e.start(t)
	}
	k.waitUntil("restarted hosts hold the ticket of a peer and not that of the stale platform", everywhere(6))
	k.post(k.platformAddress, "/emulator/mode?mode=down", nil)
	k.entries[0].kill()
	k.entries[0].start(t)
	k.waitUntil("a host that starts during a platform outage gets the ticket", everywhere(6))
	require.True(t, k.caller().Do(context.Background(), getRequest("ledger", "after", 0)).Complete)
}

// A host that cannot read the platform must get a newer ticket from its peers. The
// host is frozen while the ticket is published, and reads of the platform stall
// before it resumes.
func TestTicketsSpreadThroughPeers(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4})
	k.entries[3].signal(syscall.SIGSTOP)
	k.publish(merger.Ticket{Number: 9, Services: []merger.ServiceObject{{Name: "added"}}})
	k.waitUntil("another host holds ticket 9", func() bool { return k.requireStatus(k.entries[0]).TicketNumber == 9 })
	k.post(k.platformAddress, "/emulator/mode?mode=stalled", nil)
	k.entries[3].signal(syscall.SIGCONT)
	started := time.Now()
	k.waitUntil("the resumed host holds ticket 9", func() bool {
		s := k.status(k.entries[3])
		return s != nil && s.TicketNumber == 9
	})
	require.Less(t, time.Since(started), 10*time.Second)
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	deployment := emulator.Qalib().Reduced(6, 2)
	k := newCluster(t, clusterConfig{deployment: deployment, entries: 4})
	c := k.caller()
	ctx := context.Background()
	crash := emulator.Request{Service: "catalogue", Method: http.MethodGet, Path: "/crash", ID: "x", Timeout: 2 * time.Second}
	homes, other := k.homes("catalogue")
	for i := range 12 {
		c.Send(ctx, append(homes, other)[i%4].call, crash, "", i)
	}
	lost := 0
	for id, s := range k.servers {
		if !s.running() {
			require.True(t, strings.HasPrefix(string(id), "catalogue"))
			lost++
		}
	}
	require.LessOrEqual(t, lost, quarantiner.CrashLimit, "servers lost to one request")
	for i := range 50 {
		result := c.Do(ctx, getRequest("catalogue", "innocent-"+strconv.Itoa(i), 0))
		require.True(t, result.Complete, "%+v", result)
	}
}

func TestPeerWithForeignCertificateIsRejected(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2})
	foreignFiles, err := emulator.WriteCertificates(t.TempDir())
	require.NoError(t, err)
	foreign, err := certifier.NewCertifier(foreignFiles)
	require.NoError(t, err)
	f := forwarder.NewForwarder(forwarder.Config{Certifier: foreign})
	defer func() { _ = f.Close() }()
	target := verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: k.entries[0].peer})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err = f.TicketSource(target).Tickets(ctx, 0, 0)
	require.Error(t, err)

	insecure := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}
	conn, err := quic.DialAddr(ctx, k.entries[0].peer, insecure, nil)
	if err == nil {
		<-conn.Context().Done()
		require.ErrorContains(t, context.Cause(conn.Context()), "certificate")
	}

	own, err := certifier.NewCertifier(k.files)
	require.NoError(t, err)
	g := forwarder.NewForwarder(forwarder.Config{Certifier: own})
	defer func() { _ = g.Close() }()
	tickets, err := g.TicketSource(target).Tickets(ctx, 0, 0)
	require.NoError(t, err)
	require.NotEmpty(t, tickets)
}

// A host that starts without peers during a platform outage must report the state
// "starting" and reject requests as not run. It must serve as soon as it has read a
// ticket.
func TestHostWithoutTicketReportsStarting(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 1, flags: []string{"--start-timeout", "1s"}})
	e := k.entries[0]
	k.post(k.platformAddress, "/emulator/mode?mode=down", nil)
	e.kill()
	e.start(t)
	k.waitUntil("the host serves the status", func() bool { return k.status(e) != nil })
	require.Equal(t, "starting", k.requireStatus(e).State)
	require.Contains(t, k.get(e.api, "/v1/ask?service=catalogue"), "starting")
	c := k.caller()
	var result emulator.Result
	k.waitUntil("the host responds to requests", func() bool {
		result = c.Send(context.Background(), e.call, getRequest("catalogue", "early", 0), "", 1)
		return result.Status != 0
	})
	require.Equal(t, http.StatusServiceUnavailable, result.Status)
	require.Equal(t, verbenastand.NotRun, result.Verdict)
	require.Equal(t, "starting", result.Reason)
	k.post(k.platformAddress, "/emulator/mode?mode=up", nil)
	k.waitUntil("the host is ready", func() bool { return k.requireStatus(e).State == "ready" })
	require.True(t, c.Do(context.Background(), getRequest("catalogue", "late", 0)).Complete)
}

// All hosts restart at once. Their reads of the platform must stay far below the
// 2,000 per second that all readers of the platform share.
func TestMassRestartLimitsPlatformReads(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 6})
	count := func() int {
		n, err := strconv.Atoi(strings.TrimSpace(k.get(k.platformAddress, "/emulator/reads")))
		require.NoError(t, err)
		return n
	}
	before := count()
	for _, e := range k.entries {
		e.kill()
	}
	for _, e := range k.entries {
		e.start(t)
	}
	k.waitUntil("all hosts hold the ticket again", func() bool {
		for _, e := range k.entries {
			if s := k.status(e); s == nil || s.TicketNumber != 1 {
				return false
			}
		}
		return true
	})
	const readsPerHost = 10
	require.LessOrEqual(t, count()-before, readsPerHost*len(k.entries))
}

func TestSettingsAreValidatedAtStart(t *testing.T) {
	buildBinaries(t)
	p := &process{name: "bad", args: []string{
		binaries.entry, "entry", "--host", "BAD", "--zone", "z", "--call-address", "nowhere", "--api-address", "127.0.0.1:1",
		"--peer-address", "127.0.0.1:2", "--platform", "ftp", "--cert-file", "a", "--key-file", "b", "--ca-file", "c", "--fleet", "0",
	}}
	p.start(t)
	<-p.done
	require.Equal(t, 2, p.command.ProcessState.ExitCode())
	for _, flag := range []string{"--host", "--call-address", "--platform", "--fleet"} {
		require.Contains(t, p.output.String(), flag+":")
	}
}

func TestCommandLine(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2})
	file := k.recordFile + ".ticket"
	require.NoError(t, os.WriteFile(file, []byte(`{"number":0,"services":[{"name":"A"}]}`), 0o600))
	cases := []struct {
		args []string
		code int
		want []string
		tool bool
	}{
		{[]string{"ask", "--api-address", k.entries[0].api, "--service", "bookings"}, 0, []string{"KEY PREFIX", "host-0"}, false},
		{[]string{"status", "--api-address", k.entries[0].api}, 0, []string{"service bookings", "bookings-0"}, false},
		{[]string{"status", "--json", "--api-address", k.entries[0].api}, 0, []string{`"ticketNumber": 1`}, false},
		{[]string{"ask", "--api-address", k.entries[0].api, "--service", "nowhere"}, 1, []string{"unknownService"}, false},
		{[]string{"check", file}, 1, []string{"number: must be greater than zero", `services[0].name: "A"`}, false},
		{[]string{"version"}, 0, []string{"verbenastand"}, false},
		{[]string{"nonsense"}, 2, []string{"nonsense"}, false},
		{[]string{"load", "--api-address", k.entries[0].api, "--duration", "1s", "--record", k.recordFile}, 0, []string{"catalogue", "p99 ms"}, true},
		{[]string{"load", "--api-address", k.entries[0].api, "--rate", "-1"}, 1, []string{"rate must be"}, true},
		{[]string{"ticket", "--server", "ledger-0=127.0.0.1:80"}, 0, []string{`"id":"ledger-0"`}, true},
		{[]string{"certificates", "--directory", t.TempDir()}, 0, nil, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.args[0], c.code), func(t *testing.T) {
			program := binaries.entry
			if c.tool {
				program = binaries.emulator
			}
			p := &process{name: c.args[0], args: append([]string{program}, c.args...)}
			p.start(t)
			<-p.done
			require.Equal(t, c.code, p.command.ProcessState.ExitCode(), p.output.String())
			for _, text := range c.want {
				require.Contains(t, p.output.String(), text)
			}
		})
	}
}
