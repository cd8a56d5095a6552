// Package settings reads the settings file of a daemon: JSON with comments,
// checked whole, with every mistake reported by file, line and field.
package settings
