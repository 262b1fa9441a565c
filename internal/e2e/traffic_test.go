package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
)

// A host is frozen while a server begins to drain and the other hosts are notified.
// After it resumes, the host must stop using the server within 2 s.
func TestResumedHostStopsUsingDrainingServer(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4})
	homes, _ := k.homes("catalogue")
	frozen := homes[0]
	stop := k.startLoad(4, func(n int) emulator.Request { return getRequest("catalogue", "s-"+strconv.Itoa(n), 0) })
	k.waitUntil("servers run requests", func() bool { return len(k.runs()) > 50 })
	frozen.signal(syscall.SIGSTOP)
	k.setFault("catalogue-1", "draining")
	time.Sleep(4 * time.Second)
	resumed := time.Now()
	frozen.signal(syscall.SIGCONT)
	const limit = 2 * time.Second
	time.Sleep(limit + time.Second)
	stop()
	for _, r := range k.runs() {
		if r.Server == "catalogue-1" {
			require.Less(t, r.At.Sub(resumed), limit, "request at a draining server")
		}
	}
}

// A caller that sends its header or reads its response too slowly must be
// disconnected, and must not occupy a slot.
func TestSlowCallersAreDisconnected(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2, flags: []string{"--header-timeout", "300ms", "--stall-timeout", "300ms"}})
	conn, err := net.Dial("tcp", k.entries[0].call)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: catal")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadAll(conn)
	require.NoError(t, err, "the host closes the connection")

	// Only the stall timeout may disconnect the slow reader, not the timeout of the
	// service.
	k.publish(merger.Ticket{Number: 2, Services: []merger.ServiceObject{{Name: "catalogue", Timeout: "10m"}}})
	k.waitUntil("ticket 2", func() bool { return k.requireStatus(k.entries[0]).TicketNumber == 2 })
	reader, err := net.Dial("tcp", k.entries[0].call)
	require.NoError(t, err)
	defer func() { _ = reader.Close() }()
	require.NoError(t, reader.(*net.TCPConn).SetReadBuffer(4096))
	_, err = fmt.Fprintf(reader, "GET /tins?id=x&size=%d HTTP/1.1\r\nHost: catalogue\r\n\r\n", 64<<20)
	require.NoError(t, err)
	k.waitUntil("the slot is occupied and released", func() bool {
		for _, e := range k.entries {
			for _, s := range k.requireStatus(e).Services {
				for _, server := range s.Servers {
					if server.InFlight > 0 {
						return false
					}
				}
			}
		}
		return len(k.runs()) == 1
	})
}

// Callers can use HTTP/2 without TLS in the same way as HTTP/1.1.
func TestCallersCanUseHTTP2(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2})
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/tins?id=h%d&size=100000", k.entries[0].call, i), nil)
			require.NoError(t, err)
			r.Header.Set(verbenastand.HeaderService, "catalogue")
			response, err := transport.RoundTrip(r)
			require.NoError(t, err)
			require.Equal(t, 2, response.ProtoMajor)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Len(t, body, 100000)
			require.True(t, strings.HasPrefix(string(body), fmt.Sprintf("id=h%d ", i)))
		})
	}
	wg.Wait()
}

// collector is an OTLP/HTTP collector that stores the request bodies.
type collector struct {
	mu    sync.Mutex
	spans []byte
}

func (c *collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans = append(c.spans, body...)
	w.Header().Set("Content-Type", "application/x-protobuf")
}

// A traced request must produce a span for each hop in the caller's trace.
func TestEveryHopProducesSpan(t *testing.T) {
	c := &collector{}
	server := httptest.NewServer(c)
	defer server.Close()
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 4, flags: []string{"--trace-endpoint", server.URL + "/v1/traces", "--trace-share", "1"}})
	_, other := k.homes("catalogue")
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+other.call+"/tins?id=t", nil)
	require.NoError(t, err)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	r.Header.Set("traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	r.Header.Set(verbenastand.HeaderService, "catalogue")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	want := []string{"call", "forward", "queue", "server", "\x0a\xf7\x65\x19\x16\xcd\x43\xdd\x84\x48\xeb\x21\x1c\x80\x31\x9c"}
	k.waitUntil("spans of all hops", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, text := range want {
			if !strings.Contains(string(c.spans), text) {
				return false
			}
		}
		return true
	})
}

// Large responses must be streamed: eight responses of 32 MiB at once may add at most
// a quarter of their size to the memory of the host.
func TestLargeResponsesAreStreamed(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 2})
	k.publish(merger.Ticket{Number: 2, Services: []merger.ServiceObject{{Name: "patterns", Timeout: "60s"}}})
	k.waitUntil("ticket 2", func() bool { return k.requireStatus(k.entries[0]).TicketNumber == 2 })
	caller := k.caller()
	const bodies, size = 8, 32 << 20
	before := k.entries[0].residentBytes(t)
	var wg sync.WaitGroup
	for i := range bodies {
		wg.Go(func() {
			r := getRequest("patterns", "bulk-"+strconv.Itoa(i), 0)
			r.Path, r.Size, r.Timeout = "/long/template", size, time.Minute
			result := caller.Send(context.Background(), k.entries[0].call, r, "", 0)
			require.True(t, result.Complete, "%+v", result)
		})
	}
	wg.Wait()
	require.Less(t, k.entries[0].residentBytes(t)-before, float64(bodies*size)/4)
}

// Two operators publish different tickets with the same number at once. All hosts
// must converge on the same ticket and report the conflict.
func TestConflictingTicketsConverge(t *testing.T) {
	k := newCluster(t, clusterConfig{deployment: smallDeployment(), entries: 3})
	for number := verbenastand.TicketNumber(2); number < 12; number++ {
		var wg sync.WaitGroup
		for _, homes := range []int{1, 2} {
			wg.Go(func() {
				data, err := json.Marshal(merger.Ticket{Number: number, Services: []merger.ServiceObject{{Name: "raced", Homes: homes}}})
				require.NoError(t, err)
				k.post(k.platformAddress, "/emulator/ticket", data)
			})
		}
		wg.Wait()
	}
	k.waitUntil("the same digest on every host", func() bool {
		digests, conflicts := make(map[string]bool), int64(0)
		for _, e := range k.entries {
			s := k.requireStatus(e)
			digests[s.TicketDigest] = s.TicketNumber == 11
			conflicts += s.TicketConflicts
		}
		return len(digests) == 1 && digests[k.requireStatus(k.entries[0]).TicketDigest] && conflicts > 0
	})
}
