// Package meter defines the Prometheus metrics of a host.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/hedger"
)

const namespace = "verbenastand"

// Meter holds the metrics of a host and the registry that exports them.
type Meter struct {
	registry *prometheus.Registry

	requests           *prometheus.CounterVec
	failures           *prometheus.CounterVec
	duration           *prometheus.HistogramVec
	queueTime          *prometheus.HistogramVec
	attempts           *prometheus.CounterVec
	forwards           *prometheus.CounterVec
	probes             *prometheus.CounterVec
	pauses             prometheus.Counter
	panics             prometheus.Counter
	connectionLosses   prometheus.Counter
	truncatedResponses prometheus.Counter
	joinedRetries      prometheus.Counter
	attemptDurations   *prometheus.HistogramVec
	refusedMessages    *prometheus.CounterVec
	cutRequests        *prometheus.CounterVec
	hedges             *prometheus.CounterVec
	hedgeSeconds       *prometheus.CounterVec
	hedgesDenied       *prometheus.CounterVec
}

// latencyBuckets range from half a millisecond to about a minute.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 18)

// NewMeter registers the metrics with a new registry.
func NewMeter() *Meter {
	registry := prometheus.NewRegistry()
	f := promauto.With(registry)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}
		return f.NewHistogramVec(opts, []string{"service"})
	}
	return &Meter{
		registry:           registry,
		requests:           vector("requests_total", "Requests by service and verdict.", "service", "verdict"),
		failures:           vector("failures_total", "Requests not answered by a server, by reason.", "service", "reason"),
		duration:           histogram("request_duration_seconds", "Time from a request's arrival to the end of its answer."),
		queueTime:          histogram("queue_duration_seconds", "Time a request waited for a slot."),
		attempts:           vector("attempts_total", "Requests sent to servers, by kind.", "service", "kind"),
		forwards:           vector("forwards_total", "Requests forwarded to another host, by result.", "result"),
		probes:             vector("probes_total", "Probes sent to servers, by result.", "service", "result"),
		panics:             counter("panics_total", "Requests whose handling panicked."),
		pauses:             counter("pauses_total", "Pauses of the process that were noticed."),
		connectionLosses:   counter("server_losses_total", "Connections that a server closed while it ran a request."),
		truncatedResponses: counter("truncated_answers_total", "Answers that a server cut short."),
		attemptDurations: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "attempt_duration_seconds", Help: "Time of requests at servers, by result.", Buckets: latencyBuckets,
		}, []string{"service", "result"}),
		refusedMessages: vector("refused_messages_total", "Messages of callers that are no valid requests, by reason.", "reason"),
		cutRequests:     vector("cut_requests_total", "Requests without a complete response whose connection ended, by reason.", "reason"),
		hedges:          vector("hedges_total", "Hedges sent, and those whose answer was used.", "service", "result"),
		hedgeSeconds:    vector("hedge_server_seconds_total", "Extra server time of hedged requests: that of the attempts whose answers were not used.", "service"),
		hedgesDenied:    vector("hedges_denied_total", "Times that a hedge was considered and not sent, by reason.", "service", "reason"),
		joinedRetries:   counter("joined_resends_total", "Resends answered by an attempt that ran or had run."),
	}
}

// Registry returns the registry of the metrics.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// Refused counts a request to which this host itself responded with an error.
func (m *Meter) Refused(s verbenastand.ServiceName, v verbenastand.Verdict, r verbenastand.RefusalReason) {
	m.requests.WithLabelValues(string(s), v.String()).Inc()
	m.failures.WithLabelValues(string(s), r.String()).Inc()
}

// Responded counts a request that got a response from a server.
func (m *Meter) Responded(s verbenastand.ServiceName, took time.Duration) {
	m.requests.WithLabelValues(string(s), verbenastand.Ran.String()).Inc()
	m.duration.WithLabelValues(string(s)).Observe(took.Seconds())
}

// Queued records how long a request waited for a slot.
func (m *Meter) Queued(s verbenastand.ServiceName, waited time.Duration) {
	m.queueTime.WithLabelValues(string(s)).Observe(waited.Seconds())
}

// AttemptSent counts a request sent to a server, as a first attempt or a retry.
func (m *Meter) AttemptSent(s verbenastand.ServiceName, retry bool) {
	kind := "first"
	if retry {
		kind = "retry"
	}
	m.attempts.WithLabelValues(string(s), kind).Inc()
}

// AttemptEnded records the duration of an attempt at a server by its result.
func (m *Meter) AttemptEnded(s verbenastand.ServiceName, result string, took time.Duration) {
	m.attemptDurations.WithLabelValues(string(s), result).Observe(took.Seconds())
}

// Hedged counts a request sent to a second server because the first one is stalled.
func (m *Meter) Hedged(s verbenastand.ServiceName) {
	m.attempts.WithLabelValues(string(s), "hedge").Inc()
}

// HedgeSent implements hedger.Observer.
func (m *Meter) HedgeSent(s verbenastand.ServiceName) {
	m.hedges.WithLabelValues(string(s), "sent").Inc()
}

// HedgeWon implements hedger.Observer.
func (m *Meter) HedgeWon(s verbenastand.ServiceName) {
	m.hedges.WithLabelValues(string(s), "won").Inc()
}

// HedgeSettled implements hedger.Observer.
func (m *Meter) HedgeSettled(s verbenastand.ServiceName, extra time.Duration) {
	m.hedgeSeconds.WithLabelValues(string(s)).Add(extra.Seconds())
}

// HedgeDenied implements hedger.Observer.
func (m *Meter) HedgeDenied(s verbenastand.ServiceName, reason hedger.Denial) {
	m.hedgesDenied.WithLabelValues(string(s), reason.String()).Inc()
}

// Forwarded counts a request forwarded to another host.
func (m *Meter) Forwarded(ok bool) { m.forwards.WithLabelValues(result(ok)).Inc() }

// Probed counts a probe of a server by its result.
func (m *Meter) Probed(s verbenastand.ServiceName, ok bool) {
	m.probes.WithLabelValues(string(s), result(ok)).Inc()
}

func result(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

// Paused counts a pause of the process.
func (m *Meter) Paused() { m.pauses.Inc() }

// Panicked counts a request whose handling panicked.
func (m *Meter) Panicked() { m.panics.Inc() }

// ConnectionLost counts a connection that a server closed while it ran a request.
func (m *Meter) ConnectionLost() { m.connectionLosses.Inc() }

// Truncated counts a response that a server did not send completely.
func (m *Meter) Truncated() { m.truncatedResponses.Inc() }

// RetryJoined counts a retry that got the response of an earlier request with the
// same idempotency key.
func (m *Meter) RetryJoined() { m.joinedRetries.Inc() }

// MessageRefused counts a message of a caller that is no valid request.
func (m *Meter) MessageRefused(reason string) { m.refusedMessages.WithLabelValues(reason).Inc() }

// RequestsCut counts requests whose connection ended before their responses were complete.
func (m *Meter) RequestsCut(reason string, requests int) {
	m.cutRequests.WithLabelValues(reason).Add(float64(requests))
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Meter) Gauge(name, help string, read func() float64) {
	opts := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(opts, read))
}

// Counter registers a counter whose value is read at each scrape.
func (m *Meter) Counter(name, help string, read func() float64) {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, read))
}
