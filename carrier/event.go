package carrier

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// Event describes a step of a request for logs and metrics.
type Event struct {
	// ID is the request ID sent by the caller.
	ID string
	// Fingerprint identifies equal requests of a caller in crash evidence. Caller,
	// Method and URI are what it is made from, besides the body.
	Fingerprint         quarantiner.Fingerprint
	Caller, Method, URI string
	Route               verbenastand.RouteName
	Version             verbenastand.TableVersion
	Service             verbenastand.ServiceName
	// Server, Attempt, Report, Age and Checks describe one attempt: the server, and
	// the load report on which the choice was based.
	Server        verbenastand.ServerID
	Attempt       int
	Report        verbenastand.LoadReport
	Age           time.Duration
	Checks        int
	Estimate      time.Duration
	LightlyLoaded bool
	// Hedge is set if the attempt is a hedge.
	Hedge bool
	// Delegate is the host to which the request was delegated, empty if it was not.
	Delegate verbenastand.HostID
	// DelegatedBy is the host that delegated the request to this one.
	DelegatedBy verbenastand.HostID
	// At is when the attempt began, or when the request arrived.
	At time.Time
	// Took is the duration of the attempt, or of the whole request.
	Took   time.Duration
	Result balancer.Result
	Err    error
	// Status is the status sent to the caller, zero if the caller disconnected.
	Status     int
	Verdict    verbenastand.Verdict
	Reason     verbenastand.RefusalReason
	Refused    bool
	RetryAfter time.Duration
	// Waiting is the number of requests that waited for the service at this host.
	Waiting int
	// ExpectedWait is the wait that was expected for a request refused for lack of capacity.
	ExpectedWait time.Duration
	// CallerUsage is the server time that the caller was assigned recently by this host.
	CallerUsage time.Duration
	// RetryDenied is the reason why a failed request was not sent to another
	// server.
	RetryDenied string
	// Target and Deadline are the target latency and the time limit of the request,
	// from its arrival.
	Target, Deadline time.Duration
	// Late is set if the response missed the route's target latency.
	Late bool
}

func (c *call) event(choice balancer.Choice, number int) Event {
	return Event{
		ID: c.id, Fingerprint: c.fingerprint, Route: c.route.Name(), Version: c.version, Service: c.serviceName,
		Server: choice.Server.Registration().Server(), Attempt: number, Report: choice.Report,
		Age: choice.Age, Checks: choice.Checks, Estimate: choice.Estimate, LightlyLoaded: choice.LightlyLoaded,
		At: c.carrier.config.Clock.Now(),
	}
}

// reportEnd reports the final result of the request.
func (c *call) reportEnd(status int, change func(*Event)) {
	now := c.carrier.config.Clock.Now()
	e := Event{
		ID: c.id, Fingerprint: c.fingerprint, Route: c.route.Name(), Version: c.version, Service: c.serviceName, At: c.arrived,
		Took: now.Sub(c.arrived), Status: status, Verdict: verbenastand.Ran, Late: now.After(c.targetTime),
		Caller: c.request.Remote(), Method: c.request.Method, URI: c.request.RequestURI,
	}
	if !c.deadline.IsZero() {
		e.Target, e.Deadline = c.targetTime.Sub(c.arrived), c.deadline.Sub(c.arrived)
	}
	e.RetryDenied, e.ExpectedWait = c.retryDenied, c.expectedWait
	if origin := c.request.Origin(); origin != nil {
		e.DelegatedBy = origin.Host
	}
	if c.service != nil {
		e.Waiting, e.CallerUsage = c.service.Waiting(), c.service.CallerUsage(c.callerAddress())
	}
	if c.rejected.Server != nil {
		choice := c.rejected
		e.Server, e.Report, e.Age, e.Checks = choice.Server.Registration().Server(), choice.Report, choice.Age, choice.Checks
		e.Estimate, e.LightlyLoaded = choice.Estimate, choice.LightlyLoaded
	}
	if change != nil {
		change(&e)
	}
	c.carrier.config.Observer.RequestEnded(e)
}
