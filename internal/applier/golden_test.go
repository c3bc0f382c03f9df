package applier

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

var update = flag.Bool("update", false, "write the golden files")

var positionRef = regexp.MustCompile(`@(\d+)`)

// TestGoldenSessions applies the scripts in testdata/sessions and compares the
// results of all records and the final state with golden files. Each line of a
// script is a batch of one record: the writer, a colon, and the record as
// protobuf text. @n stands for the position of the n-th record. Lines that
// begin with # are comments.
func TestGoldenSessions(t *testing.T) {
	scripts, err := filepath.Glob("testdata/sessions/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			got := runScript(t, script)
			golden := strings.TrimSuffix(script, ".txt") + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}

func runScript(t *testing.T, script string) string {
	data, err := os.ReadFile(script)
	require.NoError(t, err)
	var s State
	var out strings.Builder
	n := 0
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		writer, text, _ := strings.Cut(line, ": ")
		text = positionRef.ReplaceAllStringFunc(text, func(ref string) string {
			i, _ := strconv.Atoi(ref[1:])
			return strconv.FormatUint(uint64(PositionOf(uint64(i), 0)), 10)
		})
		var r recordv1.Record
		require.NoError(t, prototext.Unmarshal([]byte(text), &r), line)
		payload, err := proto.Marshal(&recordv1.Batch{Version: 1, Writer: writer, Records: []*recordv1.Record{&r}})
		require.NoError(t, err)
		for _, e := range s.Apply(uint64(n), payload) {
			fmt.Fprintf(&out, "%d %s: %s\n", n, r.GetId(), resultText(e))
		}
		n++
	}
	out.WriteString(describeState(&s))
	return out.String()
}

func resultText(e Event) string {
	if e.Counted {
		return "counts"
	}
	return "does not count: " + e.Reason
}

// describeState returns the state as text, with positions as record numbers.
func describeState(s *State) string {
	var out strings.Builder
	m := s.toProto()
	at := func(p uint64) uint64 { return Position(p).Offset() }
	fmt.Fprintf(&out, "configuration of %d:", at(m.GetConfigVersion()))
	for _, o := range m.GetObjects() {
		fmt.Fprintf(&out, " %s", ObjectKey(o).GetName())
	}
	for _, sh := range m.GetShards() {
		fmt.Fprintf(&out, "\nshard %d: claim %d of %s, released %t, unsettled %d", sh.GetShard(), at(sh.GetCurrent().GetClaim()),
			sh.GetCurrent().GetIncarnation(), sh.GetReleased(), len(sh.GetUnsettled()))
	}
	for _, r := range m.GetReplicas() {
		fmt.Fprintf(&out, "\nreplica %s: %s of %s on %s, %d bytes", r.GetId(), Phase(r.GetPhase()), r.GetModel(), r.GetUpstream(), r.GetMemoryBytes())
		for _, a := range r.GetAdapters() {
			fmt.Fprintf(&out, ", %s %s", a.GetAdapter(), Phase(a.GetPhase()))
		}
	}
	for _, in := range m.GetIntents() {
		fmt.Fprintf(&out, "\nintent %s of %s: %s %q", in.GetKey(), in.GetCustomer(), in.GetOutcome(), in.GetAnswer())
	}
	for _, p := range m.GetSuspects() {
		fmt.Fprintf(&out, "\nsuspect %d: %d upstreams lost", p.GetFingerprint(), len(p.GetIncarnations()))
	}
	return out.String() + "\n"
}
