// Package soak holds only tests. They run whole failure domains in one process
// and in virtual time, inject two faults at a time, and check the invariants of
// the system throughout.
package soak
