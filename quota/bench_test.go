package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// BenchmarkAdmit admits at a gateway that holds enough tokens.
func BenchmarkAdmit(b *testing.B) {
	limit := Limit{Rate: 1e9, Burst: 1e9}
	borrower := NewBorrower(0, "account", Location{Domains: 3}, limit, DefaultLoanTerms)
	base := BaseShare("account", 0, 3)
	ask := borrower.ask(1, &borrower.relations[0], need{}, base)
	assert.NilError(b, borrower.ApplyGrant(2, 0, Grant{Seq: ask.LoanRequest.Seq, Add: base, Tokens: 1e8}))
	now := structs.Instant(2)
	b.ReportAllocs()
	for b.Loop() {
		now++
		if !borrower.TryAdmit(now) {
			b.Fatal("refused")
		}
	}
}

// BenchmarkRenew handles one renewal of each account at a holder; a second
// loan of nine gateways each stays in place.
func BenchmarkRenew(b *testing.B) {
	for _, accounts := range []int{100, 1000, 2200} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			limit := Limit{Rate: 100, Burst: 100}
			lenders := make([]*Lender, accounts)
			now := structs.Instant(time.Hour)
			for i := range lenders {
				lenders[i] = NewLender(0, BaseShare("account", 0, 3), limit, DefaultLoanTerms)
				for g := range 9 {
					ask := LoanRequest{Seq: 1, Want: Amount{Rate: TotalUnits / 100, Burst: TotalUnits / 100}}
					_, _, err := lenders[i].Handle(now, structs.Incarnation(rune('a'+g)), ask)
					assert.NilError(b, err)
				}
			}
			hold := Amount{Rate: TotalUnits / 100, Burst: TotalUnits / 100}
			seq, i := uint64(2), 0
			b.ReportAllocs()
			for b.Loop() {
				if _, ok, err := lenders[i].Handle(now, "a", LoanRequest{Seq: seq, Applied: seq - 1, Hold: hold}); !ok || err != nil {
					b.Fatal(ok, err)
				}
				if i++; i == accounts {
					i, seq = 0, seq+1
				}
			}
		})
	}
}

// TestExchangeSize prints the encoded bytes that one renewal of an account
// costs within a batch.
func TestExchangeSize(t *testing.T) {
	size := func(n int) (ask, reply int) {
		in := Exchange{From: "schedulerd-0123456789abcdef"}
		out := ExchangeReply{}
		for i := range n {
			id := structs.AccountID(fmt.Sprintf("account-%04d", i))
			part := Amount{Rate: 119304647, Burst: 35791394}
			in.Requests = append(in.Requests, AccountRequest{Account: id, LoanRequest: LoanRequest{Seq: 100000, Applied: 99999, Hold: part}})
			out.Grants = append(out.Grants, AccountGrant{Account: id, Grant: Grant{Seq: 100000, Target: part}})
		}
		a, err := msgpack.Marshal(&in)
		assert.NilError(t, err)
		r, err := msgpack.Marshal(&out)
		assert.NilError(t, err)
		return len(a), len(r)
	}
	oneAsk, oneReply := size(1)
	manyAsk, manyReply := size(101)
	t.Logf("one account: request %d B, reply %d B; each further: request %d B, reply %d B",
		oneAsk, oneReply, (manyAsk-oneAsk)/100, (manyReply-oneReply)/100)
	assert.Assert(t, manyAsk < 101*oneAsk)
}

func TestMessagesSurviveTheCodec(t *testing.T) {
	in := Exchange{From: "g", Requests: []AccountRequest{{Account: "a", LoanRequest: LoanRequest{Seq: 7, Applied: 6, Hold: Amount{1, 2}, Tokens: 1.5, Want: Amount{TotalUnits, 3}}}, {Account: "b"}}}
	body, err := msgpack.Marshal(&in)
	assert.NilError(t, err)
	var out Exchange
	assert.NilError(t, msgpack.Unmarshal(body, &out))
	assert.DeepEqual(t, in, out)

	reply := ExchangeReply{Grants: []AccountGrant{{Account: "a", Grant: Grant{Seq: 7, Add: Amount{4, 5}, Tokens: 0.25, Target: Amount{6, 7}, Lost: true}}, {Account: "b", IsRedirect: true, Owner: "x"}}}
	body, err = msgpack.Marshal(&reply)
	assert.NilError(t, err)
	var back ExchangeReply
	assert.NilError(t, msgpack.Unmarshal(body, &back))
	assert.DeepEqual(t, reply, back)

	body, err = msgpack.Marshal([]int{1})
	assert.NilError(t, err)
	assert.ErrorContains(t, msgpack.Unmarshal(body, &LoanRequest{}), "has 1 fields")
}
