package tallier

import (
	"context"
	"time"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// Run sends the counts to the holders until ctx ends.
func (t *Tallier) Run(ctx context.Context) {
	t.mu.Lock()
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	wake := t.wake
	t.mu.Unlock()
	tick := time.NewTicker(DefaultSendInterval)
	defer tick.Stop()
	for {
		renew := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			renew = true
		case <-wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(DefaultCoalesceDelay):
			}
		}
		t.send(ctx, renew)
		if renew {
			t.expire(time.Now())
		}
	}
}

// send sends the counts that have changed to the holders. With renew it also
// sends those of all targets that have requests.
func (t *Tallier) send(ctx context.Context, renew bool) {
	ownsTarget := false
	byHolder := make(map[string]*peerv1.WantRequest)
	now := time.Now()
	holders := t.dueHolders(renew)
	t.mu.Lock()
	for target, holder := range holders {
		if t.sending[holder] {
			continue // a later call of send sends it
		}
		l := t.localLocked(target)
		l.isSent = true
		if holder == t.Instance {
			ownsTarget = true
			continue
		}
		req := byHolder[holder]
		if req == nil {
			req = &peerv1.WantRequest{Instance: t.Instance}
			byHolder[holder] = req
		}
		req.Demands = append(req.Demands, l.toProto(target, now))
		l.arrived = 0
	}
	for holder := range byHolder {
		if t.sending == nil {
			t.sending = make(map[string]bool)
		}
		t.sending[holder] = true
	}
	t.mu.Unlock()
	if ownsTarget && t.OnDemandChange != nil {
		t.OnDemandChange()
	}
	for holder, req := range byHolder {
		go func() {
			defer t.endSend(holder)
			sctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := t.Send(sctx, holder, req); err != nil {
				t.markUnsent(req)
			}
		}()
	}
}

// endSend records that no message to the holder is in flight any more. Sending
// one message at a time keeps the messages in order and limits the goroutines
// that wait for a holder that does not respond.
func (t *Tallier) endSend(holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sending, holder)
}

// expire resets peers' counts that are older than remoteTTL, and removes targets
// that were not used for idleTargetTTL.
func (t *Tallier) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, l := range t.local {
		if l.isSent && l.waiting+l.running == 0 && now.Sub(l.lastUsed) > idleTargetTTL {
			delete(t.local, target)
		}
	}
	for instance, m := range t.remote {
		for target, r := range m {
			switch age := now.Sub(r.receivedAt); {
			case age > idleTargetTTL:
				t.setRemoteLocked(m, target, remoteCounts{})
				delete(m, target)
			case age > remoteTTL:
				r.waiting, r.running, r.deadline = 0, 0, time.Time{}
				t.setRemoteLocked(m, target, r)
			}
		}
		if len(m) == 0 {
			delete(t.remote, instance)
		}
	}
}

// dueHolders returns the holder of every target whose counts are to be sent. It
// calls Holder without the Tallier's lock: Holder takes the lock of the
// replicated state, and a caller that has that lock may call TakeDemand, so the
// two could deadlock.
func (t *Tallier) dueHolders(renew bool) map[Target]string {
	t.mu.Lock()
	due := make(map[Target]string)
	for target, l := range t.local {
		if !l.isSent || renew && l.waiting+l.running > 0 {
			due[target] = ""
		}
	}
	t.mu.Unlock()
	for target := range due {
		holder := t.Holder(target.Model)
		if holder == "" {
			delete(due, target)
			continue
		}
		due[target] = holder
	}
	return due
}

// markUnsent makes a later call of send send the demands again.
func (t *Tallier) markUnsent(req *peerv1.WantRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range req.GetDemands() {
		l := t.localLocked(Target{d.GetModel(), d.GetAdapter()})
		l.isSent = false
		l.arrived += int(d.GetArrived())
	}
}

func (l *localCounts) toProto(target Target, now time.Time) *peerv1.Demand {
	d := l.demand()
	m := &peerv1.Demand{
		Model: target.Model, Adapter: target.Adapter, Waiting: uint32(d.Waiting),
		Running: uint32(d.Running), Arrived: uint32(d.Arrived), Class: uint32(d.Class),
	}
	if !d.Deadline.IsZero() {
		m.SlackMs = uint32(max(0, d.Deadline.Sub(now).Milliseconds()))
	}
	return m
}
