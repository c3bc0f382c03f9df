package streamtracker

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/versioner"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	// maxHold bounds how long the first event of a stream waits until another instance
	// knows its version.
	maxHold = 50 * time.Millisecond
	// maxCorrectionHold bounds it if an earlier attempt at another version was recorded: no
	// home may then have only the record of that.
	maxCorrectionHold = 150 * time.Millisecond
	// askTimeout bounds the questions to the homes of a stream.
	askTimeout = 200 * time.Millisecond
	// loadTimeout bounds the read of the saved versions, and readTimeout that of the registrations.
	loadTimeout = 300 * time.Millisecond
	readTimeout = 300 * time.Millisecond
	// unknownRetryAfter is the retry delay of a stream that no instance knows.
	unknownRetryAfter = 8 * time.Second
	// unloadedRetryAfter is that of a stream whose origin may be saved, while the platform's
	// log does not respond.
	unloadedRetryAfter = time.Second
)

// Delivery is a record on its way to its homes.
type Delivery struct {
	// First is closed when one home has it, or no home can be reached. All is closed when
	// each home has it or has failed.
	First, All <-chan struct{}
}

// Answer is the answer of another instance to a question about a stream.
type Answer struct {
	Origin  Origin
	IsKnown bool // the origin
	// Versions are those of the service that the other instance knows of, and IsFresh
	// reports whether it has read the registrations lately.
	Versions Versions
	IsFresh  bool
}

// Keeper records and finds the software versions of streams. Its fields must be set.
type Keeper struct {
	Tracker *Tracker
	History *History
	// Send sends origins to their homes.
	Send func([]Origin) Delivery
	// Ask asks the homes of a stream, and returns how many it has asked.
	Ask func(ctx context.Context, stream, service string) (answers []Answer, numAsked int)
	// Load returns the versions of a service that are saved in the platform's log.
	Load func(ctx context.Context, service string) (Versions, error)
	// Archive, if set, saves bound origins in the platform's log, without a wait, and LoadArchive
	// adds what is saved there to the tracker.
	Archive     func(...Origin)
	LoadArchive func(ctx context.Context) error
	// Defaults knows the default software versions of models, nil for none.
	Defaults *versioner.Follower
	// IsSaving reports whether the platform's log takes origins, as far as is known. Save saves one and
	// returns once it is saved, and LoadArchiveSince is LoadArchive for all that was saved before a time.
	IsSaving         func() bool
	Save             func(context.Context, Origin) error
	LoadArchiveSince func(ctx context.Context, at time.Time) error
	// Era returns the newest known era of the platform's log.
	Era func() int64
	// IsFresh reports whether this instance has read the registrations lately.
	IsFresh func() bool
	// ReadCurrent returns once all registrations are known that were there when it was called.
	ReadCurrent func(ctx context.Context) error
	Log         *zap.Logger

	unproven   unproven
	runs       runs
	isStopping atomic.Bool
	numProofs  atomic.Int64 // that no client waits for
	outbox     outbox
}

// Begin records that an attempt to begin a stream is made. It returns nil if no other
// instance has to know.
func (k *Keeper) Begin(o Origin) *Delivery {
	k.Tracker.Record(o, time.Now())
	if !k.History.HasSeveral(o.Service) {
		return nil
	}
	d := k.Send([]Origin{o})
	return &d
}

// Bind records that an attempt has brought the first event of its stream. If the homes may have
// the record of another attempt, it returns the delivery of this one. verify, if not nil, waits
// until it is known whether the registered process has sent the event, and reports that. It is called
// if the origin is unproven, once it matters.
func (k *Keeper) Bind(o Origin, mayDiffer bool, verify func(context.Context) bool) *Delivery {
	o.IsBound = true
	k.Tracker.Record(o, time.Now())
	hasSeveral := k.History.HasSeveral(o.Service)
	switch {
	case o.IsUnproven:
		k.unproven.add(o, verify, time.Now())
		if k.IsAtRisk(o.Service) || k.isStopping.Load() {
			k.startProof(o.Stream)
		}
	case hasSeveral:
		k.archive(o)
	}
	isAtRisk := hasSeveral || o.IsUnproven && k.IsAtRisk(o.Service)
	wasUnproven := verify != nil // when it was sent before the attempt
	if !isAtRisk && k.isStopping.Load() {
		k.sendSoon(o)
	}
	if !isAtRisk || !mayDiffer && !wasUnproven {
		return nil
	}
	d := k.Send([]Origin{o})
	if !mayDiffer {
		return nil
	}
	return &d
}

// IsAtRisk reports whether upstreams of a service may be of several software versions.
func (k *Keeper) IsAtRisk(service string) bool {
	return k.History.HasSeveral(service) || k.IsFresh != nil && !k.IsFresh()
}

// Await waits before the first event of a stream until the record is at another instance, for
// a bounded time. isCorrection says that an earlier attempt was at another version.
func (k *Keeper) Await(ctx context.Context, d *Delivery, isCorrection bool) {
	if d == nil {
		return
	}
	done, limit := d.First, maxHold
	if isCorrection {
		done, limit = d.All, maxCorrectionHold
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Spread sends the streams of a service that this instance knows to their homes, and has those
// saved that are bound.
func (k *Keeper) Spread(service string) {
	list := k.Tracker.OfService(service, time.Now())
	if len(list) == 0 {
		return
	}
	k.Send(list)
	var bound []Origin
	for _, o := range list {
		switch {
		case o.IsBound && o.IsUnproven:
			k.startProof(o.Stream)
		case o.IsBound:
			bound = append(bound, o)
		}
	}
	k.archive(bound...)
}

func (k *Keeper) archive(list ...Origin) {
	if k.Archive != nil && len(list) > 0 {
		k.Archive(list...)
	}
}

// Resolve returns the software version at which a stream began. It returns a refusal if
// that is not known and the service has had several. The proof of an origin that is known here is
// waited for until ctx ends.
func (k *Keeper) Resolve(ctx context.Context, stream, service, model string) (string, error) {
	own, isKnown := k.Tracker.Find(stream, time.Now())
	proof := proofFailed
	if isKnown = isKnown && own.Service == service; isKnown {
		if !k.IsAtRisk(service) {
			return own.Software, nil
		}
		if proof = k.proveWithin(ctx, stream, proofTimeout); proof == proofFound {
			return own.Software, nil
		}
	}
	actx, cancel := context.WithTimeout(ctx, askTimeout)
	answers, numAsked := k.Ask(actx, stream, service)
	cancel()
	now := time.Now()
	o, ok := latest(answers)
	if !ok && !isKnown {
		o, ok = k.FindRun(stream, service, now)
	}
	if ok && o.Service == service {
		k.Tracker.Record(o, now)
		if !o.IsUnproven {
			return o.Software, nil
		}
		isKnown = true
	}
	versions, err := k.onlyVersion(ctx, service, answers, numAsked, isKnown)
	var noDefault string // why the default version was not taken
	if err != nil {
		o, ok, lerr := k.findArchived(ctx, stream, service)
		if ok {
			k.Log.Info("stream of saved version taken up", zap.String("stream", stream), zap.String("service", service), zap.String("software", o.Software))
			return o.Software, nil
		}
		if proof == proofPending && k.Prove(ctx, stream) {
			return own.Software, nil
		}
		if !isKnown && lerr == nil {
			software, derr := k.findByDefault(ctx, stream, service, model)
			if derr == nil {
				k.Log.Info("stream without a record taken up", zap.String("stream", stream), zap.String("service", service), zap.String("software", software))
				return software, nil
			}
			noDefault = derr.Error()
		}
		if lerr != nil {
			err = verdict.Refuse(verdict.ReasonUnknownOrigin, unloadedRetryAfter, "it is not known which version began the stream: saved origins not loaded: %v", lerr)
		}
	}
	k.Log.Info("stream of unknown version taken up", zap.String("stream", stream), zap.String("service", service),
		zap.Bool("unproven", isKnown), zap.Int("asked", numAsked), zap.Int("answers", len(answers)), zap.Strings("versions", versions), zap.String("no-default", noDefault), logger.Error(err))
	if err != nil {
		return "", err
	}
	return versions[0], nil
}

// findArchived returns the origin of a stream that is saved in the platform's log.
func (k *Keeper) findArchived(ctx context.Context, stream, service string) (o Origin, ok bool, err error) {
	if k.LoadArchive == nil {
		return Origin{}, false, nil
	}
	if err := k.LoadArchive(ctx); err != nil {
		return Origin{}, false, err
	}
	o, ok = k.Tracker.Find(stream, time.Now())
	return o, ok && o.IsBound && !o.IsUnproven && o.Service == service, nil
}

// latest returns the origin that is bound, or else that of the latest attempt.
func latest(answers []Answer) (best Origin, ok bool) {
	for _, a := range answers {
		if a.IsKnown && (!ok || a.Origin.supersedes(best)) {
			best, ok = a.Origin, true
		}
	}
	return best, ok
}

// onlyVersion returns the versions that a service has had as far as this and the responding
// instances know. It returns a refusal unless it is known to be a single one. isUnproven says that
// the stream is known, and the process that began it is not.
func (k *Keeper) onlyVersion(ctx context.Context, service string, answers []Answer, numAsked int, isUnproven bool) ([]string, error) {
	now := time.Now()
	isFresh := k.IsFresh()
	for _, a := range answers {
		isFresh = isFresh || a.IsFresh
		k.History.Merge(service, a.Versions, now)
	}
	// An instance that does not answer may know a version that was registered since this one has
	// read the registrations.
	var readErr error
	if numAsked == 0 || len(answers) < numAsked {
		rctx, cancel := context.WithTimeout(ctx, readTimeout)
		readErr = k.ReadCurrent(rctx)
		cancel()
		isFresh = isFresh || readErr == nil && k.IsFresh()
	}
	known := k.History.Versions(service, time.Now())
	if len(known.Ages) == 1 && !known.IsComplete() {
		lctx, cancel := context.WithTimeout(ctx, loadTimeout)
		saved, err := k.Load(lctx, service)
		cancel()
		if err != nil {
			k.Log.Info("saved software versions not loaded", logger.Error(err))
		} else {
			k.History.Merge(service, saved, time.Now())
			known = k.History.Versions(service, time.Now())
		}
	}
	list := slices.Sorted(maps.Keys(known.Ages))
	switch {
	case len(list) != 1:
		return list, refuse("the service has had %d software versions", len(list))
	case !known.IsComplete():
		return list, refuse("software versions of the service are known for %v only", known.Covered.Round(time.Millisecond))
	case isUnproven && !isFresh:
		return list, refuse("registrations are old, and another process than the registered one may have begun the stream")
	case (!isFresh || readErr != nil) && (numAsked == 0 || 2*len(answers) < numAsked):
		// Instances that are cut off together would miss a new version.
		return list, refuse("registrations are old, and %d of %d instances answer: %v", len(answers), numAsked, readErr)
	}
	return list, nil
}

func refuse(format string, args ...any) error {
	return verdict.Refuse(verdict.ReasonUnknownOrigin, unknownRetryAfter, "it is not known which version began the stream: "+format, args...)
}
