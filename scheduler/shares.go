package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// shareHalfLife is the time in which the weight of past calls halves.
	shareHalfLife = time.Minute
	// shareForget drops an account without calls.
	shareForget = 10 * time.Minute
	// maxShares bounds the accounts that are measured.
	maxShares = 4096
)

// accountShares measures by how much waiting lengthens the calls of each
// client account: the slowdown (waiting + running) / running, weighted
// towards recent calls.
type accountShares map[structs.AccountID]*accountShare

type accountShare struct {
	waiting, running float64 // seconds, decayed
	at               structs.Instant
}

func newAccountShares() accountShares { return make(accountShares) }

func (s accountShares) add(now structs.Instant, id structs.AccountID, waiting, running time.Duration) {
	share := s[id]
	if share == nil {
		if len(s) >= maxShares && !s.forgetOld(now) {
			return
		}
		share = &accountShare{at: now}
		s[id] = share
	}
	left := math.Exp2(-float64(now.Sub(share.at)) / float64(shareHalfLife))
	share.waiting = share.waiting*left + waiting.Seconds()
	share.running = share.running*left + running.Seconds()
	share.at = now
}

// forgetOld drops the accounts without recent calls and reports whether there
// were any.
func (s accountShares) forgetOld(now structs.Instant) bool {
	before := len(s)
	for id, share := range s {
		if now.Sub(share.at) > shareForget {
			delete(s, id)
		}
	}
	return len(s) < before
}

// AccountSlowdown is one client account in the state dump.
type AccountSlowdown struct {
	Account  structs.AccountID `json:"account"`
	Slowdown float64           `json:"slowdown"`
}

// slowdowns lists the accounts, the worst served first.
func (s accountShares) slowdowns(now structs.Instant) []AccountSlowdown {
	s.forgetOld(now)
	list := make([]AccountSlowdown, 0, len(s))
	for id, share := range s {
		if share.running > 0 {
			list = append(list, AccountSlowdown{Account: id, Slowdown: 1 + share.waiting/share.running})
		}
	}
	slices.SortFunc(list, func(a, b AccountSlowdown) int {
		if order := cmp.Compare(b.Slowdown, a.Slowdown); order != 0 {
			return order
		}
		return cmp.Compare(a.Account, b.Account)
	})
	return list
}
