package quota

import (
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// Snapshot gives the accounts of the configuration in force.
type Snapshot interface {
	Account(id structs.AccountID) (config.Account, bool)
	Version() uint64
}

// LimitOf returns an account's limit, and false when the account is unknown.
func LimitOf(s Snapshot, id structs.AccountID) (Limit, bool) {
	account, ok := s.Account(id)
	return Limit{Rate: account.Rate, Burst: float64(account.Burst)}, ok
}
