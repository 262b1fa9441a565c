package launcher

import (
	"context"
	"net"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/detector"
	"github.com/verbenastand/verbenastand/sender"
)

// reachPeriod is the time between two looks at which services are reached.
const reachPeriod = 100 * time.Millisecond

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

// updateReach probes services that are not reached, and tells the other hosts whether
// this one reaches any: callers are directed elsewhere if not, and no requests are
// delegated to it.
func (g *Gateway) updateReach(now time.Time) {
	g.detector.Tick(now)
	detached := g.detector.Detached()
	if detached == g.detached.Load() {
		return
	}
	g.detached.Store(detached)
	g.log.WithField("detached", detached).Warn("reach")
	g.gossiper.SetDetached(detached)
	g.background.Go(func() { g.gossiper.PushNeighbours(context.Background()) })
}

// serveDelegated accepts a connection over which another host sends requests of its
// callers.
func (g *Gateway) serveDelegated(conn net.Conn, origin verbenastand.Origin) bool {
	if !g.ready() || g.detached.Load() {
		return false
	}
	g.acceptor.ServeDelegated(conn, origin)
	return true
}
