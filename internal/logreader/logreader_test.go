package logreader

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sampleLog = `
  1.0 edge-1 {"ts":"10:00:01","msg":"upstream found","instance":"edge-1","upstream":"u1"}
  1.5 edge-2 {"ts":"10:00:01.5","msg":"order","instance":"edge-2","upstream":"u1","operation":"load","model":"m1","adapter":"a1"}
  2.0 edge-1 {"ts":"10:00:02","msg":"attempt failed","instance":"edge-1","request":"r1","upstream":"u1","why":"upstream refused with status 503"}
  2.1 edge-1 {"ts":"10:00:02.1","msg":"request ended","instance":"edge-1","request":"r1","route":"r-a","outcome":"not-run","status":503,"model":"m1","adapter":"a1","upstream":"u1","waited":"1.8s","first":"0s","took":"1.8s","why":"no-upstream (not-run): model m1 adapter \"a1\": not loaded, ready in 100ms"}
  2.2 edge-1 {"ts":"10:00:02.2","msg":"request ended","instance":"edge-1","request":"r2","route":"r-a","outcome":"not-run","status":503,"model":"m2","waited":"1.8s","first":"0s","took":"1.8s","why":"no-upstream (not-run): model m2 adapter \"\": not loaded, ready in 6.4s"}
  2.3 edge-1 {"ts":"10:00:02.3","msg":"request ended","instance":"edge-1","request":"r3","route":"r-a","outcome":"served","waited":"0s","first":"20ms","took":"1s"}
  2.4 edge-1 {"ts":"10:00:02.4","msg":"request ended","instance":"edge-1","request":"r4","route":"r-a","outcome":"served","waited":"400ms","first":"20ms","took":"1s"}
  2.5 edge-1 {"ts":"10:00:02.5","msg":"request ended","instance":"edge-1","request":"r5","route":"r-b","outcome":"served","waited":"0s","first":"400ms","took":"1s"}
  2.6 edge-1 {"ts":"10:00:02.6","msg":"request ended","insta
  2.7 edge-1 {"ts":"10:00:02.7","msg":"platform lost","instance":"edge-1","topic":"configs"}
`

func readSample(t *testing.T) *Log {
	t.Helper()
	var l Log
	require.NoError(t, l.Read(strings.NewReader(sampleLog)))
	return &l
}

func TestSummary(t *testing.T) {
	d := readSample(t).Summarize(300 * time.Millisecond)
	require.Equal(t, Summary{
		Requests: 5, FailedAttempts: 1, SkippedLines: 1,
		Rows: []Row{
			{`not-run: no-upstream (not-run): model * adapter *: not loaded, ready in *`, "r-a", 2, "r1"},
			{"served", "r-a", 1, "r3"},
			{"served: slow to the first byte", "r-b", 1, "r5"},
			{"served: waited past the objective", "r-a", 1, "r4"},
		},
	}, d)
	var text, svg bytes.Buffer
	require.NoError(t, d.WriteText(&text))
	require.Contains(t, text.String(), "5         requests in all, 1 failed attempts, 1 lines not read")
	require.NoError(t, d.WriteSVG(&svg))
	require.Contains(t, svg.String(), "<svg")
}

func TestFindReturnsRelatedLines(t *testing.T) {
	trace := readSample(t).Find("r1", 10)
	require.Len(t, trace.RequestLines, 2)
	require.Len(t, trace.ContextLines, 2)
	require.Contains(t, trace.ContextLines[1], `"operation":"load"`)
	require.Len(t, readSample(t).Find("r1", 1).ContextLines, 1, "returns the newest line")
	require.Empty(t, readSample(t).Find("unknown", 10).RequestLines)
}

// TestObjectiveOfTheRouteTakesPrecedence checks that the objective of a route
// overrides that of the caller, and that ByCause sums the requests of all routes.
func TestObjectiveOfTheRouteTakesPrecedence(t *testing.T) {
	var l Log
	require.NoError(t, l.Read(strings.NewReader(`{"msg":"request ended","request":"a","route":"r1","outcome":"served","waited":"2s","first":"20ms","objective":"2.5s"}
{"msg":"request ended","request":"b","route":"r1","outcome":"served","waited":"3s","first":"20ms","objective":"2.5s"}
{"msg":"request ended","request":"c","route":"r2","outcome":"served","waited":"0s","first":"20ms","objective":"400ms","longest-pause":"250ms","most-pause":"200ms"}
{"msg":"request ended","request":"d","route":"r2","outcome":"served","waited":"1s","first":"20ms","objective":"400ms","longest-pause":"250ms","most-pause":"200ms"}
`)))
	require.Equal(t, []Row{
		{"served: waited past the objective", "", 2, "b"},
		{"served", "", 1, "a"},
		{"served: long pause", "", 1, "c"},
	}, l.Summarize(300*time.Millisecond).ByCause().Rows)
}

// Logs of several instances are read one after the other, so a request that went
// through two instances may have its newest line first.
func TestFindUsesNewestLineOfRequest(t *testing.T) {
	var l Log
	require.NoError(t, l.Read(strings.NewReader(`{"ts":"10:00:05","msg":"request ended","instance":"b","request":"r1","upstream":"u2"}
{"ts":"10:00:04","msg":"upstream ended","instance":"b","upstream":"u2"}
{"ts":"10:00:01","msg":"attempt failed","instance":"a","request":"r1","upstream":"u1"}
`)))
	require.Equal(t, []string{`{"ts":"10:00:04","msg":"upstream ended","instance":"b","upstream":"u2"}`}, l.Find("r1", 10).ContextLines)
}

// A request that is refused as a poison request is explained by the losses that other
// instances recorded, and by the attempts of earlier requests with its content.
func TestFindShowsLossesOfTheContent(t *testing.T) {
	var l Log
	require.NoError(t, l.Read(strings.NewReader(`
{"ts":"1","instance":"a","msg":"attempt failed","request":"r1","upstream":"u1","content":"c1"}
{"ts":"2","instance":"a","msg":"loss suspected","upstream":"u1","content":"c1"}
{"ts":"3","instance":"a","msg":"loss suspected","upstream":"u1","content":"c2"}
{"ts":"4","instance":"a","msg":"attempt failed","request":"r2","upstream":"u1","content":"c2"}
{"ts":"5","instance":"b","msg":"request ended","request":"r3","outcome":"not-run","content":"c1"}
{"ts":"6","instance":"a","msg":"loss withdrawn","upstream":"u1","content":"c1"}
`)))
	trace := l.Find("r3", 10)
	require.Len(t, trace.RequestLines, 1)
	require.Len(t, trace.ContextLines, 2)
	require.Contains(t, trace.ContextLines[0], `"request":"r1"`)
	require.Contains(t, trace.ContextLines[1], `"ts":"2"`)
}

func TestPoisonRequestsAreOneCause(t *testing.T) {
	a := Line{Outcome: "not-run", Reason: "poison (not-run): 3 upstreams ended; content a1b2"}
	b := Line{Outcome: "not-run", Reason: "poison (not-run): 4 upstreams ended; content 1a2b"}
	require.Equal(t, a.cause(0), b.cause(0))
}
