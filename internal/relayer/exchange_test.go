package relayer

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOthersKnowALossBeforeTheNextAttempt guards against a request that crashes one upstream more at
// each instance, because it goes on before the others know what it has lost.
func TestOthersKnowALossBeforeTheNextAttempt(t *testing.T) {
	breakOff := func(int, *http.Request, string) (string, bool) { return "", true }
	ups := []*upstream{newUpstream(t, breakOff), newUpstream(t, breakOff)}
	g := newFixture(t, ups...)
	type told struct {
		numAttempts int
		isSuspect   bool
	}
	var list []told
	g.ExchangeLosses = func(_ context.Context, isSuspect bool) {
		list = append(list, told{ups[0].count() + ups[1].count(), isSuspect})
	}
	g.RetryBudgets.SetReserve(10)
	g.RetryBudgets.Ratio = 1
	resp, _ := g.do(g.request(http.MethodPost, "/again/", "x"))
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, []told{{1, false}, {2, true}}, list)
}
