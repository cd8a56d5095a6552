// Package structs holds the types that every other package shares: the
// identifiers, the refusals that callers see, the calls and turns of a
// program, and the messages between gateways and schedulers.
//
// Except for Now, the package uses no clock, no goroutine and no I/O.
package structs
