package launcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/carrier"
	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/configurer"
	"github.com/verbenastand/verbenastand/delegator"
	"github.com/verbenastand/verbenastand/detector"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/follower"
	"github.com/verbenastand/verbenastand/forwarder"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/hedger"
	"github.com/verbenastand/verbenastand/internal/admitter"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/meter"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/recorder"
	"github.com/verbenastand/verbenastand/resolver"
	"github.com/verbenastand/verbenastand/retrier"
	"github.com/verbenastand/verbenastand/router"
	"github.com/verbenastand/verbenastand/sender"
	"github.com/verbenastand/verbenastand/timer"
	"github.com/verbenastand/verbenastand/tracer"
)

const (
	gossipPeriod   = 300 * time.Millisecond
	gossipLifetime = 3 * time.Second
	// gossipLifetimePerHost extends the lifetime for each host, because heartbeats
	// take longer to spread through a large deployment.
	gossipLifetimePerHost = 20 * time.Millisecond
	// gossipNeighbours limits the hosts with which a host exchanges gossip messages.
	gossipNeighbours = 8
	// staleHostAge is the time without a heartbeat of a host after which callers of an evacuated zone are
	// directed to others. Within 123 hosts the last heartbeat of a host takes up to 3 s to the
	// others, and a failed host may be named for 6 s.
	staleHostAge = 2 * time.Second
	// urgentPeriod is the time between two checks for urgent changes to pass on.
	urgentPeriod   = 200 * time.Millisecond
	followerPeriod = 100 * time.Millisecond
	// discoveryPeriod is the time after the start during which the number of hosts
	// counts as unknown.
	discoveryPeriod = 2 * time.Second
	// longPause is the length of a pause of the process beyond which idle
	// connections to servers are closed.
	longPause = time.Second
	// The default limits apply until a route table is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// GatewayConfig holds the dependencies and settings of a Gateway.
type GatewayConfig struct {
	Settings configurer.Gateway
	Version  string
	Log      log.Interface
	// DroppedLines returns the number of log lines that were not written.
	DroppedLines func() int64
	Store        verbenastand.ConfigurationStore
	HeaderFormat verbenastand.HeaderFormat
	// NewDirectory returns the handler for the host lookups of callers, and
	// NewReadiness the handler for the readiness checks of the platform.
	NewDirectory func(*resolver.Resolver) http.Handler
	NewReadiness func(ready func() bool) http.Handler
	// Reload reads the settings again, some of which may change at run time.
	Reload func() (configurer.Gateway, error)
}

// Gateway is a host that follows the route table and the servers in a configuration
// store. Unlike those of an entry host, its callers send no idempotency keys.
type Gateway struct {
	config  GatewayConfig
	log     log.Interface
	self    verbenastand.Host
	started time.Time

	timer         *timer.Service
	meter         *meter.Meter
	recorder      *recorder.Recorder
	forwarder     *forwarder.Forwarder
	peerServer    *forwarder.Server
	gossiper      *gossiper.Gossiper
	quarantiner   *quarantiner.Quarantiner
	limiter       *limiter.Limiter
	warmup        *limiter.Warmup
	bodies        *limiter.Bodies
	excluder      *excluder.Excluder
	follower      *follower.Follower
	router        *router.Router
	balancer      *balancer.Balancer
	sender        *sender.Sender
	carrier       *carrier.Carrier
	reach         *reach
	healthChecker *carrier.HealthChecker
	acceptor      *acceptor.Acceptor
	memory        *bounder.Shares
	ports         []*admitter.Admitter
	resolver      *resolver.Resolver
	requestTracer trace.Tracer
	stopTracer    func(context.Context) error

	members    memberNames
	leaving    atomic.Bool
	maxHosts   atomic.Int64
	background sync.WaitGroup
}

// emptyConfiguration is the ConfigurationSource of the gossiper, because a gateway
// has no tickets.
type emptyConfiguration struct{ configuration *verbenastand.Configuration }

// Configuration implements verbenastand.ConfigurationSource.
func (e emptyConfiguration) Configuration() *verbenastand.Configuration { return e.configuration }

// NewGateway returns a gateway with the given settings, which must be valid.
func NewGateway(ctx context.Context, c GatewayConfig) (*Gateway, error) {
	s := c.Settings
	certificates, err := certifier.NewSharedCertifier(s.SharedSecret)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	instance := verbenastand.NewInstance(verbenastand.HostID(s.Host), uint64(now.UnixNano()))
	g := &Gateway{
		config: c, log: c.Log, started: now, timer: timer.NewService(timer.Config{}), meter: meter.NewMeter(),
		self: verbenastand.NewHost(verbenastand.HostConfig{
			Instance: instance, Zone: verbenastand.Zone(s.Zone), CallAddress: s.CallAddress,
			APIAddress: s.DirectoryAddress, PeerAddress: cmp.Or(s.PeerAdvertise, s.PeerAddress),
			LinkMbps: int(s.LinkMbps),
		}),
	}
	g.recorder = recorder.NewRecorder(recorder.Config{Log: c.Log, Meter: g.meter, Share: s.LogShare})
	g.quarantiner = quarantiner.NewQuarantiner(quarantiner.Config{
		Clock: g.timer, RegistrationTime: g.registrationTime(), OnChange: g.onEvidenceChange,
	})
	g.limiter = limiter.NewLimiter(limiter.Config{
		Clock: g.timer, Self: g.self.ID(), Hosts: g.limitedHosts, OnChange: g.onLimitChange,
	})
	g.warmup = limiter.NewWarmup(limiter.WarmupConfig{
		Clock: g.timer, Self: g.self.ID(), Hosts: g.warmupHosts, Overage: s.WarmupOverage, Slack: s.WarmupSlack,
		OnChange: g.recorder.WarmupChanged,
	})
	g.bodies = g.buildBodies()
	g.excluder = excluder.NewExcluder(excluder.Config{Clock: g.timer, OnChange: g.onExclusionChange})
	g.buildGossip(certificates)
	g.requestTracer, g.stopTracer, err = tracer.NewTracer(ctx, tracer.Config{Endpoint: s.TraceEndpoint, SampleRatio: s.TraceShare, Instance: instance})
	if err != nil {
		return nil, err
	}
	g.buildRequestPath()
	g.buildPortAdmitters()
	g.registerMetrics()
	return g, nil
}

func (g *Gateway) buildGossip(certificates *certifier.Certifier) {
	g.forwarder = forwarder.NewForwarder(forwarder.Config{Certifier: certificates, CloseIdle: true})
	g.gossiper = gossiper.NewGossiper(gossiper.Config{
		Timer: g.timer, Transport: g.forwarder, Self: g.self, Seeds: seedHosts(g.config.Settings.Peers),
		Interval: gossipPeriod, Lifetime: gossipLifetime, LifetimePerHost: gossipLifetimePerHost, Neighbours: gossipNeighbours,
		Random:             rand.New(rand.NewPCG(g.self.Instance().Boot(), 0)),
		Configuration:      emptyConfiguration{verbenastand.NewConfiguration(verbenastand.ConfigurationConfig{})},
		Quarantine:         g.quarantiner,
		Limits:             g.limiter,
		Notices:            g.leavingNotices,
		OnNotice:           g.applyLeavingNotice,
		OnMembershipChange: g.onMembershipChange,
		OnNewerTickets:     func(verbenastand.Host, verbenastand.TicketNumber) {},
	})
	g.follower = follower.NewFollower(follower.Config{
		Clock: g.timer, Store: g.config.Store, Relay: g.forwarder, Membership: g.gossiper, Self: g.self, Regions: g.config.Settings.ZoneRegions(),
		RegistrationLifetime: g.config.Settings.RegistrationLifetime,
		OnView:               g.onView, OnEvent: g.recorder.Store,
	})
	g.peerServer = forwarder.NewServer(forwarder.ServerConfig{
		Certifier: certificates, CloseIdle: true, Exchange: g.gossiper.HandleMessage, Relay: g.follower.HandleMessage,
		Tunnel: g.serveDelegated, Memory: peerMemory(g.config.Settings.MemoryMB), OnRefusal: logPeerRefusal(g.log),
	})
}

func seedHosts(addresses []string) []verbenastand.Host {
	var seeds []verbenastand.Host
	for _, address := range addresses {
		seeds = append(seeds, verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: address}))
	}
	return seeds
}

func (g *Gateway) buildRequestPath() {
	s := g.config.Settings
	g.memory = callerMemory(s.MemoryMB)
	g.router = router.NewRouter()
	g.sender = sender.NewSender(sender.Config{HeaderFormat: g.config.HeaderFormat})
	g.reach = &reach{gossiper: g.gossiper, log: g.log}
	g.reach.detector = detector.NewDetector(detector.Config{
		Clock: g.timer, View: g.follower.View, Probe: g.probe, Excluder: g.excluder, OnChange: g.onReachChange,
	})
	g.healthChecker = &carrier.HealthChecker{
		Sender: g.sender, Reachability: g.reach.detector, OnCheck: g.meter.Probed,
		Names: g.config.HeaderFormat.Names(), Excluder: g.excluder, Warmup: g.warmup,
	}
	g.balancer = balancer.NewBalancer(balancer.Config{
		Clock: g.timer, Zone: g.self.Zone(), Regions: s.ZoneRegions(), Limiter: limiter.Combined{g.limiter, g.warmup}, Excluder: g.excluder, OnServerChange: g.recorder.ServerChanged,
		FairQueueing: s.FairQueueing, BodyLimiter: g.bodyLimiter(), OnBodyShortage: g.recorder.BodyLimited,
		Unreached: g.reach.detector.Cut, HealthChecker: g.healthChecker,
	})
	g.carrier = carrier.NewCarrier(carrier.Config{
		Clock: g.timer, Names: g.config.HeaderFormat.Names(), HeaderFormat: g.config.HeaderFormat, Router: g.router,
		Balancer: g.balancer, Sender: g.sender, Quarantiner: g.quarantiner, Limiter: g.limiter, Excluder: g.excluder, HealthChecker: g.healthChecker,
		Hedger:          hedger.NewHedger(hedger.Config{Clock: g.timer, Limit: s.HedgeLimit, Observer: g.meter}),
		Observer:        g.recorder,
		RegistrationAge: g.follower.Staleness, RegistrationTime: g.registrationTime(),
		Self: g.self.ID(), Reachability: g.reach.detector, Delegator: delegator.NewDelegator(delegator.Config{
			Self: g.self, Membership: g.gossiper, Regions: s.ZoneRegions(), Evacuated: g.evacuated, Tunnel: g.forwarder.Tunnel,
		}),
		Tracer: g.requestTracer, OnCrashSuspected: g.onCrashSuspected, OnConnectionLost: g.onConnectionLost, MaxConcurrent: s.MaxConcurrent, ResponseMemory: g.responseMemory(),
		NewBudget: func(verbenastand.ServiceName) *retrier.WindowBudget {
			return retrier.NewWindowBudget(retrier.WindowBudgetConfig{
				Clock: g.timer, Duration: s.RetryWindow, Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Hosts: g.hostCount,
			})
		},
	})
	g.acceptor = acceptor.NewAcceptor(acceptor.Config{
		Handler: g.carrier, Limits: g.limits, Observer: g.recorder, RequestTimeout: g.carrier.RequestTimeout,
		Memory: g.memory, RequestMemory: g.memory.Size(), MaxRequests: boundedRequests(s.MaxConcurrent, s.MaxDescriptors),
		MaxConnections: s.MaxDescriptors / connectionsPart, OnShortage: g.recorder.MemoryExhausted,
	})
	g.resolver = resolver.NewResolver(resolver.Config{
		Membership: g.gossiper, Self: g.self, Serving: g.ready, Validity: s.AnswerValidity, Regions: s.ZoneRegions(),
		Evacuated: g.evacuated,
		Stale:     func() map[verbenastand.HostID]bool { return g.gossiper.Stale(staleHostAge) },
	})
}

// registrationTime returns the time within which a server is registered after its start: it
// renews its registration several times in the lifetime of one.
func (g *Gateway) registrationTime() time.Duration { return g.config.Settings.RegistrationLifetime / 2 }

// evacuated reports whether the servers of an availability zone get no requests.
func (g *Gateway) evacuated(z verbenastand.Zone) bool { return g.follower.View().Evacuated(z) }

// hostCount returns the largest number of hosts seen so far. It returns zero during
// the discovery period, while hosts that started together find each other.
func (g *Gateway) hostCount() int {
	if time.Since(g.started) < discoveryPeriod {
		return 0
	}
	return int(g.maxHosts.Load())
}

func (g *Gateway) onMembershipChange() {
	hosts := g.gossiper.Hosts()
	for {
		old := g.maxHosts.Load()
		if int64(len(hosts)) <= old || g.maxHosts.CompareAndSwap(old, int64(len(hosts))) {
			break
		}
	}
	joined, left := g.members.update(hosts)
	g.log.WithFields(log.Fields{"hosts": len(hosts), "joined": joined, "left": left}).Info("membership")
}

// memberNames holds the hosts of the previous membership, so that joined and left
// hosts can be logged.
type memberNames struct {
	mu    sync.Mutex
	names map[verbenastand.HostID]bool
}

func (m *memberNames) update(hosts []verbenastand.Host) (joined, left []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make(map[verbenastand.HostID]bool, len(hosts))
	for _, h := range hosts {
		names[h.ID()] = !h.Leaving()
		if !h.Leaving() && !m.names[h.ID()] {
			joined = append(joined, string(h.ID()))
		}
	}
	for id, was := range m.names {
		if was && !names[id] {
			left = append(left, string(id))
		}
	}
	m.names = names
	return joined, left
}

func (g *Gateway) onView(v *verbenastand.View) {
	g.router.Update(v.Table())
	g.warmup.Update(v)
	g.balancer.Update(v)
	g.recorder.EvacuationsChanged(v)
}

// limitedHosts returns the hosts that share the limits of servers, none during the
// discovery period. Silent hosts are among them: they may be on the other side of a
// partition, and use their shares.
func (g *Gateway) limitedHosts(verbenastand.ServerProcess) []verbenastand.Host {
	if time.Since(g.started) < discoveryPeriod {
		return nil
	}
	return g.gossiper.StayingHosts()
}

// warmupHosts returns the hosts that share the limits of cold servers, none during the discovery
// period.
func (g *Gateway) warmupHosts(verbenastand.ServerProcess) []verbenastand.Host {
	return g.gossiper.SharingHosts(discoveryPeriod)
}
func (g *Gateway) limits() verbenastand.CallerLimits {
	if t := g.router.Table(); t != nil {
		return t.Limits()
	}
	return verbenastand.CallerLimits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
}

// ready reports whether callers may be directed to this host.
func (g *Gateway) ready() bool { return g.follower.Serviceable() && !g.leaving.Load() }

func (g *Gateway) registerMetrics() {
	g.meter.Gauge("connections", "Open connections of callers.", func() float64 { return float64(g.acceptor.Connections()) })
	registerPeerPort(g.meter, g.peerServer)
	registerMemory(g.meter, g.memory, func() int64 { return g.acceptor.Closed() + g.portConnectionsClosed() })
	g.registerBodies()
	g.meter.Gauge("server_connections_idle", "Kept connections to servers.", func() float64 { return float64(g.sender.Idle()) })
	g.meter.Gauge("requests_in_flight", "Requests on this host.", func() float64 { return float64(g.carrier.InFlight()) })
	g.meter.Gauge("view_age_seconds", "Age of the proof that routes and servers are current.", func() float64 { return g.follower.Staleness().Seconds() })
	g.meter.Gauge("hosts", "Hosts believed alive.", func() float64 { return float64(len(g.gossiper.Hosts())) })
	g.meter.Gauge("quarantined", "Request fingerprints that are refused.", func() float64 { return float64(g.quarantiner.Quarantined()) })
	g.meter.Gauge("limited_servers", "Servers that name a limit of requests per second.", func() float64 { return float64(g.limiter.Limited()) })
	g.meter.Gauge("cold_servers", "Servers that are cold and have a limit of requests per second.", func() float64 { return float64(g.warmup.Cold()) })
	g.meter.Gauge("leaving_servers", "Servers that have said that they are leaving.", func() float64 {
		leaving, _ := g.excluder.Counts()
		return float64(leaving)
	})
	g.meter.Gauge("waiting_callers", "Callers with requests that wait for a server.", func() float64 {
		return float64(g.balancer.WaitingCallers())
	})
	g.meter.Gauge("paused_servers", "Servers that have asked this host for a pause.", func() float64 {
		_, paused := g.excluder.Counts()
		return float64(paused)
	})
	g.meter.Gauge("evacuated_zones", "Availability zones whose servers get no requests.", func() float64 {
		return float64(g.follower.View().EvacuatedZones())
	})
	g.meter.Gauge("restricted_routes", "Routes whose requests may run in some regions only.", func() float64 {
		return float64(g.router.Table().Restricted())
	})
	g.meter.Gauge("detached", "1 while no server is reached.", func() float64 {
		if g.reach.detector.Detached() {
			return 1
		}
		return 0
	})
	g.meter.Counter("lines_left_out_total", "Log lines that were not written.", func() float64 { return float64(g.config.DroppedLines()) })
	g.meter.Counter("store_calls_total", "Calls to the configuration store.", func() float64 { return float64(g.follower.StoreCalls()) })
}
