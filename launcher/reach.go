package launcher

import (
	"context"
	"net"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/detector"
)

// reachPeriod is the time between two probes while no server is reached.
const reachPeriod = 200 * time.Millisecond

// servers returns the servers in use, of all services.
func (g *Gateway) servers() []verbenastand.Registration {
	v := g.follower.View()
	var servers []verbenastand.Registration
	for _, n := range v.ServiceNames() {
		for _, r := range v.Servers(n) {
			if r.State() == verbenastand.ServerActive {
				servers = append(servers, r)
			}
		}
	}
	return servers
}

// probe checks whether a server responds on a new connection.
func (g *Gateway) probe(ctx context.Context, r verbenastand.Registration) error {
	path := "/"
	if t := g.router.Table(); t != nil {
		path = t.Services()[r.Service()].HealthPath
	}
	return g.healthChecker.Probe(ctx, r, path)
}

// onReachChange tells the other hosts whether this one reaches servers: callers are then
// directed elsewhere, and no requests are delegated to it.
func (g *Gateway) onReachChange(c detector.Change) {
	g.recorder.ReachChanged(c)
	if !c.Cut {
		// Connections that were open during the partition may hang.
		g.sender.CloseIdle()
	}
	g.background.Go(g.announceReach)
}

func (g *Gateway) announceReach() {
	g.reachMu.Lock()
	defer g.reachMu.Unlock()
	g.gossiper.SetDetached(context.Background(), g.detector.Cut())
}

// serveDelegated accepts a connection over which another host sends requests of its
// callers.
func (g *Gateway) serveDelegated(conn net.Conn, origin verbenastand.Origin) bool {
	if !g.ready() || g.detector.Cut() {
		return false
	}
	g.acceptor.ServeDelegated(conn, origin)
	return true
}
