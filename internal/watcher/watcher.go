// Package watcher keeps the membership of entry instances, from the platform's
// instance list and from what the peers say themselves.
//
// The list lags. An instance is out of use as soon as anything says so: the
// list, its own status, or a failed status query. It is in use again only by
// its own word. Only the list's word that a process has ended settles it.
package watcher

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	lru "github.com/hashicorp/golang-lru/v2"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

// Defaults of a Watcher.
const (
	DefaultInterval = 500 * time.Millisecond
	// DefaultLostAfter is how long a peer may be silent before it is lost.
	DefaultLostAfter = 2 * time.Second
)

// Member is an entry instance as this instance sees it.
type Member struct {
	Name string
	// Address is for peers, CallerAddress for callers.
	Address       string
	CallerAddress string
	DataCentre    string
	Incarnation   string
	// Leaving says that the list or the member itself says that it leaves.
	Leaving bool
	// Lost says that the peer did not answer for a while.
	Lost bool
	// Alive says that the peer answered or asked a short while ago. After a cut
	// in one direction a lost peer is still alive.
	Alive      bool
	NextOffset uint64
	Running    uint32
	Queued     uint32

	heard    time.Time // its last answer
	asked    time.Time // its last question
	ownWord  bool      // it says itself that it leaves
	listWord bool      // the list says that it leaves
	listRun  string    // incarnation that the list's word is about
}

// IsUsable reports whether new work may go to the member.
func (m Member) IsUsable() bool {
	return !m.Leaving && !m.Lost
}

// Watcher watches the members. Its fields must be set before Run.
type Watcher struct {
	Self       Member
	List       platformv1connect.InstanceListQueriesClient
	HTTP       *http.Client
	PeerScheme string // "http" unless set
	Interval   time.Duration
	LostAfter  time.Duration
	// OnChange, if set, is called after a round that changed who is usable.
	OnChange func([]Member)
	// OnStatus, if set, hears every status of a peer.
	OnStatus func(*peerv1.StatusResponse)

	// Now is time.Now unless set.
	Now func() time.Time

	mu       sync.RWMutex
	peers    map[string]Member
	gone     *lru.Cache[string, struct{}] // incarnations that the list names as ended
	rounds   int                          // rounds that ended after the list had been read
	listed   bool
	upstream map[string]*platformv1.Instance
	leaving  bool
}

// maxGone bounds the ended incarnations that are remembered.
const maxGone = 16384

func (w *Watcher) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

// IsKnown reports whether the list was read and its members were asked once.
func (w *Watcher) IsKnown() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.rounds > 0
}

// SetLeaving makes this instance say that it leaves.
func (w *Watcher) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// IsLeaving reports whether this instance leaves.
func (w *Watcher) IsLeaving() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.leaving
}

// Members returns all known members with this instance, sorted by name.
func (w *Watcher) Members() []Member {
	w.mu.RLock()
	defer w.mu.RUnlock()
	self := w.Self
	self.Leaving = w.leaving
	self.Alive = true
	out := make([]Member, 0, len(w.peers)+1)
	out = append(out, self)
	for _, p := range w.peers {
		p.Leaving = p.ownWord || p.listWord
		p.Alive = w.isAliveLocked(p)
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Member returns the member with the given name.
func (w *Watcher) Member(name string) (Member, bool) {
	for _, m := range w.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// IsGone reports whether the platform has said that the process ended.
func (w *Watcher) IsGone(incarnation string) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.gone != nil && w.gone.Contains(incarnation)
}

func (w *Watcher) isAliveLocked(p Member) bool {
	last := p.heard
	if p.asked.After(last) {
		last = p.asked
	}
	return !last.IsZero() && w.now().Sub(last) <= w.lostAfter()
}

func (w *Watcher) lostAfter() time.Duration {
	return cmp.Or(w.LostAfter, DefaultLostAfter)
}

// Asked notes that a peer asked for this instance's status. A peer that asks is
// alive, also if its own answers do not arrive.
func (w *Watcher) Asked(name, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.peers[name]
	if !ok || incarnation == "" || p.Incarnation != "" && p.Incarnation != incarnation {
		return
	}
	p.Incarnation = incarnation
	p.asked = w.now()
	w.peers[name] = p
}

// Upstream returns what the list last said of an upstream, nil for nothing.
func (w *Watcher) Upstream(name string) *platformv1.Instance {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.upstream[name]
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		w.round(ctx, interval)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// round reads the list and asks the peers, each with its own time-out: a list
// that hangs makes no peer look lost.
func (w *Watcher) round(ctx context.Context, interval time.Duration) {
	before := w.usable()
	w.bounded(ctx, 2*interval, w.readList)
	w.bounded(ctx, 2*interval, w.askPeers)
	w.mu.Lock()
	if w.listed {
		w.rounds++
	}
	w.mu.Unlock()
	if after := w.Members(); w.OnChange != nil && !slices.Equal(before, w.usable()) {
		w.OnChange(after)
	}
}

func (w *Watcher) bounded(ctx context.Context, d time.Duration, f func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	f(ctx)
}

func (w *Watcher) usable() []string {
	var out []string
	for _, m := range w.Members() {
		if m.IsUsable() {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// readList takes over names and addresses, and whose process has ended.
func (w *Watcher) readList(ctx context.Context) {
	resp, err := w.List.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		return
	}
	w.takeList(resp.Msg.GetInstances())
}

func (w *Watcher) takeList(list []*platformv1.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = true
	if w.peers == nil {
		w.peers = make(map[string]Member)
		w.gone, _ = lru.New[string, struct{}](maxGone) // fails for a size below 1 only
	}
	w.upstream = make(map[string]*platformv1.Instance)
	for _, in := range list {
		if in.GetRole() != platformv1.InstanceRole_INSTANCE_ROLE_ENTRY {
			w.upstream[in.GetName()] = in
			continue
		}
		w.applyListed(in)
	}
}

func (w *Watcher) applyListed(in *platformv1.Instance) {
	if in.GetState() == platformv1.InstanceState_INSTANCE_STATE_GONE {
		if in.GetIncarnation() != "" && in.GetIncarnation() != w.Self.Incarnation {
			w.gone.Add(in.GetIncarnation(), struct{}{})
		}
		if p, ok := w.peers[in.GetName()]; ok && p.Incarnation == in.GetIncarnation() {
			delete(w.peers, in.GetName())
		}
		return
	}
	if in.GetName() == w.Self.Name {
		return
	}
	p, ok := w.peers[in.GetName()]
	if !ok || p.Address != in.GetAddress() {
		p = Member{
			Name: in.GetName(), Address: in.GetAddress(), DataCentre: in.GetDataCentre(),
			Incarnation: in.GetIncarnation(), Lost: true, // until it answers
		}
	}
	p.listWord = in.GetState() == platformv1.InstanceState_INSTANCE_STATE_LEAVING
	p.listRun = cmp.Or(in.GetIncarnation(), p.Incarnation)
	if p.listRun != p.Incarnation && !p.heard.IsZero() {
		p.listWord = false // the list lags: it speaks of another run
	}
	w.peers[in.GetName()] = p
}

// askPeers asks every peer for its status.
func (w *Watcher) askPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range w.Members() {
		if m.Name == w.Self.Name {
			continue
		}
		wg.Go(func() {
			st, err := w.client(m).Status(ctx, &peerv1.StatusRequest{Instance: w.Self.Name, Incarnation: w.Self.Incarnation})
			w.applyStatus(m.Name, st, err)
			if err == nil && w.OnStatus != nil {
				w.OnStatus(st)
			}
		})
	}
	wg.Wait()
}

func (w *Watcher) client(m Member) peerv1.PeerQueries {
	return peerv1.NewPeerQueriesProtobufClient(w.url(m), w.HTTP)
}

func (w *Watcher) url(m Member) string {
	if w.PeerScheme == "" {
		return "http://" + m.Address
	}
	return w.PeerScheme + "://" + m.Address
}

// Commands returns a client of the member's commands.
func (w *Watcher) Commands(m Member) peerv1.PeerCommands {
	return peerv1.NewPeerCommandsProtobufClient(w.url(m), w.HTTP)
}

// Queries returns a client of the member's queries.
func (w *Watcher) Queries(m Member) peerv1.PeerQueries {
	return w.client(m)
}

func (w *Watcher) applyStatus(name string, st *peerv1.StatusResponse, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.peers[name]
	if !ok {
		return
	}
	now := w.now()
	switch {
	case err != nil:
		p.Lost = p.Lost || now.Sub(p.heard) > w.lostAfter()
	case st.GetInstance() != name:
		p.Lost = true // another instance has taken over the address
	default:
		p = w.heardFrom(p, st, now)
	}
	w.peers[name] = p
}

// heardFrom returns the member after its own word. The list's word that it
// leaves ends with the run that it is about.
func (w *Watcher) heardFrom(p Member, st *peerv1.StatusResponse, now time.Time) Member {
	if p.listWord && p.listRun == "" {
		p.listRun = st.GetIncarnation()
	}
	if p.listRun != st.GetIncarnation() {
		p.listWord = false
	}
	p.heard = now
	p.Lost = false
	p.Incarnation = st.GetIncarnation()
	p.ownWord = st.GetLeaving()
	p.NextOffset = st.GetNextOffset()
	p.CallerAddress = st.GetCallerAddress()
	p.Running = st.GetRunning()
	p.Queued = st.GetQueued()
	return p
}
