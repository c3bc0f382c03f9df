package burner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	now = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)
	key = Key{"roadside", "urgent", AnsweredInTime}
)

func add(b *Burner, at time.Time, good, bad int) {
	for range good {
		b.Add(at, key, "")
	}
	for range bad {
		b.Add(at, key, "deadline")
	}
}

func TestSnapshotCountsByWindow(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want [4]uint64 // bad events in each window
	}{
		{"now", 0, [4]uint64{7, 7, 7, 7}},
		{"four minutes", 4 * time.Minute, [4]uint64{7, 7, 7, 7}},
		{"half an hour", 30 * time.Minute, [4]uint64{0, 7, 7, 7}},
		{"two hours", 2 * time.Hour, [4]uint64{0, 0, 7, 7}},
		{"two days", 48 * time.Hour, [4]uint64{0, 0, 0, 7}},
		{"four days", 96 * time.Hour, [4]uint64{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Burner
			add(&b, now.Add(-tt.age), 3, 7)
			for i, c := range b.Snapshot(now).Series[key] {
				require.Equal(t, tt.want[i], c.Bad, Windows[i])
			}
		})
	}
}

// TestReportSumsInstances checks that a report over several instances equals that
// of one instance that counted all events.
func TestReportSumsInstances(t *testing.T) {
	var all Burner
	burners := make([]Burner, 3)
	for i := range 300 {
		at := now.Add(-time.Duration(i) * 13 * time.Minute)
		add(&all, at, i%5, i%3)
		add(&burners[i%3], at, i%5, i%3)
	}
	var snaps []Snapshot
	for i := range burners {
		snaps = append(snaps, burners[i].Snapshot(now))
	}
	require.Equal(t, NewReport([]Snapshot{all.Snapshot(now)}, nil).Rows, NewReport(snaps, nil).Rows)
}

func TestAlerts(t *testing.T) {
	tests := []struct {
		name  string
		fill  func(b *Burner)
		alert string
		left  float64
	}{
		{"good", func(b *Burner) { add(b, now, 1000, 0) }, "", 1},
		{"within the budget", func(b *Burner) { add(b, now, 9999, 1) }, "", 0.9},
		{"fast", func(b *Burner) { add(b, now, 900, 100) }, "fast", -99},
		{"exceeded, but not now", func(b *Burner) { add(b, now.Add(-30*time.Minute), 9970, 30) }, "slow", -2},
		{"exceeded long ago", func(b *Burner) { add(b, now.Add(-48*time.Hour), 998, 2); add(b, now, 100, 0) }, "", 1 - 2/1100.0/0.001},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Burner
			tt.fill(&b)
			row := NewReport([]Snapshot{b.Snapshot(now)}, nil).Rows[0]
			require.Equal(t, tt.alert, row.Alert)
			require.InDelta(t, tt.left, row.BudgetLeft, 1e-6)
		})
	}
}

// TestReportStatesMissingData checks that a short coverage, an unreachable
// instance and dropped events each make the report incomplete.
func TestReportStatesMissingData(t *testing.T) {
	complete := Snapshot{Instance: "entry-1", CountedFor: Period}
	short, dropped := complete, complete
	short.CountedFor = time.Hour
	dropped.Dropped = 3
	tests := []struct {
		name        string
		snap        Snapshot
		unreachable []UnreachableInstance
		complete    bool
		text        string
	}{
		{"complete", complete, nil, true, "entry-1 remembers 72.0 h of 72 h"},
		{"short coverage", short, nil, false, "entry-1 remembers 1.0 h of 72 h"},
		{"unreachable", complete, []UnreachableInstance{{"127.0.0.1:1", "refused"}}, false, "not asked: 127.0.0.1:1 (refused)"},
		{"dropped", dropped, nil, false, "3 events of further series were not counted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewReport([]Snapshot{tt.snap}, tt.unreachable)
			require.Equal(t, tt.complete, r.IsComplete)
			var b bytes.Buffer
			require.NoError(t, r.WriteText(&b))
			require.Contains(t, b.String(), tt.text)
			require.Equal(t, !tt.complete, bytes.Contains(b.Bytes(), []byte("not whole")))
		})
	}
}

func TestSeriesAreBounded(t *testing.T) {
	var b Burner
	for i := range maxSeries + 5 {
		b.Add(now, Key{Customer: fmt.Sprint(i)}, "")
	}
	s := b.Snapshot(now)
	require.Len(t, s.Series, maxSeries)
	require.Equal(t, uint64(5), s.Dropped)
}

func TestReportFormats(t *testing.T) {
	var b Burner
	add(&b, now, 10, 2)
	r := NewReport([]Snapshot{b.Snapshot(now)}, nil)
	var svg bytes.Buffer
	require.NoError(t, r.WriteSVG(&svg))
	require.Contains(t, svg.String(), "<svg")
	data, err := json.Marshal(r)
	require.NoError(t, err)
	require.Contains(t, string(data), `"budget-left"`)
	require.NoError(t, Report{}.WriteSVG(&svg))
}

func TestMessageRoundTrip(t *testing.T) {
	var b Burner
	b.Start(now.Add(-time.Hour))
	add(&b, now, 10, 2)
	add(&b, now.Add(-30*time.Minute), 5, 1)
	s := b.Snapshot(now)
	require.Equal(t, NewReport([]Snapshot{s}, nil), NewReport([]Snapshot{FromMessage(s.Message())}, nil))
}
