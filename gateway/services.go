package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// servicesPrefix precedes the paths of the routes in the configuration.
const servicesPrefix = "/services/"

// forwardedHeaders are the only request headers that are forwarded to a plain service.
var forwardedHeaders = map[string]bool{
	"Accept":              true,
	"Accept-Language":     true,
	"Content-Type":        true,
	"If-Match":            true,
	"If-Modified-Since":   true,
	"If-None-Match":       true,
	"If-Unmodified-Since": true,
	"Range":               true,
	"Traceparent":         true,
	"Tracestate":          true,
}

// handleRoute sends a request to the plain service of the route that matches its path.
func (x *exchange) handleRoute(ctx context.Context) error {
	path := strings.TrimPrefix(x.r.URL.EscapedPath(), strings.TrimSuffix(servicesPrefix, "/"))
	if err := checkPath("path", path); err != nil {
		return err
	}
	decoded := strings.TrimPrefix(x.r.URL.Path, strings.TrimSuffix(servicesPrefix, "/"))
	name, route, ok := x.snapshot.MatchRoute(decoded)
	if !ok {
		return refuse(structs.RefusedNotFound, "no route has this path")
	}
	if route.IsOpen {
		if x.g.openInFlight.Add(1) > int64(x.g.opts.MaxOpenInFlight) {
			x.g.openInFlight.Add(-1)
			return queueFull("too many requests on open routes are in progress")
		}
		defer x.g.openInFlight.Add(-1)
		x.account, x.keyID = "", ""
	} else if err := x.authorizeRoute(ctx, name); err != nil {
		return err
	}
	return x.sendRoute(ctx, route, path)
}

// authorizeRoute refuses a request without a valid key, or whose account may not use
// the route.
func (x *exchange) authorizeRoute(ctx context.Context, name string) error {
	if err := x.requireKey(ctx); err != nil {
		return err
	}
	if !x.snapshot.MayUseRoute(x.account, name) {
		return refuse(structs.RefusedForbidden, "the client account may not use this route")
	}
	return nil
}

func (x *exchange) sendRoute(ctx context.Context, route config.Route, path string) error {
	if err := x.requireService("path", route.Service, config.ServicePlain); err != nil {
		return err
	}
	if !isValidMethod(x.r.Method) {
		return badRequest("method", "the method is not passed on to services")
	}
	body, err := x.readBody(ctx)
	if err != nil {
		return err
	}
	key, err := x.idempotencyKey()
	if err != nil {
		return err
	}
	if x.account == "" {
		key = "" // without an account, keys of different callers could collide
	}
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	call := &structs.Call{
		Program: x.programIDFor("call", key), IdempotencyKey: key, EndAfter: true,
		Plain: &structs.PlainCall{
			Service: route.Service, Method: x.r.Method, Path: path,
			Header: copyForwardedHeaders(x.r.Header), Body: body,
		},
	}
	return x.send(ctx, call, &plainSink{x: x})
}

// copyForwardedHeaders copies the headers that may be forwarded to a plain service.
func copyForwardedHeaders(header http.Header) map[string][]string {
	out := make(map[string][]string)
	for name, values := range header {
		if forwardedHeaders[name] {
			out[name] = append([]string(nil), values...)
		}
	}
	return out
}

// checkPath refuses a path that a target could normalize to a different one: otherwise
// a path on an open route could reach a resource of a keyed route.
func checkPath(field, text string) error {
	if !strings.HasPrefix(text, "/") {
		return badRequest(field, "a path begins with a slash")
	}
	parsed, err := url.ParseRequestURI(text)
	if err != nil || parsed.Host != "" || strings.ContainsAny(text, "#\\") {
		return badRequest(field, "the path is malformed")
	}
	escaped := strings.ToLower(parsed.EscapedPath())
	for _, refused := range []string{"%2f", "%5c", "%00", "//"} {
		if strings.Contains(escaped, refused) {
			return badRequest(field, "the path has an empty segment or an encoded separator")
		}
	}
	for _, segment := range strings.Split(parsed.Path, "/") {
		if segment == "." || segment == ".." {
			return badRequest(field, "the path has a dot segment")
		}
	}
	return nil
}
