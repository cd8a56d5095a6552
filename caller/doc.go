// Package caller is a client of the callers' interface: programs, calls to
// model and plain services, and histories. It checks that a streamed answer
// has its end mark.
package caller
