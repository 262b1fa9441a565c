package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memory returns a figure of the memory of the process in MB, such as RssAnon.
func (g *gateway) memory(figure string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == figure+":" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// limitMemory does to a process what the platform does: it kills one that exceeds the memory of
// its machine, and starts it again after a short delay. It returns the number of kills.
func (g *gateway) limitMemory(ctx context.Context) (kills int) {
	for sleep(ctx, 50*time.Millisecond) {
		used := g.memory("RssAnon")
		if used <= float64(g.deployment.memoryMB) {
			continue
		}
		kills++
		g.deployment.record.printf("%s takes %.0f MB of %d MB and is killed", g.name, used, g.deployment.memoryMB)
		g.kill()
		if !sleep(ctx, time.Second) {
			return kills
		}
		if err := g.start(); err != nil {
			g.deployment.record.printf("%s does not start: %v", g.name, err)
			return kills
		}
	}
	return kills
}

// oddEntries lets another writer write entries beside those of the upstreams, each within
// valueBytes, with a state that the pages do not name.
func oddEntries(r *record, binary string, trouble bool) error {
	const (
		entries    = 11
		valueBytes = 1 << 20
		length     = 85 * time.Second
		ends       = 3
	)
	d, err := newDeployment(r, binary, 3)
	if err != nil {
		return err
	}
	defer d.stop()
	// The smallest machines of grown/, large/ and demands/.
	d.memoryMB = 184
	work := func(*http.Request) time.Duration { return 50 * time.Millisecond }
	for i := range 6 {
		if _, err := d.addServer("catalogue", fmt.Sprintf("i-%d", i+1), d.zones[i%3], 6, work); err != nil {
			return err
		}
	}
	d.configure(map[string]route{"browse": {
		Hostname: "a.example", PathPrefix: "/browse/", Kind: "safe", TimeoutMs: 1200, TargetLatencyMs: 250, Priority: 1, MaxAttempts: 2, Service: "catalogue",
	}})
	if err := d.startGateways(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var pending sync.WaitGroup
	kills := make([]int, len(d.gateways))
	for i, g := range d.gateways {
		pending.Go(func() { kills[i] = g.limitMemory(ctx) })
	}
	state := strings.Repeat("\x7f", valueBytes-400)
	pending.Go(func() {
		for n := 0; trouble && sleep(ctx, heartbeat); n++ {
			for i := range entries {
				d.store.put(fmt.Sprintf("servers/odd-%d", i), map[string]any{
					"address": d.prefix + ".250:9", "born": 1,
					"information": map[string]any{"service": "catalogue", "zone": "cairo", "version": "v1", "capacitySlots": 6},
					"status":      map[string]any{"state": state, "sequenceNumber": n, "warmupRemainingMs": 0},
				})
			}
		}
	})
	var mu sync.Mutex
	served, sent := 0, 0
	for sleep(ctx, 100*time.Millisecond) {
		sent++
		q := request{
			id: fmt.Sprintf("b-%d", sent), method: http.MethodGet, host: "a.example", path: "/browse/x", deadline: 1200 * time.Millisecond,
			from: d.prefix + ".200", patience: 2 * time.Second,
		}
		front := d.gateways[sent%3].address(frontendPort)
		pending.Go(func() {
			a := send(r, front, q)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		})
	}
	pending.Wait()
	ended := 0
	for i, g := range d.gateways {
		r.summary("%s: over the memory of its machine %d times; %.0f MB of %d MB at the end", g.name, kills[i], g.memory("RssAnon"), d.memoryMB)
		if kills[i] >= ends {
			ended++
		}
	}
	r.summary("%d of %d requests served", served, sent)
	if ended >= 2 {
		return fmt.Errorf("%w: %d of %d processes ended %d times or more", errBroken, ended, len(d.gateways), ends)
	}
	return nil
}
