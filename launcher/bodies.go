package launcher

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/limiter"
)

// buildBodies returns what divides the bytes of large bodies in flight among the hosts.
func (g *Gateway) buildBodies() *limiter.Bodies {
	return limiter.NewBodies(limiter.BodiesConfig{Clock: g.timer, Self: g.self.ID(), Hosts: g.bodyHosts})
}

// bodyLimiter returns the limiter of large bodies, nil unless the settings enable it.
func (g *Gateway) bodyLimiter() verbenastand.BodyLimiter {
	if !g.config.Settings.LimitBodies {
		return nil
	}
	return g.bodies
}

// bodyHosts returns the hosts that share the bytes of large bodies, none during the discovery
// period. A host that joins later changes few shares, so the others do not wait for it to settle.
func (g *Gateway) bodyHosts(verbenastand.ServerProcess) []verbenastand.Host {
	if time.Since(g.started) < discoveryPeriod {
		return nil
	}
	return g.gossiper.SharingHosts(0)
}

func (g *Gateway) registerBodies() {
	g.meter.Gauge("large_body_bytes", "Bytes of large request bodies in flight to servers.", func() float64 { return float64(g.balancer.BodyBytes()) })
	g.meter.Counter("large_bodies_waited_total", "Requests that waited for the end of other large bodies.", func() float64 { return float64(g.balancer.BodiesWaited()) })
	g.meter.Counter("large_bodies_refused_total", "Requests with bodies of a size that this host may not send to the servers.", func() float64 { return float64(g.balancer.BodiesRefused()) })
}
