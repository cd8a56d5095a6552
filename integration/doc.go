// Package integration holds only tests. They run the real daemons as separate
// processes, with the example settings, against stand-ins for the platform and
// the targets.
package integration
