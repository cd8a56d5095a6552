package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// slowdownHalfLife is the time after which past calls count half as much.
	slowdownHalfLife = time.Minute
	// accountIdleTimeout is the time without calls after which an account is removed.
	accountIdleTimeout = 10 * time.Minute
	// maxAccounts limits the number of accounts that are tracked.
	maxAccounts = 4096
)

// accountSlowdowns tracks the slowdown of each client account, (waiting + running) /
// running, weighted towards recent calls.
type accountSlowdowns map[structs.AccountID]*accountTimes

type accountTimes struct {
	waiting, running float64 // seconds, decayed
	updatedAt        structs.Instant
}

func newAccountSlowdowns() accountSlowdowns { return make(accountSlowdowns) }

func (s accountSlowdowns) add(now structs.Instant, id structs.AccountID, waiting, running time.Duration) {
	times := s[id]
	if times == nil {
		if len(s) >= maxAccounts && !s.removeIdle(now) {
			return
		}
		times = &accountTimes{updatedAt: now}
		s[id] = times
	}
	decay := math.Exp2(-float64(now.Sub(times.updatedAt)) / float64(slowdownHalfLife))
	times.waiting = times.waiting*decay + waiting.Seconds()
	times.running = times.running*decay + running.Seconds()
	times.updatedAt = now
}

// removeIdle removes the accounts without recent calls and reports whether there were
// any.
func (s accountSlowdowns) removeIdle(now structs.Instant) bool {
	before := len(s)
	for id, times := range s {
		if now.Sub(times.updatedAt) > accountIdleTimeout {
			delete(s, id)
		}
	}
	return len(s) < before
}

// AccountSlowdown is the slowdown of one client account in the state dump.
type AccountSlowdown struct {
	Account  structs.AccountID `json:"account"`
	Slowdown float64           `json:"slowdown"`
}

// slowdowns returns the accounts in descending order of slowdown.
func (s accountSlowdowns) slowdowns(now structs.Instant) []AccountSlowdown {
	s.removeIdle(now)
	list := make([]AccountSlowdown, 0, len(s))
	for id, times := range s {
		if times.running > 0 {
			list = append(list, AccountSlowdown{Account: id, Slowdown: 1 + times.waiting/times.running})
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
