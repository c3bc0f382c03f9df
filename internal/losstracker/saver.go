package losstracker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// saveInterval is the time between two checks for poison requests to save.
	saveInterval = time.Second
	// loadRetryInterval is the time between two attempts to load the saved ones.
	loadRetryInterval = 2 * time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 800 * time.Millisecond
)

// Poison is a poison request as it is kept in the platform's log.
type Poison struct {
	Fingerprint uint64
	// Ended are the upstreams that ended while they ran it, one as often as it ended.
	Ended []registrar.Incarnation
	// At is the time of its latest loss.
	At time.Time
}

// Store keeps poison requests in the platform's log.
type Store struct {
	// Load returns the saved poison requests, and the errors of the records that are
	// malformed.
	Load func(context.Context) (list []Poison, malformed []error, err error)
	// Save saves poison requests, and removes those without any ended upstreams.
	Save func(context.Context, []Poison) error
}

// Saver keeps the poison requests of a Tracker in the platform's log. All fields must be
// set before Run.
type Saver struct {
	Tracker *Tracker
	Store   Store
	// IsHolder reports whether this instance holds the lease. The holder also saves
	// the requests that only other instances have observed, and removes the old ones.
	IsHolder func() bool
	Log      *zap.Logger

	isLoaded bool
}

// Run loads the saved poison requests, and saves new ones until ctx ends and once more
// then.
func (s *Saver) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := saveInterval
		if !s.isLoaded {
			if err := s.load(ctx, time.Now()); err != nil {
				s.Log.Warn("poison requests could not be loaded", logger.Error(err))
				wait = loadRetryInterval
			}
		}
		s.save(ctx)
		sleeper.Sleep(ctx, wait)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	s.save(last)
}

func (s *Saver) load(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, malformed, err := s.Store.Load(ctx)
	if err != nil {
		return err
	}
	for _, err := range malformed {
		s.Log.Warn("record of a poison request is malformed", logger.Error(err))
	}
	s.isLoaded = true
	old := s.Tracker.mergeSaved(list, now)
	s.Log.Info("poison requests loaded", zap.Int("requests", len(list)), zap.Int("expired", len(old)))
	if len(old) == 0 || !s.IsHolder() {
		return nil
	}
	return s.Store.Save(ctx, old)
}

func (s *Saver) save(ctx context.Context) {
	list := s.Tracker.unsaved(s.IsHolder())
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.Store.Save(ctx, list); err != nil {
		s.Log.Warn("poison requests could not be saved", zap.Int("requests", len(list)), logger.Error(err))
		return
	}
	s.Tracker.recordSaved(list)
	s.Log.Info("poison requests saved", zap.Int("requests", len(list)))
}

// mergeSaved merges the saved poison requests, and returns the expired ones without
// their losses.
func (t *Tracker) mergeSaved(list []Poison, now time.Time) (expired []Poison) {
	t.mu.Lock()
	var events []event
	for _, p := range list {
		if now.Sub(p.At) > lossTTL {
			expired = append(expired, Poison{Fingerprint: p.Fingerprint})
			continue
		}
		for n, i := range p.Ended {
			repeat := 0
			for _, earlier := range p.Ended[:n] {
				if earlier == i {
					repeat++
				}
			}
			events = append(events, t.addLocked(loss{Loss: Loss{p.Fingerprint, i, repeat, true}, learnedAt: now}, Learned, now)...)
		}
		if r := t.requestLocked(p.Fingerprint, now); r != nil {
			r.isSaved = true
			delete(t.isUnsaved, p.Fingerprint)
		}
	}
	t.mu.Unlock()
	t.notify(events)
	return expired
}

// unsaved returns the poison requests to save: those with a loss that this instance
// observed, or all.
func (t *Tracker) unsaved(all bool) []Poison {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Poison
	for f := range t.isUnsaved {
		r, _ := t.requests.Peek(f)
		if !all && !r.isOwn || len(out) == maxReported {
			continue
		}
		p := Poison{Fingerprint: f, At: r.latestAt}
		for _, l := range r.losses {
			if l.IsConfirmed && l.counts() {
				p.Ended = append(p.Ended, l.Incarnation)
			}
		}
		out = append(out, p)
	}
	return out
}

func (t *Tracker) recordSaved(list []Poison) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range list {
		if r, ok := t.requests.Peek(p.Fingerprint); ok {
			r.isSaved = true
			delete(t.isUnsaved, p.Fingerprint)
		}
	}
}

// RecordRestore records that the platform's log came back from an older copy, which may
// have lost what was saved.
func (t *Tracker) RecordRestore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		return
	}
	for _, f := range t.requests.Keys() {
		r, _ := t.requests.Peek(f)
		r.isSaved = false
		if _, confirmed := r.numLosses(); confirmed >= PoisonThreshold {
			t.isUnsaved[f] = struct{}{}
		}
	}
}
