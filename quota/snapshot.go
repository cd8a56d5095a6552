package quota

import (
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// Snapshot provides the accounts of the current configuration.
type Snapshot interface {
	Account(id structs.AccountID) (config.Account, bool)
	Version() uint64
}

// LimitOf returns an account's limit, or false if the account does not exist.
func LimitOf(s Snapshot, id structs.AccountID) (Limit, bool) {
	account, ok := s.Account(id)
	return Limit{Rate: account.Rate, Burst: float64(account.Burst)}, ok
}
