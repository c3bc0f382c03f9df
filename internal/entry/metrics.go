package entry

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// metrics holds the metrics of the instance. The set of values of each label is
// bounded.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	wait     *prometheus.HistogramVec
	appends  *prometheus.CounterVec
	records  *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_requests_total", Help: "Requests by how they ended.",
		}, []string{"kind", "verdict", "reason"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "primrosedrift_first_byte_seconds", Help: "Time from arrival to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"kind"}),
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_appends_total", Help: "Appends to the platform's log by result.",
		}, []string{"result"}),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_records_total", Help: "Records written to the platform's log by kind.",
		}, []string{"kind"}),
	}
	m.registry.MustRegister(m.requests, m.wait, m.appends, m.records)
	return m
}

func (m *metrics) onAppend(records []*recordv1.Record, err error) {
	if err != nil {
		m.appends.WithLabelValues("failed").Inc()
		return
	}
	if len(records) == 0 {
		m.appends.WithLabelValues("probe").Inc()
		return
	}
	m.appends.WithLabelValues("written").Inc()
	for _, r := range records {
		m.records.WithLabelValues(recordKind(r)).Inc()
	}
}

// recordKind returns the name of a record's kind in kebab case.
func recordKind(r *recordv1.Record) string {
	m := r.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().ByName("kind"))
	if f == nil {
		return "none"
	}
	return strings.ReplaceAll(string(f.Name()), "_", "-")
}
