package dispatcher

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
	"github.com/primrosedrift/primrosedrift/internal/standin/checker"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	"github.com/primrosedrift/primrosedrift/internal/standin/service"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const longTimeout = 30 * time.Second

// sharedLog is an in-memory log. An append calls all readers before it returns.
type sharedLog struct {
	mu      sync.Mutex
	next    uint64
	readers []func(offset uint64, payload []byte)
	down    atomic.Bool
	// lostReplies is the number of appends that succeed but return an error.
	lostReplies atomic.Int32
}

func (l *sharedLog) append(_ context.Context, payload []byte) error {
	if l.down.Load() {
		return errors.New("outage")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.readers {
		r(l.next, payload)
	}
	l.next++
	if l.lostReplies.Add(-1) >= 0 {
		return errors.New("reply was lost")
	}
	return nil
}

// instance is the part of an entry instance that calls services.
type instance struct {
	*Dispatcher
	recorder *recorder.Recorder
}

// cluster is a number of instances with one log and one service.
type cluster struct {
	t          *testing.T
	log        *sharedLog
	service    *service.Service
	server     *httptest.Server
	instances  []*instance
	verdictsMu sync.Mutex
	verdicts   []checker.CallResult // that callers received
	hasLog     atomic.Bool          // the log responds
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, log: new(sharedLog), service: &service.Service{Slots: math.MaxInt32}}
	c.hasLog.Store(true)
	c.server = httptest.NewServer(c.service.Handler())
	t.Cleanup(c.server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for range n {
		in := c.addInstance()
		wg.Go(func() { in.recorder.Run(ctx) })
		wg.Go(func() { in.Monitor.Run(ctx) })
	}
	payload, err := proto.Marshal(&recordv1.Batch{Version: applier.Version, Records: []*recordv1.Record{{
		Id: "config", Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{Upserts: []*recordv1.ConfigObject{
			{Object: &recordv1.ConfigObject_Upstream{Upstream: &recordv1.Upstream{
				Name: "booking-1", Service: "booking", Kind: recordv1.UpstreamKind_UPSTREAM_KIND_SERVICE,
				Address: strings.TrimPrefix(c.server.URL, "http://"), Slots: math.MaxInt32,
			}}},
			{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{
				Customer: "thottam", WaitingTimeMs: 30_000, NeverTwice: []string{"deposit"},
				Concurrency: math.MaxInt32, RequestsPerSecond: math.MaxInt32,
			}}},
		}}},
	}}})
	require.NoError(t, err)
	require.NoError(t, c.log.append(ctx, payload))
	for _, in := range c.instances {
		require.Eventually(t, func() bool { return len(in.services("booking", time.Now())) > 0 }, longTimeout, time.Millisecond)
	}
	return c
}

func (c *cluster) addInstance() *instance {
	k := new(keeper.Keeper)
	inc := recorder.NewID()
	rec := &recorder.Recorder{Incarnation: inc, Append: c.log.append}
	in := &instance{recorder: rec, Dispatcher: &Dispatcher{
		Instance: inc, Incarnation: inc, Keeper: k, Recorder: rec, Tallier: &tallier.Tallier{}, RetryBudget: &retrier.Budget{}, Quarantiner: &quarantiner.Quarantiner{}, Log: zap.NewNop(),
		Attempter: &attempter.Attempter{HTTP: http.DefaultClient}, IsLogAvailable: c.hasLog.Load,
		Monitor: &monitor.Monitor{HTTP: http.DefaultClient, Interval: 20 * time.Millisecond, Upstreams: func() map[string]*recordv1.Upstream {
			out := make(map[string]*recordv1.Upstream)
			k.View(func(s *applier.State) {
				for n, u := range s.Config.Upstreams {
					out[n] = u
				}
			})
			return out
		}},
	}}
	rec.OnAbandonedRead = in.FreeKey
	k.Subscribe(rec.OnEvents)
	k.Subscribe(in.OnEvents)
	c.log.readers = append(c.log.readers, k.Apply)
	c.instances = append(c.instances, in)
	return in
}

func (c *cluster) call(in *instance, key string, deadline time.Duration) (Response, error) {
	a, err := in.Call(context.Background(), &callerv1.CallRequest{
		Customer: "thottam", Service: "booking", Method: "deposit", Key: key, DeadlineMs: uint32(deadline.Milliseconds()),
	})
	c.verdictsMu.Lock()
	defer c.verdictsMu.Unlock()
	c.verdicts = append(c.verdicts, checker.CallResult{Key: key, Err: err})
	return a, err
}

func (c *cluster) violations() []string {
	c.verdictsMu.Lock()
	defer c.verdictsMu.Unlock()
	return checker.CheckCalls(c.service.CallsByKey(), c.verdicts)
}

// callConcurrently sends 50 keys to all instances at the same time, and returns
// the number of responses.
func callConcurrently(c *cluster) (numResponses int) {
	c.service.Faults.Set(faulter.Faults{TokenMs: 5})
	c.log.lostReplies.Store(5)
	var wg sync.WaitGroup
	var ok atomic.Int32
	for range 50 {
		key := ulid.Make().String()
		for _, in := range c.instances {
			wg.Go(func() {
				if _, err := c.call(in, key, 10*time.Second); err == nil {
					ok.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return int(ok.Load())
}

func TestConcurrentCallsWithSameKeyRunOnce(t *testing.T) {
	c := newCluster(t, 3)
	require.Equal(t, 150, callConcurrently(c), "calls that find an earlier intent return the stored response")
	require.Empty(t, c.violations())
}

// If every instance takes its own intent for the first one, some calls run more
// than once.
func TestConcurrentCallsRunTwiceIfEveryIntentIsFirst(t *testing.T) {
	c := newCluster(t, 3)
	for _, in := range c.instances {
		in.IsFirstIntent = func(applier.Event) bool { return true }
	}
	callConcurrently(c)
	require.NotEmpty(t, c.violations())
}

// A second request with the same key returns the stored response, or the
// verdict may-have-run if the first request may have run.
func TestResendWithSameKey(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults faulter.Faults
		first  verdict.Ran // if the first request is refused
		isDone bool        // the first request is answered
		resend func(t *testing.T, a Response, err error)
	}{
		{"answered", faulter.Faults{}, 0, true, func(t *testing.T, a Response, err error) {
			require.NoError(t, err)
			require.True(t, a.IsReplay)
			require.Equal(t, "deposit done", string(a.Body))
		}},
		{"service cut before the call", faulter.Faults{Outage: true}, verdict.MayHaveRun, false, requireEarlierMayHaveRun},
		{"reply lost", faulter.Faults{NumRepliesToLose: 1}, verdict.MayHaveRun, false, requireEarlierMayHaveRun},
		{"answer of another attempt", faulter.Faults{WrongAttemptIDs: true}, verdict.MayHaveRun, false, requireEarlierMayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 2)
			key := ulid.Make().String()
			c.service.Faults.Set(tc.faults)
			_, err := c.call(c.instances[0], key, 2*time.Second)
			require.Equal(t, tc.isDone, err == nil)
			if err != nil {
				require.Equal(t, tc.first, verdict.FromError(err).Ran)
			}
			c.service.Faults.Set(faulter.Faults{})
			a, err := c.call(c.instances[1], key, 2*time.Second)
			tc.resend(t, a, err)
			require.Empty(t, c.violations())
		})
	}
}

func requireEarlierMayHaveRun(t *testing.T, _ Response, err error) {
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Ran)
	require.Equal(t, verdict.ReasonEarlierAttempt, verdict.FromError(err).Reason)
}

// A service that refuses connections did not run the request, so the verdict is
// not-run and the key is free again.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	c := newCluster(t, 1)
	key := ulid.Make().String()
	c.server.Close()
	_, err := c.call(c.instances[0], key, time.Second)
	r := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.Positive(t, r.RetryAfter)
	require.Empty(t, c.violations())
}

// If the log stops responding while an intent waits, the request is refused at
// once as not-run. If the intent was written nevertheless, its key is freed.
func TestLogOutageDuringIntentIsNotRun(t *testing.T) {
	c := newCluster(t, 2)
	key := ulid.Make().String()
	c.log.down.Store(true)
	time.AfterFunc(50*time.Millisecond, func() { c.hasLog.Store(false) })
	_, err := c.call(c.instances[0], key, longTimeout)
	r := verdict.FromError(err)
	require.Equal(t, verdict.ReasonLogDown, r.Reason)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.Positive(t, r.RetryAfter)
	c.log.down.Store(false)
	c.hasLog.Store(true)
	require.Eventually(t, func() bool {
		_, err := c.call(c.instances[1], key, 2*time.Second)
		return err == nil
	}, longTimeout, 10*time.Millisecond)
	require.Empty(t, c.violations())
}

// An instance whose process has ended writes no outcome, so a second request
// with the key does not wait for one.
func TestResendAfterInstanceEnded(t *testing.T) {
	c := newCluster(t, 2)
	key := ulid.Make().String()
	payload, err := proto.Marshal(&recordv1.Batch{Version: applier.Version, Records: []*recordv1.Record{{
		Id: "i", Kind: &recordv1.Record_Intent{Intent: &recordv1.Intent{Customer: "thottam", Key: key, Instance: "dead", Incarnation: "dead"}},
	}}})
	require.NoError(t, err)
	require.NoError(t, c.log.append(t.Context(), payload))
	c.instances[0].HasProcessEnded = func(incarnation string) bool { return incarnation == "dead" }
	_, err = c.call(c.instances[0], key, longTimeout)
	requireEarlierMayHaveRun(t, Response{}, err)
	require.Zero(t, verdict.FromError(err).RetryAfter, "the verdict is final")
	_, err = c.call(c.instances[1], key, 100*time.Millisecond)
	requireEarlierMayHaveRun(t, Response{}, err)
	require.Positive(t, verdict.FromError(err).RetryAfter, "the outcome may still be written")
}

// The request of a key that may have been forgotten may have run; it must not be
// refused as not-run.
func TestForgottenKeysMayHaveRun(t *testing.T) {
	c := newCluster(t, 1)
	at := time.Now().Add(-time.Hour)
	var first string
	var recs []*recordv1.Record
	for i := range applier.MaxIntents + 1 {
		key := ulid.MustNew(ulid.Timestamp(at.Add(time.Duration(i)*time.Millisecond)), ulid.DefaultEntropy()).String()
		if first == "" {
			first = key
		}
		recs = append(recs, &recordv1.Record{Id: key, Kind: &recordv1.Record_Intent{Intent: &recordv1.Intent{Customer: "thottam", Key: key}}})
		if len(recs) < applier.MaxBatchRecords && i < applier.MaxIntents {
			continue
		}
		payload, err := proto.Marshal(&recordv1.Batch{Version: applier.Version, Records: recs})
		require.NoError(t, err)
		require.NoError(t, c.log.append(t.Context(), payload))
		recs = nil
	}
	_, err := c.call(c.instances[0], first, time.Second)
	require.Equal(t, verdict.ReasonKeyTooOld, verdict.FromError(err).Reason)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Ran)
	_, err = c.call(c.instances[0], ulid.Make().String(), 10*time.Second)
	require.NoError(t, err)
	require.Empty(t, c.violations())
}
