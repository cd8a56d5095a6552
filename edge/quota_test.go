package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

// A fleet grows above the size up to which each VM has a bucket of every account, or the
// holder of an account changes. The tokens of former holders must not be used as well.
func TestFormerHolderLendsNoQuotaTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := -1, false
		s := newServers(17, 1, &placer, &isSilent)[1]
		peers := s.opts.Peers.(*fakePeers)
		account := &routing.Account{ID: "account", Rate: 100, Burst: 200}
		s.opts.Config = routing.NewConfig(func([]byte) (*routing.Table, error) {
			return routing.NewTable(routing.TableContents{Version: 1, Accounts: []*routing.Account{account}}), nil
		})
		_, err := s.opts.Config.UpdateIfNewer([]byte("1"))
		assert.NilError(t, err)
		s.opts.Regions = 2
		decision, _ := s.admitAccount(account, false, 0)
		assert.Assert(t, decision.Admitted)
		time.Sleep(10 * time.Second)
		assert.Assert(t, s.Lend(account.ID) > 0, "the holder lends")

		peers.holder = "another"
		assert.Equal(t, s.Lend(account.ID), 0)
		s.sweepQuota()
		s.mu.Lock()
		defer s.mu.Unlock()
		_, isReported := s.limiter.SpareTokens(structs.Now())[account.ID]
		assert.Assert(t, !isReported)
	})
}
