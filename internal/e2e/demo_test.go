package e2e

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/merger"
)

const (
	demoSeconds = 10
	demoRate    = 250
	demoHosts   = 5
	demoServers = 4
)

// TestDemo runs a small deployment under a mixed load for "make demo". Meanwhile a
// server crashes, another one drains, a host is killed and a ticket is published.
// It prints a table of the results.
func TestDemo(t *testing.T) {
	name := os.Getenv("DEMO_SHAPE")
	if name == "" {
		name = "qalib"
	}
	deployment, err := emulator.DeploymentByName(name)
	require.NoError(t, err)
	deployment = deployment.Reduced(demoServers, len(deployment.Zones))
	k := newCluster(t, clusterConfig{deployment: deployment, entries: demoHosts})
	load := emulator.NewLoad(emulator.LoadConfig{
		Deployment: deployment, Caller: emulator.CallerConfig{APIAddresses: k.apiAddresses(), MaxRetries: 6}, Rate: demoRate, Seed: 1,
	})
	ctx, cancel := context.WithTimeout(context.Background(), demoSeconds*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx)
	}()
	logStep := func(format string, args ...any) {
		fmt.Printf("%4.1f s  %s\n", time.Since(k.started).Seconds(), fmt.Sprintf(format, args...))
	}
	logStep("%s: %d hosts in %d zones, %d servers, %d requests/s", deployment.Name, demoHosts, len(deployment.Zones), len(k.servers), demoRate)
	crashed := emulator.ServerName(deployment.Services[0].Name, 0)
	draining := emulator.ServerName(deployment.Services[1].Name, 1)
	steps := []struct {
		event string
		run   func()
	}{
		{"server " + string(crashed) + " crashes", func() { k.servers[crashed].kill() }},
		{"server " + string(draining) + " starts draining", func() { k.setFault(draining, "draining") }},
		{"host " + k.entries[0].id + " is killed", func() { k.entries[0].kill() }},
		{"ticket 2 adds a service; the host and the server restart", func() {
			k.publish(merger.Ticket{Number: 2, Services: []merger.ServiceObject{{Name: "added"}}})
			k.entries[0].start(t)
			k.servers[crashed].start(t)
		}},
	}
	for _, s := range steps {
		time.Sleep(demoSeconds * time.Second / time.Duration(len(steps)+1))
		logStep("%s", s.event)
		s.run()
	}
	<-done
	k.waitUntil("ticket 2 on all hosts", func() bool {
		for _, e := range k.entries {
			if s := k.status(e); s == nil || s.TicketNumber != 2 {
				return false
			}
		}
		return true
	})
	fmt.Println()
	require.NoError(t, load.Report().Print(os.Stdout))
	k.printHosts()
	k.printProbeCost()
	k.checkKeys(load.Results())
	require.Zero(t, load.Report().Wrong())
	fmt.Println("all checks passed")
}

func (k *cluster) printHosts() {
	fmt.Println()
	for _, e := range k.entries {
		s := k.requireStatus(e)
		fmt.Printf("%s in %s: ticket %d, %d peers, %d keys, %d invariant failures\n", s.Instance, s.Zone, s.TicketNumber, len(s.Peers), s.Keys, s.InvariantFailures)
		require.Zero(k.t, s.InvariantFailures)
	}
}

func (k *cluster) printProbeCost() {
	probes := 0
	for id := range k.servers {
		var runs, n, mostRunning int
		_, _ = fmt.Sscanf(k.get(k.serverAddresses[id], "/emulator/figures"), "runs=%d probes=%d mostRunning=%d", &runs, &n, &mostRunning)
		probes += n
	}
	slotTime := time.Since(k.started).Seconds() * float64(len(k.servers)*emulator.Slots)
	fmt.Printf("probing: %d probes, %.4f%% of the servers' slot time (budget 1%%)\n", probes, float64(probes)*0.006/slotTime*100)
}

// checkKeys asserts that no idempotency key ran twice, and that none ran whose caller
// got the verdict notRun.
func (k *cluster) checkKeys(results []emulator.Result) {
	require.NoError(k.t, emulator.VerifyKeys(k.runs(), results))
}
