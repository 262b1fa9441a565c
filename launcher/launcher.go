// Package launcher assembles the components of a host and runs them.
package launcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/api"
	"github.com/verbenastand/verbenastand/certifier"
	"github.com/verbenastand/verbenastand/configurer"
	"github.com/verbenastand/verbenastand/connector"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/detector"
	"github.com/verbenastand/verbenastand/dispatcher"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/forwarder"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/hedger"
	"github.com/verbenastand/verbenastand/internal/admitter"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/closer"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/merger"
	"github.com/verbenastand/verbenastand/meter"
	"github.com/verbenastand/verbenastand/placer"
	"github.com/verbenastand/verbenastand/prober"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/reader"
	"github.com/verbenastand/verbenastand/recorder"
	"github.com/verbenastand/verbenastand/registrar"
	"github.com/verbenastand/verbenastand/responder"
	"github.com/verbenastand/verbenastand/timer"
	"github.com/verbenastand/verbenastand/tracer"
	"github.com/verbenastand/verbenastand/verifier"
	"github.com/verbenastand/verbenastand/watcher"
)

const (
	schedulerPeriod   = 10 * time.Millisecond
	idlePeriod        = 100 * time.Millisecond
	proberPeriod      = 100 * time.Millisecond
	sweepPeriod       = time.Second
	certificatePeriod = 10 * time.Second
	hostListPeriod    = 10 * time.Second
	hostListTimeout   = 2 * time.Second
	drainPollPeriod   = 20 * time.Millisecond
	apiReadTimeout    = 5 * time.Second
	handoverTimeout   = 5 * time.Second
	maxSuccessors     = 4
	// deliveryTimeout bounds how long a caller may take to receive the last response of a
	// connection, and lingerBytes what is read from it meanwhile, each half second.
	deliveryTimeout = 10 * time.Second
	lingerBytes     = 256 << 10
	// serverConnections is the number of connections that a server accepts from
	// all hosts together. minServerConnections is the number that one home host
	// needs to use all slots of a server.
	serverConnections    = 200
	minServerConnections = 12
	// maxStartDelay bounds a random delay before the first reads, which spreads the
	// reads of hosts that start at the same time.
	maxStartDelay = 200 * time.Millisecond
)

var errNotReady = errors.New("launcher: the host is not ready")

// HostConfig holds the settings and dependencies of a Host.
type HostConfig struct {
	Settings configurer.Settings
	Version  string
	Log      log.Interface
	// DroppedLines returns the number of log lines that were not written.
	DroppedLines func() int64
}

// Host is an entry host with its components.
type Host struct {
	settings     configurer.Settings
	version      string
	log          log.Interface
	droppedLines func() int64
	self         verbenastand.Host

	timer        *timer.Service
	meter        *meter.Meter
	certifier    *certifier.Certifier
	merger       *merger.Merger
	reader       *reader.Reader
	watcher      *watcher.Watcher
	recorder     *recorder.Recorder
	quarantiner  *quarantiner.Quarantiner
	limiter      *limiter.Limiter
	excluder     *excluder.Excluder
	started      time.Time
	deduplicator *deduplicator.Deduplicator
	forwarder    *forwarder.Forwarder
	peerServer   *forwarder.Server
	gossiper     *gossiper.Gossiper
	registrar    *registrar.Registrar
	connector    *connector.Connector
	dispatcher   *dispatcher.Dispatcher
	responder    *responder.Responder
	prober       *prober.Prober
	reach        *reach

	memory                    *bounder.Shares
	callAdmitter, apiAdmitter *admitter.Admitter
	callServer                *http.Server
	callListener              *closer.Listener
	apiServer                 *http.Server
	stopTracer                func(context.Context) error
	background                sync.WaitGroup
	membershipChanged         chan struct{}
}

// NewHost returns a host with the given settings, which must be valid.
func NewHost(ctx context.Context, c HostConfig) (*Host, error) {
	s := c.Settings
	certificates, err := certifier.NewCertifier(certifier.Config{CertFile: s.CertFile, KeyFile: s.KeyFile, CAFile: s.CAFile})
	if err != nil {
		return nil, err
	}
	instance := verbenastand.NewInstance(verbenastand.HostID(s.Host), uint64(time.Now().UnixNano()))
	h := &Host{
		settings: s, version: c.Version, log: c.Log, droppedLines: c.DroppedLines, certifier: certificates,
		self: verbenastand.NewHost(verbenastand.HostConfig{
			Instance: instance, Zone: verbenastand.Zone(s.Zone), CallAddress: s.CallAddress,
			APIAddress: s.APIAddress, PeerAddress: cmp.Or(s.PeerAdvertise, s.PeerAddress),
		}),
		timer: timer.NewService(timer.Config{}), meter: meter.NewMeter(),
		membershipChanged: make(chan struct{}, 1), started: time.Now(),
	}
	h.buildState(instance)
	h.buildGossip()
	if err := h.buildRequestPath(ctx, instance); err != nil {
		return nil, err
	}
	if err := h.buildServers(); err != nil {
		return nil, err
	}
	h.subscribe()
	h.registerMetrics()
	verifier.SetStrict(s.Strict)
	verifier.OnFailure(func(invariant string) { c.Log.WithField("invariant", invariant).Error("invariant violated") })
	return h, nil
}

func (h *Host) buildState(instance verbenastand.Instance) {
	h.merger = merger.NewMerger(merger.Config{OnChange: h.onConfiguration})
	h.reader = reader.NewReader(reader.Config{URL: h.settings.Platform, MaxBytes: platformMemory(h.settings.MemoryMB)})
	h.watcher = watcher.NewWatcher(watcher.Config{Platform: h.reader, Merger: h.merger, OnError: h.onReadError})
	h.recorder = recorder.NewRecorder(recorder.Config{Log: h.log, Meter: h.meter})
	h.quarantiner = quarantiner.NewQuarantiner(quarantiner.Config{Clock: h.timer, OnChange: h.onEvidenceChange})
	h.excluder = excluder.NewExcluder(excluder.Config{Clock: h.timer, OnChange: h.recorder.ExclusionChanged})
	h.limiter = limiter.NewLimiter(limiter.Config{
		Clock: h.timer, Self: h.self.ID(), Hosts: h.limitedHosts, OnChange: h.recorder.LimitChanged,
	})
	h.deduplicator = deduplicator.NewDeduplicator(deduplicator.Config{
		Clock: h.timer, Instance: instance, Validity: h.settings.KeyValidity, MaxBytes: keyMemory(h.settings.MemoryMB),
	})
	h.registrar = registrar.NewRegistrar(registrar.Config{
		Clock: h.timer, Self: h.self, MaxQueue: h.settings.MaxQueue, Limiter: h.limiter, Excluder: h.excluder, ZoneRTT: h.settings.ZoneRTT, Configuration: h.merger,
		Hosts: func() []verbenastand.Host { return placer.Reaching(h.gossiper.Hosts()) },
	})
}

func (h *Host) buildGossip() {
	h.forwarder = forwarder.NewForwarder(forwarder.Config{Certifier: h.certifier})
	var seeds []verbenastand.Host
	for _, address := range h.settings.Peers {
		seeds = append(seeds, verbenastand.NewHost(verbenastand.HostConfig{PeerAddress: address}))
	}
	h.gossiper = gossiper.NewGossiper(gossiper.Config{
		Timer: h.timer, Transport: h.forwarder, Self: h.self, Seeds: seeds,
		Random:        rand.New(rand.NewPCG(h.self.Instance().Boot(), uint64(len(h.settings.Host)))),
		Configuration: h.merger, Quarantine: h.quarantiner, Limits: h.limiter, Notices: h.registrar.Notices,
		OnNotice: h.registrar.ApplyNotice, OnMembershipChange: h.onMembershipChange, OnNewerTickets: h.fetchTickets,
	})
}

func (h *Host) buildRequestPath(ctx context.Context, instance verbenastand.Instance) error {
	requestTracer, stop, err := tracer.NewTracer(ctx, tracer.Config{
		Endpoint: h.settings.TraceEndpoint, SampleRatio: h.settings.TraceShare, Instance: instance,
	})
	if err != nil {
		return err
	}
	h.stopTracer = stop
	connections := max(minServerConnections, serverConnections/h.settings.Fleet)
	h.connector = connector.NewConnector(connector.Config{MaxConnections: connections, OnResult: h.observeServer})
	h.reach = &reach{gossiper: h.gossiper, log: h.log}
	h.reach.detector = detector.NewDetector(detector.Config{
		Clock: h.timer, View: h.serverView, Probe: dialServer, OnChange: h.recorder.ReachChanged,
	})
	h.dispatcher = dispatcher.NewDispatcher(dispatcher.Config{
		Timer: h.timer, Self: h.self, Membership: h.gossiper, Registrar: h.registrar,
		Deduplicator: h.deduplicator, Quarantiner: h.quarantiner, Limiter: h.limiter, Excluder: h.excluder, Peers: h.forwarder, Reachability: h,
		Servers: h.connector, Memory: admitter.Memory, ReadAhead: h.settings.MemoryMB > 0, Meter: h.meter, Tracer: requestTracer, MaxBody: h.settings.MaxBody,
		MaxConcurrent: h.settings.MaxConcurrent, StallTimeout: h.settings.StallTimeout,
		OnDrainNotice: h.onDrainNotice, OnCrashSuspected: h.onCrashSuspected,
		OnConnectionLost: h.onConnectionLost,
		Hedger:           hedger.NewHedger(hedger.Config{Clock: h.timer, Limit: h.settings.HedgeLimit, Observer: h.meter}),
	})
	h.prober = prober.NewProber(prober.Config{
		Timer: h.timer, Registrar: h.registrar, MaxHosts: h.settings.Fleet,
		Budget: h.settings.ProbeBudget, ProbeCost: h.settings.ProbeCost, OnProbe: h.meter.Probed,
		OnDrainNotice: h.onDrainNotice,
	})
	return nil
}

func (h *Host) buildServers() error {
	h.responder = responder.NewResponder(responder.Config{
		Clock: h.timer, Membership: h.gossiper, Configuration: h.merger, Registrar: h.registrar,
		Validity: h.settings.AnswerValidity, KeyValidity: h.settings.KeyValidity, AddStatus: h.addStatus,
	})
	handler, err := api.NewServer(h.responder)
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", handler)
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.meter.Registry(), promhttp.HandlerOpts{}))
	h.apiServer = &http.Server{Handler: mux, ReadHeaderTimeout: apiReadTimeout, ReadTimeout: apiReadTimeout, MaxHeaderBytes: portHeaderBytes}
	h.callServer = &http.Server{
		Handler: h.requestHandler(), ReadHeaderTimeout: h.settings.HeaderTimeout,
		IdleTimeout: h.settings.IdleTimeout, MaxHeaderBytes: h.settings.MaxHeader,
		Protocols: new(http.Protocols),
	}
	h.callServer.Protocols.SetHTTP1(true)
	h.callServer.Protocols.SetUnencryptedHTTP2(true)
	h.buildAdmitters()
	h.peerServer = forwarder.NewServer(forwarder.ServerConfig{
		Certifier: h.certifier, Exchange: h.gossiper.HandleMessage, Merger: h.merger,
		Handover: h.importKeys, ForwardHandler: h.dispatcher.ForwardHandler(),
		Memory: peerMemory(h.settings.MemoryMB), Refuse: h.dispatcher.RefuseForMemory, OnRefusal: logPeerRefusal(h.log),
	})
	return nil
}

// requestHandler closes the connections of callers after each response while the
// host is draining, so that they connect to another host for the next request.
func (h *Host) requestHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.responder.State() == responder.Draining {
			w.Header().Set("Connection", "close")
		}
		h.dispatcher.ServeHTTP(w, r)
	})
}
