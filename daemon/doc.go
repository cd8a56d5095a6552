// Package daemon assembles gatewayd and schedulerd from the library's
// components, and holds what their mains share: the command line, the settings
// file, the logger, signals and exit statuses.
package daemon
