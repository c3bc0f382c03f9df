package test

import (
	"context"
	"net/http"
	"sync"
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

// retainedEntries is the number of entries that the log keeps in these tests.
const retainedEntries = "80"

// publishContract publishes a contract with the number of replicas and returns
// the new version of the configuration.
func (f *fleet) publishContract(e *entryProcess, replicas uint32) uint64 {
	f.t.Helper()
	var version uint64
	require.Eventually(f.t, func() bool {
		resp, err := operatorv1connect.NewOperatorCommandsClient(http.DefaultClient, "http://"+e.operator).
			Publish(context.Background(), connect.NewRequest(&operatorv1.PublishRequest{
				BaseVersion: e.configVersion(), Operator: "test",
				Upserts: []*recordv1.ConfigObject{{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{
					Customer: "thottam", Replicas: replicas, WaitingTimeMs: 1000, Concurrency: 1,
				}}}},
			}))
		if err != nil || resp.Msg.GetResult() != operatorv1.PublishResult_PUBLISH_RESULT_ACCEPTED {
			return false
		}
		version = resp.Msg.GetVersion()
		return true
	}, conditionTimeout, 10*time.Millisecond)
	return version
}

// TestConfigurationSurvivesLogRetention kills all entry instances at once, after
// the log has dropped the records of the configuration. The restarted instances
// must have the same version in force.
func TestConfigurationSurvivesLogRetention(t *testing.T) {
	f := newFleet(t, "--retain", retainedEntries)
	names := []string{"entry-1", "entry-2", "entry-3"}
	for _, name := range names {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	var want uint64
	for i := range uint32(150) {
		want = f.publishContract(f.entries[0], i+1)
	}
	for _, e := range f.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range f.entries {
		<-e.done
	}
	for _, name := range names {
		f.startEntry(name)
	}
	for _, e := range f.entries {
		require.Eventually(t, func() bool { return e.configVersion() >= want }, conditionTimeout, 10*time.Millisecond)
		require.Equal(t, want, e.configVersion())
	}
	f.publishContract(f.entries[1], 1)
}

// TestEntryStartsDuringLogOutage checks that an entry instance that starts during
// an outage of the log serves a loaded model from a peer's state, and refuses
// non-idempotent requests as not run, since these need an append.
func TestEntryStartsDuringLogOutage(t *testing.T) {
	f := newSmallFleet(t)
	ctx := context.Background()
	generate := &callerv1.GenerateRequest{Model: "levy-status", Prompt: "p", MaxTokens: 3}
	require.NoError(t, f.client("tolwerk").Generate(ctx, generate, func(string) {}))
	want := f.entries[0].configVersion()
	f.setFaults("log", faulter.Faults{Outage: true})

	e := f.startEntry("entry-4")
	require.Eventually(t, func() bool { return e.configVersion() == want }, conditionTimeout, 10*time.Millisecond)
	c := f.client("tolwerk")
	c.Entries = []string{e.caller}
	require.Eventually(t, func() bool {
		return c.Generate(ctx, generate, func(string) {}) == nil
	}, conditionTimeout, 100*time.Millisecond)
	_, err := c.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: ulid.Make().String(), DeadlineMs: 2000})
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Ran)

	f.setFaults("log", faulter.Faults{})
	require.Eventually(t, func() bool {
		_, err := c.Call(ctx, &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: ulid.Make().String(), DeadlineMs: 2000})
		return err == nil
	}, conditionTimeout, 100*time.Millisecond)
}

// TestConcurrentPublishesHaveOneWinner publishes concurrently through different
// instances, also while the log loses replies. Exactly one publish must be
// accepted, and the others must report that they lost the race. An invalid change
// must be refused and leave the configuration unchanged.
func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	f := newFleet(t)
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	publish := func(e *entryProcess, base uint64, c *recordv1.Contract) *operatorv1.PublishResponse {
		resp, err := operatorv1connect.NewOperatorCommandsClient(http.DefaultClient, "http://"+e.operator).
			Publish(context.Background(), connect.NewRequest(&operatorv1.PublishRequest{
				BaseVersion: base, Upserts: []*recordv1.ConfigObject{{Object: &recordv1.ConfigObject_Contract{Contract: c}}},
			}))
		require.NoError(t, err)
		return resp.Msg
	}
	for round := range uint32(10) {
		base := f.entries[0].configVersion()
		f.setFaults("log", faulter.Faults{NumRepliesToLose: int(round % 3)})
		results := make([]*operatorv1.PublishResponse, 9)
		var operators sync.WaitGroup
		for i := range results {
			operators.Go(func() {
				results[i] = publish(f.entries[i%3], base, &recordv1.Contract{
					Customer: "thottam", WaitingTimeMs: 1000, Concurrency: 1, Replicas: 1 + round*9 + uint32(i),
				})
			})
		}
		operators.Wait()
		accepted := 0
		for _, r := range results {
			if r.GetResult() == operatorv1.PublishResult_PUBLISH_RESULT_ACCEPTED {
				accepted++
				continue
			}
			require.Equal(t, operatorv1.PublishResult_PUBLISH_RESULT_LOST_RACE, r.GetResult(), r.GetDetail())
		}
		require.Equal(t, 1, accepted)
	}
	want := f.entries[0].configVersion()
	bad := publish(f.entries[0], want, &recordv1.Contract{Customer: "thottam"})
	require.Equal(t, operatorv1.PublishResult_PUBLISH_RESULT_INVALID, bad.GetResult())
	require.Contains(t, bad.GetDetail(), "contract thottam: needs a waiting-time above zero")
	require.Equal(t, want, f.entries[0].configVersion())
}
