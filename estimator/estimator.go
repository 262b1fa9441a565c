// Package estimator estimates how many concurrent requests a backend server can
// handle, from the outcomes of this host's requests to it. They take precedence
// over load reports, which are already stale when they arrive.
package estimator

import "time"

const (
	// ratioWeight is the weight of a new sample in the moving average of the
	// latency ratio.
	ratioWeight = 0.15
	// ratioSampleCap caps a single sample of the latency ratio.
	ratioSampleCap = 20
	// slowRatio is the latency ratio from which a server gets a single request at
	// a time.
	slowRatio = 3
	// failurePenalty times the latency ratio is added to the score factor for each
	// consecutive failure.
	failurePenalty = 2
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter = 3
	// firstEjection is the duration of the first ejection. Each consecutive one
	// lasts twice as long as the previous one, up to maxEjection.
	firstEjection = 250 * time.Millisecond
	maxEjection   = 15 * time.Second
	maxDoublings  = 8
	// stallFactor is the number of expected durations without progress after
	// which a server counts as stalled.
	stallFactor = 5
	minStall    = 20 * time.Millisecond
	// initialConcurrency is the concurrency limit at which slow start begins.
	initialConcurrency = 1
	// shedBackoff is how long a server gets no requests after it refused one.
	shedBackoff = 10 * time.Millisecond
)

// Result is the outcome of a request to a server.
type Result int

const (
	// Succeeded requests got a complete response.
	Succeeded Result = iota
	// Failed requests ended with a connection failure or a server error.
	Failed
	// Shed requests were refused by the server without running them.
	Shed
	// Abandoned requests were cancelled, which says nothing about the server.
	Abandoned
)

// Estimate holds the estimated health and concurrency limit of one server. It is
// not safe for concurrent use.
type Estimate struct {
	slots        int
	concurrency  float64
	ratio        float64
	failures     int
	ejections    int
	ejectedUntil time.Time
	backoffUntil time.Time
	lastProgress time.Time
}

// NewEstimate returns the estimate for a server without any samples. A cold
// server starts with one request at a time. A server that may have been running
// before this host started gets half of its slots at once.
func NewEstimate(slots int, cold bool) Estimate {
	e := Estimate{slots: slots, concurrency: initialConcurrency, ratio: 1}
	if !cold {
		e.concurrency = max(initialConcurrency, float64(slots)/2)
	}
	return e
}

// Started records that a short request was sent while no other short request was in
// flight.
func (e *Estimate) Started(now time.Time) { e.lastProgress = now }

// Observe records the outcome of a request. Expected is the mean duration of
// such requests over all servers.
func (e *Estimate) Observe(now time.Time, result Result, took, expected time.Duration) {
	switch result {
	case Succeeded:
		e.observeSuccess(now, took, expected)
	case Failed:
		e.observeFailure(now, took, expected)
	case Shed:
		e.concurrency = max(initialConcurrency, e.concurrency/2)
		e.backoffUntil = now.Add(shedBackoff)
		e.lastProgress = now
	case Abandoned:
		e.observeAbandoned(took, expected)
	}
}

func (e *Estimate) observeSuccess(now time.Time, took, expected time.Duration) {
	e.lastProgress = now
	e.failures = 0
	e.ejections = 0
	if expected > 0 {
		e.addLatencySample(float64(took) / float64(expected))
	}
	e.concurrency = min(e.concurrency+1, float64(2*e.slots))
}

// observeFailure puts the server in backoff for the rest of the expected duration.
// A server that fails fast would otherwise always have free slots and attract most
// requests.
func (e *Estimate) observeFailure(now time.Time, took, expected time.Duration) {
	e.lastProgress = now
	e.failures++
	e.concurrency = max(initialConcurrency, e.concurrency/2)
	if remaining := expected - took; remaining > 0 {
		e.backoffUntil = now.Add(remaining)
	}
	if e.failures < ejectAfter {
		return
	}
	e.ejectedUntil = now.Add(min(firstEjection<<e.ejections, maxEjection))
	e.ejections = min(e.ejections+1, maxDoublings)
	e.concurrency = initialConcurrency
}

// observeAbandoned counts a cancelled request only if it had already run longer
// than expected.
func (e *Estimate) observeAbandoned(took, expected time.Duration) {
	if expected > 0 && took > expected {
		e.addLatencySample(float64(took) / float64(expected))
	}
}

func (e *Estimate) addLatencySample(sample float64) {
	e.ratio += ratioWeight * (min(sample, ratioSampleCap) - e.ratio)
}

// Restarted resets the estimate for a new instance of the server.
func (e *Estimate) Restarted() { *e = NewEstimate(e.slots, true) }

// Invalidate halves the concurrency limit and restarts the detection of stalls after
// the process was paused, because the state before the pause may be stale.
func (e *Estimate) Invalidate(now time.Time) {
	e.concurrency = max(initialConcurrency, e.concurrency/2)
	e.lastProgress = now
}

// ObserveProbe records the result of a probe of an ejected server. Success ends
// the ejection, and the server starts again with a single request at a time.
func (e *Estimate) ObserveProbe(now time.Time, ok bool) {
	if ok {
		e.ejectedUntil = now
		return
	}
	e.ejectedUntil = now.Add(min(firstEjection<<e.ejections, maxEjection))
}

// Ejected reports whether the server is ejected.
func (e *Estimate) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// InBackoff reports whether the server gets no requests for a short time after
// a failure or a refusal.
func (e *Estimate) InBackoff(now time.Time) bool { return now.Before(e.backoffUntil) }

// Stalled reports whether a server with short requests in flight has made no
// progress for far longer than they should take.
func (e *Estimate) Stalled(now time.Time, expected time.Duration) bool {
	limit := max(minStall, stallFactor*expected)
	return now.Sub(e.lastProgress) > limit
}

// LatencyRatio returns the latency of the server relative to the mean of all
// servers of its service.
func (e *Estimate) LatencyRatio() float64 { return e.ratio }

// ScoreFactor returns the factor by which the server's score is multiplied: its
// latency ratio, increased for each failure since the last success. Higher is
// worse.
func (e *Estimate) ScoreFactor() float64 { return e.ratio * float64(1+failurePenalty*e.failures) }

// Limit returns how many concurrent requests the server may get.
func (e *Estimate) Limit() int {
	limit := int(e.concurrency)
	if e.ratio >= slowRatio {
		return 1
	}
	return limit
}
