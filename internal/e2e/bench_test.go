package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/emulator"
)

// clockTickSeconds is the unit of CPU time in /proc, in seconds.
const clockTickSeconds = 0.01

// idleSeconds is the time over which the resource use of an idle host is measured.
const idleSeconds = 20

func (p *process) cpuSeconds(t testing.TB) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(data)[strings.LastIndexByte(string(data), ')'):])
	user, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[13])
	require.NoError(t, err)
	return float64(user+system) * clockTickSeconds
}

func (p *process) residentBytes(t testing.TB) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	require.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(t, err)
	return float64(pages * os.Getpagesize())
}

// BenchmarkHop measures the latency that a home host adds to a direct request to a
// server, and that of a request forwarded by another host. All are measured in one
// run, at a load that the host sustains.
func BenchmarkHop(b *testing.B) {
	deployment := emulator.Deployment{
		Name: "bench", Zones: []verbenastand.Zone{"a", "b", "c", "d"},
		Services: []emulator.DeploymentService{{Name: "tins", Servers: 8, Mean: 4 * time.Millisecond}},
	}
	k := newCluster(b, clusterConfig{deployment: deployment, entries: 5})
	homes, other := k.homes("tins")
	time.Sleep(2 * time.Second)
	idleStart := homes[0].cpuSeconds(b)
	time.Sleep(idleSeconds * time.Second)
	b.Logf("idle: %.4f of a core, %.0f MB", (homes[0].cpuSeconds(b)-idleStart)/idleSeconds, homes[0].residentBytes(b)/1e6)
	direct := k.measure(b, k.serverAddresses["tins-0"], 4)
	paths := []struct {
		name   string
		target string
		via    []*entry
	}{
		{"direct", k.serverAddresses["tins-0"], nil},
		{"home", homes[0].call, homes[:1]},
		{"forwarded", other.call, []*entry{other, homes[0]}},
	}
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) {
			for range b.N {
				before := 0.0
				for _, e := range p.via {
					before += e.cpuSeconds(b)
				}
				latencies := k.measure(b, p.target, 4)
				cpu := -before
				for _, e := range p.via {
					cpu += e.cpuSeconds(b)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(cpu/float64(len(latencies))*1e6, "cpu-us/call")
				for _, q := range []float64{0.5, 0.99} {
					i := int(q * float64(len(latencies)))
					added := latencies[i] - direct[min(i*len(direct)/len(latencies), len(direct)-1)]
					b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-p%.0f-us", q*100))
				}
			}
		})
	}
}

// BenchmarkThroughput measures the throughput and the CPU time per request of a busy
// home host.
func BenchmarkThroughput(b *testing.B) {
	deployment := emulator.Deployment{
		Name: "bench", Zones: []verbenastand.Zone{"a"},
		Services: []emulator.DeploymentService{{Name: "tins", Servers: 12, Mean: time.Millisecond}},
	}
	k := newCluster(b, clusterConfig{deployment: deployment, entries: 1})
	e := k.entries[0]
	for range b.N {
		before, start := e.cpuSeconds(b), time.Now()
		latencies := k.measure(b, e.call, 32)
		cpu := e.cpuSeconds(b) - before
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(float64(len(latencies))/time.Since(start).Seconds(), "calls/s")
		b.ReportMetric(cpu/float64(len(latencies))*1e6, "cpu-us/call")
		b.ReportMetric(float64(len(latencies))/cpu, "calls/s/core")
		b.ReportMetric(e.residentBytes(b)/1e6, "MB")
	}
}

// measure sends requests with a fixed duration from several concurrent callers and
// returns the sorted latencies.
func (k *cluster) measure(b *testing.B, address string, callers int) []time.Duration {
	const requests = 1000
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	for range callers {
		wg.Go(func() {
			for range requests {
				r, err := http.NewRequest(http.MethodGet, "http://"+address+"/tins?id=x&workMs=2", nil)
				require.NoError(b, err)
				r.Header.Set(verbenastand.HeaderService, "tins")
				start := time.Now()
				response, err := client.Do(r)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
				_ = response.Body.Close()
				require.Equal(b, http.StatusOK, response.StatusCode)
				mu.Lock()
				latencies = append(latencies, time.Since(start))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies
}
