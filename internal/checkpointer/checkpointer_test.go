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

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	"github.com/primrosedrift/primrosedrift/internal/standin/logstore"
	"github.com/primrosedrift/primrosedrift/internal/tailer"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const eventually = 30 * time.Second

// reader is the part of an entry instance that agrees through the log.
type reader struct {
	keeper   keeper.Keeper
	recorder *recorder.Recorder
	tailer   *tailer.Tailer
	writer   *Writer
	stop     func()
}

func startReader(t *testing.T, url string, peers ...*reader) *reader {
	r := &reader{}
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
	r.tailer = &tailer.Tailer{Log: queries, Keeper: &r.keeper, Find: find.Find}
	r.keeper.Subscribe(r.recorder.OnEvents)
	r.keeper.Subscribe(r.writer.OnEvents)
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { r.recorder.Run(ctx) })
	parts.Go(func() { r.tailer.Run(ctx) })
	r.stop = sync.OnceFunc(func() { cancel(); parts.Wait() })
	t.Cleanup(r.stop)
	return r
}

func (r *reader) version() (v uint64) {
	r.keeper.View(func(s *folder.State) { v = s.Config.Version })
	return v
}

func (r *reader) publish(t *testing.T, replicas uint32) uint64 {
	t.Helper()
	e, err := r.recorder.Submit(t.Context(), change(r.version(), replicas))
	require.NoError(t, err)
	require.True(t, e.Counted, e.Why)
	return uint64(e.Position)
}

func change(base uint64, replicas uint32) *recordv1.Record {
	return &recordv1.Record{Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{
		BaseVersion: base, Upserts: []*recordv1.ConfigObject{{Object: &recordv1.ConfigObject_Contract{
			Contract: &recordv1.Contract{Customer: "tolwerk", Replicas: replicas},
		}}},
	}}}
}

func (r *reader) caughtUp(t *testing.T) {
	t.Helper()
	require.Eventually(t, r.tailer.HasCaughtUp, eventually, 10*time.Millisecond)
}

func startLog(t *testing.T, retain int) (*logstore.Store, string) {
	log := &logstore.Store{Retain: retain}
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	return log, srv.URL
}

// fill appends entries that change nothing.
func fill(log *logstore.Store, n int) {
	for range n {
		log.Add(nil)
	}
}

// All instances end, retention passes the records, and a new one has the same
// version in force. Old checkpoints that come late and racing ones do no harm.
func TestRestartOfAll(t *testing.T) {
	log, url := startLog(t, 40)
	first, second := startReader(t, url), startReader(t, url)
	first.caughtUp(t)
	first.publish(t, 1)
	old, next, err := Snapshot(&first.keeper)
	require.NoError(t, err)
	want := first.publish(t, 2)
	var racing sync.WaitGroup
	for _, r := range []*reader{first, second} {
		racing.Go(func() {
			_, err := r.writer.Write(t.Context())
			require.NoError(t, err)
		})
	}
	racing.Wait()
	for _, c := range Split("old", next, old) {
		_, err := first.recorder.Submit(t.Context(), &recordv1.Record{Kind: &recordv1.Record_CheckpointChunk{CheckpointChunk: c}})
		require.NoError(t, err)
	}
	first.stop()
	second.stop()
	fill(log, 36)

	third := startReader(t, url)
	third.caughtUp(t)
	require.Equal(t, want, third.version())
	fill(log, 36)
	third.caughtUp(t)
	require.Equal(t, want, third.version())
}

// Without a checkpoint inside retention a new instance never says that it has
// caught up.
func TestRestartOfAllNegative(t *testing.T) {
	log, url := startLog(t, 40)
	first := startReader(t, url)
	first.caughtUp(t)
	first.publish(t, 1)
	first.stop()
	fill(log, 60)
	passed := make(chan struct{}, 1)
	second := startReader(t, url)
	second.stop()
	second.tailer.OnError = func(err error) {
		if connect.CodeOf(err) == connect.CodeOutOfRange {
			select {
			case passed <- struct{}{}:
			default:
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { second.tailer.Run(ctx) })
	<-passed
	cancel()
	run.Wait()
	require.False(t, second.tailer.HasCaughtUp())
	require.Zero(t, second.version())
}

// An instance that fell behind retention takes over a checkpoint.
func TestRetentionPassesReader(t *testing.T) {
	log, url := startLog(t, 40)
	first, second := startReader(t, url), startReader(t, url)
	first.caughtUp(t)
	second.caughtUp(t)
	second.stop()
	want := first.publish(t, 1)
	for range 3 {
		next := first.keeper.Next()
		fill(log, 20) // within retention for the reader that is up
		require.Eventually(t, func() bool { return first.keeper.Next() >= next+20 }, eventually, time.Millisecond)
	}
	_, err := first.writer.Write(t.Context())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { second.tailer.Run(ctx) })
	require.Eventually(t, func() bool { return second.version() == want && second.tailer.HasCaughtUp() }, eventually, time.Millisecond)
	cancel()
	run.Wait()
}

// While the log is out a new instance takes a peer's state and serves from it,
// but does not say that it has caught up.
func TestStateOfPeer(t *testing.T) {
	log, url := startLog(t, 0)
	first := startReader(t, url)
	first.caughtUp(t)
	want := first.publish(t, 1)
	log.Faults.Set(faulter.Faults{Outage: true})
	second := startReader(t, url, first)
	require.Eventually(t, second.tailer.HasState, eventually, time.Millisecond)
	require.Equal(t, want, second.version())
	require.False(t, second.tailer.HasCaughtUp())
	log.Faults.Set(faulter.Faults{})
	second.caughtUp(t)
}

// Chunks in any order, twice and from several writers give the newest whole
// checkpoint, and damaged ones give none.
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
		require.EqualValues(t, 4, a.Newest.Next)
	}
	var damaged Assembler
	for _, c := range chunks {
		c = proto.CloneOf(c)
		c.Data[0]++
		damaged.Add(c)
	}
	require.Nil(t, damaged.Newest)
}

func configVersion(k *keeper.Keeper) (v uint64) {
	k.View(func(s *folder.State) { v = s.Config.Version })
	return v
}

func TestIsDue(t *testing.T) {
	for name, c := range map[string]struct {
		status Status
		want   bool
	}{
		"empty log":            {Status{Age: time.Hour}, false},
		"new":                  {Status{Next: 50, Newest: 1}, false},
		"many entries":         {Status{Next: 101, Newest: 1}, true},
		"old":                  {Status{Next: 50, Newest: 49, Age: time.Minute}, true},
		"in the older half":    {Status{Next: 60, Earliest: 20, Newest: 39}, true},
		"in the younger half":  {Status{Next: 60, Earliest: 20, Newest: 41}, false},
		"retention passed it":  {Status{Next: 60, Earliest: 20, Newest: 10}, true},
		"late news of the log": {Status{Next: 60, Earliest: 70, Newest: 75}, false},
	} {
		require.Equal(t, c.want, c.status.IsDue(100, time.Minute), name)
	}
}
