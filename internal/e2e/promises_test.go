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
	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/forwarder"
	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/merger"
	"github.com/verbenastand/verbenastand/quarantiner"
)

func small() emulator.Shape { return emulator.Qalib().Shrunk(3, 2) }

func paidRequest(id string, workMs int) emulator.Request {
	return emulator.Request{
		Service: "bookings", Method: http.MethodPost, Path: "/reserve", ID: id, Body: []byte("tin"),
		Timeout: 4 * time.Second, Keyed: true, WorkMs: workMs,
	}
}

func read(service verbenastand.ServiceName, id string, workMs int) emulator.Request {
	return emulator.Request{Service: service, Method: http.MethodGet, Path: "/tins", ID: id, Timeout: 4 * time.Second, WorkMs: workMs}
}

// keyFor returns a key that a given host may run.
func (k *cluster) keyFor(c *emulator.Caller, e *entry, id string) string {
	hosts, err := c.Hosts(context.Background(), "bookings")
	require.NoError(k.t, err)
	for _, h := range hosts {
		if h.ID == e.id {
			return h.KeyPrefix + id
		}
	}
	require.FailNow(k.t, "the host is not in the answer", e.id)
	return ""
}

func TestKeyRunsAtMostOnceWhenItsHomeIsKilledOrFrozen(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 4})
	c := k.caller()
	ctx := context.Background()
	homes, other := k.homes("bookings")

	var all sync.WaitGroup
	frozen, killed := homes[0], homes[1]
	frozenKey, killedKey := k.keyFor(c, frozen, "frozen"), k.keyFor(c, killed, "killed")
	all.Go(func() { c.Send(ctx, frozen.call, paidRequest("frozen", 800), frozenKey, 0) })
	all.Go(func() { c.Send(ctx, killed.call, paidRequest("killed", 800), killedKey, 0) })
	k.await("both run", func() bool { return k.runsWithID("frozen") == 1 && k.runsWithID("killed") == 1 })

	frozen.signal(syscall.SIGSTOP)
	killed.kill()
	short := paidRequest("frozen", 800)
	short.Timeout = 500 * time.Millisecond
	for _, e := range []*entry{other, homes[2]} {
		result := c.Send(ctx, e.call, short, frozenKey, 1)
		require.Equal(t, verbenastand.MayHaveRun, result.Verdict, "%+v", result)
	}
	frozen.signal(syscall.SIGCONT)
	k.await("the outcome is told", func() bool { return c.Send(ctx, other.call, paidRequest("frozen", 800), frozenKey, 2).Whole })

	require.Contains(t, k.get(frozen.api, "/metrics"), "verbenastand_pauses_total 1", "the pause was noticed")

	requireUnknown := func(e *entry) {
		result := c.Send(ctx, e.call, paidRequest("killed", 800), killedKey, 1)
		require.Equal(t, verbenastand.MayHaveRun, result.Verdict, "the instance that knew is gone: %+v", result)
	}
	requireUnknown(other)
	killed.start(t)
	k.await("the new instance is up", func() bool { return k.status(killed) != nil && k.status(killed).TicketNumber == 1 })
	for _, e := range k.entries {
		requireUnknown(e)
	}
	all.Wait()
	require.Equal(t, map[string]int{frozenKey: 1, killedKey: 1}, k.runsOf())
}

// Two hosts stop together while they run requests with long answers, keyed and
// not, and hold others in their queues.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 5})
	c := k.caller()
	ctx := context.Background()
	homes, _ := k.homes("bookings")
	results := make([]emulator.Result, 24)
	var all sync.WaitGroup
	for i := range results {
		id := "stop-" + strconv.Itoa(i)
		e := homes[i%2]
		key := k.keyFor(c, e, id)
		request := paidRequest(id, 700)
		if i%3 == 0 {
			request.Size = 5 << 20
		}
		if i%4 == 0 {
			request, key = read("bookings", id, 700), ""
		}
		all.Go(func() { results[i] = c.Send(ctx, e.call, request, key, 0) })
	}
	k.await("requests run", func() bool { return len(k.runs()) >= 12 })
	homes[0].signal(syscall.SIGTERM)
	homes[1].signal(syscall.SIGTERM)
	k.await("no answer names the hosts", func() bool {
		c.Forget()
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
	all.Wait()
	for i, r := range results {
		require.True(t, r.Whole, "request %d: %+v", i, r)
	}
	k.await("both hosts end", func() bool { return !homes[0].running() && !homes[1].running() })
	require.Zero(t, homes[0].command.ProcessState.ExitCode())
	require.Zero(t, homes[1].command.ProcessState.ExitCode())

	left := k.entries
	for i, r := range results {
		if r.Key == "" || i%3 == 0 {
			continue
		}
		for _, e := range left {
			if !e.running() {
				continue
			}
			resend := c.Send(ctx, e.call, paidRequest("stop-"+strconv.Itoa(i), 700), r.Key, 1)
			require.True(t, resend.Whole, "a resend after the stop at %s: %+v", e.id, resend)
		}
	}
	for key, n := range k.runsOf() {
		require.Equal(t, 1, n, key)
	}
}

// A server says only in its answers that it is leaving; the ticket, the host
// list and its health say nothing. Every host stops using it within seconds, and
// hosts that restart after that do not start again.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 4})
	stop := k.load(4, func(n int) emulator.Request { return read("catalogue", "d-"+strconv.Itoa(n), 0) })
	k.await("work arrives", func() bool { return len(k.runs()) > 50 })
	k.fault("catalogue-1", "draining")
	began := time.Now()
	const few = 3 * time.Second
	time.Sleep(few)
	for _, e := range k.entries[1:] {
		e.kill()
		e.start(t)
		k.await("the host is back", func() bool { s := k.status(e); return s != nil && s.State == "ready" })
	}
	time.Sleep(time.Second)
	stop()
	for _, r := range k.runs() {
		if r.Server == "catalogue-1" {
			require.Less(t, r.At.Sub(began), few, "work for a leaving server")
		}
	}
}

// load sends requests from several callers until stop is called.
func (k *cluster) load(callers int, next func(n int) emulator.Request) (stop func() []emulator.Result) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var mu sync.Mutex
	var results []emulator.Result
	for i := range callers {
		c := k.caller()
		all.Go(func() {
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
		all.Wait()
		return results
	}
}

func TestTicketIsInForceEverywhereAndNeverReverts(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 4})
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
	began := time.Now()
	k.publish(next)
	k.await("ticket 5", everywhere(5))
	require.Less(t, time.Since(began), 10*time.Second)

	k.post(k.address, "/emulator/ticket", []byte(`{"number":7,"services":[{"name":"BAD NAME"}]}`))
	k.publish(merger.Ticket{Number: 6, Services: []merger.ServiceObject{{Name: "added"}}})
	k.await("ticket 6 beside an invalid one", everywhere(6))
	k.publish(merger.Ticket{Number: 6, Services: []merger.ServiceObject{{Name: "added", Timeout: "7s"}}})
	k.publish(merger.Ticket{Number: 3, Services: []merger.ServiceObject{{Name: "ledger", Deleted: true}}})
	k.await("one winner of two contents", func() bool {
		digest := k.status(k.entries[0]).TicketDigest
		for _, e := range k.entries {
			s := k.status(e)
			if s.TicketDigest != digest || s.TicketConflicts == 0 && e == k.entries[0] {
				return false
			}
		}
		return true
	})

	k.post(k.address, "/emulator/mode?mode=stale&at=1", nil)
	for _, e := range k.entries[1:] {
		e.kill()
		e.start(t)
	}
	k.await("restarted hosts hold what a peer knows, not what the stale platform says", everywhere(6))
	k.post(k.address, "/emulator/mode?mode=down", nil)
	k.entries[0].kill()
	k.entries[0].start(t)
	k.await("a host that starts without the platform", everywhere(6))
	require.True(t, k.caller().Do(context.Background(), read("ledger", "after", 0)).Whole)
}

// A host that reads a platform that is stale for it alone hears of the newer
// ticket from its peers.
func TestPeersCarryTicketsPastThePlatform(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 4})
	k.entries[3].signal(syscall.SIGSTOP)
	k.publish(merger.Ticket{Number: 9, Services: []merger.ServiceObject{{Name: "added"}}})
	k.await("the others know", func() bool { return k.status(k.entries[0]).TicketNumber == 9 })
	k.post(k.address, "/emulator/mode?mode=stalled", nil)
	k.entries[3].signal(syscall.SIGCONT)
	began := time.Now()
	k.await("the host that slept knows", func() bool {
		s := k.status(k.entries[3])
		return s != nil && s.TicketNumber == 9
	})
	require.Less(t, time.Since(began), 10*time.Second)
}

func TestRequestThatCrashesItsServersLosesFew(t *testing.T) {
	shape := emulator.Qalib().Shrunk(6, 2)
	k := newCluster(t, clusterConfig{shape: shape, entries: 4})
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
		result := c.Do(ctx, read("catalogue", "innocent-"+strconv.Itoa(i), 0))
		require.True(t, result.Whole, "%+v", result)
	}
}

func TestPeerWithoutCertificateGetsNothing(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 2})
	strangerFiles, err := emulator.WriteCertificates(t.TempDir())
	require.NoError(t, err)
	stranger, err := certifier.NewCertifier(strangerFiles)
	require.NoError(t, err)
	f := forwarder.NewForwarder(forwarder.Config{Certifier: stranger})
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

// A host that starts alone while the platform is down says that it is starting,
// and that nothing has run; it serves as soon as it has read a ticket.
func TestHostWithoutAnyTicketSaysThatItIsStarting(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 1, flags: []string{"--start-timeout", "1s"}})
	e := k.entries[0]
	k.post(k.address, "/emulator/mode?mode=down", nil)
	e.kill()
	e.start(t)
	k.await("the host answers operators", func() bool { return k.status(e) != nil })
	require.Equal(t, "starting", k.status(e).State)
	require.Contains(t, k.get(e.api, "/v1/ask?service=catalogue"), "starting")
	c := k.caller()
	var result emulator.Result
	k.await("the host answers callers", func() bool {
		result = c.Send(context.Background(), e.call, read("catalogue", "early", 0), "", 1)
		return result.Status != 0
	})
	require.Equal(t, http.StatusServiceUnavailable, result.Status)
	require.Equal(t, verbenastand.NotRun, result.Verdict)
	require.Equal(t, "starting", result.Reason)
	k.post(k.address, "/emulator/mode?mode=up", nil)
	k.await("the host is ready", func() bool { return k.status(e).State == "ready" })
	require.True(t, c.Do(context.Background(), read("catalogue", "late", 0)).Whole)
}

// All hosts restart at once; the reads of the platform stay far below the
// 2,000 a second that all its readers share.
func TestMassRestartReadsLittle(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 6})
	count := func() int {
		n, err := strconv.Atoi(strings.TrimSpace(k.get(k.address, "/emulator/reads")))
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
	k.await("hosts are back", func() bool {
		for _, e := range k.entries {
			if s := k.status(e); s == nil || s.TicketNumber != 1 {
				return false
			}
		}
		return true
	})
	const perHost = 10
	require.LessOrEqual(t, count()-before, perHost*len(k.entries))
}

func TestSettingsAreCheckedAtStart(t *testing.T) {
	build(t)
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

func TestCommandLineAnswersOperators(t *testing.T) {
	k := newCluster(t, clusterConfig{shape: small(), entries: 2})
	file := k.record + ".ticket"
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
		{[]string{"load", "--api-address", k.entries[0].api, "--duration", "1s", "--record", k.record}, 0, []string{"catalogue", "p99 ms"}, true},
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
