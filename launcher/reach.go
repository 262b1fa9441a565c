package launcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/detector"
	"github.com/verbenastand/verbenastand/gossiper"
	"github.com/verbenastand/verbenastand/sender"
)

// reachPeriod is the time between two checks of which services are reached.
const reachPeriod = 100 * time.Millisecond

// acceptTimeout bounds the time in which a server accepts a connection, also in another
// region.
const acceptTimeout = 250 * time.Millisecond

// reach tells the other hosts whether this one reaches any service: callers are directed
// elsewhere if not, and no requests are delegated to it.
type reach struct {
	detector *detector.Detector
	gossiper *gossiper.Gossiper
	log      log.Interface
	// detached is what was last announced.
	detached atomic.Bool
}

// update probes the services that are not reached, and announces a change.
func (r *reach) update(now time.Time) {
	r.detector.Tick(now)
	detached := r.detector.Detached()
	if detached == r.detached.Load() {
		return
	}
	r.detached.Store(detached)
	r.log.WithField("detached", detached).Warn("reach")
	r.gossiper.SetDetached(detached)
	go r.gossiper.PushNeighbours(context.Background())
}

// probe checks whether a server responds on a new connection.
func (g *Gateway) probe(ctx context.Context, r verbenastand.Registration) error {
	path := "/"
	if t := g.router.Table(); t != nil {
		path = t.Services()[r.Service()].HealthPath
	}
	return g.healthChecker.Probe(ctx, r, path)
}

func (g *Gateway) onReachChange(c detector.Change) {
	g.recorder.ReachChanged(c)
	if c.Silent {
		g.background.Go(func() { g.closeIdle(c.Service) })
	}
}

// closeIdle closes the idle connections to the servers of a service.
func (g *Gateway) closeIdle(n verbenastand.ServiceName) {
	servers := make(map[verbenastand.ServerID]bool)
	for _, r := range g.follower.View().Servers(n) {
		servers[r.Server()] = true
	}
	g.sender.Sweep(func(t sender.Target) bool { return !servers[t.Server] })
}

// serveDelegated accepts a connection over which another host sends requests of its
// callers.
func (g *Gateway) serveDelegated(conn net.Conn, origin verbenastand.Origin) bool {
	if !g.ready() || g.reach.detached.Load() {
		return false
	}
	g.acceptor.ServeDelegated(conn, origin)
	return true
}

// Cut implements dispatcher.Reachability.
func (h *Host) Cut(n verbenastand.ServiceName) bool { return h.reach.detector.Cut(n) }

// Stalled implements dispatcher.Reachability.
func (h *Host) Stalled(s verbenastand.Server) { h.reach.detector.Failed(registrationOf(s)) }

// ReachesOthers implements dispatcher.Reachability.
func (h *Host) ReachesOthers(n verbenastand.ServiceName, failed verbenastand.ServerID) bool {
	return h.reach.detector.ReachesOthers(verbenastand.NewRegistration(verbenastand.RegistrationConfig{Server: failed, Service: n}))
}

// Accepts implements dispatcher.Reachability.
func (h *Host) Accepts(ctx context.Context, lost verbenastand.Loss) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return dialServer(ctx, verbenastand.NewRegistration(verbenastand.RegistrationConfig{Address: lost.Address()})) == nil
}

// observeServer records whether a server has responded to a request.
func (h *Host) observeServer(s verbenastand.Server, newConnection bool, err error) {
	if err != nil {
		h.reach.detector.Failed(registrationOf(s))
		return
	}
	h.reach.detector.Responded(registrationOf(s), newConnection)
}

func registrationOf(s verbenastand.Server) verbenastand.Registration {
	return verbenastand.NewRegistration(verbenastand.RegistrationConfig{
		Server: s.ID(), Service: s.Service(), Zone: s.Zone(), Address: s.Address(), Slots: s.Slots(), State: s.State(),
	})
}

// serverView returns the servers of the current configuration.
func (h *Host) serverView() *verbenastand.View {
	configuration := h.merger.Configuration()
	c := verbenastand.ViewConfig{Servers: make(map[verbenastand.ServiceName][]verbenastand.Registration)}
	for n := range configuration.Services() {
		for _, s := range configuration.Servers(n) {
			c.Servers[n] = append(c.Servers[n], registrationOf(s))
		}
	}
	return verbenastand.NewView(c)
}

// dialServer checks whether a server accepts a connection. A health check would take
// slots of the server beyond the budget for probes.
func dialServer(ctx context.Context, r verbenastand.Registration) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.Address())
	if err != nil {
		return err
	}
	return conn.Close()
}
