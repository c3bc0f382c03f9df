package trier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

const content = uint64(7)

var (
	errOutage = errors.New("outage")
	errLost   = errors.New("response lost")
)

// fakeLog is a log that keeps the newest record of each content.
type fakeLog struct {
	mu      sync.Mutex
	records map[uint64]Record
	end     int64
	// loadErr and appendErr are the results of calls. An append with errLost is carried out.
	loadErr, appendErr error
	// onLoad, if set, is called after each load.
	onLoad func()
}

func (l *fakeLog) store() Store {
	return Store{
		Load: func(context.Context) (out []Record, _ []error, _ sequencer.Position, _ error) {
			l.mu.Lock()
			for _, r := range l.records {
				out = append(out, r)
			}
			end, err := l.end, l.loadErr
			l.mu.Unlock()
			if l.onLoad != nil {
				l.onLoad()
			}
			return out, nil, sequencer.Position{Offset: end}, err
		},
		Append: func(_ context.Context, list []Record, at sequencer.Position) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			switch {
			case l.appendErr != nil && !errors.Is(l.appendErr, errLost):
				return l.appendErr
			case at.Offset != l.end:
				return ErrConflict
			}
			for _, r := range list {
				l.end++
				if l.records == nil {
					l.records = make(map[uint64]Record)
				}
				if l.records[r.Content] = r; r.Trials == 0 {
					delete(l.records, r.Content)
				}
			}
			return l.appendErr
		},
	}
}

func (l *fakeLog) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadErr = err
}

func newTrier(l *fakeLog) *Trier {
	return &Trier{Store: l.store(), Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry())}
}

// TestTrialIsClaimedOnce guards against two instances that send the same trial.
func TestTrialIsClaimedOnce(t *testing.T) {
	l := &fakeLog{}
	a, b := newTrier(l), newTrier(l)
	l.onLoad = func() {
		l.onLoad = nil
		require.True(t, b.Claim(t.Context(), content, 0).IsGranted)
	}
	require.Equal(t, losstracker.Claim{}, a.Claim(t.Context(), content, 0))
	c := a.Claim(t.Context(), content, 0)
	require.False(t, c.IsGranted)
	require.Equal(t, 1, c.Trials)
	require.Equal(t, losstracker.Claim{Trials: 2, IsGranted: true}, a.Claim(t.Context(), content, 1))
}

// TestClaimWithUnknownResultIsNotUsed guards against a trial that counts for nothing, since the response
// of the log was lost.
func TestClaimWithUnknownResultIsNotUsed(t *testing.T) {
	l := &fakeLog{appendErr: errLost}
	a := newTrier(l)
	require.False(t, a.Claim(t.Context(), content, 0).IsGranted)
	l.appendErr = nil
	require.Equal(t, 1, a.Claim(t.Context(), content, 0).Trials)
}

// TestExpiredRecordsAreRemoved guards against a log that grows, and against a count from another
// incident.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		a := newTrier(l)
		for n := range 3 {
			require.True(t, a.Claim(t.Context(), content+uint64(n), 0).IsGranted)
		}
		time.Sleep(losstracker.LossTTL + time.Second)
		require.Equal(t, losstracker.Claim{Trials: 1, IsGranted: true}, a.Claim(t.Context(), content, 0))
		require.Len(t, l.records, 1)
	})
}

// TestCountIsResetOnceTheLogResponds guards against a sound content that has fewer trials at each later
// crash, because the log was away when it was served.
func TestCountIsResetOnceTheLogResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &fakeLog{}
		a := newTrier(l)
		go a.Run(ctx)
		require.True(t, a.Claim(ctx, content, 0).IsGranted)
		l.fail(errOutage)
		a.Reset(content)
		time.Sleep(5 * resetRetryInterval)
		l.fail(nil)
		time.Sleep(2 * resetRetryInterval)
		cancel()
		synctest.Wait()
		require.Empty(t, l.records)
	})
}

// fleet is a number of instances with one log. An instance that restarts knows the losses that are saved.
type fleet struct {
	log   *fakeLog
	saved []losstracker.Loss
	// isPoison says that each upstream that runs the content ends.
	isPoison bool

	trackers []*losstracker.Tracker
	triers   []*Trier
	numSends int
	numEnds  int
	// numSound counts the requests that were served.
	numSound int
}

func (f *fleet) restart(n int) {
	tr := newTrier(f.log)
	f.triers[n], f.trackers[n] = tr, &losstracker.Tracker{OnTrialsOver: tr.Reset}
	f.trackers[n].MergeReport(f.saved, time.Now())
}

// request sends a request with the content through an instance, as package relayer does. isKilled says
// that the instance ends while the request runs.
func (f *fleet) request(ctx context.Context, n int, mayTry, isKilled bool) {
	tr := f.trackers[n]
	now := time.Now()
	var trial *losstracker.Trial
	if _, isRefused := tr.Find(content, nil, mayTry, now); isRefused {
		var mustClaim bool
		var known int
		if trial, mustClaim, known = tr.BeginTrial(content, nil, mayTry, time.Second, now); trial == nil {
			return
		}
		defer trial.End()
		if mustClaim && !trial.SetClaim(f.triers[n].Claim(ctx, content, known), now) {
			return
		}
	}
	upstream := registrar.Incarnation{ID: fmt.Sprint("u", f.numEnds), StartedAtMs: int64(f.numEnds + 1)}
	a, _ := tr.TryBeginTrial(upstream, content, nil, mayTry, trial, now)
	if a == nil {
		return
	}
	f.numSends++
	if f.isPoison {
		f.numEnds++
	}
	switch {
	case isKilled:
		f.restart(n)
	case f.isPoison:
		a.End(losstracker.Broken, now)
		loss := losstracker.Loss{Fingerprint: content, Incarnation: upstream}
		f.saved = append(f.saved, loss)
		for _, other := range f.trackers {
			other.MergeReport([]losstracker.Loss{loss}, now)
		}
	default:
		f.numSound++
		a.End(losstracker.Succeeded, now)
		f.triers[n].reset(ctx)
		f.saved = nil
		for _, other := range f.trackers {
			other.MergeReport(refuted(upstreamLosses()), now)
		}
	}
}

func upstreamLosses() (out []losstracker.Loss) {
	for n := range losstracker.PoisonThreshold {
		out = append(out, losstracker.Loss{Fingerprint: content, Incarnation: registrar.Incarnation{ID: fmt.Sprint("u", n), StartedAtMs: int64(n + 1)}, IsConfirmed: true})
	}
	return out
}

func refuted(list []losstracker.Loss) (out []losstracker.Loss) {
	for _, l := range list {
		l.IsRefuted = true
		out = append(out, l)
	}
	return out
}

// play lets instances get requests with a content that upstreams were lost with, for a time in which
// instances restart, end during requests, and the log fails.
func play(ctx context.Context, rng *rand.Rand, isPoison bool) *fleet {
	f := &fleet{log: &fakeLog{}, isPoison: isPoison, saved: upstreamLosses(), numEnds: losstracker.PoisonThreshold}
	instances := 1 + rng.IntN(5)
	f.trackers, f.triers = make([]*losstracker.Tracker, instances), make([]*Trier, instances)
	for n := range instances {
		f.restart(n)
	}
	for range 10 + rng.IntN(200) {
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
		n := rng.IntN(instances)
		switch rng.IntN(10) {
		case 0:
			f.restart(n)
		case 1:
			f.log.appendErr = []error{nil, errOutage, errLost}[rng.IntN(3)]
		case 2:
			f.log.loadErr = []error{nil, errOutage}[rng.IntN(2)]
		default:
			f.request(ctx, n, n == 0, rng.IntN(5) == 0)
		}
	}
	return f
}

// numSeeds is the number of simulations of a test.
const numSeeds = 500

// TestPoisonRequestHasThreeTrialsOverAllInstances guards against a poison request that gets further
// trials from instances that restart, take over, or get no response from the log.
func TestPoisonRequestHasThreeTrialsOverAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		most := 0
		for seed := range uint64(numSeeds) {
			f := play(t.Context(), rand.New(rand.NewPCG(seed, 0)), true)
			require.LessOrEqual(t, f.numSends, 3, seed)
			most = max(most, f.numSends)
		}
		require.Equal(t, 3, most, "the simulation uses all trials up")
	})
}

// TestSoundContentIsServedAgain guards against a content that stays refused although trials are left.
func TestSoundContentIsServedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		numTested := 0
		for seed := range uint64(numSeeds) {
			f := play(t.Context(), rand.New(rand.NewPCG(seed, 1)), false)
			f.log.loadErr, f.log.appendErr = nil, nil
			if f.log.records[content].Trials == 3 {
				continue // instances that ended had claimed all
			}
			numTested++
			for range 60 {
				time.Sleep(time.Second)
				f.request(t.Context(), 0, true, false)
			}
			require.Positive(t, f.numSound, seed)
		}
		require.Greater(t, numTested, numSeeds/2)
	})
}
