package syncer

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/allotter"
	"github.com/primrosedrift/primrosedrift/internal/authenticator"
	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// quotaStep is the time between two steps of lending, and between two rounds of messages
	// while nothing waits for quota.
	quotaStep = 100 * time.Millisecond
	// quotaBusyStep is the time between two rounds of messages while something waits.
	quotaBusyStep = 3 * time.Millisecond
)

// Quotas lends and borrows the quotas of client accounts. Its exported fields must be set
// before use, those of the metrics excepted. A nil *Quotas lends nothing.
type Quotas struct {
	Self   *peerv1.Member
	Bounds allotter.Bounds
	// HasAccounts reports whether the configuration in force has client accounts. Without them
	// no instance lends.
	HasAccounts func() bool
	// QuotaOf returns the quota of an account in the configuration in force.
	QuotaOf func(account string) (authenticator.Quota, bool)
	// NewestClaim returns the newest claim of the lease, and IsHolder whether this instance
	// holds it.
	NewestClaim func() leaser.Claim
	IsHolder    func() bool
	// Claims returns the appointments in each claim of this instance that may be the newest, and
	// whether nobody held the lease before.
	Claims func() (appointments []string, isFirst bool)
	// Members returns the live instances.
	Members func() []*peerv1.Member
	// OnAppointments is called after the conductor has changed its appointments.
	OnAppointments func()
	HTTP           *http.Client
	Log            *zap.Logger
	Metrics        *QuotaMetrics

	wakeOnce sync.Once
	wake     chan struct{}

	lendMu       sync.Mutex
	lending      allotter.Lending
	appointments []allotter.Appointment // that were told last

	mu       sync.Mutex
	borrower allotter.Borrower
	roster   allotter.Roster
	// addresses are those of the lenders, by incarnation. They are kept while a lender is not
	// among the live members.
	addresses map[string]string
	// viewSentAt is when the newest request for the view was sent that the conductor has
	// responded to.
	viewSentAt time.Duration
	// isUnenforced reports that the conductor is of an earlier build, and that it is not
	// known which instance lends in its place.
	isUnenforced bool
	substitute   string // incarnation of the instance that lends in place of the conductor
}

// QuotaMetrics count the messages about quotas.
type QuotaMetrics struct {
	messages *prometheus.CounterVec
	parts    prometheus.Gauge
}

// NewQuotaMetrics returns the metrics, registered with r.
func NewQuotaMetrics(r prometheus.Registerer) *QuotaMetrics {
	m := &QuotaMetrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_quota_messages_total", Help: "Messages to lenders of quotas, by result.",
		}, []string{"result"}),
		parts: prometheus.NewGauge(prometheus.GaugeOpts{Name: "primrosedrift_quota_lent_parts", Help: "Parts of each quota that this instance lends, of three."}),
	}
	r.MustRegister(m.messages, m.parts)
	return m
}

func (q *Quotas) wakeup() chan struct{} {
	q.wakeOnce.Do(func() { q.wake = make(chan struct{}, 1) })
	return q.wake
}

// Wake sends the next messages without delay.
func (q *Quotas) Wake() {
	select {
	case q.wakeup() <- struct{}{}:
	default:
	}
}

// Run steps lending and sends messages until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var steppedAt time.Duration
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-q.wakeup():
		}
		now := clocker.SinceStart()
		if now-steppedAt >= quotaStep || steppedAt == 0 {
			steppedAt = now
			q.step(now)
		}
		q.mu.Lock()
		q.borrower.Tick(now)
		messages := q.borrower.Messages(now)
		isIdle := q.borrower.IsIdle()
		q.mu.Unlock()
		for _, m := range messages {
			wg.Go(func() { q.exchange(ctx, m) })
		}
		if isIdle {
			timer.Reset(quotaStep)
		} else {
			timer.Reset(quotaBusyStep)
		}
	}
}

// setLenders tells the borrower who lends: the holder of the lease and those it has appointed.
func (q *Quotas) setLenders(members []*peerv1.Member) {
	claim := q.NewestClaim()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Instance, q.borrower.Incarnation, q.borrower.Bounds = q.Self.GetInstance(), q.Self.GetIncarnation(), q.Bounds
	if q.addresses == nil {
		q.addresses = make(map[string]string)
	}
	substitute, isEarlier := substituteOf(members, claim.Incarnation)
	if isEarlier || slices.ContainsFunc(members, func(m *peerv1.Member) bool { return m.GetIncarnation() == claim.Incarnation }) {
		q.setEnforcedLocked(isEarlier, substitute)
	}
	for _, m := range members {
		if q.roster.Has(m.GetIncarnation()) {
			q.addresses[m.GetIncarnation()] = m.GetPeerAddress()
		}
	}
	maps.DeleteFunc(q.addresses, func(incarnation, _ string) bool { return !q.roster.Has(incarnation) })
	var conductor allotter.LenderInfo
	if !claim.IsReleased {
		conductor = allotter.LenderInfo{Instance: claim.Holder, Incarnation: claim.Incarnation, Address: claim.Address}
	}
	list := q.roster.Lenders(conductor, func(incarnation string) string { return q.addresses[incarnation] }, clocker.SinceStart())
	if substitute != nil {
		list = []allotter.LenderInfo{{Instance: substitute.GetInstance(), Incarnation: substitute.GetIncarnation(), Address: substitute.GetPeerAddress(), Parts: allotter.NumParts}}
	}
	q.borrower.SetLenders(list, len(members))
}

// setEnforcedLocked applies whether the conductor is of an earlier build, and which instance
// lends in its place.
func (q *Quotas) setEnforcedLocked(isEarlier bool, substitute *peerv1.Member) {
	isUnenforced := isEarlier && substitute == nil
	if isUnenforced != q.isUnenforced || substitute.GetIncarnation() != q.substitute {
		q.Log.Warn("lender of quotas in place of the conductor changed", zap.Bool("enforced", !isUnenforced), zap.String("substitute", substitute.GetInstance()))
	}
	q.isUnenforced, q.substitute = isUnenforced, substitute.GetIncarnation()
}

// substituteOf returns the instance that lends in place of a conductor of an earlier build,
// which neither lends nor appoints: the process that knows accounts and was started first,
// so that later ones don't replace it. isEarlier reports whether the conductor is of such
// a build.
func substituteOf(members []*peerv1.Member, conductor string) (first *peerv1.Member, isEarlier bool) {
	i := slices.IndexFunc(members, func(m *peerv1.Member) bool { return m.GetIncarnation() == conductor })
	if i < 0 || members[i].GetKnowsAccounts() {
		return nil, false
	}
	startOf := func(m *peerv1.Member) string {
		return m.GetIncarnation()[strings.LastIndexByte(m.GetIncarnation(), '/')+1:]
	}
	for _, m := range members {
		if decodeQuotaMember(m).IsSuited && (first == nil || startOf(m) < startOf(first)) {
			first = m
		}
	}
	return first, true
}

// exchange sends a message to a lender and applies the response.
func (q *Quotas) exchange(ctx context.Context, m allotter.Message) {
	var r *allotter.Response
	result := "answered"
	if m.Lender == q.Self.GetIncarnation() {
		got := q.lend(m.Request)
		r, result = &got, "local"
	} else {
		ctx, cancel := context.WithTimeout(ctx, allotter.LendTimeout)
		defer cancel()
		resp, err := peerv1.NewFleetCommandsProtobufClient("http://"+m.Address, q.HTTP).Lend(ctx, encodeLendRequest(m.Request, q.Self.GetInstance()))
		if err == nil {
			got := decodeLendResponse(resp)
			r = &got
		} else {
			result = "failed"
			q.Log.Info("lender of quotas does not answer", zap.String("lender", m.Lender), logger.Error(err))
		}
	}
	if r != nil && !r.IsLender {
		result = "not-lender"
	}
	if q.Metrics != nil {
		q.Metrics.messages.WithLabelValues(result).Inc()
	}
	q.mu.Lock()
	q.borrower.Apply(m.Number, m.Sequence, r, clocker.SinceStart())
	q.mu.Unlock()
	q.Wake()
}

// Take charges a request, and waits for quota for up to the limit.
func (q *Quotas) Take(ctx context.Context, a *authenticator.Account, cost float64, limit time.Duration) (allotter.Charge, *allotter.Shortage) {
	now := clocker.SinceStart()
	q.mu.Lock()
	if q.isUnenforced {
		q.mu.Unlock()
		return allotter.Charge{}, nil
	}
	if c, ok := q.borrower.Take(a, cost, now); ok {
		needsMore := q.borrower.NeedsMore(a, now)
		q.mu.Unlock()
		if needsMore {
			q.Wake()
		}
		return c, nil
	}
	q.mu.Unlock()
	return q.wait(ctx, a, cost, false, limit)
}

// Renew returns a charge that is valid now in place of one that was made before, which it
// gives back if that is no longer valid.
func (q *Quotas) Renew(ctx context.Context, a *authenticator.Account, c allotter.Charge, limit time.Duration) (allotter.Charge, *allotter.Shortage) {
	if c.Cost() == 0 {
		return c, nil // nothing was charged
	}
	q.mu.Lock()
	if q.isUnenforced {
		q.mu.Unlock()
		return c, nil
	}
	renewed, ok := q.borrower.Renew(a, c, clocker.SinceStart())
	q.mu.Unlock()
	if ok {
		return renewed, nil
	}
	return q.wait(ctx, a, c.Cost(), true, limit)
}

type quotaOutcome struct {
	charge   allotter.Charge
	shortage *allotter.Shortage
}

func (q *Quotas) wait(ctx context.Context, a *authenticator.Account, cost float64, wasCharged bool, limit time.Duration) (allotter.Charge, *allotter.Shortage) {
	done := make(chan quotaOutcome, 1)
	now := clocker.SinceStart()
	q.mu.Lock()
	ticket := q.borrower.Wait(a, cost, wasCharged, now+limit, now, func(c allotter.Charge, s *allotter.Shortage) { done <- quotaOutcome{c, s} })
	q.mu.Unlock()
	q.Wake()
	select {
	case o := <-done:
		return o.charge, o.shortage
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Cancel(a, ticket)
	select {
	case o := <-done:
		q.borrower.GiveBack(a, o.charge, clocker.SinceStart())
	default:
	}
	return allotter.Charge{}, &allotter.Shortage{}
}

// IsExpired reports whether a request may no longer be sent on a charge, by the clock that runs on
// while the machine is suspended.
func (q *Quotas) IsExpired(c allotter.Charge) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.isUnenforced && c.IsExpired(clocker.SinceStart())
}

// GiveBack gives a charge back of a request that has not run.
func (q *Quotas) GiveBack(a *authenticator.Account, c allotter.Charge) {
	if c.Cost() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.GiveBack(a, c, clocker.SinceStart())
}
