package saturator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/internal/fake"
	"github.com/verbenastand/verbenastand/merger"
)

const (
	// memoryMB and maxDescriptors are the limits in the settings of the hosts under test.
	memoryMB       = 128
	maxDescriptors = 512
	// startTime bounds the wait for a host to start or to respond, so that a host that hangs
	// fails the test.
	startTime = 30 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "saturator")
	if err == nil {
		binary = filepath.Join(directory, "verbenastand")
		// The race detector would multiply the memory of the process.
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, "../../cmd/verbenastand").CombinedOutput(); err != nil {
			fmt.Fprintln(os.Stderr, string(out))
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// host is the process of a host.
type host struct {
	t       *testing.T
	command *exec.Cmd
	output  bytes.Buffer
	exited  chan struct{}
	// address is where callers connect to, and others holds the addresses of the other ports.
	address string
	others  []string
	// peer is the address of the port for other hosts.
	peer string
	// faulty are the servers of the faulty service.
	faulty []*faultyServer
	// source is the store of a gateway, or the platform of an entry host.
	source faultySource
	// mostDescriptors is the largest number of descriptors seen.
	mostDescriptors int
}

// freeAddress returns an unused address below the range of ports that the system assigns.
func freeAddress(t *testing.T, network string) string {
	for port := 12_000 + os.Getpid()%2000; port < 15_000; port++ {
		if lastPort >= port {
			continue
		}
		lastPort = port
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if network == "udp" {
			if c, err := net.ListenPacket(network, address); err == nil {
				_ = c.Close()
				return address
			}
		} else if l, err := net.Listen(network, address); err == nil {
			_ = l.Close()
			return address
		}
	}
	require.FailNow(t, "no free port")
	return ""
}

var lastPort int

func (h *host) start(args, environment []string) {
	h.command = exec.Command(binary, args...)
	h.command.Env = append(os.Environ(), environment...)
	h.command.Env = append(h.command.Env, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "VERBENASTAND_MEMORY_MB="+strconv.Itoa(memoryMB),
		"VERBENASTAND_MAX_DESCRIPTORS="+strconv.Itoa(maxDescriptors))
	h.command.Stdout, h.command.Stderr = &h.output, &h.output
	require.NoError(h.t, h.command.Start())
	h.exited = make(chan struct{})
	go func() {
		_ = h.command.Wait()
		close(h.exited)
	}()
	h.t.Cleanup(func() {
		_ = h.command.Process.Signal(syscall.SIGKILL)
		<-h.exited
		if h.t.Failed() {
			text := h.output.String()
			h.t.Logf("first lines:\n%s", text[:min(len(text), 3000)])
		}
	})
}

func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (h *host) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	require.NoError(h.t, err)
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			require.NoError(h.t, err)
			return kilobytes << 10
		}
	}
	require.FailNow(h.t, "no VmHWM")
	return 0
}

// countDescriptors notes the number of open descriptors of the process.
func (h *host) countDescriptors() {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
	h.mostDescriptors = max(h.mostDescriptors, len(entries))
}

// check fails the test unless the process runs and has stayed within its limits.
func (h *host) check() {
	h.t.Helper()
	require.True(h.t, h.alive(), "the process has ended")
	h.countDescriptors()
	h.t.Logf("at most %d MB resident, %d descriptors", h.peakMemory()>>20, h.mostDescriptors)
	require.LessOrEqual(h.t, h.peakMemory(), memoryMB<<20, "bytes resident")
	require.LessOrEqual(h.t, h.mostDescriptors, maxDescriptors, "descriptors")
}

// ordinaryCaller is the address of the callers that send ordinary requests.
const ordinaryCaller = "127.0.0.99"

// requireResponse sends an ordinary request, again if it is refused, until it is answered.
func (h *host) requireResponse(path string) {
	h.t.Helper()
	transport := &http.Transport{DialContext: dialerFrom(ordinaryCaller).DialContext, DisableKeepAlives: true}
	client := http.Client{Timeout: 5 * time.Second, Transport: transport}
	var last string
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.True(h.t, h.alive(), "the process has ended")
		r, err := http.NewRequest(http.MethodGet, "http://"+h.address+path, http.NoBody)
		require.NoError(h.t, err)
		r.Host = "a.example"
		r.Header.Set("Request-Id", "ordinary")
		r.Header.Set("Verbenastand-Service", "reads")
		response, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
	}
	require.FailNow(h.t, "no response to an ordinary request", last)
}

// requireOne sends an ordinary request, which must be answered at once.
func (h *host) requireOne(path string) {
	h.t.Helper()
	transport := &http.Transport{DialContext: dialerFrom(ordinaryCaller).DialContext, DisableKeepAlives: true}
	client := http.Client{Timeout: 5 * time.Second, Transport: transport}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.address+path, http.NoBody)
	require.NoError(h.t, err)
	r.Host = "a.example"
	r.Header.Set("Request-Id", "ordinary")
	r.Header.Set("Verbenastand-Service", "reads")
	response, err := client.Do(r)
	require.NoError(h.t, err)
	_ = response.Body.Close()
	require.Equal(h.t, http.StatusOK, response.StatusCode, "%v", response.Header)
}

// newBackend returns the address of a server that holds requests below /held/ until the test
// ends, and answers others at once.
func newBackend(t *testing.T, id string) string {
	ended := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/held/") {
			select {
			case <-ended:
			case <-r.Context().Done():
			}
		}
		w.Header()["Request-Id"] = r.Header["Request-Id"]
		w.Header()["Verbenastand-Request"] = r.Header["Verbenastand-Request"]
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Server-Load", "0,0,1000,100")
		respondUnusually(w, r)
	}))
	s.Config.MaxHeaderBytes = 1 << 20
	s.Start()
	t.Cleanup(func() {
		close(ended)
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// newGateway starts a gateway with a route to a server.
func newGateway(t *testing.T) *host {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"hostname": "a.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 60_000, "targetLatencyMs": 30_000,
			"priority": 1, "service": service, "maxAttempts": 2,
		}
	}
	settingsOfService := map[string]any{"healthCheckPath": "/health", "maxConnections": 1000}
	registration := func(address, service string) map[string]any {
		return map[string]any{
			"address": address, "born": time.Now().UnixMilli(),
			"information": map[string]any{"service": service, "zone": "a", "capacitySlots": 1000},
			"status":      map[string]any{"state": "ready", "sequenceNumber": 1},
		}
	}
	values := map[string]any{
		"op/config": map[string]any{
			"version": "r1", "routes": map[string]any{"held": route("/held/", "unsafe", "held"), "read": route("/read/", "safe", "reads"), "long": route("/long/", "safe", "held"), "many": route("/many/", "safe", "held"), "last": route("/last/", "safe", "held"), "faulty": route("/faulty/", "unsafe", "faulty")},
			"services": map[string]any{"reads": settingsOfService, "held": settingsOfService, "faulty": settingsOfService},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": fake.UploadBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 60_000},
		},
		"servers/i-1": registration(newBackend(t, "i-1"), "reads"), "servers/i-2": registration(newBackend(t, "i-2"), "held"),
	}
	directory := t.TempDir()
	h := &host{t: t, address: freeAddress(t, "tcp"), others: []string{freeAddress(t, "tcp"), freeAddress(t, "tcp"), freeAddress(t, "tcp")}}
	for _, s := range h.newFaultyServers() {
		values["servers/"+s.id] = registration(s.address, "faulty")
	}
	peer := freeAddress(t, "udp")
	_, port, err := net.SplitHostPort(peer)
	require.NoError(t, err)
	number, err := strconv.Atoi(port)
	require.NoError(t, err)
	data, err := json.Marshal(map[string]any{
		"nodeName": "h0", "ipAddress": "127.0.77.1", "zone": "a", "internalPortRange": []int{number, number + 7}, "seedNodes": []string{},
		"listenAddresses": map[string]string{"frontend": h.address, "readiness": h.others[0], "directory": h.others[1]},
		"limits":          map[string]any{"memoryMb": memoryMB, "maxFileDescriptors": maxDescriptors},
		"platform":        map[string]string{"address": newStore(t, values, &h.source)},
		"bounds":          map[string]float64{"gracePeriodS": 3, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 40, "ttl_max_s": 5},
	})
	require.NoError(t, err)
	settings := filepath.Join(directory, "settings")
	require.NoError(t, os.WriteFile(settings, data, 0o600))
	h.others[2] = "127.0.77.1:9464"
	h.peer = net.JoinHostPort("127.0.77.1", port)
	h.start([]string{"gateway"}, []string{"VERBENASTAND_NODE_FILE=" + settings})
	h.requireResponse("/read/start")
	return h
}

// newStore returns the address of a store with the values given, which never change.
func newStore(t *testing.T, values map[string]any, source *faultySource) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /verbenastand/kv-range", func(w http.ResponseWriter, _ *http.Request) {
		var items []map[string]any
		for key, value := range values {
			data, _ := json.Marshal(value)
			items = append(items, map[string]any{"key": key, "revision": 1, "value": data})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "currentRev": 1})
	})
	mux.HandleFunc("GET /verbenastand/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = w.Write([]byte(`{"events":[],"currentRev":1}`))
	})
	source.start(t, mux)
	return source.server.Listener.Addr().String()
}

// newEntryHost starts an entry host with a service that has one server.
func newEntryHost(t *testing.T) *host {
	h := &host{t: t, address: freeAddress(t, "tcp"), others: []string{freeAddress(t, "tcp")}}
	h.source.start(t, emulator.NewPlatform().Handler())
	platform := h.source.server
	files, err := emulator.WriteCertificates(t.TempDir())
	require.NoError(t, err)
	peer := freeAddress(t, "udp")
	h.peer = peer
	hosts, err := json.Marshal([]emulator.HostEntry{{Host: "host-0", Zone: "a", PeerAddress: peer}})
	require.NoError(t, err)
	ticket := merger.Ticket{Number: 1, Services: []merger.ServiceObject{{Name: "reads", Timeout: "60s"}, {Name: "held", Timeout: "60s"}, {Name: "faulty", Timeout: "60s"}}}
	for id, service := range map[verbenastand.ServerID]verbenastand.ServiceName{"i-1": "reads", "i-2": "held"} {
		ticket.Servers = append(ticket.Servers, merger.ServerObject{
			ID: id, Service: service, Zone: "a", Address: newBackend(t, string(id)), Slots: 1000, Connections: 1000,
		})
	}
	for _, s := range h.newFaultyServers() {
		ticket.Servers = append(ticket.Servers, merger.ServerObject{
			ID: verbenastand.ServerID(s.id), Service: "faulty", Zone: "a", Address: s.address, Slots: 1000, Connections: 1000,
		})
	}
	encoded, err := ticket.Encode()
	require.NoError(t, err)
	for path, body := range map[string][]byte{"/emulator/hosts": hosts, "/emulator/ticket": encoded} {
		response, err := http.Post(platform.URL+path, "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	h.start([]string{
		"entry", "--host", "host-0", "--zone", "a", "--call-address", h.address, "--api-address", h.others[0], "--peer-address", peer,
		"--platform", platform.URL, "--cert-file", files.CertFile, "--key-file", files.KeyFile, "--ca-file", files.CAFile,
	}, nil)
	h.requireResponse("/read/start")
	return h
}
