// Package queue defines the order in which calls that wait for a target are
// served. Policies are plug-ins, registered as a Factory under "queue.<name>".
//
// A policy is a deterministic state machine: it has no clock, starts no
// goroutines and does no I/O.
package queue

import "github.com/endivecourse/endivecourse/structs"

// Item is one waiting call.
type Item struct {
	ID              uint64 // unique in this process
	Program         structs.ProgramID
	Parent          structs.ProgramID // set for a sub-program
	Account         structs.AccountID
	Service         structs.ServiceID
	Number          uint64  // number of the call in its program
	PromptTokens    int64   // estimated length of the whole prompt
	OutputTokens    int64   // estimated length of the output
	AttainedService int64   // tokens of service that the program has received
	Weight          float64 // weight of the account when accounts share service
	ArrivedAt       structs.Instant
	// Prefixes holds the prompt's prefixes that end at message boundaries,
	// shortest first. Route policies use them to find a target that has the
	// prompt cached.
	Prefixes []Prefix
}

// IsContinuation reports whether the call continues work in progress: it is not
// the first call of its program, or the program is a sub-program.
func (i Item) IsContinuation() bool { return i.Number > 1 || i.Parent != "" }

// Prefix is one prefix of a prompt: its hash and its length in tokens.
type Prefix struct {
	Hash   uint64
	Tokens int64
}

// Policy keeps the waiting items in its order. It must be used from one goroutine
// only.
type Policy interface {
	// Push adds an item.
	Push(now structs.Instant, item Item)
	// TakeNext removes and returns the first item, in the policy's order, for
	// which fits returns true. It calls fits for no more items than necessary.
	TakeNext(now structs.Instant, fits func(Item) bool) (Item, bool)
	// Remove removes a waiting item and reports whether it was present.
	Remove(id uint64) bool
	// Charge adds tokens of service that a program of an account received.
	Charge(now structs.Instant, account structs.AccountID, program structs.ProgramID, tokens int64)
	// Forget drops the state that is kept for an ended program.
	Forget(program structs.ProgramID)
	// Len returns the number of waiting items.
	Len() int
}

// Factory returns a new, empty policy.
type Factory func() Policy
