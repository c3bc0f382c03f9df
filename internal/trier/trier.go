package trier

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// claimTimeout bounds a claim. A client request waits for it.
	claimTimeout = 500 * time.Millisecond
	// resetTimeout bounds a call that resets counts, and resetRetryInterval is the time between two
	// of them after a failure.
	resetTimeout       = 800 * time.Millisecond
	resetRetryInterval = time.Second
	// maxResets bounds the contents whose counts are to be reset.
	maxResets = 1024
)

// ErrConflict is returned by Store.Append if the log has changed since it was read.
var ErrConflict = errors.New("another instance has changed the trials")

// Record is the number of trials of a content.
type Record struct {
	Content uint64
	// Trials is the number of claimed trials. 0 removes the record.
	Trials int
	// At is the time of the latest claim.
	At time.Time
}

// Store keeps records in the platform's log.
type Store struct {
	// Load returns the records, the errors of those that are malformed, and the end of the log.
	Load func(context.Context) (records []Record, malformed []error, end sequencer.Position, err error)
	// Append adds records if the log still ends at a position. Otherwise it returns ErrConflict.
	Append func(context.Context, []Record, sequencer.Position) error
}

// Metrics count claims.
type Metrics struct{ claims *prometheus.CounterVec }

// NewMetrics returns the metrics, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "primrosedrift_trial_claims_total", Help: "Claims to try a refused content again, by result.",
	}, []string{"result"})}
	r.MustRegister(m.claims)
	return m
}

// Trier claims trials. Its exported fields must be set.
type Trier struct {
	Store   Store
	Log     *zap.Logger
	Metrics *Metrics

	claiming sync.Mutex // one claim runs at a time
	mu       sync.Mutex
	resets   map[uint64]struct{}
	wake     chan struct{}
}

// Claim claims a trial unless the log has more trials of the content than this instance knows of,
// or another claim of this instance runs.
func (t *Trier) Claim(ctx context.Context, content uint64, known int) losstracker.Claim {
	if !t.claiming.TryLock() {
		return losstracker.Claim{Trials: known}
	}
	defer t.claiming.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := t.claim(ctx, content, known, time.Now())
	result := "granted"
	switch {
	case err != nil:
		result = "failed"
	case !claim.IsGranted:
		result = "late"
	}
	t.Metrics.claims.WithLabelValues(result).Inc()
	t.Log.Info("trial claimed", zap.String("content", losstracker.FormatFingerprint(content)), zap.String("result", result),
		zap.Int("trials", claim.Trials), zap.Duration("age", claim.Age), logger.Error(err))
	return claim
}

func (t *Trier) claim(ctx context.Context, content uint64, known int, now time.Time) (losstracker.Claim, error) {
	records, malformed, end, err := t.Store.Load(ctx)
	if err != nil {
		return losstracker.Claim{Trials: known}, err
	}
	for _, err := range malformed {
		t.Log.Warn("record of trials is malformed", logger.Error(err))
	}
	saved := Record{Content: content}
	var changes []Record
	for _, r := range records {
		switch age := now.Sub(r.At); {
		case r.Content == content:
			saved = r
		case age.Abs() > losstracker.LossTTL:
			changes = append(changes, Record{Content: r.Content})
		}
	}
	age := now.Sub(saved.At)
	if age.Abs() > losstracker.LossTTL {
		saved.Trials = 0
	}
	if saved.Trials > known {
		return losstracker.Claim{Trials: saved.Trials, Age: max(0, age)}, nil
	}
	// A restored log may have lost claims that this instance knows of.
	next := Record{Content: content, Trials: known + 1, At: now}
	if err := t.Store.Append(ctx, append(changes, next), end); err != nil {
		return losstracker.Claim{Trials: known}, err
	}
	return losstracker.Claim{Trials: next.Trials, IsGranted: true}, nil
}

// Reset removes the count of a content soon: a request with it has run to its end.
func (t *Trier) Reset(content uint64) {
	t.mu.Lock()
	if t.resets == nil {
		t.resets = make(map[uint64]struct{})
	}
	if len(t.resets) < maxResets {
		t.resets[content] = struct{}{}
	}
	t.mu.Unlock()
	select {
	case t.wakeup() <- struct{}{}:
	default:
	}
}

func (t *Trier) wakeup() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	return t.wake
}

// Run resets counts until ctx ends.
func (t *Trier) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wakeup():
		}
		for ctx.Err() == nil && !t.reset(ctx) {
			sleeper.Sleep(ctx, resetRetryInterval)
		}
	}
}

// reset removes the records of contents, and reports whether none is left to be removed.
func (t *Trier) reset(ctx context.Context) bool {
	t.mu.Lock()
	var list []uint64
	for c := range t.resets {
		list = append(list, c)
	}
	t.mu.Unlock()
	if len(list) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, resetTimeout)
	defer cancel()
	if err := t.removeRecords(ctx, list); err != nil {
		t.Log.Info("trials not reset", zap.Int("contents", len(list)), logger.Error(err))
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range list {
		delete(t.resets, c)
	}
	return len(t.resets) == 0
}

func (t *Trier) removeRecords(ctx context.Context, contents []uint64) error {
	// A claim of this instance would fail with a conflict meanwhile.
	t.claiming.Lock()
	defer t.claiming.Unlock()
	_, _, end, err := t.Store.Load(ctx)
	if err != nil {
		return err
	}
	var changes []Record
	for _, c := range contents {
		changes = append(changes, Record{Content: c})
	}
	return t.Store.Append(ctx, changes, end)
}
