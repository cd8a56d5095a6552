// Package httpbacking is the platform driver that speaks JSON over HTTP. It
// registers as "platform.http".
package httpbacking
