// Package kernel is the small core that every daemon is built on: a registry
// of plug-ins under dotted names, the lifecycle of a daemon (provision,
// validate, start, drain, stop), named worker goroutines, bounded queues
// (rings) between workers, and the state dump.
package kernel
