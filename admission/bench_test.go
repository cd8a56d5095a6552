package admission

import (
	"fmt"
	"testing"

	"github.com/endivecourse/endivecourse/structs"
)

// BenchmarkWaitingThousand measures what a request costs that asks again while 1,000 wait.
func BenchmarkWaitingThousand(b *testing.B) {
	var q Queue
	for i := range 1000 {
		q.Add(1, &Request{Account: structs.AccountID(fmt.Sprint(i % 12)), ProgramDeadline: structs.Instant(i * 7919 % 1000), WorthlessAt: 1 << 40, Ticket: uint64(i + 1)})
	}
	for i := 0; b.Loop(); i++ {
		r := q.tickets[uint64(i%1000+1)]
		q.Suspend(2, r)
		again := &Request{Account: r.Account, ProgramDeadline: r.ProgramDeadline, WorthlessAt: r.WorthlessAt, Ticket: r.Ticket}
		q.Add(2, again)
		q.First(2)
		q.Ahead(2, again)
	}
}
