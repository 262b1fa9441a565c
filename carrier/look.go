package carrier

import (
	"context"
	"errors"
	"fmt"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/sender"
)

// Looker looks at servers over the connections that requests use.
type Looker struct {
	Sender *sender.Sender
	// OnLook is called after each look.
	OnLook func(service verbenastand.ServiceName, ok bool)
}

// held keeps the connection of a look for the request that may follow.
type held struct {
	sender     *sender.Sender
	connection *sender.Connection
}

// Release implements balancer.Held.
func (h *held) Release() { h.sender.PutIdle(h.connection) }

func targetOf(r verbenastand.Registration) sender.Target {
	return sender.Target{Server: r.Server(), Address: r.Address(), Born: r.Born()}
}

// Connected implements balancer.Looker.
func (l *Looker) Connected(server *balancer.Server) bool {
	return l.Sender.HasIdle(targetOf(server.Registration()))
}

// Look implements balancer.Looker. A kept connection that proves to be dead is
// replaced once, for the server may have closed it.
func (l *Looker) Check(ctx context.Context, server *balancer.Server, healthPath string) (balancer.CheckResult, error) {
	registration := server.Registration()
	for {
		c, err := l.Sender.Connect(ctx, targetOf(registration))
		if err != nil {
			l.OnLook(registration.Service(), false)
			return balancer.CheckResult{}, err
		}
		report, reported, healthy, err := c.Check(ctx, healthPath)
		l.OnLook(registration.Service(), err == nil)
		if err == nil {
			return balancer.CheckResult{Report: report, Reported: reported, Healthy: healthy, Conn: &held{sender: l.Sender, connection: c}}, nil
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
