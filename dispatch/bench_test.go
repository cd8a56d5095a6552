package dispatch

import (
	"fmt"
	"testing"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// BenchmarkDecision measures one decision: a call arrives, the first waiting
// call is given a target, and a call at a target ends.
func BenchmarkDecision(b *testing.B) {
	for _, p := range policies {
		for _, targets := range []int{10, 100, 1_000, 6_000} {
			for _, waiting := range []int{10, 1_000, 10_000} {
				b.Run(fmt.Sprintf("%s/targets=%d/waiting=%d", p.name, targets, waiting), func(b *testing.B) {
					benchmarkDecision(b, New(Options{Domain: "north", Queue: p.queue(), Route: p.route()}), targets, waiting)
				})
			}
		}
	}
}

func benchmarkDecision(b *testing.B, d *Dispatcher, targets, waiting int) {
	for i := range targets {
		id := structs.TargetID(fmt.Sprintf("t%d", i))
		d.SetTarget(TargetSpec{ID: id, Domain: "north", MaxCalls: 4})
		d.RecordLoad(1, id, Load{Running: i % 3})
	}
	id := uint64(0)
	push := func() {
		id++
		d.Push(structs.Instant(id), benchItem(id))
	}
	for range waiting {
		push()
	}
	b.ReportAllocs()
	for b.Loop() {
		push()
		item, target, found, err := d.Next(structs.Instant(id))
		if err != nil || !found {
			b.Fatalf("no decision: %v", err)
		}
		usage := structs.Usage{PromptTokens: item.PromptTokens, CachedTokens: item.Prefixes[len(item.Prefixes)-2].Tokens, OutputTokens: 100}
		d.RecordFinish(structs.Instant(id), item.ID, target, usage, true)
	}
}

// benchItem is a call of one of 5,000 programs with ten messages of history.
func benchItem(id uint64) queue.Item {
	const messages = 10
	program := id % 5_000
	item := queue.Item{
		ID: id, Program: structs.ProgramID(fmt.Sprint("p", program)), Account: structs.AccountID(fmt.Sprint("a", id%200)),
		Number: 5, Weight: 1, OutputTokens: 100, ArrivedAt: structs.Instant(id),
		Prefixes: []queue.Prefix{{Hash: 1, Tokens: 1000}},
	}
	for i := range uint64(messages) {
		item.Prefixes = append(item.Prefixes, queue.Prefix{Hash: 100 + program*messages + i, Tokens: 1000 + 200*int64(i+1)})
	}
	item.PromptTokens = item.Prefixes[messages].Tokens
	return item
}
