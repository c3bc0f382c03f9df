package tallier

import (
	"context"
	"time"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// Run brings the counts to the holders until ctx ends.
func (t *Tallier) Run(ctx context.Context) {
	t.mu.Lock()
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	wake := t.wake
	t.mu.Unlock()
	tick := time.NewTicker(DefaultInterval)
	defer tick.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			all = true
		case <-wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(DefaultCoalesce):
			}
		}
		t.send(ctx, all)
		if all {
			t.forget(time.Now())
		}
	}
}

// send brings new demands to the holders, or all that are not idle.
func (t *Tallier) send(ctx context.Context, all bool) {
	own := false
	byHolder := make(map[string]*peerv1.WantRequest)
	now := time.Now()
	holders := t.holders(all)
	t.mu.Lock()
	for target, holder := range holders {
		if t.sending[holder] {
			continue // the next round sends it
		}
		l := t.localLocked(target)
		l.sent = true
		if holder == t.Instance {
			own = true
			continue
		}
		req := byHolder[holder]
		if req == nil {
			req = &peerv1.WantRequest{Instance: t.Instance}
			byHolder[holder] = req
		}
		req.Demands = append(req.Demands, l.message(target, now))
		l.arrived = 0
	}
	for holder := range byHolder {
		if t.sending == nil {
			t.sending = make(map[string]bool)
		}
		t.sending[holder] = true
	}
	t.mu.Unlock()
	if own && t.OnWant != nil {
		t.OnWant()
	}
	for holder, req := range byHolder {
		go func() {
			defer t.sent(holder)
			sctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := t.Send(sctx, holder, req); err != nil {
				t.unsend(req)
			}
		}()
	}
}

// sent says that nothing is on its way to the holder. One message at a time
// keeps them in order and bounds what a silent holder costs.
func (t *Tallier) sent(holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sending, holder)
}

// forget drops targets that were not used for long.
func (t *Tallier) forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, l := range t.local {
		if l.sent && l.waiting+l.running == 0 && now.Sub(l.lastUsed) > forgetAfter {
			delete(t.local, target)
		}
	}
	for instance, m := range t.remot {
		for target, r := range m {
			switch silent := now.Sub(r.heard); {
			case silent > forgetAfter:
				t.setRemoteLocked(m, target, remote{})
				delete(m, target)
			case silent > expiry:
				r.waiting, r.running, r.deadline = 0, 0, time.Time{}
				t.setRemoteLocked(m, target, r)
			}
		}
		if len(m) == 0 {
			delete(t.remot, instance)
		}
	}
}

// holders returns the holder of every target that has something to send. It
// asks without the lock, since those who view the state take the tally.
func (t *Tallier) holders(all bool) map[Target]string {
	t.mu.Lock()
	due := make(map[Target]string)
	for target, l := range t.local {
		if !l.sent || all && l.waiting+l.running > 0 {
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

// unsend makes the next round send the demands again.
func (t *Tallier) unsend(req *peerv1.WantRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range req.GetDemands() {
		l := t.localLocked(Target{d.GetModel(), d.GetAdapter()})
		l.sent = false
		l.arrived += int(d.GetArrived())
	}
}

func (l *local) message(target Target, now time.Time) *peerv1.Demand {
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
