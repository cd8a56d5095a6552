// Package command implements endivectl, the operators' command line. Each command group
// ("config", "key", ...) has its own file and each subcommand its own function. Every
// subcommand prints text, or JSON with --json, and exits with one of the Exit statuses.
package command
