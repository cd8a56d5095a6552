// Package soak has no code of its own. Its tests run whole failure domains in
// virtual time, two faults at a time, and check what must hold throughout.
package soak
