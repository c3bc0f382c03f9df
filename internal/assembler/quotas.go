package assembler

import (
	"github.com/primrosedrift/primrosedrift/internal/allotter"
	"github.com/primrosedrift/primrosedrift/internal/authenticator"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/relayer"
	"github.com/primrosedrift/primrosedrift/internal/syncer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// wireQuotas creates the component that lends and borrows the quotas of client accounts.
func (a *Assembler) wireQuotas(self *peerv1.Member) {
	a.quotas = &syncer.Quotas{
		Self:   self,
		Bounds: allotter.Bounds{Window: a.QuotaWindow, Overage: a.QuotaOverage, Slack: a.QuotaSlack},
		HasAccounts: func() bool {
			cfg := a.config.Load()
			return cfg != nil && !cfg.Accounts.IsEmpty()
		},
		QuotaOf:        a.quotaOf,
		NewestClaim:    a.lease.Newest,
		IsHolder:       a.lease.IsHolder,
		Claims:         a.lease.Claims,
		Members:        a.client.Members,
		OnAppointments: a.server.NotifyLenders,
		HTTP:           a.client.HTTP,
		Log:            a.Log.Named("quotas"),
		Metrics:        syncer.NewQuotaMetrics(a.registry),
	}
	a.server.Quotas, a.client.Quotas = a.quotas, a.quotas
	a.lease.Appointments = a.quotas.Announced
	a.lease.OnHolderChange = func(leaser.Claim) { a.quotas.Reset() }
	a.relayer.Quotas = relayer.Quotas{Take: a.quotas.Take, Renew: a.quotas.Renew, IsExpired: a.quotas.IsExpired, GiveBack: a.quotas.GiveBack}
}

// quotaOf returns the quota of an account in the configuration in force.
func (a *Assembler) quotaOf(account string) (authenticator.Quota, bool) {
	cfg := a.config.Load()
	if cfg == nil {
		return authenticator.Quota{}, false
	}
	x, ok := cfg.Accounts.Named(account)
	if !ok {
		return authenticator.Quota{}, false
	}
	return x.Quota, true
}
