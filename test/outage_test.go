package test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// TestRequestsDuringLogOutage checks that during an outage of the log a loaded
// model is served, and a non-idempotent request is refused as not run. After the
// outage the same key must run at most once.
func TestRequestsDuringLogOutage(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	ctx := context.Background()
	generate := &callerv1.GenerateRequest{Model: "levy-status", Prompt: "p", MaxTokens: 3}
	require.NoError(t, c.Generate(ctx, generate, func(string) {}))

	f.setFaults("log", faulter.Faults{Outage: true})
	key := ulid.Make().String()
	var last verdict.Refusal
	require.Eventually(t, func() bool {
		_, err := c.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: key, DeadlineMs: 2000})
		last = verdict.FromError(err)
		return err != nil && last.Reason == verdict.ReasonLogDown
	}, conditionTimeout, 50*time.Millisecond)
	require.Equal(t, verdict.NotRun, last.Ran)
	require.Positive(t, last.RetryAfter)
	require.NoError(t, c.Generate(ctx, generate, func(string) {}))

	f.setFaults("log", faulter.Faults{})
	require.Eventually(t, func() bool {
		_, err := c.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: key})
		return err == nil
	}, conditionTimeout, 50*time.Millisecond)
	require.LessOrEqual(t, f.runCounts("kernheffing-1")[key], 1)
}

// TestShardOfFrozenHolderIsTakenOver freezes the holder of a model's shard before
// the model is loaded. Another instance must take over the shard and the model be
// served.
func TestShardOfFrozenHolderIsTakenOver(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	addresses, err := c.Locate(context.Background(), "levy-status")
	require.NoError(t, err)
	for _, e := range f.entries {
		if e.caller == addresses[0] {
			e.signal(syscall.SIGSTOP)
		}
	}
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return c.Generate(ctx, &callerv1.GenerateRequest{Model: "levy-status", Prompt: "p", MaxTokens: 3}, func(string) {}) == nil
	}, conditionTimeout, 50*time.Millisecond)
}
