package test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// retained is how many entries the log keeps in these tests.
const retained = "80"

// change publishes one small change and returns its version.
func (f *fleet) change(e *entryProcess, replicas uint32) uint64 {
	f.t.Helper()
	var version uint64
	require.Eventually(f.t, func() bool {
		resp, err := operatorv1connect.NewOperatorCommandsClient(http.DefaultClient, "http://"+e.operator).
			Publish(context.Background(), connect.NewRequest(&operatorv1.PublishRequest{
				BaseVersion: e.version(), Operator: "test",
				Upserts: []*recordv1.ConfigObject{{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{
					Customer: "thottam", Replicas: replicas, WaitingTimeMs: 1000, Concurrency: 1,
				}}}},
			}))
		if err != nil || resp.Msg.GetResult() != operatorv1.PublishResult_PUBLISH_RESULT_ACCEPTED {
			return false
		}
		version = resp.Msg.GetVersion()
		return true
	}, eventually, 10*time.Millisecond)
	return version
}

// All entry instances are killed at once, long after retention has passed the
// records of the configuration. The new ones have the same version in force.
func TestConfigurationOutlivesRetention(t *testing.T) {
	f := newFleet(t, "--retain", retained)
	names := []string{"entry-1", "entry-2", "entry-3"}
	for _, name := range names {
		f.entry(name)
	}
	f.publish(operatorsFile)
	var want uint64
	for i := range uint32(150) {
		want = f.change(f.entries[0], i+1)
	}
	for _, e := range f.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range f.entries {
		<-e.done
	}
	for _, name := range names {
		f.entry(name)
	}
	for _, e := range f.entries {
		require.Eventually(t, func() bool { return e.version() >= want }, eventually, 10*time.Millisecond)
		require.Equal(t, want, e.version())
	}
	f.change(f.entries[1], 1)
}

// An entry instance that starts while the log is out serves a warm model from
// a peer's state, and refuses what needs agreement as not run.
func TestStartDuringLogOutage(t *testing.T) {
	f := newSmallFleet(t)
	ctx := context.Background()
	generate := &callerv1.GenerateRequest{Model: "levy-status", Prompt: "p", MaxTokens: 3}
	require.NoError(t, f.client("tolwerk").Generate(ctx, generate, func(string) {}))
	want := f.entries[0].version()
	f.faults("log", faulter.Faults{Outage: true})

	e := f.entry("entry-4")
	require.Eventually(t, func() bool { return e.version() == want }, eventually, 10*time.Millisecond)
	c := f.client("tolwerk")
	c.Entries = []string{e.caller}
	require.Eventually(t, func() bool {
		return c.Generate(ctx, generate, func(string) {}) == nil
	}, eventually, 100*time.Millisecond)
	_, err := c.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: ulid.Make().String(), DeadlineMs: 2000})
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(err).Ran)

	f.faults("log", faulter.Faults{})
	require.Eventually(t, func() bool {
		_, err := c.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: ulid.Make().String(), DeadlineMs: 2000})
		return err == nil
	}, eventually, 100*time.Millisecond)
}
