package e2e

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/api"
	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/internal/emulator"
	"github.com/verbenastand/verbenastand/merger"
)

var binaries struct {
	once      sync.Once
	entry     string
	emulator  string
	directory string
	err       error
}

// raceFlags holds build flags that are set if the tests run with the race detector.
var raceFlags []string

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.directory != "" {
		_ = os.RemoveAll(binaries.directory)
	}
	os.Exit(code)
}

func buildBinaries(t testing.TB) {
	binaries.once.Do(func() {
		binaries.directory, binaries.err = os.MkdirTemp("", "verbenastand")
		if binaries.err != nil {
			return
		}
		binaries.entry = filepath.Join(binaries.directory, "verbenastand")
		binaries.emulator = filepath.Join(binaries.directory, "emulator")
		args := append([]string{"build", "-o", binaries.directory + "/"}, raceFlags...)
		command := exec.Command("go", append(args, "../../cmd/verbenastand", "../../cmd/emulator")...)
		if out, err := command.CombinedOutput(); err != nil {
			binaries.err = fmt.Errorf("%w: %s", err, out)
		}
		binaries.entry = cmp.Or(os.Getenv("ENTRY_BINARY"), binaries.entry)
	})
	require.NoError(t, binaries.err)
}

// process is a process started by a test.
type process struct {
	name    string
	args    []string
	command *exec.Cmd
	output  *bytes.Buffer
	// file replaces output if it is set.
	file *os.File
	done chan struct{}
	// ended describes how and when the process ended, valid once done is closed.
	ended string
}

func (p *process) start(t testing.TB) {
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.output = &bytes.Buffer{}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if p.file != nil {
		p.command.Stdout, p.command.Stderr = p.file, p.file
	}
	require.NoError(t, p.command.Start(), p.name)
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		p.ended = describeEnd(c.ProcessState, time.Now())
		close(done)
	}(p.command, p.done)
}

// describeEnd tells how a process ended. The status separates an exit of its own (2
// after a panic or a fatal error of the runtime, 66 after a report of the race
// detector) from a signal that was sent to it.
func describeEnd(s *os.ProcessState, at time.Time) string {
	text := fmt.Sprintf("process %d ended at %s: %s", s.Pid(), at.Format("05.000"), s)
	if usage, ok := s.SysUsage().(*syscall.Rusage); ok {
		text += fmt.Sprintf(", at most %d KiB resident", usage.Maxrss)
	}
	return text
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// entry is an entry host of a cluster.
type entry struct {
	*process
	id, zone, call, api, peer string
}

// cluster is a deployment in which each host and server is a separate process.
type cluster struct {
	t               testing.TB
	deployment      emulator.Deployment
	platform        *process
	platformAddress string
	entries         []*entry
	servers         map[verbenastand.ServerID]*process
	serverAddresses map[verbenastand.ServerID]string
	recordFile      string
	files           certifier.Config
	ticket          merger.Ticket
	started         time.Time
	partitioned     atomic.Bool
	// relayDelay is how long what a host sends back to another one is on its way.
	relayDelay time.Duration
}

// clusterConfig specifies the cluster of a test.
type clusterConfig struct {
	deployment emulator.Deployment
	entries    int
	flags      []string
	// relayed puts a UDP relay in front of each host's peer address, so that the
	// hosts can be partitioned.
	relayed    bool
	relayDelay time.Duration
}

// Ports are below the ephemeral port range of the operating system. Otherwise an
// outgoing connection could take a port between its selection and its use.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address with an unused port.
func freeAddress(t testing.TB, network string) string {
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)+int64(os.Getpid())*64)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		var listener io.Closer
		var err error
		if network == "udp" {
			listener, err = net.ListenPacket(network, address)
		} else {
			listener, err = net.Listen(network, address)
		}
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	require.FailNow(t, "no free port")
	return ""
}

func newCluster(t testing.TB, c clusterConfig) *cluster {
	buildBinaries(t)
	directory := t.TempDir()
	files, err := emulator.WriteCertificates(directory)
	require.NoError(t, err)
	k := &cluster{
		t: t, deployment: c.deployment, started: time.Now(), platformAddress: freeAddress(t, "tcp"), files: files,
		servers: make(map[verbenastand.ServerID]*process), serverAddresses: make(map[verbenastand.ServerID]string),
		recordFile: filepath.Join(directory, "record"), relayDelay: c.relayDelay,
	}
	t.Cleanup(k.stop)
	k.platform = &process{name: "platform", args: []string{binaries.emulator, "platform", "--address", k.platformAddress}}
	k.platform.start(t)
	for _, s := range c.deployment.Services {
		for i := range s.Servers {
			k.addServer(s, emulator.ServerName(s.Name, i))
		}
	}
	k.waitUntil("platform", func() bool { return k.get(k.platformAddress, "/v1/hosts") != "" })
	k.ticket = c.deployment.Ticket(1, func(id verbenastand.ServerID) string { return k.serverAddresses[id] })
	k.publish(k.ticket)
	for i := range c.entries {
		k.addEntry(i, c.flags)
		if c.relayed {
			k.addRelay(k.entries[i])
		}
	}
	k.publishHosts()
	for _, e := range k.entries {
		e.start(t)
	}
	k.waitUntil("all hosts know each other and a ticket", func() bool {
		for _, e := range k.entries {
			if s := k.status(e); s == nil || len(s.Peers) != len(k.entries)-1 || s.TicketNumber == 0 {
				return false
			}
		}
		return true
	})
	return k
}

func (k *cluster) addServer(s emulator.DeploymentService, id verbenastand.ServerID) {
	k.serverAddresses[id] = freeAddress(k.t, "tcp")
	k.servers[id] = &process{name: string(id), args: []string{
		binaries.emulator, "server", "--address", k.serverAddresses[id], "--id", string(id),
		"--mean", s.Mean.String(), "--long-factor", fmt.Sprint(max(1, s.LongFactor)), "--record", k.recordFile,
	}}
	k.servers[id].start(k.t)
}

func (k *cluster) addEntry(i int, flags []string) {
	e := &entry{
		id: fmt.Sprintf("host-%d", i), zone: string(k.deployment.Zones[i%len(k.deployment.Zones)]),
		call: freeAddress(k.t, "tcp"), api: freeAddress(k.t, "tcp"), peer: freeAddress(k.t, "udp"),
	}
	args := []string{
		binaries.entry, "entry", "--host", e.id, "--zone", e.zone, "--call-address", e.call,
		"--api-address", e.api, "--peer-address", e.peer, "--platform", "http://" + k.platformAddress,
		"--cert-file", k.files.CertFile, "--key-file", k.files.KeyFile, "--ca-file", k.files.CAFile,
		"--answer-validity", "1s", "--strict", "--log-format", "json",
	}
	e.process = &process{name: e.id, args: append(args, flags...)}
	k.entries = append(k.entries, e)
}

func (k *cluster) publishHosts() {
	hosts := []emulator.HostEntry{}
	for _, e := range k.entries {
		hosts = append(hosts, emulator.HostEntry{Host: e.id, Zone: e.zone, PeerAddress: e.peer})
	}
	data, err := json.Marshal(hosts)
	require.NoError(k.t, err)
	k.post(k.platformAddress, "/emulator/hosts", data)
}

func (k *cluster) publish(t merger.Ticket) {
	data, err := t.Encode()
	require.NoError(k.t, err)
	k.post(k.platformAddress, "/emulator/ticket", data)
}

func (k *cluster) post(address, path string, body []byte) {
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	require.NoError(k.t, err)
	_ = response.Body.Close()
	require.Equal(k.t, http.StatusOK, response.StatusCode, path)
}

func (k *cluster) get(address, path string) string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}

// requireStatus returns the status of a host that runs. A call may time out on a busy machine.
func (k *cluster) requireStatus(e *entry) *api.Status {
	k.t.Helper()
	var status *api.Status
	k.waitUntil("the host responds with its status", func() bool {
		status = k.status(e)
		return status != nil
	})
	return status
}

// status returns the status of a host, nil if it does not respond within a second.
func (k *cluster) status(e *entry) *api.Status {
	client, err := api.NewClient("http://" + e.api)
	require.NoError(k.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return nil
	}
	return status
}

// waitUntil polls until f returns true, and fails the test after 30 s.
func (k *cluster) waitUntil(condition string, f func() bool) {
	k.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			for _, e := range k.entries {
				if e.output != nil && !e.running() {
					k.t.Logf("%s: %s\n%s", e.id, e.ended, e.output.String())
				}
			}
			require.FailNow(k.t, "condition not met in time", condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (k *cluster) apiAddresses() []string {
	var addresses []string
	for _, e := range k.entries {
		addresses = append(addresses, e.api)
	}
	return addresses
}

func (k *cluster) caller() *emulator.Caller {
	c := emulator.NewCaller(emulator.CallerConfig{APIAddresses: k.apiAddresses(), MaxRetries: 6})
	k.t.Cleanup(c.Close)
	return c
}

// entryNamed returns the entry host with the given name.
func (k *cluster) entryNamed(id string) *entry {
	for _, e := range k.entries {
		if e.id == id {
			return e
		}
	}
	require.FailNow(k.t, "no such host", id)
	return nil
}

// homes returns the home hosts of a service, and a host that is not one of them.
func (k *cluster) homes(service verbenastand.ServiceName) (homes []*entry, other *entry) {
	known := make(map[string]bool)
	for _, s := range k.requireStatus(k.entries[0]).Services {
		if s.Name != string(service) {
			continue
		}
		for _, id := range s.Homes {
			known[id] = true
			homes = append(homes, k.entryNamed(id))
		}
	}
	for _, e := range k.entries {
		if !known[e.id] {
			other = e
		}
	}
	return homes, other
}

// runs returns all requests that ran, as the servers recorded them.
func (k *cluster) runs() []emulator.Run {
	runs, err := emulator.ReadRunLog(k.recordFile)
	require.NoError(k.t, err)
	return runs
}

// runsPerKey returns the number of runs of each idempotency key.
func (k *cluster) runsPerKey() map[string]int {
	count := make(map[string]int)
	for _, r := range k.runs() {
		if r.Key != "" {
			count[r.Key]++
		}
	}
	return count
}

// runsWithID returns the number of runs of a request.
func (k *cluster) runsWithID(id string) int {
	n := 0
	for _, r := range k.runs() {
		if r.ID == id {
			n++
		}
	}
	return n
}

// setFault injects the fault that the query specifies into a server. An empty query
// ends its faults.
func (k *cluster) setFault(id verbenastand.ServerID, query string) {
	k.get(k.serverAddresses[id], "/emulator/fault?"+query)
}

func (k *cluster) stop() {
	processes := []*process{k.platform}
	for _, s := range k.servers {
		processes = append(processes, s)
	}
	for _, e := range k.entries {
		processes = append(processes, e.process)
	}
	for _, p := range processes {
		if p.command != nil && p.running() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, e := range k.entries {
		if e.output != nil && strings.Contains(e.output.String(), "DATA RACE") {
			k.t.Errorf("%s has a data race", e.id)
		}
	}
	if k.t.Failed() {
		for _, e := range k.entries {
			if e.output != nil {
				k.t.Logf("%s:\n%s", e.id, e.output.String())
			}
		}
	}
}
