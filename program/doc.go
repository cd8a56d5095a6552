// Package program decides what happens to the programs whose slots this process
// owns. It orders the calls of each program, keeps budgets and histories, ensures
// that a call that must not be repeated is sent at most once, and releases engine
// memory when a program ends.
//
// The package is a deterministic state machine: it has no clock, starts no
// goroutines and does no I/O. Core.Step takes one event and returns the actions
// that the runtime must carry out. Invariants are checked on the way; a violation
// is returned as a ReportViolation action.
package program
