package streamtracker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// sendDelay is how long an origin that nobody waits for is kept back, to be sent together with
	// others: the streams of an upstream are proven at once.
	sendDelay = 10 * time.Millisecond
	// proofCheckInterval is the time between two checks for running proofs at the end of a stop.
	proofCheckInterval = 10 * time.Millisecond
)

// outbox holds origins that are sent together. Its zero value is ready to use.
type outbox struct {
	mu         sync.Mutex
	list       []Origin
	deliveries []<-chan struct{} // those of a stop
}

// sendSoon sends an origin that nobody waits for.
func (k *Keeper) sendSoon(o Origin) {
	k.outbox.mu.Lock()
	defer k.outbox.mu.Unlock()
	if k.outbox.list = append(k.outbox.list, o); len(k.outbox.list) == 1 {
		time.AfterFunc(sendDelay, k.flush)
	}
}

func (k *Keeper) flush() {
	k.outbox.mu.Lock()
	list := k.outbox.list
	k.outbox.list = nil
	k.outbox.mu.Unlock()
	if len(list) == 0 {
		return
	}
	d := k.Send(list)
	if k.isStopping.Load() {
		k.outbox.mu.Lock()
		k.outbox.deliveries = append(k.outbox.deliveries, d.All)
		k.outbox.mu.Unlock()
	}
}

// startProof begins to prove the origin of a stream for which no client waits.
func (k *Keeper) startProof(stream string) {
	k.numProofs.Add(1)
	go func() {
		defer k.numProofs.Add(-1)
		k.proveUnawaited(stream)
	}()
}

// BeginStop proves the origins of the streams that clients may take up elsewhere, and sends them to
// their homes: once this instance has ended, nobody else knows those of services with one version.
// The same is done for streams that begin later. BeginStop does not wait.
func (k *Keeper) BeginStop() {
	k.isStopping.Store(true)
	numSent := k.sendUnreceived()
	streams := k.unproven.streams(time.Now())
	for _, stream := range streams {
		k.startProof(stream)
	}
	k.Log.Info("origins of streams sent for the stop", zap.Int("streams", numSent), zap.Int("unproven", len(streams)))
}

// sendUnreceived sends the origins of streams that clients may take up to their homes, together with those that
// are waiting for that.
func (k *Keeper) sendUnreceived() (numSent int) {
	var list []Origin
	for _, o := range k.Tracker.Unreceived(time.Now()) {
		if !k.History.HasSeveral(o.Service) { // the homes have the others
			list = append(list, o)
		}
	}
	k.outbox.mu.Lock()
	k.outbox.list = append(k.outbox.list, list...)
	k.outbox.mu.Unlock()
	k.flush()
	return len(list)
}

// EndStop sends the origins once more, since members may have come and calls failed, and waits until the homes
// have them, or have failed, or ctx ends.
func (k *Keeper) EndStop(ctx context.Context) {
	for k.numProofs.Load() > 0 && ctx.Err() == nil {
		sleeper.Sleep(ctx, proofCheckInterval)
	}
	k.sendUnreceived()
	k.outbox.mu.Lock()
	deliveries := k.outbox.deliveries
	k.outbox.mu.Unlock()
	numPending := 0
	for _, d := range deliveries {
		select {
		case <-d:
			continue
		default:
		}
		select {
		case <-d:
		case <-ctx.Done():
			numPending++
		}
	}
	if n := k.numProofs.Load(); n > 0 || numPending > 0 {
		k.Log.Warn("origins of streams may be lost with the stop", zap.Int64("unproven", n), zap.Int("deliveries", numPending))
	}
}
