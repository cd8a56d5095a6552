// Package configwatch distributes the versions of the operators' document from
// the platform's store to all daemons. In each failure domain the live scheduler
// with the lowest address polls the store. The other schedulers and the gateways
// send long-poll queries to a scheduler, which replies as soon as it has a later
// version. A query names the version that its sender has in force, so that the
// polling scheduler can report the version in force in the failure domain.
package configwatch
