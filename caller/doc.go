// Package caller is a client of the callers' interface: programs, calls to model
// and plain services, routes, and histories. It checks that a streamed response
// ends with the end marker "[DONE]".
package caller
