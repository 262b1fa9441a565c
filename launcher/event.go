package launcher

import (
	"context"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/api"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/placer"
	"github.com/verbenastand/verbenastand/quarantiner"
	"github.com/verbenastand/verbenastand/scheduler"
	"github.com/verbenastand/verbenastand/verifier"
)

func (h *Host) subscribe() {
	h.timer.Repeat(schedulerPeriod, func(now time.Time) time.Duration {
		if h.registrar.Tick(now) {
			return schedulerPeriod
		}
		return idlePeriod
	})
	h.timer.Every(gossiper.DefaultInterval, h.gossiper.Tick)
	h.timer.Every(proberPeriod, h.prober.Tick)
	h.timer.Every(sweepPeriod, func(now time.Time) {
		h.deduplicator.Sweep(now)
		h.gossiper.SetImportedFrom(h.deduplicator.ImportedFrom())
	})
	h.timer.Every(reachPeriod, h.reach.update)
	h.timer.Every(urgentPeriod, h.gossiper.PassOn)
	h.timer.Every(sweepPeriod, h.quarantiner.Sweep)
	h.timer.Every(sweepPeriod, h.limiter.Sweep)
	// Leaving servers are kept by the schedulers.
	h.timer.Every(sweepPeriod, func(time.Time) { h.excluder.Sweep(func(verbenastand.ServerProcess) bool { return false }) })
	h.timer.Every(certificatePeriod, func(time.Time) { h.reloadCertificates() })
	h.timer.Every(hostListPeriod, func(time.Time) { h.background.Go(h.readHostList) })
	h.timer.OnPause(func(gap time.Duration) {
		h.reach.detector.Forget()
		h.meter.Paused()
		h.registrar.Invalidate()
		h.gossiper.ResetTimeouts()
		h.limiter.Pause(gap)
		h.background.Go(func() { h.gossiper.Push(context.Background(), h.gossiper.Hosts()) })
		h.log.WithField("gap", gap.String()).Warn("process was paused")
	})
}

func (h *Host) registerMetrics() {
	registerPeerPort(h.meter, h.peerServer)
	registerMemory(h.meter, h.memory, func() int64 { return h.callAdmitter.Closed() + h.apiAdmitter.Closed() })
	h.meter.Counter("invariant_failures_total", "Assertions that failed.", func() float64 { return float64(verifier.Failures()) })
	h.meter.Counter("lines_left_out_total", "Log lines that were not written.", func() float64 { return float64(h.droppedLines()) })
	h.meter.Counter("platform_reads_total", "Reads of the platform's tickets.", func() float64 { return float64(h.watcher.Reads()) })
	h.meter.Counter("gossip_sent_bytes_total", "Bytes of beliefs sent to other hosts.", func() float64 {
		sent, _ := h.gossiper.TrafficBytes()
		return float64(sent)
	})
	h.meter.Counter("gossip_received_bytes_total", "Bytes of beliefs received from other hosts.", func() float64 {
		_, received := h.gossiper.TrafficBytes()
		return float64(received)
	})
	h.meter.Gauge("ticket_number", "Highest ticket number in force.", func() float64 { return float64(h.merger.Configuration().Number()) })
	h.meter.Gauge("hosts", "Hosts believed alive.", func() float64 { return float64(len(h.gossiper.Hosts())) })
	h.meter.Gauge("keys", "Idempotency keys remembered.", func() float64 { return float64(h.deduplicator.Len()) })
	h.meter.Gauge("quarantined", "Request fingerprints that are refused.", func() float64 { return float64(h.quarantiner.Quarantined()) })
	h.meter.Gauge("paused_servers", "Servers that have asked this host for a pause.", func() float64 {
		_, paused := h.excluder.Counts()
		return float64(paused)
	})
	h.meter.Gauge("limited_servers", "Servers that name a limit of requests per second.", func() float64 { return float64(h.limiter.Limited()) })
	h.meter.Gauge("requests_in_flight", "Requests on this host.", func() float64 { return float64(h.dispatcher.InFlight()) })
}

func (h *Host) reloadCertificates() {
	changed, err := h.certifier.Reload()
	if err != nil {
		h.log.WithError(err).Warn("certificates could not be reloaded")
		return
	}
	if changed {
		h.log.Info("certificates reloaded")
	}
}

func (h *Host) readHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), hostListTimeout)
	defer cancel()
	hosts, err := h.reader.Hosts(ctx)
	if err != nil {
		return
	}
	h.gossiper.ApplyHostList(hosts)
}

func (h *Host) onConfiguration(c *verbenastand.Configuration) {
	h.registrar.Update()
	h.log.WithField("ticket", uint64(c.Number())).Info("configuration applied")
}

func (h *Host) onReadError(source string, err error) {
	h.log.WithField("source", source).WithError(err).Debug("tickets could not be read")
}

// onMembershipChange signals watchMembership without blocking, because it is called
// while a gossip message is processed.
func (h *Host) onMembershipChange() {
	select {
	case h.membershipChanged <- struct{}{}:
	default:
	}
}

func (h *Host) watchMembership(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.membershipChanged:
			h.registrar.Update()
			h.log.WithField("hosts", len(h.gossiper.Hosts())).Info("membership changed")
		}
	}
}

func (h *Host) fetchTickets(peer verbenastand.Host, number verbenastand.TicketNumber) {
	h.background.Go(func() {
		h.watcher.FetchFrom(peer.ID(), h.forwarder.TicketSource(peer), number)
	})
}

func (h *Host) onDrainNotice(_ verbenastand.ServiceName, n scheduler.DrainNotice) {
	h.log.WithField("server", string(n.Server)).Info("server is draining")
	h.background.Go(func() { h.gossiper.Push(context.Background(), h.gossiper.Hosts()) })
}

// onCrashSuspected sends new evidence to the other home hosts, and to hosts that may
// consider themselves home hosts since a partition.
func (h *Host) onCrashSuspected(homes []verbenastand.Host, s quarantiner.Suspect) {
	h.recorder.RequestSuspected(s)
	h.gossiper.Push(context.Background(), slices.Concat(homes, h.gossiper.Unreachable()))
}

// onEvidenceChange tells other hosts of what this one has found out about evidence.
func (h *Host) onEvidenceChange(c quarantiner.Change) {
	h.recorder.EvidenceChanged(c)
	if c.Kind == quarantiner.Confirmed || c.Kind == quarantiner.Refuted {
		h.gossiper.SpreadChanges()
	}
}

// onConnectionLost tells other hosts of a loss that may be a crash, since this host can't tell.
// A host that is cut off loses many connections at once.
func (h *Host) onConnectionLost(s quarantiner.Suspect) {
	h.recorder.ConnectionLost(s)
	if s.State == verbenastand.ProcessUnknown {
		h.gossiper.SpreadChanges()
	}
}

// limitedHosts returns the home hosts of the server's service, which share its limit.
// Silent hosts are among those they are selected from: they may be on the other side of
// a partition, and use their shares.
func (h *Host) limitedHosts(p verbenastand.ServerProcess) []verbenastand.Host {
	service, found := h.merger.Configuration().Services()[p.Service]
	if !found || time.Since(h.started) < discoveryPeriod {
		return nil
	}
	return placer.Homes(p.Service, service.Homes(), h.gossiper.StayingHosts())
}

func (h *Host) addStatus(s *api.Status) {
	conflicts, invalid := h.merger.Conflicts()
	s.Version = h.version
	s.TicketConflicts = int64(conflicts)
	s.InvalidTickets = int64(invalid)
	s.Keys = h.deduplicator.Len()
	s.InvariantFailures = verifier.Failures()
	s.Quarantined = h.quarantiner.Quarantined()
	for _, p := range h.gossiper.Status() {
		s.Peers = append(s.Peers, api.PeerStatus{
			Instance: p.Host.Instance().String(), Zone: string(p.Host.Zone()),
			Leaving: p.Host.Leaving(), AgeMs: p.Age.Milliseconds(), TicketNumber: int64(p.Ticket),
		})
	}
}
