package quota

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/structs"
)

func TestBaseSharesSumToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 12).Draw(t, "domains")
		account := structs.AccountID(rapid.String().Draw(t, "account"))
		var sum Amount
		for i := range domains * SharesPerDomain {
			sum = sum.plus(BaseShare(account, i, domains))
		}
		assert.Equal(t, sum, Amount{Rate: TotalUnits, Burst: TotalUnits})
	})
}

func TestReturnAfterTheTermMintsNoTokens(t *testing.T) {
	limit := Limit{Rate: 3, Burst: 30}
	base := BaseShare("a", 0, 3)
	l := NewLender(0, base, limit, DefaultLoanTerms)
	now := l.opens.Add(DefaultLoanTerms.Duration * 20)
	grant, ok, err := l.Handle(now, "g", LoanRequest{Seq: 1, Want: base})
	assert.NilError(t, err)
	assert.Assert(t, ok && grant.Tokens > 3, fmt.Sprint(grant))
	now = now.Add(l.terms.reclaimAfter() + 2)
	l.advance(now)
	before := l.tokens
	_, ok, err = l.Handle(now, "g", LoanRequest{Seq: 2, Applied: 1, Tokens: grant.Tokens})
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Equal(t, l.tokens, before)
}
