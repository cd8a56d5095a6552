// Package queue orders the calls that wait for a target. Policies are
// plug-ins registered under "queue.<name>" as a Factory.
//
// A policy is a state machine without clock, goroutine or I/O.
package queue

import "github.com/endivecourse/endivecourse/structs"

// Item is one call that waits.
type Item struct {
	ID              uint64 // unique in this process
	Program         structs.ProgramID
	Parent          structs.ProgramID // of a sub-agent
	Account         structs.AccountID
	Service         structs.ServiceID
	Number          uint64 // of the call in its program
	PromptTokens    int64  // tokens of the whole prompt, estimated
	OutputTokens    int64  // tokens of output, estimated
	AttainedService int64  // tokens of service that the program had before
	Weight          float64
	ArrivedAt       structs.Instant
	// Prefixes are the hashes of the prompt's prefixes at message boundaries,
	// shortest first, for cache affinity.
	Prefixes []Prefix
}

// IsContinuation reports whether the call belongs to a program that has run already,
// or to a sub-agent of one.
func (i Item) IsContinuation() bool { return i.Number > 1 || i.Parent != "" }

// Prefix is one prefix of a prompt: its hash and length in tokens.
type Prefix struct {
	Hash   uint64
	Tokens int64
}

// Policy orders items. It is used from one goroutine.
type Policy interface {
	// Push adds an item.
	Push(now structs.Instant, item Item)
	// TakeNext removes and returns the first item, in the policy's order, that
	// fits reports true for. It asks fits about no more items than it needs.
	TakeNext(now structs.Instant, fits func(Item) bool) (Item, bool)
	// Remove drops a waiting item and reports whether it waited.
	Remove(id uint64) bool
	// Charge records tokens of service given to a program of an account.
	Charge(now structs.Instant, account structs.AccountID, program structs.ProgramID, tokens int64)
	// Forget drops what is remembered of an ended program.
	Forget(program structs.ProgramID)
	// Len returns the number of waiting items.
	Len() int
}

// Factory makes a policy.
type Factory func() Policy
