// Package config defines the operators' document: failure domains, client
// accounts, programs, services and routes. It reads a base file and a site
// overlay, merges and checks them, and gives daemons an immutable snapshot of
// each version.
//
// Snapshot and Holder use no clock, goroutine or I/O. Store keeps the versions
// in the platform's table.
package config
