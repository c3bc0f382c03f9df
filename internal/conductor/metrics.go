package conductor

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
)

// Metrics are the metrics of orders and state requests.
type Metrics struct {
	orders *prometheus.CounterVec
	took   *prometheus.HistogramVec
	states prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_orders_total", Help: "Orders to upstreams by how they ended.",
		}, []string{"operation", "what", "outcome"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "primrosedrift_order_seconds", Help: "Time from an order to its end.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14), // 2 ms to 16 s
		}, []string{"operation", "what", "from"}),
		states: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosedrift_upstream_states_total", Help: "Questions to upstreams what they hold.",
		}),
	}
	r.MustRegister(m.orders, m.took, m.states)
	return m
}

func (m *Metrics) record(o arranger.Order, err error, took time.Duration) {
	kind, outcome := "model", "done"
	if o.Adapter != "" {
		kind = "adapter"
	}
	if err != nil {
		outcome = "failed"
	}
	m.orders.WithLabelValues(string(o.Operation), kind, outcome).Inc()
	m.took.WithLabelValues(string(o.Operation), kind, string(o.Tier)).Observe(took.Seconds())
}
