// Package integration holds the tests that run the real daemons as separate
// processes, with the example settings, against stand-ins.
package integration
