package losstracker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// minSaveInterval is the least time between two calls that save poison requests.
	minSaveInterval = 100 * time.Millisecond
	// tidyInterval is the time between two removals of old poison requests by the holder.
	tidyInterval = LossTTL / 4
	// loadRetryInterval is the time between two attempts to load the saved ones, and
	// between two checks for requests that could not be saved.
	loadRetryInterval = 2 * time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 800 * time.Millisecond
)

// Poison is a poison request as it is kept in the platform's log.
type Poison struct {
	Fingerprint uint64
	// Losses are those that count, none if the request is no poison request any more.
	Losses []Loss
	// At is the time of its latest loss.
	At time.Time

	level level
}

// Store keeps poison requests in the platform's log.
type Store struct {
	// Load returns the saved poison requests, and the errors of the records that are
	// malformed.
	Load func(context.Context) (list []Poison, malformed []error, err error)
	// Save saves poison requests, and removes those without losses.
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
	// MaySaveForOthers, if set, reports whether this instance is one of a few that also save the
	// requests that only others have observed if a restored log may have lost them. There may be no
	// holder, and the observers may have ended.
	MaySaveForOthers func() bool
	// After, if not nil, is closed when the first load may begin.
	After <-chan struct{}
	Log   *zap.Logger

	isLoaded  bool
	tidiedAt  time.Time // zero while this instance does not hold the lease
	initOnce  sync.Once
	firstLoad chan struct{} // closed after the first load, whatever its result
}

// saving is what is to be saved or removed.
type saving struct {
	requests map[uint64]struct{}
	wake     chan struct{}
	// numRestores counts the restores of the log. What was read or written before the latest one
	// says nothing about the log.
	numRestores int
}

// Run loads the saved poison requests, and saves new ones as soon as they are known until
// ctx ends, and once more then.
func (s *Saver) Run(ctx context.Context) {
	if s.After != nil {
		select {
		case <-s.After:
		case <-ctx.Done():
			return
		}
	}
	tick := time.NewTicker(loadRetryInterval)
	defer tick.Stop()
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		if !s.isLoaded {
			if err := s.load(ctx, time.Now()); err != nil {
				s.Log.Warn("poison requests could not be loaded", logger.Error(err))
			}
		}
		if isFirst {
			close(s.firstLoaded())
		}
		s.tidy(ctx, time.Now())
		s.save(ctx)
		sleeper.Sleep(ctx, minSaveInterval)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.Tracker.saveWake():
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	s.save(last)
}

// FirstLoad returns a channel that is closed after the first attempt to load the saved
// poison requests.
func (s *Saver) FirstLoad() <-chan struct{} { return s.firstLoaded() }

func (s *Saver) firstLoaded() chan struct{} {
	s.initOnce.Do(func() { s.firstLoad = make(chan struct{}) })
	return s.firstLoad
}

func (s *Saver) load(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	numRestores := s.Tracker.numRestores()
	list, malformed, err := s.Store.Load(ctx)
	if err != nil {
		return err
	}
	for _, err := range malformed {
		s.Log.Warn("record of a poison request is malformed", logger.Error(err))
	}
	s.isLoaded = true
	old := s.Tracker.mergeSaved(list, numRestores, now)
	s.Log.Info("poison requests loaded", zap.Int("requests", len(list)), zap.Int("expired", len(old)))
	if !s.IsHolder() {
		return nil
	}
	if len(old) > 0 {
		if err := s.Store.Save(ctx, old); err != nil {
			return err
		}
	}
	s.tidiedAt = now
	return nil
}

// tidy removes the poison requests that have expired from the log, if this instance holds
// the lease: soon after it took it, and every tidyInterval.
func (s *Saver) tidy(ctx context.Context, now time.Time) {
	switch {
	case !s.IsHolder():
		s.tidiedAt = time.Time{}
		return
	case !s.isLoaded || !s.tidiedAt.IsZero() && now.Sub(s.tidiedAt) < tidyInterval:
		return
	}
	if err := s.load(ctx, now); err != nil {
		s.Log.Warn("old poison requests could not be removed", logger.Error(err))
	}
}

func (s *Saver) save(ctx context.Context) {
	numRestores := s.Tracker.numRestores()
	list := s.Tracker.unsaved(s.IsHolder(), s.MaySaveForOthers != nil && s.MaySaveForOthers())
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.Store.Save(ctx, list); err != nil {
		s.Log.Warn("poison requests could not be saved", zap.Int("requests", len(list)), logger.Error(err))
		return
	}
	s.Tracker.recordSaved(list, numRestores)
	s.Log.Info("poison requests saved", zap.Int("requests", len(list)))
}

// level is how much is known against a request.
type level uint8

const (
	harmless level = iota
	// suspect means that another loss may make it a poison request. It is kept in the log
	// as well, since all instances that know of its losses may end.
	suspect
	poisonous
)

func (r *request) level() level {
	counted, _ := r.numLosses()
	switch {
	case r.isPoison():
		return poisonous
	case counted >= SharedThreshold:
		return suspect
	}
	return harmless
}

// updateSavingLocked marks a request to be saved or removed if its level has changed.
func (t *Tracker) updateSavingLocked(fingerprint uint64, r *request) {
	if r.level() == r.savedLevel {
		delete(t.saving.requests, fingerprint)
		return
	}
	t.saving.requests[fingerprint] = struct{}{}
	select {
	case t.saveWakeLocked() <- struct{}{}:
	default:
	}
}

func (t *Tracker) saveWake() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.saveWakeLocked()
}

func (t *Tracker) saveWakeLocked() chan struct{} {
	if t.saving.wake == nil {
		t.saving.wake = make(chan struct{}, 1)
	}
	return t.saving.wake
}

// mergeSaved merges the saved poison requests, and returns the expired ones without
// their losses.
func (t *Tracker) mergeSaved(list []Poison, numRestores int, now time.Time) (expired []Poison) {
	t.mu.Lock()
	var events []event
	for _, p := range list {
		if age := now.Sub(p.At); age.Abs() > LossTTL { // one from the future would never expire
			expired = append(expired, Poison{Fingerprint: p.Fingerprint})
			continue
		}
		for _, l := range p.Losses {
			events = append(events, t.addLocked(loss{Loss: l, learnedAt: now}, Learned, now)...)
		}
		if r := t.requestLocked(p.Fingerprint, now); r != nil && numRestores == t.saving.numRestores {
			r.isSaveLost = false
			r.savedLevel = suspect
			if len(p.Losses) >= PoisonThreshold {
				r.savedLevel = poisonous
			}
			t.updateSavingLocked(p.Fingerprint, r)
		}
	}
	t.mu.Unlock()
	t.notify(events)
	return expired
}

// unsaved returns the poison requests to save or remove: those with a loss that this
// instance observed, also those that the log may have lost, or all.
func (t *Tracker) unsaved(all, lost bool) []Poison {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Poison
	for f := range t.saving.requests {
		r, _ := t.requests.Peek(f)
		isOurs := all || r.isOwn || lost && r.isSaveLost
		if !isOurs || len(out) == maxReported {
			continue
		}
		p := Poison{Fingerprint: f, At: r.latestAt}
		if p.level = r.level(); p.level != harmless {
			for _, l := range r.losses {
				if l.counts() {
					p.Losses = append(p.Losses, l.Loss)
				}
			}
		}
		out = append(out, p)
	}
	return out
}

func (t *Tracker) recordSaved(list []Poison, numRestores int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if numRestores != t.saving.numRestores {
		return
	}
	for _, p := range list {
		if r, ok := t.requests.Peek(p.Fingerprint); ok {
			r.savedLevel, r.isSaveLost = p.level, false
			t.updateSavingLocked(p.Fingerprint, r)
		}
	}
}

func (t *Tracker) numRestores() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.saving.numRestores
}

// RecordRestore records that the platform's log came back from an older copy, which may
// have lost what was saved.
func (t *Tracker) RecordRestore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saving.numRestores++
	if t.requests == nil {
		return
	}
	for _, f := range t.requests.Keys() {
		r, _ := t.requests.Peek(f)
		r.isSaveLost = r.isSaveLost || r.level() != harmless
		r.savedLevel = harmless
		t.updateSavingLocked(f, r)
	}
}
