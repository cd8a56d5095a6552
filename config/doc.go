// Package config holds the operators' document: client accounts, programs,
// services and routes. It reads a base file and a site overlay, merges and
// checks them, and gives daemons an immutable snapshot per version.
//
// Snapshot and Holder have no clock, goroutine or I/O. Store keeps the versions
// in the platform's table.
package config
