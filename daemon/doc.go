// Package daemon assembles the daemons endived, gatewayd and schedulerd from the
// library's components. It also holds what their main functions share: the command
// line, loading of the settings file, the logger, signal handling and exit statuses.
package daemon
