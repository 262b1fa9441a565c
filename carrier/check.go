package carrier

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/sender"
)

// identificationTimeout bounds the check which process responds: a new connection and a
// health check, also to another region.
const identificationTimeout = 250 * time.Millisecond

// HealthChecker makes health checks over the connections that requests use.
type HealthChecker struct {
	Sender *sender.Sender
	// Reachability learns which servers respond; nil for none.
	Reachability Reachability
	// Names are the names of header fields. Excluder learns what responses say of their
	// server; nil for none.
	Names    verbenastand.HeaderNames
	Excluder *excluder.Excluder
	// Warmup is notified of cold servers; nil for none.
	Warmup *limiter.Warmup
	// OnCheck is called after each health check.
	OnCheck func(service verbenastand.ServiceName, ok bool)
}

// observe passes on whether a server has responded.
func (h *HealthChecker) observe(ctx context.Context, server verbenastand.Registration, c *sender.Connection, err error) {
	switch {
	case h.Reachability == nil || errors.Is(ctx.Err(), context.Canceled):
	case err != nil && !errors.Is(err, sender.ErrInstanceMismatch):
		h.Reachability.Failed(server)
	default:
		h.Reachability.Responded(server, !c.Reused())
	}
}

// checkOver makes a health check over a connection and passes on what the response states about its
// server.
func (h *HealthChecker) checkOver(ctx context.Context, c *sender.Connection, server verbenastand.Registration, healthPath string) (sender.Health, error) {
	sentAt := time.Now()
	health, err := c.Check(ctx, healthPath)
	if health.Header == nil {
		return health, err
	}
	if h.Excluder != nil {
		h.Excluder.Observe(exclusionResponse(h.Names, server, health.Status, health.Header))
	}
	if h.Warmup != nil {
		h.Warmup.Observe(limiter.HealthResponse{Process: server.Process(), Remaining: health.Header.Values(h.Names.Warmup), SentAt: sentAt})
	}
	return health, err
}

// exclusionResponse returns what a response says of its server.
func exclusionResponse(names verbenastand.HeaderNames, server verbenastand.Registration, status int, header http.Header) excluder.Response {
	return excluder.Response{
		Process: server.Process(), Status: status, Leaving: header.Values(names.Leaving), RetryAfter: header.Values("Retry-After"),
	}
}

// Probe checks the health of a server over a new connection. The error is nil if any
// process has responded at its address.
func (h *HealthChecker) Probe(ctx context.Context, r verbenastand.Registration, healthPath string) error {
	c, err := h.Sender.ConnectNew(ctx, targetOf(r))
	if err == nil {
		_, err = h.checkOver(ctx, c, r, healthPath)
		defer h.Sender.PutIdle(c)
	}
	if errors.Is(err, sender.ErrInstanceMismatch) {
		err = nil
	}
	h.OnCheck(r.Service(), err == nil)
	return err
}

// Identify checks whether a server process responds at its address, and returns when the
// connection was opened over which it does. The error is ErrUnreachable only if no new
// connection is accepted: connections that are open may hang, and a busy server responds late.
func (h *HealthChecker) Identify(ctx context.Context, r verbenastand.Registration, healthPath string) (opened time.Time, err error) {
	// Requests may return connections meanwhile on which health checks fail as well.
	for checks := 0; checks < sender.DefaultMaxIdle && h.Sender.HasIdle(targetOf(r)); checks++ {
		opened, err = h.identifyOver(ctx, r, healthPath, h.Sender.Connect)
		if err == nil || errors.Is(err, sender.ErrInstanceMismatch) || ctx.Err() != nil {
			return opened, err
		}
	}
	return h.identifyOver(ctx, r, healthPath, h.Sender.ConnectNew)
}

func (h *HealthChecker) identifyOver(
	ctx context.Context, r verbenastand.Registration, healthPath string, connect func(context.Context, sender.Target) (*sender.Connection, error),
) (opened time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, identificationTimeout)
	defer cancel()
	c, err := connect(ctx, targetOf(r))
	if err != nil {
		h.OnCheck(r.Service(), false)
		return time.Time{}, err
	}
	defer h.Sender.PutIdle(c)
	_, err = h.checkOver(ctx, c, r, healthPath)
	h.OnCheck(r.Service(), err == nil)
	return c.OpenedAt(), err
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
			h.observe(ctx, registration, nil, err)
			h.OnCheck(registration.Service(), false)
			return balancer.CheckResult{}, err
		}
		health, err := h.checkOver(ctx, c, registration, healthPath)
		h.observe(ctx, registration, c, err)
		h.OnCheck(registration.Service(), err == nil)
		if err == nil {
			return balancer.CheckResult{Report: health.Report, Reported: health.Reported, Healthy: health.Healthy, Conn: &checkConn{sender: h.Sender, connection: c}}, nil
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
