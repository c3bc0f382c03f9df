package streamtracker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/versioner"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// commitTimeout is how long the first event of a stream waits until its origin is recorded. A late first event
// is better for the caller than none: on a busy machine an append may take a second.
const commitTimeout = 2 * time.Second

// StartVersion returns the only software version at which a stream of a model may begin now, nil for any.
// While no record can be saved, that is the default version. It returns a refusal if that is not known.
func (k *Keeper) StartVersion(ctx context.Context, service, model string) (*string, error) {
	if k.Defaults == nil || k.IsSaving() || !k.History.HasSeveral(service) {
		return nil, nil
	}
	switch v, state := k.Defaults.Find(ctx, service, model); state {
	case versioner.Known:
		return &v, nil
	case versioner.Absent:
		return nil, nil
	default:
		return nil, verdict.Refuse(verdict.ReasonUnknownOrigin, unloadedRetryAfter, "the stream could not be taken up again: its origin cannot be saved, and the default version of the model is not known")
	}
}

// Commit waits, before the first event of a stream is forwarded, until its origin can be found without this
// instance and the homes of the stream: it follows from the default version of the model, or it is saved. It
// returns a refusal if that takes too long. o must have been passed to Bind.
func (k *Keeper) Commit(ctx context.Context, o Origin, model string) error {
	if k.Defaults == nil {
		return nil
	}
	hasSeveral := k.History.HasSeveral(o.Service)
	version, state := k.Defaults.Default(o.Service, model, time.Now())
	if state == versioner.Unknown && hasSeveral {
		version, state = k.Defaults.Find(ctx, o.Service, model)
	}
	isDefault := state == versioner.Known && version == o.Software
	switch {
	case state == versioner.Unknown && !hasSeveral && !k.Defaults.IsOther(o.Service, model, o.Software):
		if _, ok := k.Defaults.ContactAge(time.Now()); !ok && !o.IsUnproven {
			o.IsBound = true
			k.archive(o) // the holder of the lease does not know that this instance may have begun a stream
		}
		return nil
	case state == versioner.Absent:
		return nil
	case isDefault && (!hasSeveral || !o.IsUnproven || k.IsSaving()):
		return nil
	}
	began := time.Now()
	cctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var err error
	if o.IsUnproven && !k.Prove(cctx, o.Stream) {
		err = errors.New("the process is not known to be the registered one")
	}
	if err == nil && !isDefault {
		o.IsBound, o.IsUnproven = true, false
		err = k.Save(cctx, o)
	}
	if err == nil {
		return nil
	}
	k.Log.Info("stream not begun", zap.String("stream", o.Stream), zap.String("service", o.Service), zap.String("software", o.Software),
		zap.String("default", version), zap.Duration("waited", time.Since(began)), logger.Error(err))
	return verdict.Refuse(verdict.ReasonUnknownOrigin, unloadedRetryAfter, "the stream could not be taken up again: %v", err)
}

// findByDefault returns the version of a stream that no instance and no record names. The error says why it
// is not known.
func (k *Keeper) findByDefault(ctx context.Context, stream, service, model string) (string, error) {
	if k.Defaults == nil {
		return "", errors.New("no default versions")
	}
	version, era, err := k.Defaults.Origin(ctx, service, model)
	if err != nil {
		return "", err
	}
	// Records from before the default version was read take precedence.
	if err := k.LoadArchiveSince(ctx, time.Now()); err != nil {
		return "", err
	}
	if now := k.Era(); now != era {
		return "", errors.Newf("the default versions are of era %d, the log is of era %d", era, now)
	}
	if o, isKnown := k.Tracker.Find(stream, time.Now()); isKnown {
		if !o.IsBound || o.IsUnproven || o.Service != service {
			return "", errors.New("an attempt to begin the stream is known, and not its origin")
		}
		return o.Software, nil
	}
	return version, nil
}
