// Package configwatch brings the versions of the operators' document from the
// platform's store to every daemon. In each failure domain the live scheduler
// with the lowest address polls the store; the other schedulers and the
// gateways ask a scheduler, which answers as soon as it holds a later version.
// The questions tell which version their sender has in force, so that the
// polling scheduler can report the domain's.
package configwatch
