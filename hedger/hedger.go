// Package hedger decides when a request is sent to a second server while its first
// server has not responded, and keeps the extra server time that this costs within a
// limit.
package hedger

import (
	"sync"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Mode is the policy of a Hedger.
type Mode int

const (
	// Default sends a hedge after a multiple of the expected duration, limited by the
	// retry budget alone.
	Default Mode = iota // default
	// Disabled sends no hedges.
	Disabled // disabled
	// Limited sends a hedge if the learned distribution of durations shows that it is
	// worthwhile and the limit of extra server time allows it.
	Limited // limited
)

// Denial is the reason why no hedge is sent.
type Denial int

const (
	// Allowed means that the hedge may be sent.
	Allowed Denial = iota // allowed
	// ByMode means that hedging is disabled.
	ByMode // disabled
	// NotWorthwhile means that the first server is expected to respond soon enough.
	NotWorthwhile // notWorthwhile
	// OverLimit means that the extra server time could exceed the limit.
	OverLimit // overLimit
	// TooManyRunning means that the extra load at this moment would be too high.
	TooManyRunning // tooManyRunning
	// OverRetryBudget means that the retry budget is used up, or nearly.
	OverRetryBudget // overRetryBudget
	// RequestsWait means that requests wait for the service, or did a moment ago.
	RequestsWait // requestsWait
	// NoLightServer means that no other lightly loaded server was found.
	NoLightServer // noLightServer
	// NotInTime means that the hedge would end after the deadline.
	NotInTime // notInTime
	// Suspected means that the request may have crashed a server.
	Suspected // suspected
)

const (
	// DefaultWindow is the length of the sliding window of extra server time. A host
	// that sends 0.6 requests of 0.7 s per second to a service earns 1.3 s of extra
	// server time in a minute at a limit of 0.05, which is about one hedge; in 10 s it
	// would earn none.
	DefaultWindow = time.Minute
	// LightShare is the largest share of its slots that a server has in use while it
	// runs a hedge.
	LightShare = 0.5
	// RetryReserve is the number of retries that must be left in the retry budget for a
	// hedge, so that requests whose server failed can still be retried.
	RetryReserve = 2
	// noWaitTime is how long no request has waited for the service before a hedge is sent.
	noWaitTime = 300 * time.Millisecond
	// maxWaitShare is the largest share of the latest requests that waited for the service with
	// which hedges are sent. In the model of 6 and 30 hosts the share is 0.001 at 0.3 of the
	// capacity, 0.14 and 0.05 at 0.7, and 0.61 and 0.34 at 0.9. With
	// noWaitTime alone the extra server time at 0.9 was 0.006 to 0.008, and fewer requests were served.
	maxWaitShare = 0.1
	// admissionWeight is the weight of one request in that share.
	admissionWeight = 0.02
)

// Observer receives what is done about hedges.
type Observer interface {
	// HedgeSent is called when a hedge is sent.
	HedgeSent(service verbenastand.ServiceName)
	// HedgeWon is called when the response of a hedge is used.
	HedgeWon(service verbenastand.ServiceName)
	// HedgeSettled is called when the extra server time of a hedged request is known.
	HedgeSettled(service verbenastand.ServiceName, extra time.Duration)
	// HedgeDenied is called each time that a hedge was considered and not sent.
	HedgeDenied(service verbenastand.ServiceName, reason Denial)
}

// Config configures a Hedger.
type Config struct {
	Clock verbenastand.Clock
	// Limit is the extra server time as a fraction of the server time of first attempts;
	// nil for the default policy.
	Limit *float64
	// Window is the length of the sliding window, DefaultWindow if zero.
	Window time.Duration
	// Observer may be nil.
	Observer Observer
}

// Hedger holds what is known of the attempts of all services. It is safe for concurrent use.
type Hedger struct {
	config Config
	mode   Mode

	mu       sync.Mutex
	services map[verbenastand.ServiceName]*service
}

// service is the state of one service.
type service struct {
	budget *budget
	routes map[verbenastand.RouteName]*distribution
	// waitedAt is when a request had last waited for the service, waitShare the moving average
	// of the share of requests that waited.
	waitedAt  time.Time
	waitShare float64
}

// maxRoutes bounds the routes of a service whose durations are kept, 3 kB each.
const maxRoutes = 256

// NewHedger returns a hedger without observations.
func NewHedger(c Config) *Hedger {
	h := &Hedger{services: make(map[verbenastand.ServiceName]*service)}
	switch {
	case c.Limit == nil:
		h.mode = Default
	case *c.Limit > 0:
		h.mode = Limited
	default:
		h.mode = Disabled
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
	h.config = c
	return h
}

// Mode returns the policy.
func (h *Hedger) Mode() Mode { return h.mode }

// Deny records that a hedge was considered and not sent.
func (h *Hedger) Deny(name verbenastand.ServiceName, reason Denial) {
	h.config.Observer.HedgeDenied(name, reason)
}

// RecordWait records whether a request had to wait for a server of the service.
func (h *Hedger) RecordWait(name verbenastand.ServiceName, waited bool) {
	if h.mode != Limited {
		return
	}
	now := h.config.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.serviceLocked(name)
	s.waitShare *= 1 - admissionWeight
	if waited {
		s.waitShare += admissionWeight
		s.waitedAt = now
	}
}

// NearCapacity reports whether requests for the service wait now and then.
func (h *Hedger) NearCapacity(name verbenastand.ServiceName) bool {
	now := h.config.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.serviceLocked(name)
	return now.Sub(s.waitedAt) < noWaitTime || s.waitShare > maxWaitShare
}

// serviceLocked returns the state of a service. The hedger is locked.
func (h *Hedger) serviceLocked(name verbenastand.ServiceName) *service {
	s := h.services[name]
	if s == nil {
		limit := 0.0
		if h.config.Limit != nil {
			limit = *h.config.Limit
		}
		s = &service{
			budget: newBudget(budgetConfig{Clock: h.config.Clock, Limit: limit, Window: h.config.Window}),
			routes: make(map[verbenastand.RouteName]*distribution),
		}
		h.services[name] = s
	}
	return s
}

// routeLocked returns the distribution of a route. If there are too many, it replaces that of any
// other one: routes that are in use are soon known again.
func (h *Hedger) routeLocked(name verbenastand.ServiceName, route verbenastand.RouteName) *distribution {
	s := h.serviceLocked(name)
	d := s.routes[route]
	if d != nil {
		return d
	}
	for other := range s.routes {
		if len(s.routes) < maxRoutes {
			break
		}
		delete(s.routes, other)
	}
	d = newDistribution()
	s.routes[route] = d
	return d
}

// Result is how an attempt ended.
type Result int

const (
	// Completed attempts returned a response.
	Completed Result = iota // completed
	// Cancelled attempts were ended by this host before their response was complete.
	Cancelled // cancelled
	// Ended attempts failed.
	Ended // ended
)

// Observation is an attempt that has ended.
type Observation struct {
	Service verbenastand.ServiceName
	Route   verbenastand.RouteName
	Result  Result
	// First is set for the first attempt of a request.
	First bool
	// Took is the time from the sending of the request to the end of the attempt.
	Took time.Duration
	// Slowdown is what the server reported before the attempt, 1 if nothing.
	Slowdown float64
}

// Observe learns from an attempt that has ended. The server time of first attempts that
// returned a response is what the limit is a fraction of. Failed attempts do not count: a
// frozen server does no work.
func (h *Hedger) Observe(o Observation) {
	if h.mode != Limited || o.Result == Ended || o.Took < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.First && o.Result == Completed {
		h.serviceLocked(o.Service).budget.recordFirst(o.Took)
	}
	d, natural := h.routeLocked(o.Service, o.Route), time.Duration(float64(o.Took)/max(1, o.Slowdown))
	if o.First {
		d.consider(natural)
	}
	d.observe(natural, o.Result == Cancelled)
}

type noObserver struct{}

func (noObserver) HedgeSent(verbenastand.ServiceName)                   {}
func (noObserver) HedgeWon(verbenastand.ServiceName)                    {}
func (noObserver) HedgeSettled(verbenastand.ServiceName, time.Duration) {}
func (noObserver) HedgeDenied(verbenastand.ServiceName, Denial)         {}
