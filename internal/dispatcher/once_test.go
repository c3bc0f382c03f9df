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

	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/folder"
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

const generous = 30 * time.Second

// sharedLog is a log in memory. Every write reaches all readers at once.
type sharedLog struct {
	mu      sync.Mutex
	next    uint64
	readers []func(offset uint64, payload []byte)
	down    atomic.Bool
	lost    atomic.Int32 // appends that take effect without a reply
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
	if l.lost.Add(-1) >= 0 {
		return errors.New("reply was lost")
	}
	return nil
}

// instance is the part of an entry instance that calls services.
type instance struct {
	*Dispatcher
	recorder *recorder.Recorder
}

// pair is instances before one log and one service.
type pair struct {
	t        *testing.T
	log      *sharedLog
	service  *service.Service
	server   *httptest.Server
	all      []*instance
	toldMu   sync.Mutex
	told     []checker.Told
	agreeing atomic.Bool
}

func newPair(t *testing.T, n int) *pair {
	p := &pair{t: t, log: new(sharedLog), service: &service.Service{Slots: math.MaxInt32}}
	p.agreeing.Store(true)
	p.server = httptest.NewServer(p.service.Handler())
	t.Cleanup(p.server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for range n {
		in := p.add()
		wg.Go(func() { in.recorder.Run(ctx) })
		wg.Go(func() { in.Monitor.Run(ctx) })
	}
	payload, err := proto.Marshal(&recordv1.Batch{Version: folder.Version, Records: []*recordv1.Record{{
		Id: "config", Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{Upserts: []*recordv1.ConfigObject{
			{Object: &recordv1.ConfigObject_Upstream{Upstream: &recordv1.Upstream{
				Name: "booking-1", Service: "booking", Kind: recordv1.UpstreamKind_UPSTREAM_KIND_SERVICE,
				Address: strings.TrimPrefix(p.server.URL, "http://"), Slots: math.MaxInt32,
			}}},
			{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{
				Customer: "thottam", WaitingTimeMs: 30_000, NeverTwice: []string{"deposit"},
				Concurrency: math.MaxInt32, RequestsPerSecond: math.MaxInt32,
			}}},
		}}},
	}}})
	require.NoError(t, err)
	require.NoError(t, p.log.append(ctx, payload))
	for _, in := range p.all {
		require.Eventually(t, func() bool { return len(in.services("booking", time.Now())) > 0 }, generous, time.Millisecond)
	}
	return p
}

func (p *pair) add() *instance {
	k := new(keeper.Keeper)
	inc := recorder.NewID()
	rec := &recorder.Recorder{Incarnation: inc, Append: p.log.append}
	in := &instance{recorder: rec, Dispatcher: &Dispatcher{
		Instance: inc, Incarnation: inc, Keeper: k, Recorder: rec, Tallier: &tallier.Tallier{}, Retries: &retrier.Budget{}, Quarantiner: &quarantiner.Quarantiner{}, Log: zap.NewNop(),
		Attempter: &attempter.Attempter{HTTP: http.DefaultClient}, CanAgree: p.agreeing.Load,
		Monitor: &monitor.Monitor{HTTP: http.DefaultClient, Interval: 20 * time.Millisecond, Upstreams: func() map[string]*recordv1.Upstream {
			out := make(map[string]*recordv1.Upstream)
			k.View(func(s *folder.State) {
				for n, u := range s.Config.Upstreams {
					out[n] = u
				}
			})
			return out
		}},
	}}
	rec.Abandoned = in.Voided
	k.Subscribe(rec.OnEvents)
	k.Subscribe(in.OnEvents)
	p.log.readers = append(p.log.readers, k.Apply)
	p.all = append(p.all, in)
	return in
}

func (p *pair) call(in *instance, key string, deadline time.Duration) (Answer, error) {
	a, err := in.Call(context.Background(), &callerv1.CallRequest{
		Customer: "thottam", Service: "booking", Method: "deposit", Key: key, DeadlineMs: uint32(deadline.Milliseconds()),
	})
	p.toldMu.Lock()
	defer p.toldMu.Unlock()
	p.told = append(p.told, checker.Told{Key: key, Err: err})
	return a, err
}

func (p *pair) broken() []string {
	p.toldMu.Lock()
	defer p.toldMu.Unlock()
	return checker.Calls(p.service.Ran(), p.told)
}

// sameInstant sends many keys to all instances at the same instant.
func sameInstant(p *pair) (answers int) {
	p.service.Faults.Set(faulter.Faults{TokenMs: 5})
	p.log.lost.Store(5)
	var wg sync.WaitGroup
	var ok atomic.Int32
	for range 50 {
		key := ulid.Make().String()
		for _, in := range p.all {
			wg.Go(func() {
				if _, err := p.call(in, key, 10*time.Second); err == nil {
					ok.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return int(ok.Load())
}

func TestSameKeyAtTheSameInstant(t *testing.T) {
	p := newPair(t, 3)
	require.Equal(t, 150, sameInstant(p), "those that lose get the kept answer")
	require.Empty(t, p.broken())
}

func TestSameKeyAtTheSameInstantNegative(t *testing.T) {
	p := newPair(t, 3)
	for _, in := range p.all {
		in.Wins = func(folder.Event) bool { return true }
	}
	sameInstant(p)
	require.NotEmpty(t, p.broken())
}

// What the same key gets after each way in which its first request can end.
func TestResend(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults faulter.Faults
		first  verdict.Ran // of a refusal
		answer bool        // the first request is answered
		resend func(t *testing.T, a Answer, err error)
	}{
		{"answered", faulter.Faults{}, 0, true, func(t *testing.T, a Answer, err error) {
			require.NoError(t, err)
			require.True(t, a.Earlier)
			require.Equal(t, "deposit done", string(a.Body))
		}},
		{"service cut before the call", faulter.Faults{Outage: true}, verdict.MayHaveRun, false, inDoubt},
		{"reply lost", faulter.Faults{LoseReplies: 1}, verdict.MayHaveRun, false, inDoubt},
		{"answer of another attempt", faulter.Faults{CrossAnswers: true}, verdict.MayHaveRun, false, inDoubt},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair(t, 2)
			key := ulid.Make().String()
			p.service.Faults.Set(tc.faults)
			_, err := p.call(p.all[0], key, 2*time.Second)
			require.Equal(t, tc.answer, err == nil)
			if err != nil {
				require.Equal(t, tc.first, verdict.Of(err).Ran)
			}
			p.service.Faults.Set(faulter.Faults{})
			a, err := p.call(p.all[1], key, 2*time.Second)
			tc.resend(t, a, err)
			require.Empty(t, p.broken())
		})
	}
}

func inDoubt(t *testing.T, _ Answer, err error) {
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err).Ran)
	require.Equal(t, verdict.ReasonEarlierAttempt, verdict.Of(err).Reason)
}

// A service that refuses connections did not run the request: the key is free again.
func TestServiceGone(t *testing.T) {
	p := newPair(t, 1)
	key := ulid.Make().String()
	p.server.Close()
	_, err := p.call(p.all[0], key, time.Second)
	r := verdict.Of(err)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.Positive(t, r.ComeBack)
	require.Empty(t, p.broken())
}

// A log that stops answering while an intent waits ends the request at once as
// not run; an intent that was written after all frees its key.
func TestLogStopsWhileIntentWaits(t *testing.T) {
	p := newPair(t, 2)
	key := ulid.Make().String()
	p.log.down.Store(true)
	time.AfterFunc(50*time.Millisecond, func() { p.agreeing.Store(false) })
	_, err := p.call(p.all[0], key, generous)
	r := verdict.Of(err)
	require.Equal(t, verdict.ReasonLogDown, r.Reason)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.Positive(t, r.ComeBack)
	p.log.down.Store(false)
	p.agreeing.Store(true)
	require.Eventually(t, func() bool {
		_, err := p.call(p.all[1], key, 2*time.Second)
		return err == nil
	}, generous, 10*time.Millisecond)
	require.Empty(t, p.broken())
}

// The outcome of an instance that has ended never comes: the resend is told at once.
func TestEarlierInstanceEnded(t *testing.T) {
	p := newPair(t, 2)
	key := ulid.Make().String()
	payload, err := proto.Marshal(&recordv1.Batch{Version: folder.Version, Records: []*recordv1.Record{{
		Id: "i", Kind: &recordv1.Record_Intent{Intent: &recordv1.Intent{Customer: "thottam", Key: key, Instance: "dead", Incarnation: "dead"}},
	}}})
	require.NoError(t, err)
	require.NoError(t, p.log.append(t.Context(), payload))
	p.all[0].IsGone = func(incarnation string) bool { return incarnation == "dead" }
	_, err = p.call(p.all[0], key, generous)
	inDoubt(t, Answer{}, err)
	require.Zero(t, verdict.Of(err).ComeBack, "the verdict is final")
	_, err = p.call(p.all[1], key, 100*time.Millisecond)
	inDoubt(t, Answer{}, err)
	require.Positive(t, verdict.Of(err).ComeBack, "the outcome may still come")
}
