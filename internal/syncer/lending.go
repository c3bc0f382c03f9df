package syncer

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/allotter"
	"github.com/primrosedrift/primrosedrift/internal/clocker"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// step applies the lease and the members to lending and borrowing.
func (q *Quotas) step(now time.Duration) {
	members := q.Members()
	isUsed := q.HasAccounts()
	substitute, isEarlier := substituteOf(members, q.NewestClaim().Incarnation)
	q.mu.Lock()
	sentAt := q.viewSentAt
	q.mu.Unlock()
	q.lendMu.Lock()
	q.initLendingLocked()
	q.lending.SetSubstitute(isUsed && isEarlier && substitute.GetIncarnation() == q.Self.GetIncarnation(), sentAt, now)
	before := q.lending.Parts()
	if isUsed && q.IsHolder() {
		claims, isFirst := q.Claims()
		q.lending.Step(allotter.Lease{IsHolder: true, Claims: claims, IsFirst: isFirst}, decodeQuotaMembers(members), now)
	} else {
		q.lending.Step(allotter.Lease{}, nil, now)
	}
	parts := q.lending.Parts()
	appointments, _ := q.lending.Appointments("", now)
	hasChanged := !slices.Equal(appointments, q.appointments)
	q.appointments = slices.Clone(appointments)
	q.lendMu.Unlock()
	if before != parts {
		q.Log.Info("lending of quotas changed", zap.Int("parts", parts), zap.Int("before", before))
	}
	if q.Metrics != nil {
		q.Metrics.parts.Set(float64(parts))
	}
	if hasChanged {
		for _, a := range appointments {
			q.Log.Info("lender of quotas appointed", zap.Int("part", a.Part), zap.String("lender", a.Instance), zap.String("incarnation", a.Incarnation))
		}
		q.OnAppointments()
	}
	q.setLenders(members)
}

func (q *Quotas) initLendingLocked() {
	q.lending.Bounds = q.Bounds
	q.lending.Self = decodeQuotaMember(q.Self)
}

// Reset ends lending as the conductor. It must be called when the lease changes its holder.
func (q *Quotas) Reset() {
	q.lendMu.Lock()
	defer q.lendMu.Unlock()
	q.lending.Reset()
}

// Announced returns the appointments for the next claim of the lease, and whether this instance
// knows them as the conductor.
func (q *Quotas) Announced() (appointments string, ok bool) {
	q.lendMu.Lock()
	defer q.lendMu.Unlock()
	return q.lending.Encode(clocker.SinceStart())
}

// lend responds to a borrower.
func (q *Quotas) lend(r allotter.Request) allotter.Response {
	if q == nil {
		return allotter.Response{}
	}
	q.lendMu.Lock()
	defer q.lendMu.Unlock()
	out := q.lending.Lend(r, q.QuotaOf, q.IsHolder(), clocker.SinceStart())
	if !q.lending.CanLend(q.IsHolder(), clocker.SinceStart()) {
		return allotter.Response{}
	}
	return out
}

// observeReport applies the appointment that an instance reports.
func (q *Quotas) observeReport(m *peerv1.Member, a *peerv1.Appointment) {
	if q == nil || a == nil {
		return
	}
	q.lendMu.Lock()
	defer q.lendMu.Unlock()
	q.lending.Observe(decodeQuotaMember(m), int(a.GetPart()), time.Duration(a.GetValidMs())*time.Millisecond, clocker.SinceStart())
}

// appointmentsFor returns the appointments for a response to an instance's process, and
// whether one of them is its own. The response must be sent after the call.
func (q *Quotas) appointmentsFor(incarnation string) (out []*peerv1.Appointment, isLender bool) {
	// The lease may have ended since the last step, if the process was suspended. The next
	// conductor counts appointments from the end of the lease.
	if q == nil || !q.IsHolder() {
		return nil, false
	}
	q.lendMu.Lock()
	defer q.lendMu.Unlock()
	list, valid := q.lending.Appointments(incarnation, clocker.SinceStart())
	for i, a := range list {
		out = append(out, &peerv1.Appointment{Instance: a.Instance, Incarnation: a.Incarnation, Part: uint32(a.Part), ValidMs: milliseconds(valid[i])})
		isLender = isLender || a.Incarnation == incarnation
	}
	return out, isLender
}

// held returns the appointment for a report, nil if this instance holds none.
func (q *Quotas) held() *peerv1.Appointment {
	if q == nil {
		return nil
	}
	q.lendMu.Lock()
	defer q.lendMu.Unlock()
	part, remaining, ok := q.lending.Held(clocker.SinceStart())
	if !ok {
		return nil
	}
	return &peerv1.Appointment{Instance: q.Self.GetInstance(), Incarnation: q.Self.GetIncarnation(), Part: uint32(part), ValidMs: milliseconds(remaining)}
}

// applyLenders applies the appointments in a response of the conductor.
func (q *Quotas) applyLenders(v *peerv1.WatchResponse) {
	if q == nil || len(v.GetLenders()) == 0 && v.GetBase() != 0 {
		return
	}
	list := make([]allotter.Appointment, 0, len(v.GetLenders()))
	for _, a := range v.GetLenders() {
		list = append(list, allotter.Appointment{Instance: a.GetInstance(), Incarnation: a.GetIncarnation(), Part: int(a.GetPart())})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.roster.Apply(list, clocker.SinceStart())
}

// acceptAppointment applies the appointment of this instance in a response to a request that
// was sent at sentAt.
func (q *Quotas) acceptAppointment(v *peerv1.WatchResponse, sentAt time.Duration) {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.viewSentAt = sentAt
	q.mu.Unlock()
	for _, a := range v.GetLenders() {
		if a.GetIncarnation() != q.Self.GetIncarnation() || a.GetValidMs() == 0 {
			continue
		}
		q.lendMu.Lock()
		q.initLendingLocked()
		isNew := q.lending.Accept(int(a.GetPart()), time.Duration(a.GetValidMs())*time.Millisecond, sentAt, clocker.SinceStart())
		q.lendMu.Unlock()
		if isNew {
			q.Log.Info("appointed as lender of quotas", zap.Uint32("part", a.GetPart()), zap.String("conductor", v.GetIncarnation()))
		}
	}
}

func decodeQuotaMember(m *peerv1.Member) allotter.Member {
	return allotter.Member{
		Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), DataCentre: m.GetDataCentre(),
		IsSuited: m.GetKnowsAccounts() && !m.GetIsStopping() && !m.GetIsCutOff(),
	}
}

func decodeQuotaMembers(list []*peerv1.Member) []allotter.Member {
	out := make([]allotter.Member, 0, len(list))
	for _, m := range list {
		out = append(out, decodeQuotaMember(m))
	}
	return out
}
