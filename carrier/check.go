package carrier

import (
	"context"
	"errors"
	"fmt"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/sender"
)

// HealthChecker makes health checks over the connections that requests use.
type HealthChecker struct {
	Sender *sender.Sender
	// OnCheck is called after each health check.
	OnCheck func(service verbenastand.ServiceName, ok bool)
}

// checkConn holds the connection of a health check for the request that may follow.
type checkConn struct {
	sender     *sender.Sender
	connection *sender.Connection
}

// Release implements balancer.Conn.
func (c *checkConn) Release() { c.sender.PutIdle(c.connection) }

func targetOf(r verbenastand.Registration) sender.Target {
	return sender.Target{Server: r.Server(), Address: r.Address(), StartTime: r.StartTime()}
}

// Connected implements balancer.HealthChecker.
func (h *HealthChecker) Connected(server *balancer.Server) bool {
	return h.Sender.HasIdle(targetOf(server.Registration()))
}

// Check implements balancer.HealthChecker. If an idle connection fails, it tries
// another one, since the server may have closed it.
func (h *HealthChecker) Check(ctx context.Context, server *balancer.Server, healthPath string) (balancer.CheckResult, error) {
	registration := server.Registration()
	for {
		c, err := h.Sender.Connect(ctx, targetOf(registration))
		if err != nil {
			h.OnCheck(registration.Service(), false)
			return balancer.CheckResult{}, err
		}
		report, reported, healthy, err := c.Check(ctx, healthPath)
		h.OnCheck(registration.Service(), err == nil)
		if err == nil {
			return balancer.CheckResult{Report: report, Reported: reported, Healthy: healthy, Conn: &checkConn{sender: h.Sender, connection: c}}, nil
		}
		c.Close()
		if errors.Is(err, sender.ErrInstanceMismatch) {
			return balancer.CheckResult{}, fmt.Errorf("%w: %w", balancer.ErrServerReplaced, err)
		}
		if !c.Reused() || ctx.Err() != nil {
			return balancer.CheckResult{}, err
		}
	}
}
