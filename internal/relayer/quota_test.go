package relayer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/allotter"
	"github.com/primrosedrift/primrosedrift/internal/authenticator"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// newQuotaCall returns a request of 300 tokens, and what was taken and given back.
func newQuotaCall(shortage *allotter.Shortage) (c *call, taken, limits *[]time.Duration, givenBack *int) {
	taken, limits, givenBack = new([]time.Duration), new([]time.Duration), new(int)
	h := &Relayer{
		Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), Codec: testCodec,
		ViewAge: func() time.Duration { return 0 }, IsStopping: func() bool { return false },
	}
	h.Quotas = Quotas{
		Take: func(_ context.Context, _ *authenticator.Account, cost float64, limit time.Duration) (allotter.Charge, *allotter.Shortage) {
			*taken, *limits = append(*taken, time.Duration(cost)), append(*limits, limit)
			return allotter.Charge{}, shortage
		},
		Renew: func(context.Context, *authenticator.Account, allotter.Charge, time.Duration) (allotter.Charge, *allotter.Shortage) {
			return allotter.Charge{}, shortage
		},
		GiveBack: func(*authenticator.Account, allotter.Charge) { *givenBack++ },
	}
	c = &call{Relayer: h, deadline: time.Now().Add(time.Minute), requestInfo: RequestInfo{ID: "r1", PromptTokens: 100, ResponseTokens: 200}}
	c.route.Objective = 400 * time.Millisecond
	c.account = &authenticator.Account{Name: "acme", Quota: authenticator.Quota{Rate: 1000, CountsTokens: true}}
	return c, taken, limits, givenBack
}

// TestRequestIsChargedOnce checks that a request is charged with its tokens, once, and that
// the charge is given back unless the request may have run.
func TestRequestIsChargedOnce(t *testing.T) {
	c, taken, limits, givenBack := newQuotaCall(nil)
	require.NoError(t, c.chargeQuota(t.Context()))
	require.NoError(t, c.chargeQuota(t.Context()))
	require.NoError(t, c.renewQuota(t.Context()))
	require.Equal(t, []time.Duration{300}, *taken)
	require.Equal(t, []time.Duration{100 * time.Millisecond}, *limits, "a quarter of the objective")
	c.refundQuota()
	c.refundQuota()
	require.Equal(t, 1, *givenBack)
	require.NoError(t, c.chargeQuota(t.Context()), "a peer has not received it")
	c.numMayHaveRun = 1
	c.refundQuota()
	require.Equal(t, 1, *givenBack)
	c.account, c.quota = &authenticator.Account{Name: "free"}, quotaState{}
	require.NoError(t, c.chargeQuota(t.Context()))
	require.Len(t, *taken, 2, "an account without a limit costs nothing")
}

// TestQuotaRefusals checks the status and the retry delay of a request without quota, and
// guards against requests that are refused together and come back together.
func TestQuotaRefusals(t *testing.T) {
	for status, shortage := range map[int]*allotter.Shortage{
		http.StatusTooManyRequests:    {HasAnswer: true, Retry: 2 * time.Second},
		http.StatusServiceUnavailable: {Retry: time.Second},
	} {
		delays := make(map[float64]bool)
		for n := range 20 {
			c, _, _, _ := newQuotaCall(shortage)
			c.requestInfo.ID = strconv.Itoa(n)
			err := c.chargeQuota(t.Context())
			require.Equal(t, verdict.NotRun, verdict.FromError(err).Ran)
			w := httptest.NewRecorder()
			c.reply.w = w
			c.finish(httptest.NewRequest(http.MethodPost, "/", nil), err)
			require.Equal(t, status, w.Code)
			delay, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			require.NoError(t, err)
			require.GreaterOrEqual(t, delay, shortage.Retry.Seconds())
			require.LessOrEqual(t, delay, 2*shortage.Retry.Seconds()+0.01)
			delays[delay] = true
		}
		require.Greater(t, len(delays), 10)
	}
}

// TestQuotaIsRenewedBeforeTheSend guards against requests that waited long and run together
// with those that the quota allows now.
func TestQuotaIsRenewedBeforeTheSend(t *testing.T) {
	c, _, _, givenBack := newQuotaCall(nil)
	require.NoError(t, c.chargeQuota(t.Context()))
	c.Quotas.Renew = func(context.Context, *authenticator.Account, allotter.Charge, time.Duration) (allotter.Charge, *allotter.Shortage) {
		return allotter.Charge{}, &allotter.Shortage{HasAnswer: true}
	}
	require.Equal(t, verdict.ReasonOverQuota, verdict.FromError(c.renewQuota(t.Context())).Reason)
	c.refundQuota()
	require.Zero(t, *givenBack, "the renewal has given the charge back")
}

// TestAccountMetricsAreBounded guards against a series for each of thousands of accounts.
func TestAccountMetricsAreBounded(t *testing.T) {
	r := prometheus.NewRegistry()
	m := NewMetrics(r)
	for n := range 100 {
		m.quota.observe(strconv.Itoa(n), "charged", 1)
	}
	families, err := r.Gather()
	require.NoError(t, err)
	require.NotEmpty(t, families)
	for _, f := range families {
		require.Len(t, f.GetMetric(), maxNamedAccounts+1, f.GetName())
	}
}

// TestExpiredQuotaIsNotUsed guards against a process that is paused between the charge of a request and
// its send, and then acts on a loan that has run out.
func TestExpiredQuotaIsNotUsed(t *testing.T) {
	up := fineUpstream(t)
	g := newAccountsFixture(t, up)
	g.setAccounts(t, authenticator.Account{Name: "acme", Keys: []string{"secret-1"}, Quota: authenticator.Quota{Rate: 1000}})
	renewals := 0
	g.Quotas = Quotas{
		Take: func(context.Context, *authenticator.Account, float64, time.Duration) (allotter.Charge, *allotter.Shortage) {
			return allotter.Charge{}, nil
		},
		Renew: func(context.Context, *authenticator.Account, allotter.Charge, time.Duration) (allotter.Charge, *allotter.Shortage) {
			renewals++
			return allotter.Charge{}, nil
		},
		IsExpired: func(allotter.Charge) bool { return renewals == 1 }, // the pause is after the first renewal
		GiveBack:  func(*authenticator.Account, allotter.Charge) {},
	}
	resp, _ := g.send("/once/", "secret-1")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, 2, renewals, "the request was charged again before it was sent")
	require.Equal(t, 1, up.count())
}
