package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// staleRetryAfter is the retry delay of a request whose key cannot be checked here. The client
// comes back on a new connection, likely to another instance.
const staleRetryAfter = 500 * time.Millisecond

// KeyChecks knows how far this instance can check the keys of client accounts. Its zero value
// takes the known configuration for the newest one.
type KeyChecks struct {
	// IsStale, if set, reports whether the known configuration is too old: a key in it may
	// have been taken away.
	IsStale func() bool
	// MayMissKeys, if set, reports whether the known configuration is so old that a key that
	// was added to a newer one must be accepted already.
	MayMissKeys func() bool
	// LookUp, if set, looks for a newer configuration at peers.
	LookUp func(ctx context.Context)
}

// Peer is another instance.
type Peer struct {
	Address string
	// KnowsAccounts says that the peer checks keys. Others would forward them to upstreams.
	KnowsAccounts bool
}

// errWithheld is the cause of an attempt that was not sent because the key has to be checked, or
// the quota charged, again.
var errWithheld = errors.New("the key or the quota is no longer known to be valid")

// needsKey reports whether the request needs the key of a client account.
func (c *call) needsKey() bool {
	return !c.route.IsPublic && !c.Config().Accounts.IsEmpty()
}

// hasStaleKey reports whether the key cannot be checked here.
func (c *call) hasStaleKey() bool {
	return c.needsKey() && c.KeyChecks.IsStale != nil && c.KeyChecks.IsStale()
}

// checkKey sets the client account of the request, or returns why there is none. It sets none
// and returns nil if another instance has to check the key.
func (c *call) checkKey(ctx context.Context) error {
	c.isKeyStale = false
	if !c.needsKey() {
		c.account = nil
		return nil
	}
	if c.requestInfo.KeyFault != "" {
		return c.rejectKey(c.requestInfo.KeyFault)
	}
	if c.requestInfo.Key == "" {
		return c.rejectKey("no key")
	}
	if c.hasStaleKey() {
		c.isKeyStale = true
		return nil
	}
	account, ok := c.Config().Accounts.Find(c.requestInfo.Key)
	if !ok && c.KeyChecks.LookUp != nil {
		c.KeyChecks.LookUp(ctx)
		account, ok = c.Config().Accounts.Find(c.requestInfo.Key)
	}
	switch {
	case ok:
		c.setAccount(account)
		return nil
	case c.KeyChecks.MayMissKeys != nil && c.KeyChecks.MayMissKeys():
		c.isKeyStale = true
		return nil
	}
	return c.rejectKey("unknown key")
}

// setAccount sets the client account. Its priority replaces that of the route.
func (c *call) setAccount(a *authenticator.Account) {
	c.account, c.admission.Account = a, a.Name
	if a.HasPriority {
		c.route.Priority = a.Priority
		c.admission.Priority = a.Priority
	}
}

// rejectKey returns the rejection of a request without a valid key.
func (c *call) rejectKey(reason string) error {
	c.Metrics.rejectedKeys.WithLabelValues(reason).Inc()
	return statusError{status: http.StatusUnauthorized, reason: reason}
}

// refuseStaleKey refuses a request whose key can be checked neither here nor at a peer. A peer
// that has handed it on tries another one.
func (c *call) refuseStaleKey() error {
	c.Metrics.rejectedKeys.WithLabelValues("configuration too old").Inc()
	if c.handOn.isReceived && !c.reply.hasBegun() {
		c.reply.w.Header().Set(headerCutOff, "1")
	}
	return c.refuse(verdict.ReasonNotReady, staleRetryAfter, "the known configuration is too old to check the key")
}

// maySend is called right before each send, after the connection is open: the process may have been
// paused since the key was checked and the quota charged, the key taken away, or the client have left.
func (c *call) maySend(ctx context.Context) error {
	if err := c.verifyKey(); err != nil {
		return err
	}
	if c.quota.isCharged && c.numMayHaveRun == 0 && c.Quotas.IsExpired != nil && c.Quotas.IsExpired(c.quota.charge) {
		c.Log.Info("request withheld until its quota is charged again", zap.String("request", c.requestInfo.ID), zap.String("account", c.accountName()))
		return errWithheld
	}
	return c.checkPresence(ctx, hopUpstream)
}

// verifyKey returns an error if the key has to be checked again.
func (c *call) verifyKey() error {
	if !c.needsKey() {
		if c.account != nil {
			return errWithheld // the headers state an account that is none any more
		}
		return nil
	}
	account, ok := c.Config().Accounts.Find(c.requestInfo.Key)
	if !ok || c.account == nil || account.Name != c.account.Name || c.hasStaleKey() {
		c.Log.Info("request withheld", zap.String("request", c.requestInfo.ID), zap.String("account", c.accountName()), zap.Bool("known", ok),
			zap.Bool("stale", c.hasStaleKey()), zap.Int64("config", c.Config().Version))
		return errWithheld
	}
	return nil
}

// accountName returns the name of the client account, empty for none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// handOnPeers returns the addresses of the peers to which the request may be handed on.
func (c *call) handOnPeers() []string {
	var out []string
	for _, p := range c.Peers() {
		if p.KnowsAccounts || !c.needsKey() {
			out = append(out, p.Address)
		}
	}
	return out
}
