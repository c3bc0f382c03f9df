package archiver

import "github.com/prometheus/client_golang/prometheus"

// Metrics count origins of streams and calls to the log.
type Metrics struct {
	origins *prometheus.CounterVec
	loads   *prometheus.CounterVec
	appends prometheus.Counter
}

// NewMetrics returns the metrics, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		origins: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_archived_origins_total", Help: "Origins of this instance's streams that were sent to be saved, by result.",
		}, []string{"result"}),
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_archive_loads_total", Help: "Loads of the saved origins of streams, by result.",
		}, []string{"result"}),
		appends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosedrift_archive_appends_total", Help: "Appends of origins of streams to the platform's log.",
		}),
	}
	r.MustRegister(m.origins, m.loads, m.appends)
	return m
}
