package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports of a deployment, the same on all machines.
const (
	readinessPort = 8640
	frontendPort  = 8641
	directoryPort = 8644
	controlPort   = 8649
	firstPeerPort = 7620
	lastPeerPort  = 7635
)

// gateway is a process of the system on a machine of its own address.
type gateway struct {
	deployment *deployment
	name       string
	ip, zone   string
	command    *exec.Cmd
	ended      chan struct{}
}

func (g *gateway) address(port int) string { return net.JoinHostPort(g.ip, strconv.Itoa(port)) }

// settings writes the settings file of the process, with the fields that the template renders.
func (g *gateway) settings() (string, error) {
	d := g.deployment
	var seeds []string
	for _, other := range d.gateways[:min(3, len(d.gateways))] {
		seeds = append(seeds, other.address(controlPort))
	}
	zones := make(map[string]string)
	for _, z := range d.zones {
		zones[z] = "delta"
	}
	fields := map[string]any{
		"nodeName": g.name, "role": "gateway", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ipAddress": g.ip, "zone": g.zone, "region": "delta", "lossCounts": false, "initialStart": true,
		"limits": map[string]any{
			"cpuShare": 0.32, "cpuCores": 1, "memoryMb": d.memoryMB, "maxFileDescriptors": 4100, "linkBandwidthMbps": 1000, "diskMb": 0,
		},
		"internalPortRange": []int{firstPeerPort, lastPeerPort}, "seedNodes": seeds,
		"listenAddresses": map[string]any{
			"frontend": g.address(frontendPort), "readiness": g.address(readinessPort),
			"controlPlane": g.address(controlPort), "directory": g.address(directoryPort),
		},
		"zones": zones, "discovery": "platform", "entryPoint": "directory", "heartbeatIntervalMs": heartbeat.Milliseconds(),
		"platform": map[string]any{
			"address": d.store.address, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000,
		},
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "stableWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 2000,
			"gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "stretchMaxMs": 5000,
			"retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 58, "recoveryS": 15, "ttl_max_s": 5, "probesPerS": 60,
		},
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.dir, g.name+".settings")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	path, err := g.settings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.deployment.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.command = exec.Command(g.deployment.binary, "gateway")
	g.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + g.deployment.dir, "VERBENASTAND_NODE_FILE=" + path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	go func(c *exec.Cmd) {
		_ = c.Wait()
		g.deployment.record.printf("process of %s has ended: %s", g.name, c.ProcessState)
		close(ended)
	}(g.command)
	return nil
}

func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// kill ends the process.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// ready reports whether the process says that it is ready.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.address(readinessPort) + "/verbenastand/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// deployment is a small installation on loopback addresses.
type deployment struct {
	record   *record
	binary   string
	dir      string
	prefix   string
	zones    []string
	memoryMB int
	store    *store
	gateways []*gateway
	servers  []*server
	version  int
}

// newDeployment returns a deployment with a store and no processes.
func newDeployment(r *record, binary string, hosts int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "standin-2")
	if err != nil {
		return nil, err
	}
	workDir.Store(&dir)
	d := &deployment{record: r, binary: binary, dir: dir, zones: []string{"cairo", "giza", "tanta"}, memoryMB: 284}
	if d.prefix, err = freePrefix(hosts); err != nil {
		return nil, err
	}
	if d.store, err = startStore(d.prefix + ".240:0"); err != nil {
		return nil, err
	}
	for i := range hosts {
		g := &gateway{deployment: d, name: fmt.Sprintf("front-%s-%d", d.zones[i%len(d.zones)], i+1), ip: fmt.Sprintf("%s.%d", d.prefix, i+1), zone: d.zones[i%len(d.zones)]}
		d.gateways = append(d.gateways, g)
	}
	return d, nil
}

// freePrefix returns the first bytes of loopback addresses whose fixed ports are free.
func freePrefix(hosts int) (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+i)%128, os.Getpid()/128%250)
		free := true
		for h := range hosts {
			for _, port := range []int{frontendPort, readinessPort, directoryPort, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, h+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// addServer starts an upstream.
func (d *deployment) addServer(service, id, zone string, slots int, work func(*http.Request) time.Duration) (*server, error) {
	s := &server{
		record: d.record, store: d.store, id: id, service: service, zone: zone, slots: slots, work: work,
		address: fmt.Sprintf("%s.%d:0", d.prefix, 100+len(d.servers)),
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	d.servers = append(d.servers, s)
	return s, nil
}

// route is a route of the desired state.
type route struct {
	Hostname        string `json:"hostname"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	MaxAttempts     int    `json:"maxAttempts"`
	Service         string `json:"service"`
}

// configure writes a desired state.
func (d *deployment) configure(routes map[string]route) {
	services := make(map[string]any)
	for _, r := range routes {
		services[r.Service] = map[string]any{"healthCheckPath": "/health", "maxConnections": 220}
	}
	d.version += 2
	d.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("r%d", d.version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// startGateways starts all processes, and returns once all are ready and know each other.
func (d *deployment) startGateways() error {
	for _, g := range d.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range d.gateways {
			if g.ready() {
				ready++
			}
		}
		if ready == len(d.gateways) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d processes are ready", ready, len(d.gateways))
		}
	}
	// Longer than stableWindowMs.
	time.Sleep(4 * time.Second)
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, g := range d.gateways {
		g.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("kept", d.dir)
}

// serverThatRuns returns the last upstream that has begun to run a request, nil if there is none.
func (d *deployment) serverThatRuns(id string) (last *server) {
	for _, s := range d.servers {
		if s.ran(id) {
			last = s
		}
	}
	return last
}
