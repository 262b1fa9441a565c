package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// bounds are the bounds of the site files qalib-gw and tsela-gw.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "addressReuseS": 2, "stableWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
		"drainTimeoutMs": 2000, "gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250,
		"stretchMaxMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 58, "recoveryS": 15,
		"ttl_max_s": 5, "probesPerS": 60,
	}
}

// heartbeatInterval is the time between two heartbeats of a server.
const heartbeatInterval = 1500 * time.Millisecond

// deployment is a small deployment on loopback addresses.
type deployment struct {
	options *options
	dir     string
	// network holds the first three numbers of all addresses.
	network  string
	store    *store
	gateways []*gateway
	stop     chan struct{}

	mu      sync.Mutex
	servers []*server
	// graceS replaces gracePeriodS of the bounds, if it is not zero.
	graceS int
	// addresses counts the addresses given to servers.
	addresses int
}

// gateway is one process of the project.
type gateway struct {
	name, zone, ip string
	port           int
	command        *exec.Cmd
	exited         chan struct{}
}

func (g *gateway) address(offset int) string {
	return net.JoinHostPort(g.ip, strconv.Itoa(g.port+offset))
}
func (g *gateway) frontend() string { return g.address(1) }

// The ports of a gateway, relative to its first one.
const (
	portCount    = 32
	controlPort  = 9
	internalPort = 12
	metricsPort  = 9464
)

func newDeployment(o *options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, dir: dir, stop: make(chan struct{})}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if free(d.network+"1", metricsPort) && free(d.network+"2", metricsPort) {
			d.store, err = newStore(d.network + "100")
			return d, err
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func free(ip string, port int) bool {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// freePorts returns the first of a range of free ports.
func freePorts(ip string) (int, error) {
	for range 50 {
		first, ok := 20000+rand.IntN(9000), true
		for port := first; port < first+portCount; port++ {
			ok = ok && free(ip, port)
		}
		if ok {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// addServer starts a server. Its heartbeats begin with those of all servers.
func (d *deployment) addServer(c serverConfig) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.ip, c.record = d.network+strconv.Itoa(110+d.addresses), d.options.record
	c.random = rand.New(rand.NewPCG(d.options.seed, uint64(d.addresses)))
	d.addresses++
	s, err := newServer(c)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

// list returns the servers that are running.
func (d *deployment) list() []*server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.servers)
}

// start writes the route table and the registrations, and starts the gateways.
func (d *deployment) start(table map[string]any, zones []string) error {
	for _, s := range d.list() {
		if err := s.heartbeat(d.store); err != nil {
			return err
		}
	}
	if err := d.store.put("op/config", table); err != nil {
		return err
	}
	go d.beat()
	for i, zone := range zones {
		ip := d.network + strconv.Itoa(i+1)
		port, err := freePorts(ip)
		if err != nil {
			return err
		}
		if i > 0 {
			// The ports are the same on all machines.
			port = d.gateways[0].port
		}
		d.gateways = append(d.gateways, &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip, port: port})
	}
	for _, g := range d.gateways {
		if err := d.launch(g, zones); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

func (d *deployment) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, s := range d.list() {
				_ = s.heartbeat(d.store)
			}
		case <-d.stop:
			return
		}
	}
}

// launch starts the process of a gateway as the deploy file says.
func (d *deployment) launch(g *gateway, zones []string) error {
	zoneRegions := make(map[string]string)
	for _, zone := range zones {
		zoneRegions[zone] = "region"
	}
	var seeds []string
	for _, other := range d.gateways {
		seeds = append(seeds, other.address(controlPort))
	}
	bounds := bounds()
	if d.graceS != 0 {
		bounds["gracePeriodS"] = d.graceS
	}
	settings := map[string]any{
		"nodeName": g.name, "role": "gateway", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ipAddress": g.ip, "zone": g.zone, "region": "region", "zones": zoneRegions,
		"listenAddresses": map[string]string{
			"readiness": g.address(0), "frontend": g.frontend(), "directory": g.address(4), "controlPlane": g.address(controlPort),
		},
		"internalPortRange": []int{g.port + internalPort, g.port + portCount - 1}, "seedNodes": seeds[:min(3, len(seeds))],
		"initialStart": true, "heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"limits":    map[string]any{"cpuShare": 0.32, "cpuCores": 1, "memoryMb": 284, "maxFileDescriptors": 4100},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
		"bounds":    bounds,
		"platform":  map[string]any{"address": d.store.address, "form": "read", "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, g.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.command = exec.Command(d.options.binary, "gateway")
	g.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "VERBENASTAND_NODE_FILE=" + path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		_ = g.command.Wait()
		_ = log.Close()
		close(g.exited)
	}()
	return nil
}

// awaitReady waits until the gateways are ready and know each other.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range d.gateways {
		for {
			response, err := http.Get("http://" + g.address(0) + "/verbenastand/readiness")
			if err == nil {
				_ = response.Body.Close()
				if addresses, _, err := lookUp(g, g.zone); response.StatusCode == http.StatusOK && err == nil && len(addresses) == len(d.gateways) {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// lookUp asks a gateway where to connect.
func lookUp(g *gateway, zone string) (addresses []string, validity time.Duration, err error) {
	client := http.Client{Timeout: time.Second}
	query := url.Values{"name": {hostName}, "region": {"region"}, "zone": {zone}}
	response, err := client.Get("http://" + g.address(4) + "/verbenastand/resolution?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, 0, err
	}
	return body.Addresses, time.Duration(body.TTLS * float64(time.Second)), nil
}

// end ends all processes.
func (d *deployment) end() {
	close(d.stop)
	for _, g := range d.gateways {
		if g.command == nil || g.command.Process == nil || g.exited == nil {
			continue
		}
		_ = g.command.Process.Kill()
		<-g.exited
	}
	for _, s := range d.list() {
		_ = s.listener.Close()
	}
	_ = d.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// hostName is the host of all routes.
const hostName = "hulo84.example"

// route is a route of the desired state, with the service that it leads to.
type route struct {
	prefix, kind, service            string
	timeoutMs, targetMs, maxAttempts int
}

// routeTable returns a desired state.
func routeTable(routes ...route) map[string]any {
	table, services := make(map[string]any), make(map[string]any)
	for i, r := range routes {
		table[fmt.Sprintf("r-%d", i)] = map[string]any{
			"hostname": hostName, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs,
			"priority": 1, "service": r.service, "maxAttempts": r.maxAttempts,
		}
		services[r.service] = map[string]any{"healthCheckPath": "/health", "maxConnections": maxConnections}
	}
	return map[string]any{
		"version": "r7", "routes": table, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 26, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
