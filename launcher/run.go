package launcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/closer"
	"github.com/verbenastand/verbenastand/placer"
	"github.com/verbenastand/verbenastand/responder"
)

// Run serves until ctx is done and then shuts down gracefully. It returns when all
// requests in flight have completed or the drain timeout has expired. For each value
// received from reload it reads again what may change at run time.
func (h *Host) Run(ctx context.Context, reload <-chan os.Signal) error {
	if err := h.listenForCalls(); err != nil {
		return err
	}
	apiListener, err := net.Listen("tcp", h.settings.APIAddress)
	if err != nil {
		return fmt.Errorf("launcher: API address: %w", err)
	}
	peerConn, err := net.ListenPacket("udp", h.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("launcher: peer address: %w", err)
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 3)
	serve := func(f func() error) {
		h.background.Go(func() {
			if err := f(); !errors.Is(err, http.ErrServerClosed) && runCtx.Err() == nil {
				failed <- err
			}
		})
	}
	h.background.Go(func() { h.timer.Run(runCtx) })
	h.background.Go(func() { h.watchMembership(runCtx) })
	serve(func() error { return h.peerServer.Serve(peerConn) })
	serve(func() error { return h.apiAdmitter.Serve(h.apiServer, apiListener) })
	h.start(ctx)
	serve(func() error { return h.callAdmitter.Serve(h.callServer, h.callListener) })
	h.background.Go(func() { h.watcher.Run(runCtx) })
	h.timer.Every(sweepPeriod, func(time.Time) { h.markReady() })
	err = h.handleReloads(ctx, reload, failed)
	h.drain()
	stop()
	h.shutdown(peerConn)
	return err
}

func (h *Host) listenForCalls() error {
	listener, err := net.Listen("tcp", h.settings.CallAddress)
	if err != nil {
		return fmt.Errorf("launcher: call address: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("launcher: call address: %T is no TCP listener", listener)
	}
	h.callListener = closer.NewListener(tcp, closer.Config{Bytes: lingerBytes, Delivery: deliveryTimeout})
	return nil
}

// handleReloads returns when ctx is done or a server has failed.
func (h *Host) handleReloads(ctx context.Context, reload <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-reload:
			h.log.Info("reloading certificates and the list of hosts")
			h.reloadCertificates()
			h.background.Go(h.readHostList)
		}
	}
}

// start loads the configuration from the platform and the peers before the host
// serves, within the start timeout.
func (h *Host) start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.StartTimeout)
	defer cancel()
	sleep(ctx, rand.N(maxStartDelay))
	h.readHostList()
	h.gossiper.Sync(ctx)
	var peers []verbenastand.TicketSource
	for _, p := range h.gossiper.Hosts() {
		if p.ID() != h.self.ID() {
			peers = append(peers, h.forwarder.TicketSource(p))
		}
	}
	if !h.watcher.Bootstrap(ctx, peers) {
		h.log.Warn("no source of tickets answered within the start timeout")
	}
	h.registrar.Update()
	h.markReady()
}

// markReady marks a starting host as ready once it holds a ticket.
func (h *Host) markReady() {
	if h.merger.Configuration().Number() == 0 || !h.responder.MarkReady() {
		return
	}
	h.log.WithField("instance", h.self.Instance().String()).Info("ready")
}

// drain shuts the host down gracefully. First, lookup responses no longer contain this
// host, while callers with a cached response are still served; late requests only if their
// time limits end before the stop would cut them off. At the end of the intake it closes the
// connections that are idle, and refuses what arrives completely only later. Requests that
// are still being handled at the end get a response that says whether they may have run.
// Then the host transfers its idempotency keys.
func (h *Host) drain() {
	started := time.Now()
	stop := newStopPlan(h.settings.DrainTimeout, h.responder.Validity())
	h.log.WithFields(log.Fields{
		"intakeMs": stop.intake.Milliseconds(), "handlingMs": stop.handling.Milliseconds(),
	}).Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), stop.exit)
	defer cancel()
	h.responder.SetState(responder.Draining)
	h.dispatcher.StopAt(started.Add(stop.open), started.Add(stop.handling))
	h.background.Go(func() { h.gossiper.Leave(ctx) })
	stopDispatcher := time.AfterFunc(stop.handling, h.stopDispatcher)
	defer stopDispatcher.Stop()
	sleep(ctx, stop.intake)
	h.log.WithField("unanswered", h.dispatcher.InFlight()).Info("intakeStopped")
	h.deduplicator.Close()
	h.dispatcher.StartDraining()
	if err := h.callServer.Shutdown(ctx); err != nil {
		h.log.WithError(err).Warn("drain timeout expired before all requests completed")
	}
	for h.dispatcher.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollPeriod)
	}
	h.peerServer.AwaitResponses(ctx)
	h.callListener.Wait(ctx)
	h.log.WithField("tookMs", time.Since(started).Milliseconds()).WithField("unanswered", h.dispatcher.InFlight()).Info("drained")
	h.transferKeys(context.Background())
}

// stopDispatcher responds to the requests that are still being handled.
func (h *Host) stopDispatcher() {
	h.log.WithField("unanswered", h.dispatcher.InFlight()).Info("requestsStopped")
	h.dispatcher.Stop()
}

// transferKeys transfers the idempotency keys of this instance to a successor, which
// then responds to retries with these keys. It tries the other hosts in rendezvous
// order.
func (h *Host) transferKeys(ctx context.Context) {
	tables, err := h.deduplicator.Export()
	if err != nil {
		h.log.WithError(err).Warn("idempotency keys could not be exported")
		return
	}
	for _, successor := range placer.Homes(verbenastand.ServiceName(h.self.ID()), maxSuccessors, h.gossiper.Hosts()) {
		if successor.ID() == h.self.ID() || successor.Leaving() {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := h.forwarder.Handover(attempt, successor, tables)
		cancel()
		if err == nil {
			h.log.WithField("successor", string(successor.ID())).Info("idempotency keys transferred to the successor")
			return
		}
		h.log.WithError(err).Warn("idempotency keys could not be transferred to the successor")
	}
}

// importKeys imports the idempotency keys of a stopping instance and announces this
// to the peers immediately.
func (h *Host) importKeys(tables []byte) error {
	if h.responder.State() != responder.Ready {
		return errNotReady
	}
	if err := h.deduplicator.Import(tables); err != nil {
		return err
	}
	h.gossiper.SetImportedFrom(h.deduplicator.ImportedFrom())
	h.gossiper.Push(context.Background(), h.gossiper.Hosts())
	return nil
}

func (h *Host) shutdown(peerConn net.PacketConn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = h.callServer.Close()
	_ = h.apiServer.Shutdown(ctx)
	_ = h.peerServer.Close()
	_ = h.forwarder.Close()
	_ = peerConn.Close()
	h.connector.Close()
	_ = h.stopTracer(ctx)
	h.background.Wait()
	h.gossiper.Wait()
	h.log.Info("stopped")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
