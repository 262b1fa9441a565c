package carrier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/router"
	"github.com/verbenastand/verbenastand/sender"
)

const (
	// maxDelegations bounds the hosts that are asked for one request.
	maxDelegations = 3
	// connectTimeout bounds the time until a host accepts a delegated request.
	connectTimeout = 400 * time.Millisecond
	// delegatedShare is the share of the concurrent requests of a host that others may
	// delegate to it, so that its own callers keep the rest.
	delegatedShare = 0.5
)

// Reachability tells which services this host reaches.
type Reachability interface {
	// Cut reports whether no server of a service responds to this host.
	Cut(service verbenastand.ServiceName) bool
	// Unreached reports whether no new connection to a service can be opened. It waits
	// for the end of probes that are under way.
	Unreached(ctx context.Context, service verbenastand.ServiceName) bool
	// Responded records a response of a server.
	Responded(server verbenastand.Registration, newConnection bool)
	// Failed records that a server could not be reached or did not respond.
	Failed(server verbenastand.Registration)
	// ReachesOthers reports whether another server than a failed one responds.
	ReachesOthers(failed verbenastand.Registration) bool
	// Replaced reports whether a later process of a server is registered than the one to
	// which a connection was lost.
	Replaced(lost verbenastand.Loss) bool
	// Evacuated reports whether the process to which a connection was lost must not be
	// contacted, since its availability zone is evacuated.
	Evacuated(lost verbenastand.Loss) bool
}

// Delegator selects and connects to hosts that handle requests on behalf of this one.
type Delegator interface {
	// Select returns a host that has not been tried, and to which a request may be sent that
	// may run in the given regions.
	Select(tried []verbenastand.HostID, regions verbenastand.Regions) (verbenastand.Host, error)
	Release(host verbenastand.Host)
	Connect(ctx context.Context, host verbenastand.Host, origin verbenastand.Origin) (net.Conn, error)
}

// alwaysReached is the Reachability of a host that delegates no requests.
type alwaysReached struct{}

func (alwaysReached) Cut(verbenastand.ServiceName) bool                        { return false }
func (alwaysReached) Unreached(context.Context, verbenastand.ServiceName) bool { return false }
func (alwaysReached) Responded(verbenastand.Registration, bool)                {}
func (alwaysReached) Failed(verbenastand.Registration)                         {}
func (alwaysReached) ReachesOthers(verbenastand.Registration) bool             { return true }
func (alwaysReached) Replaced(verbenastand.Loss) bool                          { return false }
func (alwaysReached) Evacuated(verbenastand.Loss) bool                         { return false }

// errCut means that this host reaches no server of the service, and knows no other host
// that does.
var errCut = errors.New("carrier: this host reaches no server of the service")

// errDelegatedLimit means that this host handles as many requests of others as it may.
var errDelegatedLimit = errors.New("carrier: too many requests delegated to this host")

// cut reports whether no server of the service responds to this host.
func (c *call) cut() bool { return c.carrier.config.Reachability.Cut(c.serviceName) }

// mayDelegate reports whether another host may send the request to a server, since this host
// can connect to none.
func (c *call) mayDelegate(ctx context.Context) bool {
	return c.hasDelegates() && c.carrier.config.Reachability.Unreached(ctx, c.serviceName)
}

// hasDelegates reports whether other hosts may send the request: this host received it from its
// caller, and has not just found out that the others reach no server either.
func (c *call) hasDelegates() bool {
	return c.carrier.config.Delegator != nil && c.request.Origin() == nil && c.excludedEverywhere() == nil &&
		!c.carrier.unserved.includes(c.serviceName, c.carrier.config.Clock.Now())
}

// unshared reports whether this host may send the request to no server since its zone is evacuated
// and the hosts of other zones share the limits of their servers.
func (c *call) unshared() bool { return c.service != nil && c.service.Unshared() }

// chooseService returns the service for the request: the next one of the route's split,
// unless another host has drawn it. Hosts that send the route with a delegated request
// choose the service themselves.
func (c *call) chooseService(m *router.Match) verbenastand.ServiceName {
	if origin := c.request.Origin(); origin != nil {
		for _, part := range m.Route().Split() {
			if part.Service() == origin.Service {
				return origin.Service
			}
		}
	}
	return m.NextService()
}

// priorAttempts returns the number of servers that another host has sent the request to.
func (c *call) priorAttempts() int {
	if origin := c.request.Origin(); origin != nil {
		return origin.Attempts
	}
	return 0
}

// delegate lets another host send the request, and reports whether there is one.
func (r *runner) delegate() bool {
	if len(r.delegates) >= maxDelegations {
		if !r.route.Regions().Restricted() {
			// Hosts may reach servers of the service in other regions.
			r.carrier.unserved.record(r.serviceName, r.carrier.config.Clock.Now())
		}
		return false
	}
	host, err := r.carrier.config.Delegator.Select(r.delegates, r.route.Regions())
	if err != nil {
		return false
	}
	r.delegates = append(r.delegates, host.ID())
	r.delegating = true
	base := r.caller
	if !r.route.Retryable() {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithDeadline(base, r.deadline.Add(responseGrace))
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	attempts := r.sent
	go func() {
		defer r.carrier.config.Delegator.Release(host)
		o := r.delegateTo(ctx, host, attempts)
		o.index = index
		r.results <- o
	}()
	return true
}

// delegateTo sends the request to another host and reads its response.
func (c *call) delegateTo(ctx context.Context, host verbenastand.Host, attempts int) (o *outcome) {
	end := func() {}
	defer c.containPanic(&o, &end)
	o = &outcome{delegate: host.ID(), finish: func(error) {}}
	event := Event{
		ID: c.id, Fingerprint: c.fingerprint, Route: c.route.Name(), Version: c.version, Service: c.serviceName,
		Delegate: host.ID(), Attempt: attempts + 1, At: c.carrier.config.Clock.Now(),
	}
	report := func(err error) {
		event.Err, event.Took = err, c.carrier.config.Clock.Now().Sub(event.At)
		o.took = event.Took
		event.Result = balancer.Succeeded
		if err != nil {
			event.Result = balancer.Failed
		}
		c.carrier.config.Observer.Delegated(event)
	}
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	conn, err := c.carrier.config.Delegator.Connect(connectCtx, host, verbenastand.Origin{
		Host: c.carrier.config.Self, Caller: c.request.Remote(), Service: c.serviceName, Route: &c.route, Table: c.version,
		Attempts: attempts, Losses: c.possibleCrashes(),
	})
	cancel()
	if err != nil {
		o.err = verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonServerFailed, errors.Join(sender.ErrUnreachable, err))
		report(o.err)
		return o
	}
	connection := c.carrier.config.Sender.Adopt(conn, sender.Target{Address: host.PeerAddress()})
	end = connection.Close
	o.connection = connection
	o.finish = func(err error) {
		connection.Close()
		report(err)
	}
	request := c.newRequest("")
	if request.Stream != nil {
		c.bodyTaken.Store(true)
	}
	o.response, o.err = connection.Exchange(ctx, request)
	if o.err == nil {
		o.err = delegateError(o.response)
	}
	if o.err == nil {
		o.err = c.validate(o.response)
	}
	if o.err == nil {
		o.err = c.readBody(o)
	}
	if o.err != nil || o.body.Complete() {
		o.finish(o.err)
	}
	return o
}

// delegateError returns the error with which another host itself responded, nil if the
// response is that of a server.
func delegateError(r *sender.Response) error {
	verdict := r.Header.Get(verbenastand.HeaderVerdict)
	if verdict == "" {
		return nil
	}
	v, reason := verbenastand.MayHaveRun, verbenastand.ParseRefusalReason(r.Header.Get(verbenastand.HeaderReason))
	if verdict == verbenastand.NotRun.String() {
		v = verbenastand.NotRun
	}
	refusal := verbenastand.NewRequestError(v, reason, errDelegateRefused)
	if delay, err := verbenastand.ParseRetryAfter(r.Header.Get("Retry-After")); err == nil {
		refusal = refusal.WithRetryAfter(delay)
	}
	return refusal
}

// errDelegateRefused means that the host to which a request was delegated responded with
// an error of its own.
var errDelegateRefused = errors.New("carrier: refused by the host to which the request was delegated")

// handleDelegated ends the request with the outcome of a delegation, or asks another host
// if that one has not sent it.
func (r *runner) handleDelegated(o *outcome) (done, succeeded bool) {
	if o.err == nil {
		r.endOtherAttempts(o)
		return true, r.deliver(o)
	}
	r.recordOutcome(o)
	r.delegating = !o.notRun()
	if r.ctx.Err() != nil {
		r.interrupt(r.ctx, r.verdict())
		return true, false
	}
	if o.notRun() && !r.bodyTaken.Load() && r.anotherDelegateMayServe(o.err) && r.delegate() {
		return false, false
	}
	if r.running > 0 {
		return false, false
	}
	switch {
	case o.notRun() && r.mayHaveRun:
		r.finishFailed()
	case errors.Is(o.err, errDelegateRefused):
		r.refuse(o.err)
	case o.notRun():
		r.refuse(r.noServer(o.err))
	default:
		r.finishFailed()
	}
	return true, false
}

// anotherDelegateMayServe reports whether the reason for which a host did not send a
// delegated request is one of this host alone.
func (r *runner) anotherDelegateMayServe(err error) bool {
	if errors.Is(err, sender.ErrUnreachable) {
		return true
	}
	var re *verbenastand.RequestError
	if !errors.As(err, &re) {
		return false
	}
	switch re.Reason() {
	case verbenastand.ReasonNoServer, verbenastand.ReasonDraining, verbenastand.ReasonStarting:
		return true
	}
	return false
}

// acquireDelegated takes one of the places for requests that other hosts delegate to this
// one, and refuses the request if there is none.
func (c *Carrier) acquireDelegated(incoming *call) (release func(), ok bool) {
	if incoming.request.Origin() == nil {
		return func() {}, true
	}
	select {
	case c.delegated <- struct{}{}:
		return func() { <-c.delegated }, true
	default:
	}
	refusal := verbenastand.NewRequestError(verbenastand.NotRun, verbenastand.ReasonOverload, errDelegatedLimit)
	incoming.refuse(refusal.WithRetryAfter(elsewhereRetryAfter))
	return nil, false
}

// stripVerdict removes fields that only a host may set from the response of a server to a
// delegated request, since the other host relies on them.
func (c *call) stripVerdict(h http.Header) {
	if c.request.Origin() != nil {
		h.Del(verbenastand.HeaderVerdict)
		h.Del(verbenastand.HeaderReason)
	}
}
