package assembler

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/refresher"
	"github.com/primrosedrift/primrosedrift/internal/relayer"
)

// revokeMarginDivisor sets how long before RevokeAfter the known configuration counts as too
// old: the tenth part covers the time in which a configuration is put in force.
const revokeMarginDivisor = 10

// refreshedAgeDivisor is the part of RevokeAfter below which the age of the known configuration is
// low enough that no further peer is asked.
const refreshedAgeDivisor = 3

// wireAccounts creates the component that keeps the knowledge of client accounts young.
func (a *Assembler) wireAccounts() {
	a.refresher = &refresher.Refresher{
		MaxAge: a.RevokeAfter - a.RevokeAfter/revokeMarginDivisor,
		Age:    func() (time.Duration, bool) { return a.configFollower.KnownAge() },
		Ask: func(ctx context.Context) {
			askedAt := clocker.SinceStart()
			a.client.RequestNewest(ctx, topicConfig, a.configFollower.Next(), a.configFollower.Merge, func() bool {
				age, ok := a.configFollower.KnownAge()
				return ok && age < (clocker.SinceStart()-askedAt)+a.RevokeAfter/refreshedAgeDivisor
			})
		},
		OnStale: func(isStale bool) {
			a.metrics.staleConfig.Set(0)
			if isStale {
				a.metrics.staleConfig.Set(1)
			}
		},
		Log: a.Log.Named("refresher"),
	}
	a.relayer.KeyChecks = relayer.KeyChecks{
		IsStale: a.refresher.IsStale,
		MayMissKeys: func() bool {
			age, ok := a.configFollower.KnownAge()
			return !ok || age > a.MaxApplyDelay
		},
		LookUp: a.refresher.LookUp,
	}
}
