package applier

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// TestMain fixes the seed of the property tests, unless the command sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

// testKey returns a request key; keys increase with n.
func testKey(n int) string {
	id := ulid.ULID{}
	_ = id.SetTime(uint64(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()) + uint64(n))
	return id.String()
}

// sameShardModels holds models that hash to the same shard, so that all holders
// contend for one shard.
var sameShardModels = func() []string {
	var out []string
	for i := 0; len(out) < 3; i++ {
		if name := fmt.Sprintf("model-%d", i); ShardOf(name) == 7 {
			out = append(out, name)
		}
	}
	return out
}()

func upsert(objects ...*recordv1.ConfigObject) *recordv1.ConfigChange {
	return &recordv1.ConfigChange{Upserts: objects}
}

func contractObject(customer string, replicas uint32, bytes uint64) *recordv1.ConfigObject {
	return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{
		Customer: customer, Replicas: replicas, MemoryBytes: bytes,
	}}}
}

func modelObject(name, customer string, bytes uint64) *recordv1.ConfigObject {
	return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Model{Model: &recordv1.Model{
		Name: name, Customer: customer, MemoryBytes: bytes,
	}}}
}

func adapterObject(name, model string) *recordv1.ConfigObject {
	return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Adapter{Adapter: &recordv1.Adapter{Name: name, Model: model}}}
}

func upstreamObject(name, address string, bytes uint64, fencing bool) *recordv1.ConfigObject {
	return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Upstream{Upstream: &recordv1.Upstream{
		Name: name, Address: address, MemoryBytes: bytes, ChecksFencing: fencing,
		Kind: recordv1.UpstreamKind_UPSTREAM_KIND_ENGINE,
	}}}
}

func policyObject(adapterLoads uint32) *recordv1.ConfigObject {
	return &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Policy{Policy: &recordv1.Policy{AdapterLoadsInFlight: adapterLoads}}}
}

// session builds a log, applies it to a state and checks the invariants.
type session struct {
	state     State
	log       [][]byte
	written   []*recordv1.Record
	counted   map[string]int
	ids       int
	claims    map[uint32]Position // last claim that counted, by shard
	violation string              // first violated invariant
}

func newSession(disabled check) *session {
	s := &session{counted: make(map[string]int), claims: make(map[uint32]Position)}
	s.state.disabled = disabled
	s.state.Intents.Limit = 8
	return s
}

func (s *session) id() string {
	s.ids++
	return testKey(s.ids)
}

// write appends a batch, applies it and checks the invariants.
func (s *session) write(b *recordv1.Batch) {
	data, err := proto.Marshal(b)
	if err != nil {
		panic(err)
	}
	s.written = append(s.written, b.GetRecords()...)
	s.add(data)
}

func (s *session) add(data []byte) {
	replicas := s.state.replicas
	before := make(map[string]Replica, len(replicas))
	for k, v := range replicas {
		before[k] = v
	}
	events := s.state.Apply(uint64(len(s.log)), data)
	s.log = append(s.log, data)
	for _, e := range events {
		s.checkEvent(e)
	}
	if len(events) == 1 && events[0].Counted {
		s.checkLimits(events[0], before)
	}
	s.checkTotals()
}

func (s *session) failf(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %d: ", len(s.log)) + fmt.Sprintf(format, args...)
	}
}

func (s *session) checkEvent(e Event) {
	if !e.Counted {
		return
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(e.Record)
	if err != nil {
		panic(err)
	}
	s.counted[string(data)]++
	if s.counted[string(data)] > 1 {
		s.failf("record %v counted twice", e.Record)
	}
	if c := e.Record.GetClaim(); c != nil {
		if s.claims[c.GetShard()] != Position(c.GetSupersedes()) {
			s.failf("claim %v counted although claim %d is current", c, s.claims[c.GetShard()])
		}
		s.claims[c.GetShard()] = e.Position
	}
}

// checkLimits checks the memory freed and the limits after a record that counted.
func (s *session) checkLimits(e Event, before map[string]Replica) {
	for id, old := range before {
		if _, ok := s.state.Replica(id); ok {
			continue
		}
		sh := s.state.Shard(old.Shard)
		fencing := s.state.Config.Upstreams[old.Upstream].GetChecksFencing()
		o := e.Record.GetObservation()
		fencing = fencing && o.GetKind() != recordv1.ObservationKind_OBSERVATION_KIND_UPSTREAM_GONE
		asOf := o.GetAsOf()
		late := slices.ContainsFunc(sh.UnsettledHolders, func(h Holder) bool { return h.Claim >= old.Epoch })
		if !fencing && (late || sh.SettledAt > old.DecidedAt && asOf <= sh.SettledAt.Offset()) {
			s.failf("replica %s was freed while a late order could load it", id)
		}
	}
	d := e.Record.GetDecision()
	switch d.GetAction() {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD:
		u, m := s.state.Config.Upstreams[d.GetUpstream()], s.state.Config.Models[d.GetModel()]
		c, used := s.state.Config.Contracts[m.GetCustomer()], s.state.UsageOf(m.GetCustomer())
		if got := s.state.ReservedBytes(u.GetName()); got > u.GetMemoryBytes() {
			s.failf("%d bytes reserved on %v", got, u)
		}
		if used.Replicas > c.GetReplicas() || used.Bytes > c.GetMemoryBytes() {
			s.failf("usage %v exceeds contract %v", used, c)
		}
	case recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		if n := s.state.AdapterLoads(); n > s.state.adapterLimit() {
			s.failf("%d adapter loads in flight", n)
		}
	}
}

// checkTotals checks the running totals against the sums over all replicas.
func (s *session) checkTotals() {
	reserved, usage := make(map[string]uint64), make(map[string]Usage)
	adapters, fromStore, byModel := 0, 0, 0
	s.state.EachReplica(func(r Replica) bool {
		reserved[r.Address] += r.Bytes
		usage[r.Customer] = Usage{usage[r.Customer].Replicas + 1, usage[r.Customer].Bytes + r.Bytes}
		for _, p := range r.Adapters {
			if p == PhaseLoading {
				adapters++
			}
		}
		if r.Phase == PhaseLoading && r.FromStore {
			fromStore++
		}
		if !slices.Contains(s.state.ReplicaIDs(r.Model), r.ID) {
			s.failf("replica %s is not listed under its model", r.ID)
		}
		return true
	})
	for _, ids := range s.state.byModel {
		byModel += len(ids)
	}
	if byModel != len(s.state.replicas) || adapters != s.state.numAdapterLoads || fromStore != s.state.numStoreLoads {
		s.failf("totals differ from the replicas")
	}
	if fmt.Sprint(reserved) != fmt.Sprint(s.state.reservedBytes) && len(reserved)+len(s.state.reservedBytes) > 0 {
		s.failf("reserved %v, sum over replicas %v", s.state.reservedBytes, reserved)
	}
	if fmt.Sprint(usage) != fmt.Sprint(s.state.usage) && len(usage)+len(s.state.usage) > 0 {
		s.failf("usage %v, sum over replicas %v", s.state.usage, usage)
	}
	if len(s.state.Intents.byKey) != len(s.state.Intents.byAge) || len(s.state.Intents.byKey) > s.state.Intents.Limit {
		s.failf("intents exceed their limit")
	}
}

var (
	testWriters   = []string{"run-1", "run-2", "run-3"}
	testUpstreams = []string{"engine-1", "engine-2"}
	testAdapters  = []string{"adapter-1", "adapter-2", "adapter-3"}
	testCustomers = []string{"tolwerk", "thottam"}
)

// drawSession draws a log of concurrent writers with duplicates and invalid
// payloads.
func drawSession(t *rapid.T, disabled check) *session {
	s := newSession(disabled)
	s.write(&recordv1.Batch{Records: []*recordv1.Record{configRecord(s.id(), upsert(
		contractObject("tolwerk", 3, 60), contractObject("thottam", 2, 40), policyObject(1),
		modelObject(sameShardModels[0], "tolwerk", 10), modelObject(sameShardModels[1], "tolwerk", 20), modelObject(sameShardModels[2], "thottam", 15),
		adapterObject("adapter-1", sameShardModels[0]), adapterObject("adapter-2", sameShardModels[0]), adapterObject("adapter-3", sameShardModels[0]),
		upstreamObject("engine-1", "10.0.0.1:1", 40, false), upstreamObject("engine-2", "10.0.0.2:1", 40, true),
	))}})
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 19).Draw(t, "kind of entry") {
		case 0:
			s.add(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "invalid payload"))
		case 1, 2, 3:
			s.write(&recordv1.Batch{Writer: drawWriter(t), Records: []*recordv1.Record{s.drawDuplicate(t)}})
		case 4:
			s.add(rapid.SampledFrom(s.log).Draw(t, "duplicate batch"))
		case 5:
			w := drawWriter(t)
			s.write(&recordv1.Batch{Writer: w, Records: []*recordv1.Record{s.draw(t, w), s.draw(t, w)}})
		default:
			w := drawWriter(t)
			s.write(&recordv1.Batch{Writer: w, Version: rapid.SampledFrom([]uint32{0, 1, 1, 1, 2}).Draw(t, "version"), Records: []*recordv1.Record{s.draw(t, w)}})
		}
	}
	return s
}

// drawDuplicate draws a record that was already written, usually a recent one.
func (s *session) drawDuplicate(t *rapid.T) *recordv1.Record {
	from := 0
	if rapid.IntRange(0, 3).Draw(t, "any age") > 0 {
		from = max(0, len(s.written)-8)
	}
	return rapid.SampledFrom(s.written[from:]).Draw(t, "duplicate")
}

func drawWriter(t *rapid.T) string {
	return rapid.SampledFrom(testWriters).Draw(t, "writer")
}

func configRecord(id string, c *recordv1.ConfigChange) *recordv1.Record {
	return &recordv1.Record{Id: id, Kind: &recordv1.Record_ConfigChange{ConfigChange: c}}
}

// draw draws a record, with fields that often let it count.
func (s *session) draw(t *rapid.T, writer string) *recordv1.Record {
	r := &recordv1.Record{Id: s.id()}
	sh := s.state.Shard(7)
	epoch := uint64(sh.Holder.Claim)
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 && len(sh.UnsettledHolders) > 0 {
		epoch = uint64(sh.UnsettledHolders[0].Claim)
	}
	switch rapid.IntRange(0, 15).Draw(t, "kind") {
	case 0:
		r.Kind = &recordv1.Record_ConfigChange{ConfigChange: s.drawChange(t)}
	case 1:
		r.Kind = &recordv1.Record_Claim{Claim: &recordv1.Claim{Shard: 7, Supersedes: epoch, Instance: writer, Incarnation: writer}}
	case 3:
		r.Kind = &recordv1.Record_Release{Release: &recordv1.Release{Shard: 7, Claim: epoch}}
	case 4, 5:
		settle := &recordv1.Settle{Shard: 7, Ground: recordv1.SettleGround(rapid.IntRange(0, 3).Draw(t, "ground"))}
		if len(sh.UnsettledHolders) > 0 {
			settle.Claim = uint64(rapid.SampledFrom(sh.UnsettledHolders).Draw(t, "holder").Claim)
		}
		r.Kind = &recordv1.Record_Settle{Settle: settle}
	case 2, 6, 7, 8, 9:
		r.Kind = &recordv1.Record_Decision{Decision: s.drawDecision(t, epoch)}
	case 10, 11, 12:
		r.Kind = &recordv1.Record_Observation{Observation: s.drawObservation(t, epoch)}
	case 13:
		r.Kind = &recordv1.Record_Intent{Intent: &recordv1.Intent{
			Customer: rapid.SampledFrom(testCustomers).Draw(t, "customer"), Key: testKey(rapid.IntRange(0, 15).Draw(t, "key")), Incarnation: writer,
		}}
	case 14:
		r.Kind = &recordv1.Record_Outcome{Outcome: s.drawOutcome(t)}
	case 15:
		r.Kind = &recordv1.Record_Suspicion{Suspicion: &recordv1.Suspicion{
			Fingerprints: []uint64{rapid.Uint64Range(0, 3).Draw(t, "fingerprint")}, UpstreamIncarnation: writer,
			Cleared: rapid.IntRange(0, 3).Draw(t, "cleared") == 0, UnixMs: int64(s.ids),
		}}
	}
	return r
}

func (s *session) drawChange(t *rapid.T) *recordv1.ConfigChange {
	c := &recordv1.ConfigChange{BaseVersion: s.state.Config.Version}
	switch rapid.IntRange(0, 6).Draw(t, "change") {
	case 0:
		c.Deletes = []*recordv1.ConfigKey{{Kind: recordv1.ConfigKind_CONFIG_KIND_UPSTREAM, Name: rapid.SampledFrom(testUpstreams).Draw(t, "upstream")}}
	case 1:
		c.Deletes = []*recordv1.ConfigKey{{Kind: recordv1.ConfigKind_CONFIG_KIND_MODEL, Name: rapid.SampledFrom(sameShardModels).Draw(t, "model")}}
	case 2:
		c.Upserts = []*recordv1.ConfigObject{upstreamObject(rapid.SampledFrom([]string{"engine-1", "engine-3"}).Draw(t, "upstream"), "10.0.0.1:1",
			rapid.Uint64Range(20, 60).Draw(t, "memory"), rapid.Bool().Draw(t, "fencing"))}
	case 3:
		c.Upserts = []*recordv1.ConfigObject{contractObject(rapid.SampledFrom(testCustomers).Draw(t, "customer"),
			rapid.Uint32Range(0, 4).Draw(t, "replicas"), rapid.Uint64Range(0, 80).Draw(t, "memory"))}
	case 4:
		c.Upserts = []*recordv1.ConfigObject{modelObject(rapid.SampledFrom(sameShardModels).Draw(t, "model"),
			rapid.SampledFrom(testCustomers).Draw(t, "customer"), rapid.Uint64Range(5, 25).Draw(t, "memory"))}
	case 5:
		c.BaseVersion = rapid.Uint64().Draw(t, "base")
		c.Deletes = []*recordv1.ConfigKey{{Kind: recordv1.ConfigKind_CONFIG_KIND_POLICY, Name: policyName}}
	case 6:
		c.Upserts = []*recordv1.ConfigObject{policyObject(rapid.Uint32Range(1, 3).Draw(t, "adapter loads")), upstreamObject("engine-2", "10.0.0.2:1", 40, true)}
	}
	return c
}

func (s *session) drawReplica(t *rapid.T) Replica {
	var ids []string
	s.state.EachReplica(func(r Replica) bool { ids = append(ids, r.ID); return true })
	if len(ids) == 0 {
		return Replica{ID: "none", Model: sameShardModels[0]}
	}
	slices.Sort(ids)
	r, _ := s.state.Replica(rapid.SampledFrom(ids).Draw(t, "replica"))
	return r
}

func (s *session) drawDecision(t *rapid.T, epoch uint64) *recordv1.Decision {
	d := &recordv1.Decision{Shard: 7, Epoch: epoch}
	if rapid.Bool().Draw(t, "load") {
		d.Action = recordv1.DecisionAction_DECISION_ACTION_LOAD
		d.Replica = fmt.Sprintf("r-%d", s.ids)
		d.Model = rapid.SampledFrom(sameShardModels).Draw(t, "model")
		d.Upstream = rapid.SampledFrom(testUpstreams).Draw(t, "upstream")
		d.UpstreamIncarnation = "i-1"
		d.MemoryBytes = rapid.Uint64Range(10, 30).Draw(t, "bytes")
		d.Source = recordv1.LoadSource(rapid.IntRange(0, 4).Draw(t, "source"))
		return d
	}
	r := s.drawReplica(t)
	d.Replica, d.Model = r.ID, r.Model
	d.Action = recordv1.DecisionAction(rapid.SampledFrom([]int{2, 3, 3, 3, 4}).Draw(t, "action"))
	d.Adapter = rapid.SampledFrom(testAdapters).Draw(t, "adapter")
	return d
}

func (s *session) drawObservation(t *rapid.T, epoch uint64) *recordv1.Observation {
	r := s.drawReplica(t)
	o := &recordv1.Observation{
		Shard: 7, Epoch: epoch, Replica: r.ID, UpstreamIncarnation: rapid.SampledFrom([]string{"i-1", "i-1", "i-1", "i-2"}).Draw(t, "incarnation"),
		Kind: recordv1.ObservationKind(rapid.IntRange(0, 5).Draw(t, "kind")),
		AsOf: s.state.NextOffset - min(s.state.NextOffset, rapid.Uint64Range(0, 9).Draw(t, "lag")),
	}
	if rapid.IntRange(0, 2).Draw(t, "of adapter") == 0 {
		o.Adapter = rapid.SampledFrom(testAdapters).Draw(t, "adapter")
	} else if r.Phase == PhaseLoading && rapid.Bool().Draw(t, "loaded") {
		o.Kind = recordv1.ObservationKind_OBSERVATION_KIND_LOADED
	}
	return o
}

func (s *session) drawOutcome(t *rapid.T) *recordv1.Outcome {
	o := &recordv1.Outcome{Kind: recordv1.OutcomeKind(rapid.IntRange(0, 4).Draw(t, "outcome")), Answer: []byte("answer")}
	if len(s.state.Intents.byAge) == 0 {
		return o
	}
	k := rapid.SampledFrom(slices.SortedFunc(slices.Values(s.state.Intents.byAge), IntentKey.compare)).Draw(t, "intent")
	o.Customer, o.Key, o.IntentId = k.Customer, k.Key, s.state.Intents.byKey[k].RecordID
	return o
}
