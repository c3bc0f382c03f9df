package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// maxProbeWait is how long a request waits for the loads of upstreams, which respond at
	// once. The objectives of streams are 250 ms and more.
	maxProbeWait = 10 * time.Millisecond
	// probeTimeout is when a probe ends whose response the request has not waited for. Its
	// connection can be used again if the response comes before.
	probeTimeout = time.Second
)

// probe requests the loads of the upstreams that the queue names, before one of them is chosen.
// A slowdown ends after some hundred milliseconds, and an instance sends an upstream a request
// every few seconds only, so what earlier responses have stated is mostly out of date.
func (c *call) probe(ctx context.Context) {
	path := c.cfg.Services[c.admission.Service].HealthPath
	if path == "" {
		return
	}
	targets := c.Queue.ProbeTargets(c.admission)
	if len(targets) == 0 {
		return
	}
	ended := make(chan struct{}, len(targets))
	for _, u := range targets {
		go func() {
			c.probeUpstream(context.WithoutCancel(ctx), u, path)
			ended <- struct{}{}
		}()
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	for range targets {
		select {
		case <-ended:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// probeUpstream requests the load of an upstream and records it. A failure says nothing: the
// upstream may still take requests.
func (h *Relayer) probeUpstream(ctx context.Context, u *registrar.Upstream, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := h.Pool.Call(ctx, u.Address, http.MethodGet, path, nil, nil)
	result := "failed"
	if err == nil {
		result = "no-load"
		if r := h.Codec.ParseResponse(reply.Status, reply.Header); r.HasLoad && (r.Upstream == u.ID || r.Upstream == "") {
			result = "load"
			h.Queue.RecordLoad(u, r.Load)
		}
	}
	h.Metrics.loadProbes.WithLabelValues(u.Service, result).Inc()
}
