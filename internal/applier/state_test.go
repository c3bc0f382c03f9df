package applier

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// The invariants hold after every record and no record counts twice, for random
// logs of concurrent writers with duplicates, lost replies and invalid payloads.
func TestInvariantsHoldAfterEveryRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if s := drawSession(t, 0); s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// Each check is needed: with one disabled the same random sessions violate an
// invariant.
func TestDisabledChecksViolateInvariants(t *testing.T) {
	for name, disabled := range map[string]check{
		"duplicates": checkDuplicates, "memory": checkMemory, "contract": checkContract,
		"adapter loads": checkAdapterLoads, "claims": checkClaims, "late orders": checkLateOrders,
	} {
		t.Run(name, func(t *testing.T) {
			sessions := rapid.Custom(func(t *rapid.T) string { return drawSession(t, disabled).violation })
			for seed := range 2000 {
				if sessions.Example(seed) != "" {
					return
				}
			}
			t.Fatal("no session violated an invariant")
		})
	}
}

// A reader that starts from a marshalled state at any offset, and reads some
// entries again, has the same encoded state as one that read the whole log.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSession(t, 0)
		want, err := s.state.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(s.log)).Draw(t, "cut")
		var first State
		first.Intents.Limit = s.state.Intents.Limit
		for i, data := range s.log[:cut] {
			first.Apply(uint64(i), data)
		}
		data, err := first.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		second, err := Unmarshal(data)
		if err != nil {
			t.Fatal(err)
		}
		second.Intents.Limit = s.state.Intents.Limit
		for i := max(0, cut-rapid.IntRange(0, 5).Draw(t, "again")); i < len(s.log); i++ {
			second.Apply(uint64(i), s.log[i])
		}
		got, err := second.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != string(want) {
			t.Fatal("the states of the two readers differ")
		}
	})
}

// After any payload the state is valid, its stats add up and it can be encoded
// and decoded.
func FuzzApply(f *testing.F) {
	record := configRecord(testKey(1), upsert(contractObject("tolwerk", 1, 1)))
	seed, err := proto.Marshal(&recordv1.Batch{Version: 1, Writer: "run-1", Records: []*recordv1.Record{record, record, {}}})
	require.NoError(f, err)
	f.Add(seed)
	f.Add(seed[:len(seed)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newSession(0)
		for range 2 {
			s.add(data)
		}
		require.Empty(t, s.violation)
		st := s.state.Stats
		require.EqualValues(t, 2, st.Batches)
		require.LessOrEqual(t, st.Counted+st.Unknown, st.Records)
		bytes, err := s.state.Marshal()
		require.NoError(t, err)
		if s.state.IsHalted() {
			return
		}
		again, err := Unmarshal(bytes)
		require.NoError(t, err)
		same, err := again.Marshal()
		require.NoError(t, err)
		require.Equal(t, bytes, same)
	})
}

// Any data decodes to a usable state or to an error.
func FuzzUnmarshal(f *testing.F) {
	s := newSession(0)
	s.write(&recordv1.Batch{Records: []*recordv1.Record{configRecord(s.id(), upsert(contractObject("tolwerk", 1, 1)))}})
	data, err := s.state.Marshal()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Unmarshal(data)
		if err != nil {
			return
		}
		s.Apply(s.NextOffset, nil)
		_, err = s.Marshal()
		require.NoError(t, err)
	})
}

// Batches of a version that is not active do not count. A program that does not
// know the active version halts, so its state never differs from that of others.
func TestUnknownRulesVersionHaltsState(t *testing.T) {
	batch := func(version uint32, records ...*recordv1.Record) []byte {
		data, err := proto.Marshal(&recordv1.Batch{Version: version, Records: records})
		require.NoError(t, err)
		return data
	}
	activate := func(version uint32) *recordv1.Record {
		return &recordv1.Record{Id: testKey(int(version)), Kind: &recordv1.Record_Activate{Activate: &recordv1.Activate{Version: version}}}
	}
	change := configRecord(testKey(9), upsert(contractObject("tolwerk", 1, 1)))
	var s State
	s.Apply(0, batch(Version+1, change))
	require.EqualValues(t, 1, s.Stats.Inactive)
	require.False(t, s.Apply(1, batch(1, activate(Version+2)))[0].Counted)
	require.True(t, s.Apply(2, batch(1, activate(Version+1)))[0].Counted)
	require.True(t, s.IsHalted())
	next := s.NextOffset
	require.Empty(t, s.Apply(3, batch(1, change)))
	require.Equal(t, next, s.NextOffset)
	require.Empty(t, s.Config.Contracts)
}

// An entry that is not at the next offset changes nothing. With a gap the states
// of two readers could differ.
func TestApplyIgnoresOutOfOrderOffsets(t *testing.T) {
	var s State
	s.Apply(1, nil)
	require.Zero(t, s.NextOffset)
	s.Apply(0, nil)
	s.Apply(0, nil)
	require.EqualValues(t, 1, s.NextOffset)
}
