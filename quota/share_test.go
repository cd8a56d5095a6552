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
		var sum Part
		for i := range domains * SharesPerDomain {
			sum = sum.plus(Base(account, i, domains))
		}
		assert.Equal(t, sum, Part{Rate: Whole, Burst: Whole})
	})
}

func TestReturnAfterTheTermMintsNoTokens(t *testing.T) {
	limit := Limit{Rate: 3, Burst: 30}
	base := Base("a", 0, 3)
	l := NewLender(0, base, limit, DefaultTerms)
	now := l.opens.Add(DefaultTerms.Term * 20)
	grant, ok, err := l.Handle(now, "g", Ask{Seq: 1, Want: base})
	assert.NilError(t, err)
	assert.Assert(t, ok && grant.Tokens > 3, fmt.Sprint(grant))
	now = now.Add(l.terms.reclaimAfter() + 2)
	l.advance(now)
	before := l.tokens
	_, ok, err = l.Handle(now, "g", Ask{Seq: 2, Applied: 1, Tokens: grant.Tokens})
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Equal(t, l.tokens, before)
}
