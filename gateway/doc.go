// Package gateway serves callers over HTTP: it authenticates their keys, admits
// their requests, forwards each call to the scheduler that owns the program, and
// returns the response to the caller after checking that it is complete.
//
// docs/API.md documents the interface.
package gateway
