// Package responder implements the HTTP API for callers and operators: host lookups
// of callers (which hosts to use for a service), health and status.
package responder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/api"
	"github.com/verbenastand/verbenastand/deduplicator"
	"github.com/verbenastand/verbenastand/placer"
	"github.com/verbenastand/verbenastand/registrar"
)

const (
	// DefaultValidity is how long a caller may cache a lookup response.
	DefaultValidity = 5 * time.Second
	// validityJitter varies the validity of responses by this fraction, so that
	// callers do not repeat their lookups at the same time.
	validityJitter = 0.2
	// alternates is the number of hosts returned in addition to the homes: those
	// that become homes if a home fails.
	alternates = 1
)

// State is the state of the host.
type State int32

const (
	// Starting hosts have not received the configuration yet.
	Starting State = iota
	// Ready hosts accept callers.
	Ready
	// Draining hosts accept no new callers.
	Draining
)

var stateNames = [...]api.HealthState{Starting: api.HealthStateStarting, Ready: api.HealthStateReady, Draining: api.HealthStateDraining}

// Config configures a Responder.
type Config struct {
	Clock         verbenastand.Clock
	Membership    verbenastand.Membership
	Configuration verbenastand.ConfigurationSource
	Registrar     *registrar.Registrar
	Validity      time.Duration
	KeyValidity   time.Duration
	// AddStatus fills in the fields of the status that come from other components.
	AddStatus func(*api.Status)
}

// Responder implements api.Handler.
type Responder struct {
	config Config
	state  atomic.Int32
}

// NewResponder returns a responder in the state Starting.
func NewResponder(c Config) *Responder {
	if c.Validity == 0 {
		c.Validity = DefaultValidity
	}
	return &Responder{config: c}
}

// SetState sets the state that the host reports.
func (r *Responder) SetState(s State) { r.state.Store(int32(s)) }

// MarkReady makes a starting host ready, and reports whether it was starting.
func (r *Responder) MarkReady() bool {
	return r.state.CompareAndSwap(int32(Starting), int32(Ready))
}

// State returns the state that the host reports.
func (r *Responder) State() State { return State(r.state.Load()) }

// Validity returns the maximum time for which a lookup response may be cached.
func (r *Responder) Validity() time.Duration {
	return time.Duration(float64(r.config.Validity) * (1 + validityJitter))
}

var (
	errUnknownService = errors.New("no ticket names the service")
	errNotReady       = errors.New("the host is starting")
)

// Ask returns the hosts that a caller should use for a service.
func (r *Responder) Ask(_ context.Context, p api.AskParams) (*api.Answer, error) {
	if r.State() == Starting {
		return nil, errNotReady
	}
	configuration := r.config.Configuration.Configuration()
	service, ok := configuration.Service(verbenastand.ServiceName(p.Service))
	if !ok {
		return nil, fmt.Errorf("%w: %q", errUnknownService, p.Service)
	}
	validity := r.jitteredValidity()
	response := &api.Answer{
		Service: p.Service, TicketNumber: int64(configuration.Number()),
		ValidForMs: int(validity.Milliseconds()), KeyValidForMs: int(r.config.KeyValidity.Milliseconds()),
	}
	expiry := r.config.Clock.Now().Add(r.config.KeyValidity)
	for _, h := range r.orderHosts(service, verbenastand.Zone(p.Zone.Or(""))) {
		response.Hosts = append(response.Hosts, api.AnswerHost{
			ID: string(h.ID()), Zone: string(h.Zone()), Address: h.CallAddress(),
			KeyPrefix: deduplicator.Prefix(h.Instance(), expiry),
		})
	}
	return response, nil
}

func (r *Responder) jitteredValidity() time.Duration {
	factor := 1 + validityJitter*(2*rand.Float64()-1)
	return time.Duration(float64(r.config.Validity) * factor)
}

// orderHosts returns the homes in random order, weighted by their share of the slots,
// those in the caller's zone first, followed by the alternates.
func (r *Responder) orderHosts(service verbenastand.Service, zone verbenastand.Zone) []verbenastand.Host {
	hosts := placer.Homes(service.Name(), service.Homes()+alternates, placer.Reaching(r.config.Membership.Hosts()))
	homes := hosts[:min(service.Homes(), len(hosts))]
	r.shuffle(service.Name(), homes)
	slices.SortStableFunc(homes, func(x, y verbenastand.Host) int { return zoneDistance(x, zone) - zoneDistance(y, zone) })
	return hosts
}

// shuffle orders the homes by a weighted random draw without replacement. The weight
// of a home is its share of the slots plus one.
func (r *Responder) shuffle(service verbenastand.ServiceName, homes []verbenastand.Host) {
	servers := r.config.Configuration.Configuration().Servers(service)
	unshuffled := slices.Clone(homes)
	weights := make(map[verbenastand.HostID]int, len(homes))
	for _, h := range unshuffled {
		weights[h.ID()] = 1 + placer.Slots(servers, unshuffled, h.ID())
	}
	for i := range homes {
		remaining := rand.IntN(sumWeights(weights, homes[i:]))
		for j := i; ; j++ {
			if remaining -= weights[homes[j].ID()]; remaining < 0 {
				homes[i], homes[j] = homes[j], homes[i]
				break
			}
		}
	}
}

func sumWeights(weights map[verbenastand.HostID]int, hosts []verbenastand.Host) int {
	sum := 0
	for _, h := range hosts {
		sum += weights[h.ID()]
	}
	return sum
}

func zoneDistance(h verbenastand.Host, zone verbenastand.Zone) int {
	if h.Zone() == zone {
		return 0
	}
	return 1
}

// Health returns the state of the host and its ticket number.
func (r *Responder) Health(context.Context) (*api.Health, error) {
	return &api.Health{
		State:        stateNames[r.State()],
		TicketNumber: int64(r.config.Configuration.Configuration().Number()),
	}, nil
}

// Status returns the status report for operators.
func (r *Responder) Status(context.Context) (*api.Status, error) {
	configuration := r.config.Configuration.Configuration()
	self := r.config.Membership.Self()
	status := &api.Status{
		Instance: self.Instance().String(), Zone: string(self.Zone()),
		State:        string(stateNames[r.State()]),
		TicketNumber: int64(configuration.Number()), TicketDigest: fmt.Sprintf("%016x", configuration.Digest()),
		Peers: []api.PeerStatus{}, Services: []api.ServiceStatus{},
	}
	r.config.Registrar.All(func(c *registrar.ServiceComponents) {
		status.Services = append(status.Services, describeService(c))
	})
	slices.SortFunc(status.Services, func(x, y api.ServiceStatus) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	r.config.AddStatus(status)
	return status, nil
}

func describeService(c *registrar.ServiceComponents) api.ServiceStatus {
	s := c.Scheduler().Status()
	status := api.ServiceStatus{
		Name: string(c.Service().Name()), Homes: []string{}, Queued: s.Queued,
		Granted: int64(s.Counters.Granted), Refused: int64(s.Counters.Refused),
		Expired: int64(s.Counters.Expired), Borrowed: int64(s.Counters.Borrowed),
		RetryBudget: c.Budget().Available(), Servers: []api.ServerStatus{},
	}
	for _, h := range c.Homes() {
		status.Homes = append(status.Homes, string(h.ID()))
	}
	for _, e := range s.Servers {
		state := e.Server.State()
		if e.Draining {
			state = verbenastand.ServerDraining
		}
		status.Servers = append(status.Servers, api.ServerStatus{
			ID: string(e.Server.ID()), Zone: string(e.Server.Zone()), Address: e.Server.Address(),
			State: state.String(), InFlight: e.InFlight, Others: e.OtherInFlight, Share: e.Share,
			Limit: e.Limit, LatencyRatio: e.LatencyRatio, Ejected: e.Ejected,
			Granted: int64(e.Granted), Probes: int64(e.Probes),
		})
	}
	return status
}

// NewError converts an error to a problem response.
func (r *Responder) NewError(_ context.Context, err error) *api.ProblemStatusCode {
	status, reason := http.StatusInternalServerError, "internal"
	switch {
	case errors.Is(err, errUnknownService):
		status, reason = http.StatusNotFound, verbenastand.ReasonUnknownService.String()
	case errors.Is(err, errNotReady):
		status, reason = http.StatusServiceUnavailable, "starting"
	}
	return &api.ProblemStatusCode{StatusCode: status, Response: api.Problem{Reason: reason, Message: err.Error()}}
}
