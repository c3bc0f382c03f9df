package test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const floodOperatorsFile = `
[policy]
store-concurrent-loads = 4
adapter-loads-in-flight = 32
max-entries = 5
[[contracts]]
customer = "officers"
replicas = 8
memory = "160GiB"
waiting-time = "20s"
concurrency = 64
requests-per-second = 2000.0
class = "urgent"
[[contracts]]
customer = "offices"
replicas = 8
memory = "160GiB"
waiting-time = "400ms"
concurrency = 400
requests-per-second = 20000.0
class = "batch"
`

// newFloodFleet starts five entry instances and one plain service of 32 slots.
func newFloodFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.startService("kernheffing-1", "kernheffing", "--call-ms", "20")
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"} {
		f.startEntry(name)
	}
	f.publish(floodOperatorsFile)
	return f
}

// TestUrgentRequestsAreAnsweredDuringOverload overloads a service with batch
// requests of many clients. Every urgent request must be answered, and every batch
// request must be answered or get a verdict with a retry delay.
func TestUrgentRequestsAreAnsweredDuringOverload(t *testing.T) {
	f := newFloodFleet(t)
	ctx := context.Background()
	var stop atomic.Bool
	var answered, refused, timedOut, unexpected atomic.Int64
	var batch sync.WaitGroup
	for range 150 {
		batchClient := f.client("offices")
		batch.Go(func() {
			for !stop.Load() {
				_, err := batchClient.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "summary"})
				r := verdict.FromError(err)
				switch {
				case err == nil:
					answered.Add(1)
				case r.Ran == verdict.NotRun && r.RetryAfter > 0:
					refused.Add(1)
				case r.Reason == verdict.ReasonDeadline && r.RetryAfter > 0:
					timedOut.Add(1) // it started and was canceled at its deadline
				default:
					unexpected.Add(1)
					t.Logf("%s: %v %d", r.Reason, err, r.RetryAfter)
				}
			}
		})
	}
	var urgent sync.WaitGroup
	var failed atomic.Int64
	for range 4 {
		urgentClient := f.client("officers")
		urgent.Go(func() {
			for range 50 {
				if _, err := urgentClient.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "status"}); err != nil {
					t.Log(err)
					failed.Add(1)
				}
			}
		})
	}
	urgent.Wait()
	stop.Store(true)
	batch.Wait()
	t.Logf("%d batch requests answered, %d refused, %d canceled at their deadline", answered.Load(), refused.Load(), timedOut.Load())
	require.Zero(t, failed.Load())
	require.Zero(t, unexpected.Load())
	require.Positive(t, answered.Load())
}

// TestRequestIsForwardedOnce checks that an entry instance that Locate does not
// list for the target forwards a request once, and serves a request that was
// forwarded to it.
func TestRequestIsForwardedOnce(t *testing.T) {
	f := newFloodFleet(t)
	ctx := context.Background()
	var located []string
	require.Eventually(f.t, func() bool {
		for _, e := range f.entries {
			resp, err := callerv1connect.NewCallerQueriesClient(http.DefaultClient, "http://"+e.caller).
				Locate(ctx, connect.NewRequest(&callerv1.LocateRequest{Customer: "officers", Target: "kernheffing"}))
			if err != nil || len(resp.Msg.GetAddresses()) != 3 || located != nil && !slices.Equal(located, resp.Msg.GetAddresses()) {
				located = nil
				return false
			}
			located = resp.Msg.GetAddresses()
		}
		return true
	}, conditionTimeout, 50*time.Millisecond)
	var unlisted *entryProcess
	for _, e := range f.entries {
		if !slices.Contains(located, e.caller) {
			unlisted = e
		}
	}
	call := func(address string, forwarded bool) {
		_, err := callerv1connect.NewCallerCommandsClient(http.DefaultClient, "http://"+address).Call(ctx, connect.NewRequest(
			&callerv1.CallRequest{Customer: "officers", Service: "kernheffing", Method: "status", Forwarded: forwarded}))
		require.NoError(t, err)
	}
	call(unlisted.caller, false)
	require.Contains(t, unlisted.metrics(t), `primrosedrift_requests_total{kind="call",reason="",verdict="forwarded"} 1`)
	call(unlisted.caller, true)
	require.Contains(t, unlisted.metrics(t), `primrosedrift_requests_total{kind="call",reason="",verdict="forwarded"} 1`)
	require.Contains(t, unlisted.metrics(t), `primrosedrift_requests_total{kind="call",reason="",verdict="answered"} 1`)
	for _, e := range f.entries {
		if e != unlisted {
			require.NotContains(t, e.metrics(t), "forwarded")
		}
	}
}

func (e *entryProcess) metrics(t *testing.T) string {
	resp, err := http.Get("http://" + e.debug + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	var b strings.Builder
	_, err = io.Copy(&b, resp.Body)
	require.NoError(t, err)
	return b.String()
}
