// Package watcher tracks the membership of the entry instances, from the platform's
// instance list and from the peers' own status.
//
// The list lags. An instance becomes unusable as soon as one source reports it as
// leaving or unreachable: the list, its own status, or failed status queries. It
// becomes usable again only by its own status. Only the list can report that a
// process has ended, and that is final.
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
	// DefaultUnreachableAfter is how long a peer may fail to respond before it
	// counts as unreachable.
	DefaultUnreachableAfter = 2 * time.Second
)

// Member is an entry instance with its state as known to this instance.
type Member struct {
	Name string
	// Address is the address for peers, CallerAddress the one for callers.
	Address       string
	CallerAddress string
	DataCentre    string
	Incarnation   string
	// IsLeaving is set if the list or the member itself reports that it is leaving.
	IsLeaving bool
	// IsUnreachable is set until the peer's first response, and after it has not
	// responded to status queries for UnreachableAfter.
	IsUnreachable bool
	// IsAlive is set if the peer has responded to a status query or sent one within
	// UnreachableAfter. If the network fails in one direction only, an unreachable
	// peer may still be alive.
	IsAlive    bool
	NextOffset uint64
	Running    uint32
	Queued     uint32

	lastResponse      time.Time // to a status query of this instance
	lastQuery         time.Time // status query that the member sent
	reportsLeaving    bool      // in its own status
	isListedLeaving   bool      // in the list
	listedIncarnation string    // incarnation to which isListedLeaving applies
}

// IsUsable reports whether new requests may be sent to the member.
func (m Member) IsUsable() bool {
	return !m.IsLeaving && !m.IsUnreachable
}

// Watcher tracks the members. Its fields must be set before Run.
type Watcher struct {
	Self             Member
	List             platformv1connect.InstanceListQueriesClient
	HTTP             *http.Client
	PeerScheme       string        // "http" unless set
	Interval         time.Duration // between two rounds; DefaultInterval if zero
	UnreachableAfter time.Duration // DefaultUnreachableAfter if zero
	// OnChange, if set, is called after a round that changed the set of usable
	// members.
	OnChange func([]Member)
	// OnStatus, if set, is called with every status that a peer returns.
	OnStatus func(*peerv1.StatusResponse)

	// Now is time.Now unless set.
	Now func() time.Time

	mu                sync.RWMutex
	peers             map[string]Member
	endedIncarnations *lru.Cache[string, struct{}] // as reported by the list
	numRounds         int                          // completed rounds since the list was first read
	hasList           bool
	upstreams         map[string]*platformv1.Instance // by name
	isLeaving         bool
}

// maxEndedIncarnations bounds the ended incarnations that are remembered.
const maxEndedIncarnations = 16384

func (w *Watcher) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

// AreMembersKnown reports whether the list has been read and its members have
// been queried at least once.
func (w *Watcher) AreMembersKnown() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.numRounds > 0
}

// SetLeaving makes this instance report that it is leaving.
func (w *Watcher) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isLeaving = true
}

// IsLeaving reports whether this instance is leaving.
func (w *Watcher) IsLeaving() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.isLeaving
}

// Members returns all known members, including this instance, sorted by name.
func (w *Watcher) Members() []Member {
	w.mu.RLock()
	defer w.mu.RUnlock()
	self := w.Self
	self.IsLeaving = w.isLeaving
	self.IsAlive = true
	out := make([]Member, 0, len(w.peers)+1)
	out = append(out, self)
	for _, p := range w.peers {
		p.IsLeaving = p.reportsLeaving || p.isListedLeaving
		p.IsAlive = w.isAliveLocked(p)
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

// HasProcessEnded reports whether the platform's list has reported that the
// process of an incarnation has ended.
func (w *Watcher) HasProcessEnded(incarnation string) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.endedIncarnations != nil && w.endedIncarnations.Contains(incarnation)
}

func (w *Watcher) isAliveLocked(p Member) bool {
	last := p.lastResponse
	if p.lastQuery.After(last) {
		last = p.lastQuery
	}
	return !last.IsZero() && w.now().Sub(last) <= w.unreachableAfter()
}

func (w *Watcher) unreachableAfter() time.Duration {
	return cmp.Or(w.UnreachableAfter, DefaultUnreachableAfter)
}

// RecordQuery records that a peer has queried this instance's status. A peer that
// sends queries is alive even if its responses do not arrive.
func (w *Watcher) RecordQuery(name, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.peers[name]
	if !ok || incarnation == "" || p.Incarnation != "" && p.Incarnation != incarnation {
		return
	}
	p.Incarnation = incarnation
	p.lastQuery = w.now()
	w.peers[name] = p
}

// ListedInstance returns an upstream's entry in the instance list as last read,
// or nil if it has none.
func (w *Watcher) ListedInstance(name string) *platformv1.Instance {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.upstreams[name]
}

// Run tracks the members until ctx ends.
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

// round reads the list and queries the peers. Each step has its own timeout, so that
// a list that does not respond does not make the peers appear unreachable.
func (w *Watcher) round(ctx context.Context, interval time.Duration) {
	before := w.usableIncarnations()
	w.withTimeout(ctx, 2*interval, w.readList)
	w.withTimeout(ctx, 2*interval, w.queryPeers)
	w.mu.Lock()
	if w.hasList {
		w.numRounds++
	}
	w.mu.Unlock()
	if after := w.Members(); w.OnChange != nil && !slices.Equal(before, w.usableIncarnations()) {
		w.OnChange(after)
	}
}

func (w *Watcher) withTimeout(ctx context.Context, d time.Duration, f func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	f(ctx)
}

// usableIncarnations returns the incarnations of the usable members, in the order of
// their names.
func (w *Watcher) usableIncarnations() []string {
	var out []string
	for _, m := range w.Members() {
		if m.IsUsable() {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// readList reads the instance list and applies it. If that fails, the members stay
// as they are.
func (w *Watcher) readList(ctx context.Context) {
	resp, err := w.List.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		return
	}
	w.applyList(resp.Msg.GetInstances())
}

func (w *Watcher) applyList(list []*platformv1.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasList = true
	if w.peers == nil {
		w.peers = make(map[string]Member)
		w.endedIncarnations, _ = lru.New[string, struct{}](maxEndedIncarnations) // fails only for a size below 1
	}
	w.upstreams = make(map[string]*platformv1.Instance)
	for _, in := range list {
		if in.GetRole() != platformv1.InstanceRole_INSTANCE_ROLE_ENTRY {
			w.upstreams[in.GetName()] = in
			continue
		}
		w.applyInstance(in)
	}
}

// applyInstance applies the list's state of one entry instance.
func (w *Watcher) applyInstance(in *platformv1.Instance) {
	if in.GetState() == platformv1.InstanceState_INSTANCE_STATE_GONE {
		if in.GetIncarnation() != "" && in.GetIncarnation() != w.Self.Incarnation {
			w.endedIncarnations.Add(in.GetIncarnation(), struct{}{})
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
			Incarnation: in.GetIncarnation(), IsUnreachable: true, // until it responds
		}
	}
	p.isListedLeaving = in.GetState() == platformv1.InstanceState_INSTANCE_STATE_LEAVING
	p.listedIncarnation = cmp.Or(in.GetIncarnation(), p.Incarnation)
	if p.listedIncarnation != p.Incarnation && !p.lastResponse.IsZero() {
		p.isListedLeaving = false // the list lags: its state is that of another incarnation
	}
	w.peers[in.GetName()] = p
}

// queryPeers queries the status of every peer.
func (w *Watcher) queryPeers(ctx context.Context) {
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

// Commands returns a client for the member's commands.
func (w *Watcher) Commands(m Member) peerv1.PeerCommands {
	return peerv1.NewPeerCommandsProtobufClient(w.url(m), w.HTTP)
}

// Queries returns a client for the member's queries.
func (w *Watcher) Queries(m Member) peerv1.PeerQueries {
	return w.client(m)
}

// applyStatus applies the result of a status query.
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
		p.IsUnreachable = p.IsUnreachable || now.Sub(p.lastResponse) > w.unreachableAfter()
	case st.GetInstance() != name:
		p.IsUnreachable = true // another instance now has the address
	default:
		p = w.withStatus(p, st, now)
	}
	w.peers[name] = p
}

// withStatus returns the member updated with its own status. A leaving state in the
// list applies only to the incarnation that the list names.
func (w *Watcher) withStatus(p Member, st *peerv1.StatusResponse, now time.Time) Member {
	if p.isListedLeaving && p.listedIncarnation == "" {
		p.listedIncarnation = st.GetIncarnation()
	}
	if p.listedIncarnation != st.GetIncarnation() {
		p.isListedLeaving = false
	}
	p.lastResponse = now
	p.IsUnreachable = false
	p.Incarnation = st.GetIncarnation()
	p.reportsLeaving = st.GetLeaving()
	p.NextOffset = st.GetNextOffset()
	p.CallerAddress = st.GetCallerAddress()
	p.Running = st.GetRunning()
	p.Queued = st.GetQueued()
	return p
}
