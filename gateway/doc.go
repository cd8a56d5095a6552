// Package gateway serves callers over HTTP: it authenticates their keys,
// admits their requests, forwards calls to the schedulers that own the
// programs, and gives each caller the whole answer to its own request.
//
// docs/API.md documents the interface.
package gateway
