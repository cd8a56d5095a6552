// Package program decides what happens to the programs of the slots that this
// process owns: the order of calls, budgets, histories, calls that may run at
// most once, and the release of engine memory.
//
// The package is a state machine without clock, goroutine or I/O. Core.Step
// takes one event and returns the actions that the runtime has to carry out.
// Its invariants are asserted inside and reported as Fault actions.
package program
