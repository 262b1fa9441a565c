package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/inspector"
	"github.com/verbenastand/verbenastand/sender"
)

// listeners holds the listening sockets of a gateway.
type listeners struct {
	calls, directory, readiness, metrics net.Listener
	peers                                net.PacketConn
}

func (g *Gateway) listen() (l listeners, err error) {
	s := g.config.Settings
	for _, e := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.CallAddress, &l.calls}, {s.DirectoryAddress, &l.directory},
		{s.ReadinessAddress, &l.readiness}, {s.MetricsAddress, &l.metrics},
	} {
		*e.listener, err = net.Listen("tcp", e.address)
		if err != nil {
			return l, fmt.Errorf("launcher: %w", err)
		}
	}
	l.peers, err = net.ListenPacket("udp", s.PeerAddress)
	if err != nil {
		return l, fmt.Errorf("launcher: %w", err)
	}
	return l, nil
}

// Run serves until ctx is done, and then drains the requests in flight. It reads the
// settings again for each value received from reload.
func (g *Gateway) Run(ctx context.Context, reload <-chan os.Signal) error {
	l, err := g.listen()
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	g.background.Go(func() { g.timer.Run(runCtx) })
	go func() { _ = g.peerServer.Serve(l.peers) }()
	servers := g.serveHTTP(l)
	g.subscribe()
	g.log.WithFields(log.Fields{
		"version": g.config.Version, "instance": g.self.Instance().String(), "fairQueueing": g.config.Settings.FairQueueing,
	}).Info("started")
	if n := g.config.Settings.MalformedRegions; n > 0 {
		g.log.WithField("count", n).Warn("regionsUnreadable")
	}
	g.start(ctx)
	go func() { _ = g.acceptor.Serve(l.calls) }()
	g.background.Go(func() { g.follower.Run(runCtx) })
	g.handleReloads(ctx, reload)
	g.drain(l)
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	_ = g.peerServer.Close()
	_ = g.forwarder.Close()
	g.sender.Close()
	_ = g.stopTracer(context.Background())
	g.log.Info("stopped")
	return nil
}

const httpTimeout = 5 * time.Second

func (g *Gateway) serveHTTP(l listeners) []*http.Server {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(g.meter.Registry(), promhttp.HandlerOpts{}))
	metrics.Handle("GET "+inspector.Path, inspector.NewHandler(string(g.self.ID()), g.carrier))
	var servers []*http.Server
	for i, e := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{l.directory, g.config.NewDirectory(g.resolver)},
		{l.readiness, g.config.NewReadiness(g.ready)},
		{l.metrics, metrics},
	} {
		server := &http.Server{Handler: e.handler, ReadHeaderTimeout: httpTimeout, MaxHeaderBytes: portHeaderBytes}
		go func() {
			if err := g.ports[i].Serve(server, e.listener); !errors.Is(err, http.ErrServerClosed) {
				g.log.WithError(err).Error("listenerFailed")
			}
		}()
		servers = append(servers, server)
	}
	return servers
}

func (g *Gateway) subscribe() {
	g.timer.Every(gossipPeriod, g.gossiper.Tick)
	g.timer.Every(urgentPeriod, g.gossiper.PassOn)
	g.timer.Every(followerPeriod, g.follower.ExpireRegistrations)
	g.timer.Every(reachPeriod, g.reach.update)
	g.timer.Every(sweepPeriod, g.quarantiner.Sweep)
	g.timer.Every(sweepPeriod, g.limiter.Sweep)
	g.timer.Every(sweepPeriod, g.warmup.Sweep)
	g.timer.Every(sweepPeriod, func(time.Time) { g.excluder.Sweep(g.registered) })
	g.timer.Every(sweepPeriod, func(time.Time) { g.sender.Sweep(g.knownTargets()) })
	g.timer.OnPause(func(gap time.Duration) {
		g.meter.Paused()
		g.gossiper.ResetTimeouts()
		g.follower.Invalidate()
		g.limiter.Pause(gap)
		g.bodies.Pause()
		g.reach.detector.Forget()
		if gap > longPause {
			g.sender.CloseIdle()
		}
		g.log.WithField("gapMs", gap.Milliseconds()).Warn("paused")
	})
}

// registered reports whether a server process is in the current view.
func (g *Gateway) registered(p verbenastand.ServerProcess) bool {
	return slices.ContainsFunc(g.follower.View().Servers(p.Service), func(r verbenastand.Registration) bool {
		return r.Server() == p.Server && r.StartTime() == p.StartTime
	})
}

// knownTargets returns a function that reports whether a server process is in the
// current view and its zone is not evacuated. Idle connections to other targets are closed.
func (g *Gateway) knownTargets() func(sender.Target) bool {
	known := make(map[sender.Target]bool)
	v := g.follower.View()
	for _, n := range v.ServiceNames() {
		for _, r := range v.Servers(n) {
			if v.Evacuated(r.Zone()) {
				continue
			}
			known[sender.Target{Server: r.Server(), Address: r.Address(), StartTime: r.StartTime()}] = true
		}
	}
	return func(t sender.Target) bool { return known[t] }
}

// start loads routes and servers from the store and the seed peers in parallel,
// within the start timeout.
func (g *Gateway) start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.config.Settings.StartTimeout)
	defer cancel()
	g.background.Go(func() { g.gossiper.Sync(ctx) })
	var peers []verbenastand.Host
	for _, p := range seedHosts(g.config.Settings.Peers) {
		if p.PeerAddress() != g.self.PeerAddress() {
			peers = append(peers, p)
		}
	}
	g.follower.Bootstrap(ctx, peers)
	position := g.follower.Position()
	g.log.WithFields(log.Fields{
		"known": g.follower.HasRouteTable(), "complete": position.Revision != 0, "era": uint64(position.Era), "revision": uint64(position.Revision),
	}).Info("ready")
}

func (g *Gateway) handleReloads(ctx context.Context, reload <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			g.reload()
		}
	}
}

// reload applies the only setting that may change at run time, the peer addresses.
func (g *Gateway) reload() {
	s, err := g.config.Reload()
	if err != nil {
		g.log.WithError(err).Error("reloadFailed")
		return
	}
	g.gossiper.ApplyHostList(seedHosts(s.Peers))
	g.log.WithField("peers", len(s.Peers)).Info("reloaded")
}

// drain shuts the host down gracefully. Lookups stop returning this host at once.
// Callers that use an earlier lookup response are served while that is valid; late requests only
// if their time limits end before the stop would cut them off. What arrives later stays unread.
// Requests that are still being handled at the end get a response that says
// whether they may have run.
func (g *Gateway) drain(l listeners) {
	started := time.Now()
	stop := newStopPlan(g.config.Settings.GracePeriod, g.config.Settings.AnswerValidity)
	g.log.WithFields(log.Fields{
		"intakeMs": stop.intake.Milliseconds(), "handlingMs": stop.handling.Milliseconds(),
	}).Info("draining")
	g.leaving.Store(true)
	g.acceptor.Drain()
	g.carrier.StopAt(started.Add(stop.open), started.Add(stop.handling))
	ctx, cancel := context.WithTimeout(context.Background(), stop.exit)
	defer cancel()
	g.background.Go(func() { g.gossiper.Leave(ctx) })
	stopCarrier := time.AfterFunc(stop.handling, g.stopCarrier)
	defer stopCarrier.Stop()
	sleep(ctx, stop.intake)
	_ = l.calls.Close()
	g.log.WithField("connections", g.acceptor.Connections()).WithField("unanswered", g.carrier.InFlight()).Info("intakeStopped")
	g.acceptor.StopReading()
	for ctx.Err() == nil && g.acceptor.Connections() > 0 {
		sleep(ctx, drainPollPeriod)
	}
	g.peerServer.AwaitResponses(ctx)
	g.log.WithField("tookMs", time.Since(started).Milliseconds()).WithField("unanswered", g.carrier.InFlight()).Info("drained")
}

// stopCarrier responds to the requests that are still being handled.
func (g *Gateway) stopCarrier() {
	g.log.WithField("unanswered", g.carrier.InFlight()).Info("requestsStopped")
	g.carrier.Stop()
}
