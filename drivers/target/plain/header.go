package plain

import (
	"net/http"
	"net/textproto"
)

// forwardedHeaders lists the request headers that may reach a target. Headers that
// carry keys (Authorization, Cookie, X-Api-Key) must never be added.
var forwardedHeaders = map[string]bool{
	"Accept":            true,
	"Accept-Language":   true,
	"Content-Encoding":  true,
	"Content-Language":  true,
	"Content-Type":      true,
	"Idempotency-Key":   true,
	"If-Match":          true,
	"If-Modified-Since": true,
	"If-None-Match":     true,
	"Range":             true,
	"Traceparent":       true,
	"Tracestate":        true,
}

// hopByHopHeaders lists the response headers that apply to one connection only.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// requestHeader returns the headers that are forwarded to a target.
func requestHeader(all map[string][]string) http.Header {
	kept := make(http.Header)
	for name, values := range all {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if forwardedHeaders[name] {
			kept[name] = append(kept[name], values...)
		}
	}
	return kept
}

// responseHeader returns the headers that are passed back to a caller.
func responseHeader(all http.Header) map[string][]string {
	kept := make(map[string][]string, len(all))
	for name, values := range all {
		if !hopByHopHeaders[name] {
			kept[name] = values
		}
	}
	return kept
}
