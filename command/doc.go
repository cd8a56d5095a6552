// Package command is the operators' command line: one file a noun, one thin
// function a verb. Every verb prints text, or JSON with --json, and ends with
// one of the exit statuses below.
package command
