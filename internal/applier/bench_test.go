package applier

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// stateSize is the number of objects in a state, by kind.
type stateSize struct {
	replicas, models, adapters, contracts, upstreams, intents int
}

// benchSizes are today's larger deployment, one with about four times its models
// and contracts, and the size to design for.
var benchSizes = []stateSize{
	{replicas: 23, models: 55, adapters: 115, contracts: 6, upstreams: 23, intents: 1000},
	{replicas: 1000, models: 240, adapters: 1000, contracts: 24, upstreams: 400, intents: 10_000},
	{replicas: 10_000, models: 240, adapters: 3300, contracts: 100, upstreams: 1600, intents: 10_000},
}

func (n stateSize) String() string {
	return fmt.Sprintf("replicas=%d/models=%d/adapters=%d/upstreams=%d/intents=%d", n.replicas, n.models, n.adapters, n.upstreams, n.intents)
}

// buildLog returns a log, one record per batch, that results in a state of size n.
func buildLog(tb testing.TB, n stateSize) [][]byte {
	var out [][]byte
	ids := 0
	add := func(r *recordv1.Record) {
		ids++
		r.Id = testKey(ids)
		data, err := proto.Marshal(&recordv1.Batch{Version: 1, Writer: testKey(0), Records: []*recordv1.Record{r}})
		require.NoError(tb, err)
		out = append(out, data)
	}
	change := &recordv1.ConfigChange{}
	for i := range n.contracts {
		change.Upserts = append(change.Upserts, contractObject(fmt.Sprintf("customer-%d", i), 1<<30, 1<<60))
	}
	for i := range n.models {
		change.Upserts = append(change.Upserts, modelObject(fmt.Sprintf("levy-model-%d", i), fmt.Sprintf("customer-%d", i%max(1, n.contracts)), 1<<30))
	}
	for i := range n.adapters {
		change.Upserts = append(change.Upserts, adapterObject(fmt.Sprintf("levy-adapter-%d", i), fmt.Sprintf("levy-model-%d", i%max(1, n.models))))
	}
	for i := range n.upstreams {
		change.Upserts = append(change.Upserts, upstreamObject(fmt.Sprintf("taalmodellen-%d", i), fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), 1<<40, false))
	}
	add(&recordv1.Record{Kind: &recordv1.Record_ConfigChange{ConfigChange: change}})
	epochs := make(map[uint32]uint64)
	for id := range uint32(ShardCount) {
		epochs[id] = uint64(PositionOf(uint64(len(out)), 0))
		add(&recordv1.Record{Kind: &recordv1.Record_Claim{Claim: &recordv1.Claim{Shard: id, Instance: "entry-1", Incarnation: testKey(0)}}})
	}
	for i := range n.replicas {
		model := fmt.Sprintf("levy-model-%d", i%n.models)
		d := &recordv1.Decision{
			Shard: ShardOf(model), Epoch: epochs[ShardOf(model)], Action: recordv1.DecisionAction_DECISION_ACTION_LOAD,
			Replica: "r-" + testKey(i), Model: model, Upstream: fmt.Sprintf("taalmodellen-%d", i%n.upstreams),
			UpstreamIncarnation: testKey(1), MemoryBytes: 1 << 30, Reason: "requests wait and no replica is loaded",
		}
		add(&recordv1.Record{Kind: &recordv1.Record_Decision{Decision: d}})
		add(&recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
			Shard: d.GetShard(), Epoch: d.GetEpoch(), Kind: recordv1.ObservationKind_OBSERVATION_KIND_LOADED,
			Replica: d.GetReplica(), UpstreamIncarnation: testKey(1),
		}}})
	}
	for i := range n.intents {
		add(&recordv1.Record{Kind: &recordv1.Record_Intent{Intent: &recordv1.Intent{
			Customer: "customer-0", Key: testKey(i), Instance: "entry-1", Incarnation: testKey(0), Upstream: "kernheffing-1", Method: "debit",
		}}})
		add(&recordv1.Record{Kind: &recordv1.Record_Outcome{Outcome: &recordv1.Outcome{
			Customer: "customer-0", Key: testKey(i), IntentId: testKey(ids), Kind: recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED, Answer: []byte("booked"),
		}}})
	}
	return out
}

func applyAll(log [][]byte) *State {
	s := new(State)
	for i, data := range log {
		s.Apply(uint64(i), data)
	}
	return s
}

func BenchmarkApply(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(n.String(), func(b *testing.B) {
			log := buildLog(b, n)
			var s *State
			for b.Loop() {
				s = applyAll(log)
			}
			require.Equal(b, s.Stats.Records, s.Stats.Counted)
			b.ReportMetric(float64(b.N)*float64(len(log))/b.Elapsed().Seconds(), "records/s")
		})
	}
}

func BenchmarkMarshal(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(n.String(), func(b *testing.B) {
			s := applyAll(buildLog(b, n))
			bytes := 0
			for b.Loop() {
				data, err := s.Marshal()
				require.NoError(b, err)
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "checkpoint-bytes")
		})
	}
}

// measureState returns the size in bytes of a state in the heap and encoded.
func measureState(b *testing.B, n stateSize) (heap, marshalled int) {
	log := buildLog(b, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := applyAll(log)
	runtime.GC()
	runtime.ReadMemStats(&after)
	data, err := s.Marshal()
	require.NoError(b, err)
	runtime.KeepAlive(log)
	return int(after.HeapAlloc) - int(before.HeapAlloc), len(data)
}

// BenchmarkStateBytes reports the bytes that one more object of each kind adds.
func BenchmarkStateBytes(b *testing.B) {
	base := stateSize{replicas: 0, models: 100, adapters: 0, contracts: 10, upstreams: 100}
	for name, add := range map[string]func(*stateSize, int){
		"replica": func(s *stateSize, k int) { s.replicas = k }, "model": func(s *stateSize, k int) { s.models += k },
		"adapter": func(s *stateSize, k int) { s.adapters = k }, "contract": func(s *stateSize, k int) { s.contracts += k },
		"upstream": func(s *stateSize, k int) { s.upstreams += k }, "intent": func(s *stateSize, k int) { s.intents = k },
	} {
		for _, k := range []int{1000, 3000, 10_000} {
			b.Run(fmt.Sprintf("%s=%d", name, k), func(b *testing.B) {
				more := base
				add(&more, k)
				for b.Loop() {
					heap0, bytes0 := measureState(b, base)
					heap1, bytes1 := measureState(b, more)
					b.ReportMetric(float64(heap1-heap0)/float64(k), "heap-bytes/each")
					b.ReportMetric(float64(bytes1-bytes0)/float64(k), "checkpoint-bytes/each")
				}
			})
		}
	}
}
