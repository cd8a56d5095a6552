// Package kernel is the small core that every daemon is built on: a registry
// of plug-ins under dotted names, the life of a daemon (provision, validate,
// start, drain, stop), one goroutine per duty, bounded rings between duties,
// and the state dump.
package kernel
