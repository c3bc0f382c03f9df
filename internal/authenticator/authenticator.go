// Package authenticator finds the client account of a key.
//
// An operator lists the accounts and their keys in the configuration. Accounts
// are immutable; a new version of the configuration brings new ones. Keys never
// appear in errors or logs.
package authenticator

import (
	"math"

	"github.com/cockroachdb/errors"
)

// Account is a client account.
type Account struct {
	Name string
	// Keys are the keys of the account. An account without keys is valid: its last key
	// may have been taken away.
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota limits the use of an account, over all instances together. The zero value
// sets no limit.
type Quota struct {
	// Rate is the use per second, and Burst what may be used at once beyond it, in
	// tokens if CountsTokens is set and in requests otherwise. A Rate of 0 sets no limit.
	Rate, Burst  float64
	CountsTokens bool
	// DefaultTokens is the use of a request that states no number of tokens.
	DefaultTokens float64
}

// IsLimited reports whether there is a limit.
func (a Quota) IsLimited() bool { return a.Rate > 0 }

// Cost returns the use of a request with this number of tokens, 0 if it states none.
func (a Quota) Cost(tokens int) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens <= 0:
		return a.DefaultTokens
	}
	return float64(tokens)
}

// Accounts are the client accounts of one version of the configuration. A nil *Accounts
// has none.
type Accounts struct {
	byKey  map[string]*Account
	byName map[string]*Account
}

// New returns the accounts. The error names the account that is invalid.
func New(list []Account) (*Accounts, error) {
	a := &Accounts{byKey: make(map[string]*Account), byName: make(map[string]*Account, len(list))}
	for i := range list {
		x := &list[i]
		switch {
		case x.Name == "":
			return nil, errors.Newf("client account %d has no name", i)
		case a.byName[x.Name] != nil:
			return nil, errors.Newf("two client accounts are named %q", x.Name)
		case !isAmount(x.Quota.Rate) || !isAmount(x.Quota.Burst) || !isAmount(x.Quota.DefaultTokens):
			return nil, errors.Newf("client account %q: the quota is not a finite positive number", x.Name)
		}
		a.byName[x.Name] = x
		for _, key := range x.Keys {
			if other := a.byKey[key]; other != nil && other != x {
				return nil, errors.Newf("client accounts %q and %q have a key in common", other.Name, x.Name)
			}
			if key == "" {
				return nil, errors.Newf("client account %q has an empty key", x.Name)
			}
			a.byKey[key] = x
		}
	}
	return a, nil
}

func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

// IsEmpty reports whether there are no accounts, so that requests need no key.
func (a *Accounts) IsEmpty() bool { return a == nil || len(a.byName) == 0 }

// Find returns the account that holds the key.
func (a *Accounts) Find(key string) (*Account, bool) {
	if a == nil || key == "" {
		return nil, false
	}
	x, ok := a.byKey[key]
	return x, ok
}

// Named returns the account with the name.
func (a *Accounts) Named(name string) (*Account, bool) {
	if a == nil {
		return nil, false
	}
	x, ok := a.byName[name]
	return x, ok
}
