package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/allotter"
	"github.com/primrosedrift/primrosedrift/internal/authenticator"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	// quotaWaitShare is the share of a request's objective for which it waits for quota, as a
	// divisor, and maxQuotaWait the longest wait.
	quotaWaitShare = 4
	maxQuotaWait   = 300 * time.Millisecond
	// maxNamedAccounts bounds the accounts with metrics of their own.
	maxNamedAccounts = 32
	otherAccounts    = "other"
)

// Quotas charges requests to the quotas of their accounts. Its zero value charges nothing.
type Quotas struct {
	// Take charges a request, and waits for quota for up to the limit. It returns a shortage
	// if there is none.
	Take func(ctx context.Context, a *authenticator.Account, cost float64, limit time.Duration) (allotter.Charge, *allotter.Shortage)
	// Renew returns a charge that is valid now for a request that has waited since it was
	// charged. On a shortage the old charge has been given back.
	Renew func(ctx context.Context, a *authenticator.Account, c allotter.Charge, limit time.Duration) (allotter.Charge, *allotter.Shortage)
	// IsExpired, if set, reports whether a request may no longer be sent on a charge.
	IsExpired func(allotter.Charge) bool
	// GiveBack gives the charge back of a request that has not run.
	GiveBack func(a *authenticator.Account, c allotter.Charge)
}

// quotaState is the charge of a request, if it has been charged.
type quotaState struct {
	isCharged bool
	account   *authenticator.Account // that was charged
	charge    allotter.Charge
}

// chargeQuota charges the request to the quota of its account, unless it has been charged.
func (c *call) chargeQuota(ctx context.Context) error {
	if c.quota.isCharged && c.account != nil && c.quota.account.Name == c.account.Name {
		return nil
	}
	c.refundQuota() // the key may have moved to another account
	if c.quota.isCharged || c.account == nil || !c.account.Quota.IsLimited() || c.Quotas.Take == nil {
		return nil
	}
	cost := c.account.Quota.Cost(c.requestInfo.PromptTokens + c.requestInfo.ResponseTokens)
	began := time.Now()
	charge, shortage := c.Quotas.Take(ctx, c.account, cost, c.quotaWait())
	if shortage != nil {
		return c.refuseQuota(ctx, shortage, cost, time.Since(began), "charge")
	}
	c.quota = quotaState{true, c.account, charge}
	c.Metrics.quota.observe(c.account.Name, "charged", cost)
	return nil
}

// renewQuota charges the request again if its charge has expired while it waited. Otherwise
// requests that waited long could run together with those that the quota allows now.
func (c *call) renewQuota(ctx context.Context) error {
	if !c.quota.isCharged || c.numMayHaveRun > 0 {
		return nil
	}
	began := time.Now()
	charge, shortage := c.Quotas.Renew(ctx, c.quota.account, c.quota.charge, c.quotaWait())
	if shortage != nil {
		cost := c.quota.charge.Cost()
		c.Metrics.quota.observe(c.quota.account.Name, "refunded", cost)
		c.quota = quotaState{}
		return c.refuseQuota(ctx, shortage, cost, time.Since(began), "renewal")
	}
	c.quota.charge = charge
	return nil
}

// refundQuota gives the charge back if the request has not run.
func (c *call) refundQuota() {
	if !c.quota.isCharged || c.numMayHaveRun > 0 {
		return
	}
	c.Quotas.GiveBack(c.quota.account, c.quota.charge)
	c.Metrics.quota.observe(c.quota.account.Name, "refunded", c.quota.charge.Cost())
	c.quota = quotaState{}
}

// quotaWait returns how long the request may wait for quota.
func (c *call) quotaWait() time.Duration {
	wait := maxQuotaWait
	if c.route.Objective > 0 {
		wait = min(wait, c.route.Objective/quotaWaitShare)
	}
	return max(0, min(wait, time.Until(c.deadline)-minUpstreamTime))
}

// refuseQuota logs and returns the refusal of a request that gets no quota.
func (c *call) refuseQuota(ctx context.Context, s *allotter.Shortage, cost float64, waited time.Duration, step string) error {
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.ReasonCanceled, 0, "the client left")
	}
	reason, result := verdict.ReasonNoLender, "no-lender"
	if s.HasAnswer {
		reason, result = verdict.ReasonOverQuota, "over-quota"
	}
	c.Metrics.quota.observe(c.account.Name, result, cost)
	c.Log.Info("request refused by its quota", zap.String("request", c.requestInfo.ID), zap.String("account", c.account.Name), zap.String("reason", string(reason)),
		zap.String("step", step), zap.Float64("cost", cost), zap.Float64("balance", s.Balance), zap.Float64("rate", c.account.Quota.Rate), zap.Float64("burst", c.account.Quota.Burst),
		zap.Duration("answer-age", s.AnswerAge), zap.Duration("retry", s.Retry), zap.Duration("waited", waited))
	// The response states between half and all of the delay, so that requests that were
	// refused together do not come back together.
	return verdict.Refuse(reason, 2*s.Retry, "quota of account %s", c.account.Name)
}

// quotaMetrics count charges and refusals by account.
type quotaMetrics struct {
	requests, cost *prometheus.CounterVec

	mu    sync.Mutex
	named map[string]bool
}

func (m *quotaMetrics) register(r prometheus.Registerer) {
	labels := []string{"account", "result"}
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "primrosedrift_quota_requests_total", Help: "Requests by client account, and how their quota decided.",
	}, labels)
	m.cost = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "primrosedrift_quota_cost_total", Help: "What these requests count, in the unit of the quota.",
	}, labels)
	r.MustRegister(m.requests, m.cost)
}

// observe counts a request. The first accounts have names of their own, the others share one.
func (m *quotaMetrics) observe(account, result string, cost float64) {
	m.mu.Lock()
	switch {
	case m.named[account]:
	case len(m.named) < maxNamedAccounts:
		if m.named == nil {
			m.named = make(map[string]bool)
		}
		m.named[account] = true
	default:
		account = otherAccounts
	}
	m.mu.Unlock()
	m.requests.WithLabelValues(account, result).Inc()
	m.cost.WithLabelValues(account, result).Add(cost)
}
