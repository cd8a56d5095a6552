// Package compat checks that two releases which run side by side read each other's messages
// and rows. testdata holds recordings of the release in production, package production
// copies of its message types.
package compat
