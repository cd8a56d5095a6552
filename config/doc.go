// Package config holds the operators' document: client accounts, programs,
// services and routes. It reads a base file and a site overlay, merges and
// checks them, and gives daemons an immutable snapshot per version.
//
// The package has no clock, no goroutine and no I/O but for reading files.
package config
