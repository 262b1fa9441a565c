package recorder

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
	"github.com/verbenastand/verbenastand/balancer"
	"github.com/verbenastand/verbenastand/carrier"
	"github.com/verbenastand/verbenastand/detector"
	"github.com/verbenastand/verbenastand/excluder"
	"github.com/verbenastand/verbenastand/follower"
	"github.com/verbenastand/verbenastand/limiter"
	"github.com/verbenastand/verbenastand/meter"
	"github.com/verbenastand/verbenastand/quarantiner"
)

// Event names, written as the message of a log line.
const (
	eventAnswered    = "answered"
	eventRefused     = "refused"
	eventAttempt     = "attempt"
	eventServerState = "serverBelief"
	eventStore       = "store"
	eventEvidence    = "evidence"
	eventSuspected   = "requestSuspected"
	eventLimit       = "serverLimit"
	eventWarmup      = "serverWarmup"
	eventDelegated   = "delegated"
	eventReach       = "serviceReached"
	eventLost        = "connectionLost"
	eventExclusion   = "serverExcluded"
	eventMessage     = "messageRefused"
	eventMemory      = "memoryExhausted"
	eventBody        = "bodyLimited"
	eventCut         = "connectionCut"
	eventPanic       = "panic"
	eventEvacuation  = "evacuation"
)

// maxLoggedTarget bounds the bytes of a request target, or of another text that a caller
// chooses, in a log line.
const maxLoggedTarget = 256

// maxLoggedStack bounds the bytes of a stack in a log line.
const maxLoggedStack = 4 << 10

// Config holds the dependencies and settings of a Recorder.
type Config struct {
	Log   log.Interface
	Meter *meter.Meter
	// Share is the fraction of the requests that are logged although nothing was
	// wrong. They are selected by a hash of the request ID, so that all hosts log the
	// same requests.
	Share float64
}

// Recorder logs and counts requests, and logs servers that join or leave and events
// of the configuration store. It implements carrier.Observer and acceptor.Observer.
type Recorder struct {
	config      Config
	evacuations evacuations
}

// NewRecorder returns a recorder.
func NewRecorder(c Config) *Recorder { return &Recorder{config: c} }

// sampled reports whether a request is logged although nothing was wrong.
func (r *Recorder) sampled(id string) bool {
	const scale = 1 << 20
	return float64(xxhash.Sum64String(id)%scale) < r.config.Share*scale
}

// AttemptSent implements carrier.Observer.
func (r *Recorder) AttemptSent(e carrier.Event) { r.config.Meter.AttemptSent(e.Service, e.Attempt > 1) }

// AttemptEnded implements carrier.Observer.
func (r *Recorder) AttemptEnded(e carrier.Event) {
	r.config.Meter.AttemptEnded(e.Service, e.Result.String(), e.Took)
	if e.Result == balancer.Succeeded && e.Attempt == 1 && !r.sampled(e.ID) {
		return
	}
	r.entry(e).WithFields(log.Fields{
		"server": string(e.Server), "attempt": e.Attempt, "hedge": e.Hedge, "running": e.Report.Running, "waiting": e.Report.Waiting,
		"slots": e.Report.Slots, "slowdown": e.Report.Slowdown, "reportAgeMs": milliseconds(e.Age), "looks": e.Checks,
		"estimateMs": milliseconds(e.Estimate), "calm": e.LightlyLoaded, "result": e.Result.String(), "error": errorText(e.Err),
	}).Info(eventAttempt)
}

// Delegated implements carrier.Observer.
func (r *Recorder) Delegated(e carrier.Event) {
	r.config.Meter.Forwarded(e.Err == nil)
	r.entry(e).WithFields(log.Fields{
		"to": string(e.Delegate), "attempt": e.Attempt, "error": errorText(e.Err),
	}).Info(eventDelegated)
}

// MessageRefused implements acceptor.Observer.
func (r *Recorder) MessageRefused(refusal acceptor.Refusal) {
	r.config.Meter.MessageRefused(refusal.Fault.String())
	r.config.Log.WithFields(log.Fields{
		"caller": refusal.Caller, "reason": refusal.Fault.String(), "status": refusal.Status, "pending": refusal.Pending,
		"error": errorText(refusal.Err),
	}).Info(eventMessage)
}

// MemoryExhausted logs that a connection is not read for lack of memory.
func (r *Recorder) MemoryExhausted(s acceptor.Shortage) {
	r.config.Log.WithFields(log.Fields{"caller": s.Caller, "heldBytes": s.Held, "leftBytes": s.Left}).Warn(eventMemory)
}

// BodyLimited logs that a request finds no room for its large body.
func (r *Recorder) BodyLimited(s balancer.BodyShortage) {
	r.config.Log.WithFields(log.Fields{
		"service": string(s.Service), "bodyBytes": s.Bytes, "refused": errors.Is(s.Err, balancer.ErrNoBodyShare), "error": errorText(s.Err),
	}).Info(eventBody)
}

// ConnectionCut implements acceptor.Observer.
func (r *Recorder) ConnectionCut(c acceptor.Cut) {
	r.config.Meter.RequestsCut(c.Reason.String(), c.Pending)
	r.config.Log.WithFields(log.Fields{
		"caller": c.Caller, "reason": c.Reason.String(), "pending": c.Pending, "error": errorText(c.Err),
	}).Info(eventCut)
}

// ReachChanged logs that this host can't connect to a service, or can again.
func (r *Recorder) ReachChanged(c detector.Change) {
	r.config.Log.WithFields(log.Fields{
		"service": string(c.Service), "reached": c.Reached, "failed": c.Failed, "lastedMs": milliseconds(c.Lasted),
	}).Warn(eventReach)
}

// RequestEnded implements carrier.Observer.
func (r *Recorder) RequestEnded(e carrier.Event) {
	if e.Refused {
		r.config.Meter.Refused(e.Service, e.Verdict, e.Reason)
		entry := r.entry(e)
		if e.Reason == verbenastand.ReasonQuarantined {
			entry = entry.WithFields(log.Fields{"caller": e.Caller, "method": e.Method, "target": loggedTarget(e.URI)})
		}
		if e.Reason == verbenastand.ReasonOverload {
			entry = entry.WithFields(log.Fields{"caller": e.Caller, "callerUsageMs": milliseconds(e.CallerUsage)})
		}
		entry.WithFields(log.Fields{
			"status": e.Status, "verdict": e.Verdict.String(), "reason": e.Reason.String(),
			"retryAfterMs": milliseconds(e.RetryAfter), "repeatDenied": e.RetryDenied, "waiting": e.Waiting,
			"expectedWaitMs": milliseconds(e.ExpectedWait), "server": string(e.Server), "estimateMs": milliseconds(e.Estimate), "slowdown": e.Report.Slowdown,
			"running": e.Report.Running, "error": errorText(e.Err),
			"targetMs": milliseconds(e.Target), "deadlineMs": milliseconds(e.Deadline),
		}).Info(eventRefused)
		return
	}
	r.config.Meter.Responded(e.Service, e.Took)
	if e.Err == nil && e.Status < 500 && !e.Late && !r.sampled(e.ID) {
		return
	}
	r.entry(e).WithFields(log.Fields{
		"server": string(e.Server), "status": e.Status, "late": e.Late,
		"repeatDenied": e.RetryDenied, "waiting": e.Waiting, "error": errorText(e.Err),
		"targetMs": milliseconds(e.Target), "deadlineMs": milliseconds(e.Deadline),
	}).Info(eventAnswered)
}

// Panicked implements carrier.Observer.
func (r *Recorder) Panicked(id string, value any, stack []byte) {
	r.config.Meter.Panicked()
	r.config.Log.WithFields(log.Fields{
		"id": loggedTarget(id), "error": loggedTarget(fmt.Sprint(value)), "stack": string(stack[:min(len(stack), maxLoggedStack)]),
	}).Error(eventPanic)
}

// entry returns a log entry with the fields common to all lines of a request.
func (r *Recorder) entry(e carrier.Event) *log.Entry {
	fields := log.Fields{
		"id": loggedTarget(e.ID), "route": string(e.Route), "version": uint64(e.Version), "service": string(e.Service),
		"tookMs": milliseconds(e.Took), "fingerprint": e.Fingerprint.String(),
	}
	if e.DelegatedBy != "" {
		fields["delegatedBy"] = string(e.DelegatedBy)
	}
	return r.config.Log.WithFields(fields)
}

// ServerChanged logs that a server joined or left.
func (r *Recorder) ServerChanged(s verbenastand.Registration, change string) {
	r.config.Log.WithFields(log.Fields{
		"server": string(s.Server()), "service": string(s.Service()), "address": s.Address(), "change": change,
	}).Info(eventServerState)
}

// Store logs an event of the configuration store's follower.
func (r *Recorder) Store(e follower.Event) {
	r.config.Log.WithFields(log.Fields{
		"change": e.Name, "key": e.Key, "era": uint64(e.Position.Era), "revision": uint64(e.Position.Revision),
		"proofAgeMs": milliseconds(e.Staleness), "error": errorText(e.Err),
	}).Info(eventStore)
}

// EvidenceChanged logs a change of the evidence about a request.
func (r *Recorder) EvidenceChanged(c quarantiner.Change) {
	r.config.Log.WithFields(log.Fields{
		"change": c.Kind.String(), "scope": c.Scope.String(), "fingerprint": c.Fingerprint, "crashes": c.Crashes,
		"possibleCrashes": c.PossibleCrashes,
	}).Info(eventEvidence)
}

// LimitChanged logs a change of the limit that a server names.
func (r *Recorder) LimitChanged(c limiter.Change) {
	r.config.Log.WithFields(log.Fields{
		"change": c.Kind.String(), "server": string(c.Process.Server), "service": string(c.Process.Service),
		"perSecond": float64(c.Rate), "learned": c.Learned, "ageMs": milliseconds(c.Age), "error": errorText(c.Err),
	}).Info(eventLimit)
}

// WarmupChanged logs that a server has become cold or warm according to this host's
// information.
func (r *Recorder) WarmupChanged(c limiter.WarmupChange) {
	r.config.Log.WithFields(log.Fields{
		"change": c.Kind.String(), "server": string(c.Process.Server), "startTime": c.Process.StartTime, "service": string(c.Process.Service),
		"remainingMs": milliseconds(c.Remaining), "error": errorText(c.Err),
	}).Info(eventWarmup)
}

// ExclusionChanged logs what a server has said of itself.
func (r *Recorder) ExclusionChanged(c excluder.Change) {
	r.config.Log.WithFields(log.Fields{
		"change": c.Kind.String(), "server": string(c.Process.Server), "startTime": c.Process.StartTime, "service": string(c.Process.Service),
		"pauseMs": milliseconds(c.Pause), "learned": c.Learned, "text": loggedTarget(c.Text),
	}).Info(eventExclusion)
}

// RequestSuspected logs that a server crashed while it ran a request.
func (r *Recorder) RequestSuspected(s quarantiner.Suspect) {
	r.config.Log.WithFields(log.Fields{
		"id": loggedTarget(s.RequestID), "fingerprint": s.Fingerprint.String(), "server": string(s.Server), "state": s.State.String(),
		"caller": s.Caller, "method": s.Method, "target": loggedTarget(s.Target),
	}).Warn(eventSuspected)
}

// ConnectionLost logs what is known about a server after the connection to it was lost.
func (r *Recorder) ConnectionLost(s quarantiner.Suspect) {
	r.config.Log.WithFields(log.Fields{
		"id": loggedTarget(s.RequestID), "fingerprint": s.Fingerprint.String(), "server": string(s.Server), "state": s.State.String(),
	}).Info(eventLost)
}

// loggedTarget returns the beginning of a text. A copy does not keep the whole text in memory
// while its line waits to be written.
func loggedTarget(target string) string {
	if len(target) <= maxLoggedTarget {
		return target
	}
	return strings.Clone(target[:maxLoggedTarget])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return loggedTarget(err.Error())
}
