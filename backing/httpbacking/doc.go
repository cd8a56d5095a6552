// Package httpbacking is the platform driver for JSON over HTTP. It registers as
// "platform.http".
package httpbacking
