package test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// TestStopAnswersWhatOutlastsIt guards against a stop that closes connections under requests which it
// has accepted. Those that cannot end must be refused as not run while they have not been sent,
// and be answered as maybe run otherwise. A stream must end with an error.
func TestStopAnswersWhatOutlastsIt(t *testing.T) {
	f := newFleet(t)
	f.timing = "locate-keep = \"2s\"\nstop-after = \"9s\"\n"
	f.startEngine("taalmodellen-1", false, "--token-ms", "20")
	f.startService("slow-1", "slow", "--call-ms", "600000")
	f.startService("kernheffing-1", "kernheffing")
	f.startService("absent-1", "absent")
	e := f.startEntry("entry-1")
	f.publish(operatorsFile)
	f.procs["absent-1"].kill()
	ctx := context.Background()
	_, err := generate(ctx, f.client("tolwerk"), "warm", 1)
	require.NoError(t, err)
	commands := callerv1connect.NewCallerCommandsClient(http.DefaultClient, "http://"+e.caller)
	call := func(service, method string) (string, error) {
		key := ulid.Make().String()
		_, err := commands.Call(ctx, connect.NewRequest(&callerv1.CallRequest{Customer: "tolwerk", Service: service, Method: method, Key: key}))
		return key, err
	}
	for range 10 { // the duration is then known
		_, err := call("kernheffing", "read")
		require.NoError(t, err)
	}

	running := make(map[string]error)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := func(name string, run func() error) {
		wg.Go(func() {
			err := run()
			mu.Lock()
			defer mu.Unlock()
			running[name] = err
		})
	}
	for name, method := range map[string]string{"call": "read", "call at most once": "debit"} {
		start(name, func() error { _, err := call("slow", method); return err })
	}
	start("waiting call", func() error { _, err := call("absent", "read"); return err })
	var numTokens atomic.Int32
	start("stream", func() error {
		stream, err := commands.Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{Customer: "tolwerk", Model: "levy-status", Prompt: "p", MaxTokens: 100_000}))
		if err != nil {
			return err
		}
		defer stream.Close()
		for stream.Receive() {
			numTokens.Add(1)
		}
		return stream.Err()
	})
	peer := peerv1.NewPeerQueriesProtobufClient("http://"+e.peer, http.DefaultClient)
	status := func() *peerv1.StatusResponse {
		st, err := peer.Status(ctx, &peerv1.StatusRequest{})
		require.NoError(t, err)
		return st
	}
	require.Eventually(t, func() bool {
		return len(f.runCounts("slow-1")) == 2 && numTokens.Load() > 2 && status().GetQueued() == 1
	}, conditionTimeout, 20*time.Millisecond)

	e.signal(syscall.SIGTERM)
	require.Eventually(t, func() bool { return status().GetLeaving() }, conditionTimeout, 5*time.Millisecond)
	key, err := call("slow", "read")
	requireStopping(t, verdict.NotRun, err, "a call that cannot end")
	require.NotContains(t, f.runCounts("slow-1"), key)
	_, err = call("kernheffing", "read")
	require.NoError(t, err, "a call that can end")
	wg.Wait()
	<-e.done
	require.Zero(t, e.cmd.ProcessState.ExitCode())
	requireStopping(t, verdict.NotRun, running["waiting call"], "waiting call")
	requireStopping(t, verdict.MayHaveRun, running["call"], "call")
	requireStopping(t, verdict.MayHaveRun, running["call at most once"], "call at most once")
	require.True(t, connect.IsWireError(running["stream"]), "the stream must end with an error of the instance: %v", running["stream"])
	require.False(t, verdict.IsRefusal(running["stream"]), "callers resume a stream that breaks off, and not one that is refused: %v", running["stream"])
}

func requireStopping(t *testing.T, ran verdict.Ran, err error, name string) {
	t.Helper()
	require.True(t, verdict.IsRefusal(err), "%s was not answered: %v", name, err)
	r := verdict.FromConnect(err)
	require.Equal(t, verdict.ReasonStopping, r.Reason, "%s: %v", name, r)
	require.Equal(t, ran, r.Ran, "%s: %v", name, r)
}

// TestStreamOfAStoppingEntryResumes stops the entry instance of a stream that outlasts the stop. The
// stream must resume at its next token through another instance.
func TestStreamOfAStoppingEntryResumes(t *testing.T) {
	f := newFleet(t)
	f.timing = "locate-keep = \"500ms\"\nstop-after = \"2s\"\n"
	f.startEngine("taalmodellen-1", false, "--token-ms", "20")
	for _, name := range []string{"entry-1", "entry-2"} {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	ctx := context.Background()
	c := f.client("tolwerk")
	_, err := generate(ctx, c, "warm", 1)
	require.NoError(t, err)
	addresses, err := c.Locate(ctx, "levy-status")
	require.NoError(t, err)
	var tokens []string
	err = c.Generate(ctx, &callerv1.GenerateRequest{Model: "levy-status", Prompt: "long", MaxTokens: 200, DeadlineMs: 5000}, func(tok string) {
		tokens = append(tokens, tok)
		if len(tokens) == 5 {
			for _, e := range f.entries {
				if e.caller == addresses[0] {
					e.signal(syscall.SIGTERM)
				}
			}
		}
	})
	require.NoError(t, err)
	require.Equal(t, expectedAnswer("long", 200), strings.Join(tokens, " "))
}
