package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/logger"
)

const (
	// interval is the time between two looks at the lease.
	interval = 100 * time.Millisecond
	// callTimeout bounds a call to the store; it answers within some
	// milliseconds, and within some hundred when it is slow.
	callTimeout = 800 * time.Millisecond
	// relayTimeout bounds a call that goes through peers.
	relayTimeout = 1500 * time.Millisecond
	// lookPause is the time between two reads while no holder answers.
	lookPause = 600 * time.Millisecond
	// claimPause is the time between two tries to renew.
	claimPause = 400 * time.Millisecond
	// claimDelay leaves an instance that was killed the time to come back: its
	// next run may give orders at once, another instance may not.
	claimDelay = 2600 * time.Millisecond
)

// ErrMoved says that the topic does not end where the append expected.
var ErrMoved = errors.New("another claim came first")

// Store reads and writes claims.
type Store struct {
	// Newest returns the newest claim, zero if there is none, and the end of the topic.
	Newest func(ctx context.Context) (c Claim, end int64, err error)
	// Append adds a claim if the topic ends at the offset, and returns ErrMoved otherwise.
	Append func(ctx context.Context, c Claim, at int64) (offset int64, err error)
}

// Lease keeps a State up. Its exported fields must be set before Run.
type Lease struct {
	Store Store
	// Relay goes to the store through peers, for when this instance cannot.
	Relay Store
	// Self is the claim that this instance makes, without an offset.
	Self Claim
	// IsLed reports whether the holder answers this instance, which then has no
	// reason to look.
	IsLed func() bool
	Log   *zap.Logger
	Times Times
	// OnChange, if set, is called after the holder has changed.
	OnChange func(Claim)

	mu      sync.Mutex
	state   State
	unknown time.Duration // when the first append of unknown fate was sent, 0 for none
	leaving bool

	// Of the goroutine in Run.
	lost   time.Duration // when the holder stopped answering, 0 while it answers
	looked time.Duration
	tried  time.Duration // the last try to renew
}

// Run claims and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	l.mu.Lock()
	l.state.Times, l.state.Incarnation = l.Times, l.Self.Incarnation
	l.mu.Unlock()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		l.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (l *Lease) step(ctx context.Context) {
	now := clocker.Boot()
	l.mu.Lock()
	mine, due, leaving := l.state.IsMine(), l.state.IsDue(now), l.leaving
	l.mu.Unlock()
	switch {
	case leaving:
	case mine && due && now-l.tried < claimPause && l.tried != 0:
	case mine && due:
		l.tried = now
		l.claim(ctx, l.Newest().Offset+1)
	case mine:
	case l.IsLed():
		l.lost = 0
	case now-l.looked >= lookPause || l.looked == 0:
		l.look(ctx, now)
	}
}

// look reads the newest claim, and claims the lease if it is free.
func (l *Lease) look(ctx context.Context, now time.Duration) {
	if l.lost == 0 {
		l.lost = now
	}
	l.looked = now
	c, end, err := l.read(ctx)
	if err != nil {
		l.Log.Warn("lease not read", logger.Error(err))
		return
	}
	l.observe(c)
	l.mu.Lock()
	free := l.state.MayClaim(clocker.Boot()) && !l.state.IsMine()
	l.mu.Unlock()
	own := c.Holder == l.Self.Holder || c.IsZero()
	if free && !own && now-l.lost < claimDelay {
		return
	}
	// An earlier run of this instance has ended, whatever its lease says.
	if free || c.Holder == l.Self.Holder && c.Incarnation != l.Self.Incarnation {
		l.claim(ctx, end)
	}
}

// read returns the newest claim, from the store or through peers.
func (l *Lease) read(ctx context.Context) (Claim, int64, error) {
	own, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, end, err := l.Store.Newest(own)
	if err == nil || l.Relay.Newest == nil {
		return c, end, err
	}
	via, cancelVia := context.WithTimeout(ctx, relayTimeout)
	defer cancelVia()
	c, end, viaErr := l.Relay.Newest(via)
	if viaErr != nil {
		return c, end, errors.Join(err, viaErr)
	}
	return c, end, nil
}

// append appends a claim, through peers if the store does not answer. Both may
// be tried: only one of two appends at one offset succeeds.
func (l *Lease) append(ctx context.Context, c Claim, at int64) (int64, error) {
	own, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := l.Store.Append(own, c, at)
	if err == nil || errors.Is(err, ErrMoved) || l.Relay.Append == nil {
		return offset, err
	}
	via, cancelVia := context.WithTimeout(ctx, relayTimeout)
	defer cancelVia()
	offset, viaErr := l.Relay.Append(via, c, at)
	if viaErr != nil && !errors.Is(viaErr, ErrMoved) {
		return 0, errors.Join(err, viaErr)
	}
	if viaErr == nil {
		l.Log.Info("claim made through a peer", zap.Int64("token", offset), logger.Error(err))
	}
	return offset, viaErr
}

// claim appends a claim at the end of the topic.
func (l *Lease) claim(ctx context.Context, at int64) {
	sent := clocker.Boot()
	c := l.Self
	l.mu.Lock()
	c.FirstIn = l.state.FirstIn(c.Holder, sent)
	l.mu.Unlock()
	offset, err := l.append(ctx, c, at)
	switch {
	case err == nil:
		c.Offset = offset
		l.win(c, sent)
	case errors.Is(err, ErrMoved):
		// Perhaps it was this instance's own, made by a call without an answer.
		l.mu.Lock()
		if l.unknown == 0 {
			l.unknown = sent
		}
		l.mu.Unlock()
		if c, _, err := l.read(ctx); err != nil {
			l.Log.Warn("lease not read back", logger.Error(err))
		} else {
			l.observe(c)
		}
	default:
		// It may still be done, so a claim that is read back counts from here.
		l.mu.Lock()
		if l.unknown == 0 {
			l.unknown = sent
		}
		l.mu.Unlock()
		l.Log.Warn("claim of unknown fate", logger.Error(err), zap.Int64("at", at))
	}
}

func (l *Lease) win(c Claim, sent time.Duration) {
	l.mu.Lock()
	was := l.state.IsMine()
	l.state.Win(c, sent, clocker.Boot())
	l.unknown = 0
	wait := max(0, l.state.first-clocker.Boot())
	l.mu.Unlock()
	if !was {
		l.Log.Info("lease taken", zap.Int64("token", c.Offset), zap.Duration("first-order-in", wait))
		l.changed(c)
	}
}

func (l *Lease) observe(c Claim) {
	if c.IsZero() {
		return
	}
	now := clocker.Boot()
	l.mu.Lock()
	before, was := l.state.Newest(), l.state.IsMine()
	sent := now
	if l.unknown != 0 {
		sent = l.unknown
	}
	l.state.Observe(c, now, sent)
	after, is := l.state.Newest(), l.state.IsMine()
	if is {
		l.unknown = 0
	}
	l.mu.Unlock()
	if was && !is {
		l.Log.Warn("lease lost", zap.String("holder", after.Holder), zap.Int64("token", after.Offset))
	}
	if before.Incarnation != after.Incarnation || was != is {
		l.Log.Info("lease held", zap.String("holder", after.Holder), zap.String("incarnation", after.Incarnation),
			zap.Int64("token", after.Offset), zap.Bool("released", after.IsReleased))
		l.changed(after)
	}
}

// Observe takes over a claim that a peer told.
func (l *Lease) Observe(c Claim) {
	if c.Incarnation != l.Self.Incarnation {
		l.observe(c)
	}
}

// NoteEnded notes that a run of a holder's process has provably ended.
func (l *Lease) NoteEnded(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.NoteEnded(incarnation, clocker.Boot())
}

func (l *Lease) changed(c Claim) {
	if l.OnChange != nil {
		l.OnChange(c)
	}
}

// Newest returns the newest claim that is known.
func (l *Lease) Newest() Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Newest()
}

// IsMine reports whether this instance holds the lease and it has not ended.
func (l *Lease) IsMine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.IsMine() && clocker.Boot() < l.state.Until()
}

// Token returns the fencing token if this instance may give an order now.
func (l *Lease) Token() (token int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Newest().Offset, l.state.MayOrder(clocker.Boot())
}

// Release gives the lease back. No order may be given after the call, and none
// may be under way.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	mine := l.state.IsMine()
	c := l.Self
	at := l.state.Newest().Offset + 1
	c.IsReleased = true
	c.FirstIn = max(0, l.state.first-clocker.Boot())
	if mine {
		l.state.newest.IsReleased = true
	}
	l.mu.Unlock()
	if !mine {
		return
	}
	if _, err := l.append(ctx, c, at); err != nil {
		l.Log.Warn("lease not given back", logger.Error(err))
		return
	}
	l.Log.Info("lease given back", zap.Int64("token", at))
}
