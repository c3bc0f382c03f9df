package checkpointer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	"github.com/primrosedrift/primrosedrift/internal/standin/logstore"
	"github.com/primrosedrift/primrosedrift/internal/tailer"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const waitTimeout = 30 * time.Second

// testInstance is the part of an entry instance that reads and writes the log.
type testInstance struct {
	keeper   keeper.Keeper
	recorder *recorder.Recorder
	tailer   *tailer.Tailer
	writer   *Writer
	stop     func()
}

func startInstance(t *testing.T, url string, peers ...*testInstance) *testInstance {
	r := &testInstance{}
	commands := platformv1connect.NewLogCommandsClient(http.DefaultClient, url)
	queries := platformv1connect.NewLogQueriesClient(http.DefaultClient, url)
	r.recorder = &recorder.Recorder{Append: func(ctx context.Context, payload []byte) error {
		_, err := commands.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{Payload: payload}))
		return err
	}}
	r.writer = &Writer{Keeper: &r.keeper, Submit: r.recorder.Submit}
	find := &Finder{Log: queries, Keeper: &r.keeper, OnReplace: func(uint64) { r.recorder.Reset() }, Peers: func(context.Context) [][]byte {
		var out [][]byte
		for _, p := range peers {
			data, _, err := Snapshot(&p.keeper)
			require.NoError(t, err)
			out = append(out, data)
		}
		return out
	}}
	r.tailer = &tailer.Tailer{Log: queries, Keeper: &r.keeper, FindState: find.Find}
	r.keeper.Subscribe(r.recorder.OnEvents)
	r.keeper.Subscribe(r.writer.OnEvents)
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { r.recorder.Run(ctx) })
	background.Go(func() { r.tailer.Run(ctx) })
	r.stop = sync.OnceFunc(func() { cancel(); background.Wait() })
	t.Cleanup(r.stop)
	return r
}

func (r *testInstance) version() (v uint64) {
	r.keeper.View(func(s *applier.State) { v = s.Config.Version })
	return v
}

func (r *testInstance) publish(t *testing.T, replicas uint32) uint64 {
	t.Helper()
	e, err := r.recorder.Submit(t.Context(), change(r.version(), replicas))
	require.NoError(t, err)
	require.True(t, e.Counted, e.Reason)
	return uint64(e.Position)
}

func change(base uint64, replicas uint32) *recordv1.Record {
	return &recordv1.Record{Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{
		BaseVersion: base, Upserts: []*recordv1.ConfigObject{{Object: &recordv1.ConfigObject_Contract{
			Contract: &recordv1.Contract{Customer: "tolwerk", Replicas: replicas},
		}}},
	}}}
}

func (r *testInstance) waitUntilCaughtUp(t *testing.T) {
	t.Helper()
	require.Eventually(t, r.tailer.HasCaughtUp, waitTimeout, 10*time.Millisecond)
}

func startLog(t *testing.T, retain int) (*logstore.Store, string) {
	log := &logstore.Store{MaxEntries: retain}
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	return log, srv.URL
}

// addEmptyEntries appends n entries that change no state.
func addEmptyEntries(log *logstore.Store, n int) {
	for range n {
		log.Add(nil)
	}
}

// After all instances have ended and retention has dropped the records, a new
// instance has the same version in force. Concurrent checkpoints and old ones
// that arrive late do no harm.
func TestNewInstanceStartsFromCheckpoint(t *testing.T) {
	log, url := startLog(t, 40)
	first, second := startInstance(t, url), startInstance(t, url)
	first.waitUntilCaughtUp(t)
	first.publish(t, 1)
	old, next, err := Snapshot(&first.keeper)
	require.NoError(t, err)
	want := first.publish(t, 2)
	var writers sync.WaitGroup
	for _, r := range []*testInstance{first, second} {
		writers.Go(func() {
			_, err := r.writer.Write(t.Context())
			require.NoError(t, err)
		})
	}
	writers.Wait()
	for _, c := range Split("old", next, old) {
		_, err := first.recorder.Submit(t.Context(), &recordv1.Record{Kind: &recordv1.Record_CheckpointChunk{CheckpointChunk: c}})
		require.NoError(t, err)
	}
	first.stop()
	second.stop()
	addEmptyEntries(log, 36)

	third := startInstance(t, url)
	third.waitUntilCaughtUp(t)
	require.Equal(t, want, third.version())
	addEmptyEntries(log, 36)
	third.waitUntilCaughtUp(t)
	require.Equal(t, want, third.version())
}

// Without a checkpoint within retention a new instance never reports that it has
// caught up.
func TestNewInstanceWithoutCheckpointNeverCatchesUp(t *testing.T) {
	log, url := startLog(t, 40)
	first := startInstance(t, url)
	first.waitUntilCaughtUp(t)
	first.publish(t, 1)
	first.stop()
	addEmptyEntries(log, 60)
	outOfRange := make(chan struct{}, 1)
	second := startInstance(t, url)
	second.stop()
	second.tailer.OnError = func(err error) {
		if connect.CodeOf(err) == connect.CodeOutOfRange {
			select {
			case outOfRange <- struct{}{}:
			default:
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { second.tailer.Run(ctx) })
	<-outOfRange
	cancel()
	run.Wait()
	require.False(t, second.tailer.HasCaughtUp())
	require.Zero(t, second.version())
}

// An instance that fell behind retention continues from a checkpoint.
func TestInstanceBehindRetentionUsesCheckpoint(t *testing.T) {
	log, url := startLog(t, 40)
	first, second := startInstance(t, url), startInstance(t, url)
	first.waitUntilCaughtUp(t)
	second.waitUntilCaughtUp(t)
	second.stop()
	want := first.publish(t, 1)
	for range 3 {
		next := first.keeper.NextOffset()
		addEmptyEntries(log, 20) // within retention for the running instance
		require.Eventually(t, func() bool { return first.keeper.NextOffset() >= next+20 }, waitTimeout, time.Millisecond)
	}
	_, err := first.writer.Write(t.Context())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { second.tailer.Run(ctx) })
	require.Eventually(t, func() bool { return second.version() == want && second.tailer.HasCaughtUp() }, waitTimeout, time.Millisecond)
	cancel()
	run.Wait()
}

// While the log is unavailable a new instance serves from the state of a peer, but
// does not report that it has caught up.
func TestNewInstanceUsesPeerStateDuringOutage(t *testing.T) {
	log, url := startLog(t, 0)
	first := startInstance(t, url)
	first.waitUntilCaughtUp(t)
	want := first.publish(t, 1)
	log.Faults.Set(faulter.Faults{Outage: true})
	second := startInstance(t, url, first)
	require.Eventually(t, second.tailer.HasState, waitTimeout, time.Millisecond)
	require.Equal(t, want, second.version())
	require.False(t, second.tailer.HasCaughtUp())
	log.Faults.Set(faulter.Faults{})
	second.waitUntilCaughtUp(t)
}

// Chunks that arrive in any order, twice and from several writers result in the
// newest complete checkpoint, and corrupted chunks in none.
func TestAssembler(t *testing.T) {
	var k keeper.Keeper
	rnd := rand.New(rand.NewPCG(1, 2))
	var chunks []*recordv1.CheckpointChunk
	for i := range 4 {
		rec := change(uint64(i), 1)
		rec.Id = fmt.Sprint(i)
		noise := make([]byte, 3*ChunkBytes)
		for j := range noise {
			noise[j] = byte('a' + rnd.IntN(26))
		}
		rec.GetConfigChange().GetUpserts()[0].GetContract().NeverTwice = []string{string(noise)}
		rec.GetConfigChange().BaseVersion = configVersion(&k)
		data, err := proto.Marshal(&recordv1.Batch{Records: []*recordv1.Record{rec}})
		require.NoError(t, err)
		k.Apply(uint64(i), data)
		snapshot, next, err := Snapshot(&k)
		require.NoError(t, err)
		list := Split(fmt.Sprint(i), next, snapshot)
		require.Greater(t, len(list), 1)
		chunks = append(chunks, list...)
		chunks = append(chunks, list[0])
	}
	for range 10 {
		rnd.Shuffle(len(chunks), func(i, j int) { chunks[i], chunks[j] = chunks[j], chunks[i] })
		var a Assembler
		for _, c := range chunks {
			a.Add(c)
		}
		require.EqualValues(t, 4, a.Newest.NextOffset)
	}
	var corrupted Assembler
	for _, c := range chunks {
		c = proto.CloneOf(c)
		c.Data[0]++
		corrupted.Add(c)
	}
	require.Nil(t, corrupted.Newest)
}

func configVersion(k *keeper.Keeper) (v uint64) {
	k.View(func(s *applier.State) { v = s.Config.Version })
	return v
}

func TestIsDue(t *testing.T) {
	for name, c := range map[string]struct {
		status Status
		want   bool
	}{
		"empty log":              {Status{Age: time.Hour}, false},
		"recent checkpoint":      {Status{NextOffset: 50, CheckpointOffset: 1}, false},
		"many entries":           {Status{NextOffset: 101, CheckpointOffset: 1}, true},
		"old checkpoint":         {Status{NextOffset: 50, CheckpointOffset: 49, Age: time.Minute}, true},
		"in the older half":      {Status{NextOffset: 60, EarliestOffset: 20, CheckpointOffset: 39}, true},
		"in the younger half":    {Status{NextOffset: 60, EarliestOffset: 20, CheckpointOffset: 41}, false},
		"dropped by retention":   {Status{NextOffset: 60, EarliestOffset: 20, CheckpointOffset: 10}, true},
		"log starts after state": {Status{NextOffset: 60, EarliestOffset: 70, CheckpointOffset: 75}, false},
	} {
		require.Equal(t, c.want, c.status.IsDue(100, time.Minute), name)
	}
}
