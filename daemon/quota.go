package daemon

import (
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/structs"
)

// accounts gives the accounts of the version in force; none while there is no
// version.
type accounts struct{ holder *config.Holder }

// Account returns an account of the version in force.
func (a accounts) Account(id structs.AccountID) (config.Account, bool) {
	current := a.holder.Current()
	if current == nil {
		return config.Account{}, false
	}
	return current.Account(id)
}

// Version returns the version in force, 0 while there is none.
func (a accounts) Version() uint64 {
	current := a.holder.Current()
	if current == nil {
		return 0
	}
	return current.Version()
}

// quotaTerms returns the terms of quota loans under the drift of the settings.
func (b *base) quotaTerms() quota.Terms {
	terms := quota.DefaultTerms
	terms.Drift = b.settings.Lease.ClockDrift
	return terms
}
