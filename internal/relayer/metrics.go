package relayer

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/primrosedrift/primrosedrift/internal/losstracker"
)

// Metrics count requests and attempts.
type Metrics struct {
	requests     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	duration     *prometheus.HistogramVec
	headLatency  *prometheus.HistogramVec
	queueTime    *prometheus.HistogramVec
	losses       *prometheus.CounterVec
	limited      *prometheus.CounterVec
	handedOn     *prometheus.CounterVec
	rejectedKeys *prometheus.CounterVec
	ended        *prometheus.CounterVec
	loadProbes   *prometheus.CounterVec
	// withheldSends counts sends that were withheld because the client had closed its connection.
	withheldSends *prometheus.CounterVec
	closeAge      *prometheus.HistogramVec
	stopped       *prometheus.CounterVec
	unframedEnds  *prometheus.CounterVec
	quota         quotaMetrics
}

// NewMetrics returns the metrics, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 14) // 2 ms to 16 s
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{"service"})
	}
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_relayed_requests_total", Help: "Requests by how they ended.",
		}, []string{"service", "outcome", "status"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_relayed_attempts_total", Help: "Attempts that were not passed on.",
		}, []string{"service", "outcome"}),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_losses_total", Help: "Changes of losses: attempts during which an upstream ended, or may have.",
		}, []string{"change"}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_limited_responses_total", Help: "Responses in which the upstream limits the requests that it takes.",
		}, []string{"service"}),
		handedOn: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_handed_on_requests_total", Help: "Requests that were sent to a peer because the links to the upstreams are cut, by result.",
		}, []string{"service", "result"}),
		rejectedKeys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_rejected_keys_total", Help: "Requests whose key was not accepted, by reason.",
		}, []string{"reason"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_slow_responses_ended_total", Help: "Responses that were ended because their client did not take them, by reason.",
		}, []string{"why"}),
		loadProbes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_load_probes_total", Help: "Requests for the load of an upstream before a choice, by result.",
		}, []string{"service", "result"}),
		withheldSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_withheld_sends_total", Help: "Sends that were withheld because the client, or the peer that handed the request on, had closed the connection.",
		}, []string{"service", "hop"}),
		stopped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_stopped_requests_total", Help: "Requests that a planned stop of the instance ended, by what was done: refused, answered or cut.",
		}, []string{"service", "action"}),
		unframedEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_unframed_ends_total", Help: "Responses that ended with their connection, by what showed whether they are whole.",
		}, []string{"service", "verdict"}),
		closeAge:    histogram("primrosedrift_close_age_seconds", "Time from the arrival of a client's close until it was noticed."),
		duration:    histogram("primrosedrift_relayed_seconds", "Time from a request's arrival to its end."),
		headLatency: histogram("primrosedrift_relayed_first_byte_seconds", "Time from an attempt to the head of its answer."),
		queueTime:   histogram("primrosedrift_relayed_wait_seconds", "Time in the queue."),
	}
	m.quota.register(r)
	r.MustRegister(m.requests, m.attempts, m.duration, m.headLatency, m.queueTime, m.losses, m.limited, m.handedOn, m.rejectedKeys, m.ended, m.loadProbes, m.withheldSends, m.closeAge, m.stopped, m.unframedEnds)
	return m
}

// observe records a request that has ended.
func (m *Metrics) observe(c *call, outcome string, took time.Duration) {
	s := c.admission.Service
	m.requests.WithLabelValues(s, outcome, strconv.Itoa(c.reply.status)).Inc()
	m.duration.WithLabelValues(s).Observe(took.Seconds())
	m.queueTime.WithLabelValues(s).Observe(c.queueTime.Seconds())
	if age, ok := c.presence.age(); ok {
		m.closeAge.WithLabelValues(s).Observe(age.Seconds())
	}
	if c.headLatency > 0 {
		m.headLatency.WithLabelValues(s).Observe(c.headLatency.Seconds())
	}
}

// RecordLoss counts a change of a loss.
func (m *Metrics) RecordLoss(c losstracker.Change) { m.losses.WithLabelValues(string(c)).Inc() }

// recordEnded counts a response that was ended because of its client.
func (m *Metrics) recordEnded(why error) {
	label := "client-stalled"
	if errors.Is(why, errMadeRoom) {
		label = "made-room"
	}
	m.ended.WithLabelValues(label).Inc()
}
