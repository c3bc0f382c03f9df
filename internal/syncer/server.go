package syncer

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/archiver"
	"github.com/primrosedrift/primrosedrift/internal/conductor"
	"github.com/primrosedrift/primrosedrift/internal/estimator"
	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	"github.com/primrosedrift/primrosedrift/internal/versioner"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// memberTTL is how long an instance counts as live after its last report to the
	// conductor or, while there is no conductor, after its last response to a probe.
	memberTTL = 1500 * time.Millisecond
	// minViewInterval is the least time between two responses to a watcher, except for
	// changes that it waits for.
	minViewInterval = 20 * time.Millisecond
	// viewIntervalPerMember and maxViewInterval lengthen that time with the number of
	// members, so that the responses of a conductor stay within 1/viewIntervalPerMember,
	// 667 a second, up to 270 members.
	viewIntervalPerMember = 1500 * time.Microsecond
	maxViewInterval       = 400 * time.Millisecond
	// urgentViewDelay coalesces changes that a watcher waits for.
	urgentViewDelay = 3 * time.Millisecond
	// maxViewsAge is the age up to which the views of the conductor are used again for
	// another watcher.
	maxViewsAge = 10 * time.Millisecond
	// maxWait bounds the wait of a long-polling call.
	maxWait = time.Second
)

// Server serves the calls of the other instances. Its exported fields must be set.
type Server struct {
	Self      *peerv1.Member
	Conductor *conductor.Conductor
	IsHolder  func() bool
	Token     func() int64
	// NewestClaim returns the newest claim of the lease that this instance knows.
	NewestClaim func() leaser.Claim
	Topics      map[string]*follower.Follower
	// Store is this instance's direct access to the lease.
	Store leaser.Store
	// Losses are the losses that this instance knows.
	Losses *losstracker.Tracker
	// Neighbours are the instances that have called this one, or that it has called, nil for none.
	Neighbours *Neighbours
	// Streams are the streams whose software versions this instance keeps.
	Streams *streamtracker.Keeper
	// Archive saves origins of streams while this instance holds the lease.
	Archive *archiver.Writer
	// Defaults returns the default software versions of models by service, and false if this instance does
	// not know those that are saved.
	Defaults func() (map[string]versioner.Defaults, bool)
	// OnSettled, if set, is called with the reports of instances: what they have saved of the streams that began
	// before they followed revisions of default versions, by service.
	OnSettled func(incarnation string, settled map[string]int64, now time.Time)
	// Followed are the default versions that this instance follows, nil for none.
	Followed *versioner.Follower
	// Quotas lends the quotas of client accounts, nil if this instance lends none.
	Quotas *Quotas
	Log    *zap.Logger

	mu       sync.Mutex
	members  map[string]member
	removed  map[string]uint64   // version at which a member was removed, by instance
	watchers map[string]*watcher // by instance
	version  uint64
	delta    delta
	sweptAt  time.Time // when silent members were last dropped
	// lossesSeen is the version of the losses that are in the view.
	lossesSeen uint64

	viewsMu      sync.Mutex
	views        []registrar.View
	viewsAt      time.Time
	viewsVersion uint64
}

type member struct {
	*peerv1.Member
	reportedAt time.Time
	version    uint64 // of its last change
}

// ApplyReport applies a report of an instance to the view, and passes its demands
// and outcomes to the conductor.
func (s *Server) ApplyReport(r *peerv1.ReportRequest, now time.Time) {
	m := r.GetMember()
	s.mu.Lock()
	if s.members == nil {
		s.members, s.removed = make(map[string]member), make(map[string]uint64)
	}
	old, isKnown := s.members[m.GetInstance()]
	hasChanged := !isKnown || old.GetIncarnation() != m.GetIncarnation() || old.GetIsStopping() != m.GetIsStopping() || old.GetIsCutOff() != m.GetIsCutOff() || old.GetKnowsAccounts() != m.GetKnowsAccounts()
	changedIn := old.version
	if hasChanged {
		changedIn = s.version + 1
		delete(s.removed, m.GetInstance())
	}
	s.members[m.GetInstance()] = member{m, now, changedIn}
	if hasChanged {
		s.notifyWatchersLocked()
	}
	if len(r.GetLosses()) > 0 {
		s.Losses.MergeReport(decodeLosses(r.GetLosses(), s.Log), now)
	}
	s.syncLossesLocked()
	s.mu.Unlock()
	if s.OnSettled != nil && s.IsHolder() {
		s.OnSettled(m.GetIncarnation(), decodeSettled(r.GetSettled()), now)
	}
	s.Quotas.observeReport(m, r.GetAppointment())
	s.recordLeaving(r.GetLeaving(), now)
	s.Conductor.Upstreams.MergeLimits(decodeLimits(r.GetLimits()), now)
	s.Conductor.Upstreams.MergeBrittle(decodeBrittle(r.GetBrittle()), now)
	s.applyRestarts(decodeRestarts(r.GetRestarts()), now)
	s.mu.Lock()
	s.watcherLocked(m.GetInstance()).requests = requestsOf(r)
	s.mu.Unlock()
	demands := make([]conductor.Demand, 0, len(r.GetUses()))
	for _, u := range r.GetUses() {
		running := make(map[string]int, len(u.GetRuns()))
		for _, x := range u.GetRuns() {
			running[x.GetUpstream()] = int(x.GetRunning())
		}
		demands = append(demands, conductor.Demand{
			Service: u.GetService(), Model: u.GetModel(), Adapter: u.GetAdapter(),
			Arrived: int(u.GetArrived()), Waiting: int(u.GetWaiting()), Running: running, Software: u.Software,
		})
	}
	s.Conductor.Report(m.GetInstance(), demands, now)
	for _, o := range r.GetOutcomes() {
		s.Conductor.RecordOutcomes(o.GetUpstream(), o.GetBorn(), int(o.GetAttempts()), int(o.GetFailures()), now)
	}
}

// recordLeaving records that upstreams have responded to a peer that they are leaving.
func (s *Server) recordLeaving(list []*peerv1.Leaving, now time.Time) {
	for _, l := range list {
		s.Conductor.Upstreams.RecordLeaving(l.GetUpstream(), l.GetBorn(), now)
	}
}

// NotifyLeaving passes a new leaving upstream on to the watchers.
func (s *Server) NotifyLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delta.leavingVersion = s.version + 1
	s.notifyWatchersLocked()
}

// NotifyLimits passes a changed limit of an upstream on to the watchers.
func (s *Server) NotifyLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delta.limitsVersion = s.version + 1
	s.notifyWatchersLocked()
}

// NotifyDefaults passes changed default versions on to the watchers.
func (s *Server) NotifyDefaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delta.defaultsVersion = s.version + 1
	s.notifyWatchersLocked()
}

// NotifyBrittle passes a brittle service on to the watchers.
func (s *Server) NotifyBrittle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchersLocked()
}

// Claim implements peerv1.FleetCommands.
func (s *Server) Claim(ctx context.Context, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	if r.GetClaim() == nil {
		c, end, err := s.Store.Newest(ctx)
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		return &peerv1.ClaimResponse{Claim: encodeClaim(c), EndOffset: end.Offset, EndEra: end.Era}, nil
	}
	c := decodeClaim(r.GetClaim())
	err := s.Store.Append(ctx, c)
	switch {
	case errors.Is(err, leaser.ErrConflict):
		return &peerv1.ClaimResponse{HasMoved: true}, nil
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerv1.ClaimResponse{Claim: encodeClaim(c), EndOffset: c.Next().Offset, EndEra: c.Era}, nil
}

func encodeClaim(c leaser.Claim) *peerv1.Claim {
	return &peerv1.Claim{
		Holder: c.Holder, Incarnation: c.Incarnation, Address: c.Address, IsReleased: c.IsReleased,
		FirstInNs: c.FirstOrderDelay.Nanoseconds(), Offset: c.Offset, Era: c.Era, Appointments: c.Appointments,
	}
}

func decodeClaim(c *peerv1.Claim) leaser.Claim {
	return leaser.Claim{
		Position: sequencer.Position{Era: c.GetEra(), Offset: c.GetOffset()}, Holder: c.GetHolder(), Incarnation: c.GetIncarnation(),
		Address: c.GetAddress(), IsReleased: c.GetIsReleased(), FirstOrderDelay: time.Duration(c.GetFirstInNs()),
		Appointments: c.GetAppointments(),
	}
}

// NotifyViews increases the version of the view after a change of the upstreams' views.
// It wakes the watchers that use what has changed, and those whose last response is
// long enough ago.
func (s *Server) NotifyViews(views []registrar.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocked(views)
	s.notifyWatchersLocked()
}

// recordLocked records the changes of the views and wakes the watchers that use them.
func (s *Server) recordLocked(views []registrar.View) {
	changes := s.delta.record(views, s.version)
	if len(changes.loaded)+len(changes.removed) == 0 {
		return
	}
	for _, w := range s.watchers {
		if !w.isUrgent && w.uses(changes) {
			w.isUrgent = true
			w.notify()
		}
	}
}

func (s *Server) notifyWatchersLocked() {
	s.version++
	for _, w := range s.watchers {
		w.notify()
	}
}

// watcherLocked returns the state of an instance as a watcher.
func (s *Server) watcherLocked(instance string) *watcher {
	w := s.watchers[instance]
	if w == nil {
		if s.watchers == nil {
			s.watchers = make(map[string]*watcher)
		}
		w = &watcher{wake: make(chan struct{}, 1)}
		s.watchers[instance] = w
	}
	return w
}

// Watch implements peerv1.FleetQueries.
func (s *Server) Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait)
	if s.IsHolder() && r.GetIncarnation() == s.Self.GetIncarnation() {
		s.await(ctx, r.GetInstance(), r.GetVersion(), wait)
	}
	responseNumber := r.GetAnswer()
	if r.GetIncarnation() != s.Self.GetIncarnation() {
		responseNumber = 0 // the number is of another incarnation
	}
	now := time.Now()
	if r.GetIsProbe() && s.IsHolder() {
		return &peerv1.WatchResponse{
			Incarnation: s.Self.GetIncarnation(), IsConductor: true, Token: s.Token(), Members: []*peerv1.Member{s.Self}, Losses: encodeLosses(s.Losses.Recent(now)),
		}, nil
	}
	v := s.View(r.GetInstance(), responseNumber, now)
	if !v.GetIsConductor() && r.GetWantsMembers() {
		v.Members = append(v.Members, s.Neighbours.sample(r.GetInstance(), now)...)
	}
	return v, nil
}

// await returns when the view differs from the version in something that the instance
// uses, or in anything if its last response is long enough ago, or after the wait.
func (s *Server) await(ctx context.Context, instance string, version uint64, wait time.Duration) {
	s.mu.Lock()
	s.sweepLocked(time.Now())
	w := s.watcherLocked(instance)
	interval := min(max(minViewInterval, time.Duration(len(s.members))*viewIntervalPerMember), maxViewInterval)
	w.isIdle = false
	s.mu.Unlock()
	end, idle := time.NewTimer(wait), time.NewTimer(interval)
	defer end.Stop()
	defer idle.Stop()
	for {
		s.mu.Lock()
		isUrgent, hasChanged := w.isUrgent, s.version != version && w.isIdle
		w.isUrgent = false
		s.mu.Unlock()
		switch {
		case isUrgent:
			sleeper.Sleep(ctx, urgentViewDelay)
			return
		case hasChanged:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-idle.C:
			s.mu.Lock()
			w.isIdle = true
			s.mu.Unlock()
		case <-w.wake:
		}
	}
}

// currentViews returns the views of the conductor, at most maxViewsAge old and not
// older than the version.
func (s *Server) currentViews(version uint64, now time.Time) []registrar.View {
	s.viewsMu.Lock()
	defer s.viewsMu.Unlock()
	if s.viewsVersion != version || now.Sub(s.viewsAt) > maxViewsAge {
		s.views, s.viewsAt, s.viewsVersion = s.Conductor.Views(now), now, version
	}
	return s.views
}

// View returns the view for an instance. responseNumber is the number of the last
// response that the instance has received. If it is also the last that was sent to
// the instance, View returns only the changes since then, otherwise the whole view.
func (s *Server) View(instance string, responseNumber uint64, now time.Time) *peerv1.WatchResponse {
	out := &peerv1.WatchResponse{Incarnation: s.Self.GetIncarnation(), IsConductor: s.IsHolder(), Token: s.Token()}
	if !out.IsConductor {
		if c := s.NewestClaim(); !c.IsZero() {
			out.Claim = encodeClaim(c)
		}
		out.Members = []*peerv1.Member{s.Self}
		out.Losses = encodeLosses(s.Losses.Recent(now))
		out.Limits = encodeLimits(s.Conductor.Upstreams.Limits(now))
		out.Brittle = encodeBrittle(s.Conductor.Upstreams.Brittle(now))
		out.Restarts = encodeRestarts(s.Conductor.Upstreams.Restarts(true, now))
		s.addFollowedDefaults(out, now)
		return out
	}
	own := s.Conductor.RunningOf(instance)
	s.mu.Lock()
	s.syncLossesLocked()
	version := s.version
	s.mu.Unlock()
	views := s.currentViews(version, now)
	leaving, limits := s.Conductor.Upstreams.Leaving(), s.Conductor.Upstreams.Limits(now)
	restarts := s.Conductor.Upstreams.Restarts(true, now)
	defaults, knowsDefaults := s.savedDefaults()
	out.Brittle = encodeBrittle(s.Conductor.Upstreams.Brittle(now)) // a few at most, with their ages
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Version = s.version
	s.recordLocked(views)
	out.Base = s.delta.base(instance, responseNumber)
	lossesTold := s.delta.responses[instance].lossesTold
	if out.Base == 0 {
		lossesTold = 0
	}
	s.delta.fill(out, instance, views, own, now)
	s.delta.recordLossesTold(instance, s.lossesSeen)
	for _, m := range s.members {
		if out.Base == 0 || m.version > out.Base {
			out.Members = append(out.Members, m.Member)
		}
	}
	for name, version := range s.removed {
		if out.Base != 0 && version > out.Base {
			out.RemovedMembers = append(out.RemovedMembers, name)
		}
	}
	if out.Base == 0 || s.delta.leavingVersion > out.Base {
		out.Leaving = encodeLeaving(leaving)
	}
	out.Lenders = s.lendersLocked(instance, out.Base)
	if out.Base == 0 || s.delta.limitsVersion > out.Base {
		out.Limits = encodeLimits(limits)
	}
	if knowsDefaults && (out.Base == 0 || s.delta.defaultsVersion > out.Base) {
		out.HasDefaults, out.Defaults = true, encodeDefaults(defaults)
	}
	out.Restarts = encodeRestarts(s.restartsSinceLocked(restarts, out.Base))
	if out.Base == 0 || s.delta.lossesVersion > out.Base {
		out.HasLosses, out.Losses = true, encodeLosses(s.Losses.SharedSince(lossesTold, now))
	}
	return out
}

// Records implements peerv1.FleetQueries.
func (s *Server) Records(ctx context.Context, r *peerv1.RecordsRequest) (*peerv1.RecordsResponse, error) {
	f := s.Topics[r.GetTopic()]
	if f == nil {
		return &peerv1.RecordsResponse{}, nil
	}
	from := sequencer.Position{Era: r.GetEra(), Offset: r.GetFrom()}
	f.Await(ctx, from, min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait))
	b, ok := f.Since(from)
	if !ok {
		return &peerv1.RecordsResponse{}, nil
	}
	out := &peerv1.RecordsResponse{
		NextOffset: b.Next.Offset, Era: b.Next.Era, IsComplete: b.IsComplete, AgeMs: uint32(min(b.Age.Milliseconds(), math.MaxUint32)),
	}
	if b.IsCurrent {
		// Rounded up: a reader must not take the knowledge for newer than it is.
		age := uint32(min(b.KnownAge.Milliseconds()+1, math.MaxUint32))
		out.KnownAgeMs = &age
	}
	for _, x := range b.Records {
		out.Records = append(out.Records, &peerv1.Record{Key: x.Key, Value: x.Value, Offset: x.Offset})
	}
	return out, nil
}

func encodeView(v registrar.View, running int, now time.Time) *peerv1.UpstreamView {
	u := &peerv1.UpstreamView{
		Id: v.ID, Born: v.StartedAtMs, Orders: v.NumOrders, Running: uint32(running),
		RiskPercent: uint32(math.Round(100 * v.FailureEstimate.FailureProbability(now))),
	}
	for _, m := range v.Models {
		u.Models = append(u.Models, &peerv1.ModelView{
			Name: m.Name, Version: m.Version, Adapters: m.Adapters, ReadyInMs: readyInMs(m.ReadyAt),
		})
	}
	return u
}

// readyInMs returns the milliseconds until a load is expected to end, 0 if the model
// is loaded.
func readyInMs(at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(at).Milliseconds()))
}

func decodeView(u *peerv1.UpstreamView) registrar.View {
	v := registrar.View{ID: u.GetId(), StartedAtMs: u.GetBorn(), NumOrders: u.GetOrders(), Running: int(u.GetRunning())}
	v.FailureEstimate = estimator.New(float64(u.GetRiskPercent())/100, time.Now())
	for _, m := range u.GetModels() {
		x := registrar.Model{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()}
		if ms := m.GetReadyInMs(); ms > 0 {
			x.ReadyAt = time.Now().Add(time.Duration(ms) * time.Millisecond)
		}
		v.Models = append(v.Models, x)
	}
	return v
}

func encodeLeaving(list []registrar.Incarnation) []*peerv1.Leaving {
	var out []*peerv1.Leaving
	for _, x := range list {
		out = append(out, &peerv1.Leaving{Upstream: x.ID, Born: x.StartedAtMs})
	}
	return out
}
