package prefixer

import (
	"testing"

	"github.com/stretchr/testify/require"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

func report(incarnation string, events ...*upstreamv1.CacheEvent) *upstreamv1.ReportResponse {
	return &upstreamv1.ReportResponse{Incarnation: incarnation, CacheEvents: events}
}

func event(seq, prefix uint64, dropped bool) *upstreamv1.CacheEvent {
	return &upstreamv1.CacheEvent{Sequence: seq, Prefix: prefix, Dropped: dropped}
}

func TestObserve(t *testing.T) {
	for _, tc := range []struct {
		name    string
		reports []*upstreamv1.ReportResponse
		held    []uint64
		notHeld []uint64
	}{
		{"cached", []*upstreamv1.ReportResponse{report("a", event(1, 10, false))}, []uint64{10}, nil},
		{"dropped", []*upstreamv1.ReportResponse{report("a", event(1, 10, false), event(2, 10, true))}, nil, []uint64{10}},
		{"same events twice", []*upstreamv1.ReportResponse{
			report("a", event(1, 10, false), event(2, 10, true)), report("a", event(1, 10, false), event(2, 10, true)),
		}, nil, []uint64{10}},
		{"gap clears earlier prefixes", []*upstreamv1.ReportResponse{
			report("a", event(1, 10, false)), report("a", event(3, 30, false)),
		}, []uint64{30}, []uint64{10}},
		{"new incarnation starts empty", []*upstreamv1.ReportResponse{
			report("a", event(1, 10, false)), report("b"),
		}, nil, []uint64{10}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var m PrefixSet
			for _, r := range tc.reports {
				m.Observe(r)
			}
			for _, p := range tc.held {
				require.True(t, m.Has(p))
			}
			for _, p := range tc.notHeld {
				require.False(t, m.Has(p))
			}
		})
	}
}

func TestNumberOfPrefixesIsBounded(t *testing.T) {
	var m PrefixSet
	for p := range uint64(2 * MaxPrefixes) {
		m.Add(p)
	}
	require.Equal(t, MaxPrefixes, m.Len())
	require.True(t, m.Has(2*MaxPrefixes-1))
}

func TestHashDependsOnThePrefixOnly(t *testing.T) {
	long := make([]byte, 2*prefixBytes)
	other := append([]byte(nil), long...)
	other[len(other)-1] = 'x'
	require.Equal(t, Hash("m", "a", string(long)), Hash("m", "a", string(other)))
	require.NotEqual(t, Hash("m", "a", "p"), Hash("m", "b", "p"))
	require.NotEqual(t, Hash("m", "ab", ""), Hash("ma", "b", ""))
}
