// Package registrar keeps the state of the upstreams as known to one instance.
//
// The state is merged from three sources. Registrations in the platform's log list
// the upstreams, with some delay. The conductor's view lists the models that they
// hold, since the conductor sends the orders that change them. Responses of the
// upstreams themselves correct errors of both.
//
// The rules:
//
//   - The models of an upstream come from the view, if the view is of the same
//     incarnation. Without a view they come from the registration, which also
//     shows that a load has ended.
//   - An upstream gets no new requests once its registration says that it is
//     leaving.
//   - An upstream that has responded that it is leaving gets no new requests either,
//     as long as its incarnation lives.
//   - An upstream may accept nothing from this instance for some time.
//   - An upstream may limit the requests that it takes from all instances together. The
//     newest statement holds, whichever instance received it.
//   - A model or adapter that an upstream turns out not to hold counts as absent
//     for a while, or until the upstream has accepted another order.
//   - An upstream whose process has restarted holds nothing, until the registration of the
//     new process has been read. A response that a model is missing which it held is evidence
//     of that, whichever instance received it.
//   - A registration that vanishes while the platform is unreachable may return. It
//     is kept until a grace period has passed since the platform became reachable
//     again.
package registrar

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/estimator"
)

// Upstream is a model engine or a replica of a plain service. It is immutable.
type Upstream struct {
	ID         string
	Address    string
	DataCentre string
	Service    string
	Slots      int
	// Software is the version of the upstream's software, empty if it states none. Versions
	// have no order: they are equal or not.
	Software string
	// StartedAtMs is the start time of the upstream's process in Unix milliseconds.
	// ID and StartedAtMs together identify one incarnation.
	StartedAtMs int64
	// Sequence counts the registrations that the incarnation has written.
	Sequence int64
	// NumOrders is the number of orders that the incarnation has accepted, according
	// to the conductor's view.
	NumOrders int64
	// IsLeaving reports whether the upstream accepts no new requests, according to its
	// registration or to a response of its own.
	IsLeaving bool
	// IsPreempted reports whether the upstream leaves at short notice: its process ends at a set time, whatever it
	// is running.
	IsPreempted bool
	// PausedUntil is the time until which the upstream accepts nothing from this
	// instance, zero for none.
	PausedUntil time.Time
	// IsLimited reports whether the upstream limits the requests that it takes from all
	// instances together, to RequestRate a second.
	IsLimited   bool
	RequestRate float64
	// ColdRemaining is how much longer the upstream is slow after its start.
	ColdRemaining time.Duration
	Models        []Model
	// InHostMemory and OnDisk list the models whose weights the upstream holds in host
	// memory and on its disk.
	InHostMemory, OnDisk []string
	// NumPeerAttempts is the number of attempts of other instances that run on the
	// upstream, according to the conductor's view.
	NumPeerAttempts int
	// PeerFailureEstimate is the failure estimate from the attempts of all instances,
	// according to the conductor's view.
	PeerFailureEstimate estimator.Estimate
}

// Model is a model that an upstream holds.
type Model struct {
	Name     string
	Version  int64
	Adapters []string
	// ReadyAt is the expected end of its load, zero if it is loaded.
	ReadyAt time.Time
}

// Holds reports whether the upstream can run the model now, with the adapter
// if one is named.
func (u *Upstream) Holds(model, adapter string) bool {
	m, ok := u.Model(model)
	return ok && m.ReadyAt.IsZero() && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

// Model returns the named model if the upstream holds or loads it.
func (u *Upstream) Model(name string) (Model, bool) {
	for _, m := range u.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// View is the conductor's state of an upstream.
type View struct {
	ID          string
	StartedAtMs int64
	NumOrders   int64 // number of orders that the upstream has accepted
	Models      []Model
	Running     int // number of attempts that run on the upstream
	// FailureEstimate is the failure estimate from the attempts of all instances.
	FailureEstimate estimator.Estimate
}

// Snapshot is the state at one point in time. It is immutable.
type Snapshot struct {
	ByID      map[string]*Upstream
	ByService map[string][]*Upstream // by service, only the upstreams that accept new requests
	// Changed is closed when there is a newer snapshot.
	Changed chan struct{}
}

// absenceTTL is how long the response of an upstream overrides the other sources. It
// has to expire, since a load that was in flight may end without another order.
const absenceTTL = time.Second

// Table merges the sources into snapshots. Its zero value is ready to use.
type Table struct {
	// RemovalGrace is how long vanished registrations are kept after the platform
	// became reachable again.
	RemovalGrace time.Duration
	// OnIncarnationEnd, if set, is called for each incarnation that has ended.
	OnIncarnationEnd func(u *Upstream, why string)
	// OnLeaving, if set, is called for each incarnation that is found to be leaving
	// before its registration says so.
	OnLeaving func(Incarnation)
	// OnLimit, if set, is called when an incarnation has changed the limit of the requests
	// that it takes, in requests per second.
	OnLimit func(i Incarnation, isLimited bool, rate float64)
	// OnBrittle, if set, is called when the upstreams of a service are found to be brittle.
	OnBrittle func(service string)
	// OnRestart, if set, is called with what is found out about a restart, and with the models
	// that the upstream was believed to hold.
	OnRestart func(r Restart, lost []Model, why string)

	mu             sync.Mutex
	registrations  map[string]*Upstream
	views          map[string]View
	absences       map[string][]absence
	gone           map[string]int64 // id to the start time of the incarnation that is known to be gone
	leaving        map[string]int64 // id to the start time of the incarnation that has responded that it is leaving
	pauses         map[string]pause
	limits         map[string]limit
	restarts       map[string]restart
	suspicions     map[string]moment               // when a restart was last suspected
	broken         map[string]moment               // when a connection was last refused or broke
	served         map[string]moment               // when the last request that was served had been sent
	lives          map[Incarnation]*life           // of those that are registered, or were within lifeMemory
	lastRegistered map[string]int64                // id to the start time of the incarnation that was registered last
	ended          []endedLife                     // the lives that have ended, in the order of their ends
	watches        []watch                         // within lifeMemory, in order
	isWatching     bool                            // the last watch goes on
	completeAt     time.Time                       // since when no registration can be missing, of the present watch or the next one
	loadedAt       map[string]map[string]time.Time // when a model was loaded, within settleTime
	brittleAt      map[string]time.Time            // by service: when an upstream last said that it is brittle
	vanished       map[string]struct{}             // ids of registrations that vanished and are kept for now
	isPlatformLost bool
	keepUntil      time.Time // vanished registrations are kept until then
	current        *Snapshot
	latest         time.Time // time that the latest call passed
}

// absence is a model or adapter that an upstream reported not to hold, although
// the other sources list it.
type absence struct {
	startedAt, numOrders int64 // of the incarnation at the time of the response
	model, adapter       string
	until                time.Time
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		t.rebuildLocked()
	}
	return t.current
}

// ApplyRegistrations applies changed registrations by upstream id. A nil value
// means that the registration has vanished.
func (t *Table) ApplyRegistrations(changes map[string]*Upstream, now time.Time) {
	var ended []*Upstream
	t.mu.Lock()
	t.initLocked()
	t.latest = now
	for id, e := range changes {
		old := t.registrations[id]
		switch {
		case e == nil && old == nil:
		case e == nil && (t.isPlatformLost || now.Before(t.keepUntil)):
			t.vanished[id] = struct{}{}
		case e == nil:
			ended = append(ended, t.dropLocked(id))
		default:
			delete(t.vanished, id)
			if old != nil && old.StartedAtMs != e.StartedAtMs {
				ended = append(ended, old)
				delete(t.restarts, id)
			}
			t.reviveLocked(e)
			t.beginLifeLocked(e.Incarnation())
			t.registrations[id] = e
		}
	}
	t.rebuildLocked()
	t.mu.Unlock()
	t.notifyEnded(ended, "registration removed")
}

// Replace replaces all registrations by a complete list.
func (t *Table) Replace(all map[string]*Upstream, now time.Time) {
	changes := maps.Clone(all)
	if changes == nil {
		changes = make(map[string]*Upstream)
	}
	t.mu.Lock()
	t.recordListLocked(all, now)
	for id := range t.registrations {
		if _, ok := all[id]; !ok {
			changes[id] = nil
		}
	}
	t.mu.Unlock()
	t.ApplyRegistrations(changes, now)
}

// SetPlatformLost records whether the platform is unreachable.
func (t *Table) SetPlatformLost(isLost bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isPlatformLost && !isLost {
		t.keepUntil = now.Add(t.RemovalGrace)
	}
	t.isPlatformLost = isLost
	t.interruptWatchLocked(t.keepUntil)
}

// IsComplete reports whether the registrations are those of all upstreams, as far as the
// platform's log has been read: none is missing because of an outage.
func (t *Table) IsComplete(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCompleteLocked(now)
}

func (t *Table) isCompleteLocked(now time.Time) bool {
	return t.registrations != nil && !t.isPlatformLost && !now.Before(t.keepUntil)
}

// IsRegistered reports whether an incarnation is registered and not known to be gone.
func (t *Table) IsRegistered(i Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.registrations[i.ID]
	gone, isGone := t.gone[i.ID]
	return e != nil && e.StartedAtMs == i.StartedAtMs && (!isGone || gone != i.StartedAtMs)
}

// RecordRestore records that the platform's log came back from an older copy.
// Registrations that are missing from it count as vanished during an outage.
func (t *Table) RecordRestore(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keepUntil = now.Add(t.RemovalGrace)
	t.interruptWatchLocked(t.keepUntil)
}

// Sweep drops the registrations that vanished while the platform was unreachable and
// did not return within the grace period. It also expires absences.
func (t *Table) Sweep(now time.Time) {
	var ended []*Upstream
	t.mu.Lock()
	t.latest = now
	if !t.isPlatformLost && !now.Before(t.keepUntil) {
		for id := range t.vanished {
			ended = append(ended, t.dropLocked(id))
		}
	}
	t.expireLivesLocked()
	if t.expireRestartsLocked() || len(ended) > 0 || t.hasExpiredAbsenceLocked() {
		t.rebuildLocked()
	}
	t.mu.Unlock()
	t.notifyEnded(ended, "registration did not return")
}

// ApplyViews applies views of the conductor. Upstreams that they leave out keep
// their last view.
func (t *Table) ApplyViews(views []View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	t.latest = now
	for _, v := range views {
		if last, ok := t.lastRegistered[v.ID]; ok && v.StartedAtMs > last {
			t.recordSuccessorLocked(Incarnation{v.ID, last})
		}
		t.recordLoadsLocked(v, now)
		t.views[v.ID] = v
	}
	t.rebuildLocked()
}

// RecordGone records that an incarnation no longer responds at its address.
func (t *Table) RecordGone(id string, startedAt int64, why string) {
	t.mu.Lock()
	t.initLocked()
	e := t.registrations[id]
	if e == nil || e.StartedAtMs != startedAt || t.gone[id] == startedAt {
		t.mu.Unlock()
		return
	}
	t.gone[id] = startedAt
	t.rebuildLocked()
	t.mu.Unlock()
	t.notifyEnded([]*Upstream{e}, why)
}

func (t *Table) hasExpiredAbsenceLocked() bool {
	for _, list := range t.absences {
		for _, a := range list {
			if !t.latest.Before(a.until) {
				return true
			}
		}
	}
	return false
}

func (t *Table) initLocked() {
	if t.registrations != nil {
		return
	}
	t.registrations = make(map[string]*Upstream)
	t.views = make(map[string]View)
	t.absences = make(map[string][]absence)
	t.gone = make(map[string]int64)
	t.leaving = make(map[string]int64)
	t.pauses = make(map[string]pause)
	t.limits = make(map[string]limit)
	t.restarts = make(map[string]restart)
	t.suspicions = make(map[string]moment)
	t.broken = make(map[string]moment)
	t.served = make(map[string]moment)
	t.lives = make(map[Incarnation]*life)
	t.lastRegistered = make(map[string]int64)
	t.loadedAt = make(map[string]map[string]time.Time)
	t.vanished = make(map[string]struct{})
}

func (t *Table) dropLocked(id string) *Upstream {
	e := t.registrations[id]
	if e != nil {
		t.endLifeLocked(e.Incarnation())
	}
	delete(t.registrations, id)
	delete(t.views, id)
	delete(t.absences, id)
	delete(t.gone, id)
	delete(t.leaving, id)
	delete(t.pauses, id)
	delete(t.limits, id)
	delete(t.restarts, id)
	delete(t.suspicions, id)
	delete(t.broken, id)
	delete(t.served, id)
	delete(t.loadedAt, id)
	delete(t.vanished, id)
	return e
}

func (t *Table) notifyEnded(ended []*Upstream, why string) {
	for _, u := range ended {
		if u != nil && t.OnIncarnationEnd != nil {
			t.OnIncarnationEnd(u, why)
		}
	}
}

// Registration returns the registration of an upstream, without the view and the
// absences.
func (t *Table) Registration(id string) (*Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.registrations[id]
	return e, ok
}

// SoftwareVersions returns the software versions of the registered upstreams, by service.
// Those that are leaving or do not respond are included.
func (t *Table) SoftwareVersions() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]string)
	for _, e := range t.registrations {
		if !slices.Contains(out[e.Service], e.Software) {
			out[e.Service] = append(out[e.Service], e.Software)
		}
	}
	return out
}
