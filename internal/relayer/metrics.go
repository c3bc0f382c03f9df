package relayer

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count requests and attempts.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	took     *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	waited   *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
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
		took:   histogram("primrosedrift_relayed_seconds", "Time from a request's arrival to its end."),
		first:  histogram("primrosedrift_relayed_first_byte_seconds", "Time from an attempt to the head of its answer."),
		waited: histogram("primrosedrift_relayed_wait_seconds", "Time in the queue."),
	}
	r.MustRegister(m.requests, m.attempts, m.took, m.first, m.waited)
	return m
}

func (m *Metrics) note(c *call, outcome string, took time.Duration) {
	s := c.ask.Service
	m.requests.WithLabelValues(s, outcome, strconv.Itoa(c.status)).Inc()
	m.took.WithLabelValues(s).Observe(took.Seconds())
	m.waited.WithLabelValues(s).Observe(c.waited.Seconds())
	if c.first > 0 {
		m.first.WithLabelValues(s).Observe(c.first.Seconds())
	}
}
