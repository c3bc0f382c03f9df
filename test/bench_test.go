package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
)

// maxLatencyMicros is the upper bound of the latency histogram in microseconds.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

const benchDuration = 4 * time.Second

// BenchmarkCall sends requests to a plain service at a fixed rate through three
// entry instances, and reports latencies and the append rate. The log admits
// 500 appends per second. The idempotent method "balance" is the baseline: its
// requests need no append, like those with a key bound to the incarnation of
// one entry instance.
func BenchmarkCall(b *testing.B) {
	for _, method := range []string{"balance", "debit"} {
		for _, perSecond := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", method, perSecond), func(b *testing.B) {
				benchCall(b, method, perSecond)
			})
		}
	}
}

func benchCall(b *testing.B, method string, perSecond int) {
	f := newSmallFleet(b)
	f.publish(strings.NewReplacer("concurrency = 64", "concurrency = 4096", "requests-per-second = 500.0", "requests-per-second = 20000.0").Replace(operatorsFile))
	f.setFaults("kernheffing-1", faulter.Faults{TokenMs: 1})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	var mu sync.Mutex
	h := hdrhistogram.New(1, maxLatencyMicros, 3)
	refused := 0
	call := func(e *entryProcess) {
		start := time.Now()
		_, err := callerv1connect.NewCallerCommandsClient(client, "http://"+e.caller).Call(context.Background(), connect.NewRequest(&callerv1.CallRequest{
			Customer: "tolwerk", Service: "kernheffing", Method: method, Key: ulid.Make().String(), DeadlineMs: 10_000,
		}))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			refused++
			return
		}
		require.NoError(b, h.RecordValue(time.Since(start).Microseconds()))
	}
	for _, e := range f.entries {
		call(e)
	}
	h.Reset()
	before := f.nextOffset()
	pace := rate.NewLimiter(rate.Limit(perSecond), 1)
	var wg sync.WaitGroup
	sent := 0
	for end := time.Now().Add(benchDuration); time.Now().Before(end); sent++ {
		require.NoError(b, pace.Wait(context.Background()))
		e := f.entries[sent%len(f.entries)]
		wg.Go(func() { call(e) })
	}
	wg.Wait()
	b.ReportMetric(float64(sent)/benchDuration.Seconds(), "sent/s")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99.9))/1000, "p99.9-ms")
	b.ReportMetric(float64(f.nextOffset()-before)/benchDuration.Seconds(), "appends/s")
}
