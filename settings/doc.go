// Package settings reads the settings file of a daemon. The file is JSON with
// comments. All mistakes are reported at once, each with file, line and field.
package settings
