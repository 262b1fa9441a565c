package verbenastand

import (
	"context"
	"net/http"
	"time"
)

// Clock returns the current time.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
}

// TimerService runs callbacks periodically and after pauses of the process.
type TimerService interface {
	Clock
	// Every calls f once each period until stop is called. Calls missed during a
	// pause of the process are skipped.
	Every(period time.Duration, f func(now time.Time)) (stop func())
	// OnPause registers f to be called with the length of each detected pause of
	// the process.
	OnPause(f func(gap time.Duration))
}

// TicketSource returns change tickets. The platform's configuration service and
// every peer are sources.
type TicketSource interface {
	// Tickets returns the encoded tickets with objects above the given number.
	// If there are none, it may wait for one up to the given time.
	Tickets(ctx context.Context, after TicketNumber, wait time.Duration) ([][]byte, error)
}

// HostLister returns the platform's list of hosts, which may be out of date.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// ServerTransport sends requests to backend servers.
type ServerTransport interface {
	// RoundTrip sends r to a server. Its errors are of type *RequestError.
	RoundTrip(server Server, r *http.Request) (*http.Response, error)
}

// PeerTransport sends requests to other hosts of the deployment.
type PeerTransport interface {
	// Exchange sends an encoded gossip message and returns that of the peer.
	Exchange(ctx context.Context, peer Host, message []byte) ([]byte, error)
	// Forward sends a caller's request to a peer. Its errors are of type
	// *RequestError.
	Forward(peer Host, r *http.Request) (*http.Response, error)
	// Handover transfers the encoded tables of idempotency keys to a peer.
	Handover(ctx context.Context, peer Host, tables []byte) error
	// TicketSource returns the source of the tickets that a peer holds.
	TicketSource(peer Host) TicketSource
}

// Membership returns the hosts that the failure detector considers alive.
type Membership interface {
	// Self returns this host.
	Self() Host
	// Hosts returns the hosts considered alive, including this one, ordered by
	// name. The caller must not change the slice.
	Hosts() []Host
	// KeyOwner returns the host that holds the idempotency keys of an instance, and
	// whether there is one: the host on which the instance runs, or the one to which
	// it transferred them on shutdown.
	KeyOwner(i Instance) (Host, bool)
}

// RateLimiter keeps limits of the requests per second that a backend server gets from all
// hosts together: those that servers name, and those of cold servers.
type RateLimiter interface {
	// Available reports whether Take would succeed.
	Available(p ServerProcess) bool
	// Take reports whether a request may be sent to the server, and counts it.
	Take(p ServerProcess) bool
	// Refund gives back what Take counted for a request that was not sent.
	Refund(p ServerProcess)
	// Wait returns the time until a request may be sent to the server, by this host or
	// another one.
	Wait(p ServerProcess) time.Duration
	// Share returns this host's share of the server's limit, and whether there is one.
	Share(p ServerProcess) (RequestRate, bool)
	// Current reports whether what is known of the server's limit is recent enough to send a
	// request without a health check.
	Current(p ServerProcess) bool
	// Remaining returns the time until the limit ends by itself because the server is warm,
	// zero if there is no such limit.
	Remaining(p ServerProcess) time.Duration
}

// Unlimited is a RateLimiter without limits.
type Unlimited struct{}

// Available implements RateLimiter.
func (Unlimited) Available(ServerProcess) bool { return true }

// Take implements RateLimiter.
func (Unlimited) Take(ServerProcess) bool { return true }

// Refund implements RateLimiter.
func (Unlimited) Refund(ServerProcess) {}

// Wait implements RateLimiter.
func (Unlimited) Wait(ServerProcess) time.Duration { return 0 }

// Share implements RateLimiter.
func (Unlimited) Share(ServerProcess) (RequestRate, bool) { return 0, false }

// Current implements RateLimiter.
func (Unlimited) Current(ServerProcess) bool { return true }

// Remaining implements RateLimiter.
func (Unlimited) Remaining(ServerProcess) time.Duration { return 0 }

// BodyLimit describes the bound of the bytes of large request bodies that all hosts together have
// in flight to a server.
type BodyLimit struct {
	Process ServerProcess
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Largest is the size of the largest request body that callers may send.
	Largest int64
	// Zones are the availability zones with servers of the service that are not evacuated, in
	// order. The receiver may keep the slice.
	Zones []Zone
}

// BodyLimiter divides the bounds of bytes of large request bodies among the hosts.
type BodyLimiter interface {
	// BodyShare returns the bytes that this host may have in flight to a server. It is unknown
	// while the other hosts are.
	BodyShare(l BodyLimit) (bytes int64, known bool)
}

// ConfigurationSource returns the configuration in effect.
type ConfigurationSource interface {
	Configuration() *Configuration
}
