package relayer

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

const eventStream = stamped + "Content-Type: text/event-stream\r\n"

// continuations are answers to a request for the events after the second one, with the events that
// may follow from them. None may follow from one that is not the rest of the stream.
var continuations = map[string]struct {
	head, body string // of a response with chunks
	want       string
}{
	"rest":                       {"200 OK\r\n" + eventStream, event(3), event(3)},
	"rest after a comment":       {"200 OK\r\n" + eventStream, ": wait\n\n" + event(3), ": wait\n\n" + event(3)},
	"rest in CRLF":               {"200 OK\r\n" + eventStream, "id: 3\r\ndata: 3\r\n\r\n", "id: 3\r\ndata: 3\r\n\r\n"},
	"rest with another field":    {"200 OK\r\n" + eventStream, "version: 2\n" + event(3), "version: 2\n" + event(3)},
	"no events":                  {"200 OK\r\n" + eventStream, "", ""},
	"no content":                 {"204 X\r\n" + stamped, "", ""},
	"empty, of no type":          {"200 OK\r\n" + stamped, "", ""},
	"error in JSON":              {"200 OK\r\n" + stamped + "Content-Type: application/json\r\n", "{\"error\":\n\n\"x\"}\n\n", ""},
	"error as an event":          {"200 OK\r\n" + eventStream, "data: oops\n\n", ""},
	"error text":                 {"200 OK\r\n" + eventStream, "oops\n\n", ""},
	"error text before the rest": {"200 OK\r\n" + eventStream, "oops\n\n" + event(3), ""},
	"head of an error":           {"200 OK\r\n" + eventStream, "HTTP/1.1 500 X\nContent-Length: 2\n\nno", ""},
	"rest of another type":       {"200 OK\r\n" + stamped + "Content-Type: text/plain\r\n", event(3), ""},
	"rest with another status":   {"201 OK\r\n" + eventStream, event(3), ""},
	"rest without a stamp":       {"200 OK\r\nContent-Type: text/event-stream\r\n", event(3), ""},
	"events from the start":      {"200 OK\r\n" + eventStream, event(1) + event(2) + event(3), ""},
	"last event again":           {"200 OK\r\n" + eventStream, event(2) + event(3), ""},
	"gap":                        {"200 OK\r\n" + eventStream, event(4), ""},
	"id that is no number":       {"200 OK\r\n" + eventStream, "id: x3\ndata: 3\n\n", ""},
	"client error":               {"400 X\r\n" + stamped, "oops\n\n", ""},
	"server error":               {"500 X\r\n" + stamped, "oops\n\n", ""},
	"server error, no stamp":     {"500 X\r\n", "oops\n\n", ""},
	"redirect":                   {"302 X\r\n" + stamped, "oops\n\n", ""},
}

func continuation(r *http.Request, head, body string) string {
	out := "HTTP/1.1 " + head + hID + ": " + r.Header.Get(hID) + "\r\n"
	if strings.HasPrefix(head, "204") {
		return out + "\r\n"
	}
	if body != "" {
		body = chunk(body)
	}
	return out + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"
}

// TestStreamGoesOnOnlyWithItsRest guards against clients that find an error, events twice or a gap in
// the middle of their stream, or one that ends as if it were complete, because the upstream or the
// peer that was to send the rest has sent something else.
func TestStreamGoesOnOnlyWithItsRest(t *testing.T) {
	for name, tt := range continuations {
		want := event(1) + event(2) + tt.want
		if tt.want == "" {
			want += "!unexpected EOF"
		}
		t.Run("upstream, "+name, func(t *testing.T) {
			respond := func(_ int, r *http.Request, _ string) (string, bool) {
				if r.Header.Get(hLastEventID) != "2" {
					return streamHead(r) + chunk(event(1)+event(2)+"id: 3\nda"), true
				}
				return continuation(r, tt.head, tt.body), false
			}
			g := newFixture(t, newUpstream(t, respond), newUpstream(t, respond))
			_, body := g.do(g.request("POST", "/resumable/", ""))
			require.Equal(t, want, body)
		})
		t.Run("peer, "+name, func(t *testing.T) {
			peer := newUpstream(t, answerWith(func(r *http.Request) string {
				require.Equal(t, "2", r.Header.Get(hLastEventID))
				return continuation(r, tt.head, tt.body)
			}))
			g := newInterruptedFixture(t, peer)
			_, body := g.do(g.request("POST", "/resumable/", ""))
			require.Equal(t, want, body)
		})
	}
}

// TestStreamThatAClientResumesBeginsWithItsRest guards against events twice, or a gap, where a client
// requests the rest of its stream. The request goes to another upstream then.
func TestStreamThatAClientResumesBeginsWithItsRest(t *testing.T) {
	for name, first := range map[string]string{"events from the start": event(1) + event(2), "no id": "data: 3\n\n"} {
		t.Run(name, func(t *testing.T) {
			numWrong := 0
			respond := func(_ int, r *http.Request, _ string) (string, bool) {
				if numWrong == 0 {
					numWrong++
					return streamHead(r) + chunk(first) + "0\r\n\r\n", false
				}
				return streamHead(r) + chunk(event(3)) + "0\r\n\r\n", false
			}
			g := newFixture(t, newUpstream(t, respond), newUpstream(t, respond))
			g.knowStreams()
			r := g.request("POST", "/resumable/", "")
			r.Header.Set(hLastEventID, "2")
			resp, body := g.do(r)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, event(3), body)
			require.Equal(t, 1, numWrong)
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against events twice: a stream whose events have no ids
// would begin anew at the next upstream.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	respond := func(_ int, r *http.Request, _ string) (string, bool) {
		return streamHead(r) + chunk("data: 1\n\n"), true
	}
	first, second := newUpstream(t, respond), newUpstream(t, respond)
	g := newFixture(t, first, second)
	_, body := g.do(g.request("POST", "/resumable/", ""))
	require.Equal(t, "data: 1\n\n!unexpected EOF", body)
	require.Equal(t, 1, first.count()+second.count())
}

// knowStreams makes the relayer know that all streams began at upstreams that state no version.
func (g *fixture) knowStreams() {
	g.Streams.Ask = func(context.Context, string, string) ([]streamtracker.Answer, int) { return nil, 0 }
	g.Streams.IsFresh, g.Streams.Log = func() bool { return true }, zap.NewNop()
	g.Streams.ReadCurrent = func(context.Context) error { return nil }
	g.Streams.History.Observe(map[string][]string{"s": {""}}, true, time.Now())
	g.Streams.History.Merge("s", allCovered, time.Now())
}

// TestFirstEvent guards against a continuation that is judged by another event than its first.
func TestFirstEvent(t *testing.T) {
	for in, want := range map[string]struct {
		id string
		ok bool
	}{
		"":                                    {},
		": comment\n\n":                       {},
		"\n\n: a\n\n\r\n":                     {},
		"id: 3\ndata: x\n\n":                  {"3", true},
		": a\n\nid:3\n\nid: 4\n\n":            {"3", true},
		"data: id: 7\n\nid: 4\n\n":            {"", true},
		"version: 2\r\nid: 4\r\ndata\r\n\r\n": {"4", true},
		"oops\n\nid: 4\n\n":                   {"", true},
	} {
		id, ok := firstEvent([]byte(in))
		require.Equal(t, want.ok, ok, "%q", in)
		require.Equal(t, want.id, id, "%q", in)
	}
}

// TestIDOfTheNextEvent guards against a gap that is not noticed although the stream has shown the step
// between its ids, and against a stream that is not resumed although it has shown none, or since the first event of the
// rest holds fewer tokens than those before.
func TestIDOfTheNextEvent(t *testing.T) {
	for name, tt := range map[string]struct {
		batches   []string
		good, bad []string
	}{
		"one event":             {[]string{event(1)}, []string{"2", "3"}, []string{"1", "0", "", "x"}},
		"one at a time":         {[]string{event(1), event(2), event(3)}, []string{"4"}, []string{"5", "3", "2"}},
		"at once":               {[]string{event(1) + event(2)}, []string{"3"}, []string{"4", "2"}},
		"in groups":             {[]string{event(1) + event(2), event(3) + event(4) + event(5)}, []string{"6"}, []string{"7"}},
		"steps of six":          {[]string{event(6), event(12) + event(18)}, []string{"24", "19"}, []string{"25", "30", "18", "17"}},
		"ids that count tokens": {[]string{event(1), event(6), event(11)}, []string{"12", "16"}, []string{"17", "21", "11", "6"}},
		"steps of any size":     {[]string{event(1), event(5), event(6)}, []string{"7", "9"}, []string{"6", "5"}},
		"ids that are no ints":  {[]string{"id: a\n\n", "id: b\n\n"}, []string{"c", "a"}, []string{"b", "", "7"}},
		"a comment between":     {[]string{event(1), ": x\n\n", event(2)}, []string{"3"}, []string{"4"}},
	} {
		t.Run(name, func(t *testing.T) {
			var ids eventIDs
			for _, b := range tt.batches {
				ids = ids.withEvents([]byte(b))
			}
			for _, id := range tt.good {
				require.NoError(t, ids.checkNext(id), id)
			}
			for _, id := range tt.bad {
				require.ErrorIs(t, ids.checkNext(id), errNoContinuation, id)
			}
		})
	}
}
