package config

import (
	"net/http"
	"strings"

	"github.com/endivecourse/endivecourse/internal/strictjson"
	"github.com/endivecourse/endivecourse/structs"
)

// protocolOf maps a kind of service to the protocol of its targets.
var protocolOf = map[ServiceKind]string{ServiceModel: "engine", ServicePlain: "plain"}

var plainMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

// reservedPrefixes belong to the callers' interface itself.
var reservedPrefixes = []string{"/v1", "/healthz", "/readyz"}

// targetUse remembers where a target ID or URL was seen first.
type targetUse struct {
	ids, urls map[string]path
}

func (c checker) services() {
	used := targetUse{ids: make(map[string]path), urls: make(map[string]path)}
	for _, id := range sorted(c.doc.Services) {
		s, at := c.doc.Services[id], strictjson.Keys("services", string(id))
		c.CheckName(at, string(id))
		c.CheckOneOf(at.Key("kind"), string(s.Kind), string(ServiceModel), string(ServicePlain))
		c.checkTimeout(at.Key("timeout"), s.Timeout)
		c.methods(s, at.Key("repeatable_methods"))
		if len(s.Targets) == 0 {
			c.Add(at.Key("targets"), "is empty; must hold at least one target")
		}
		for _, target := range sorted(s.Targets) {
			c.target(s, target, at.Key("targets").Key(string(target)), used)
		}
	}
}

func (c checker) methods(s Service, at path) {
	if len(s.Methods) == 0 {
		return
	}
	if s.Kind == ServiceModel {
		c.Add(at, "is of use to a plain service only; a model service must leave it out")
	}
	if !s.IsRepeatable {
		c.Add(at, "contradicts repeatable, which is false; set repeatable to true or leave this out")
	}
	seen := make(map[string]bool)
	for i, method := range s.Methods {
		c.CheckOneOf(at.Index(i), method, plainMethods...)
		if seen[method] {
			c.Add(at.Index(i), "names %s a second time", method)
		}
		seen[method] = true
	}
}

func (c checker) target(s Service, id structs.TargetID, at path, used targetUse) {
	t := s.Targets[id]
	c.CheckName(at, string(id))
	if first, taken := used.ids[string(id)]; taken {
		c.Add(at, "has the same name as %s; target names are unique over all services", first)
	}
	used.ids[string(id)] = at
	if _, known := c.doc.Domains[t.Domain]; !known && !c.HasProblem(strictjson.Keys("domains")) {
		c.Add(at.Key("domain"), "names the unknown failure domain %q; known are %s", t.Domain, list(c.doc.Domains))
	}
	c.CheckURL(at.Key("url"), t.URL)
	address := strings.TrimRight(t.URL, "/")
	if first, taken := used.urls[address]; taken && address != "" {
		c.Add(at.Key("url"), "is the URL of %s already; each target needs one of its own", first)
	}
	used.urls[address] = at
	if want := protocolOf[s.Kind]; want != "" && t.Protocol != want {
		c.Add(at.Key("protocol"), "must be %q for a %s service, not %q", want, s.Kind, t.Protocol)
	}
	if t.ChecksFence && s.Kind == ServicePlain {
		c.Add(at.Key("checks_fence"), "must be false for a plain service, which takes no orders")
	}
	if t.MaxInFlight < 0 {
		c.Add(at.Key("max_in_flight"), "must be 0 (learned) or a whole number of at least 1, not %d", t.MaxInFlight)
	}
}

func (c checker) routes() {
	names := sorted(c.doc.Routes)
	for _, name := range names {
		route, at := c.doc.Routes[name], strictjson.Keys("routes", name)
		c.CheckName(at, name)
		service, known := c.doc.Services[route.Service]
		switch {
		case !known && c.HasProblem(strictjson.Keys("services")):
		case !known:
			c.Add(at.Key("service"), "names the unknown service %q; known are %s", route.Service, list(c.doc.Services))
		case service.Kind == ServiceModel:
			c.Add(at.Key("service"), "names the model service %q; a route leads to a plain service, a model is asked by a program", route.Service)
		}
		c.prefix(name, at.Key("prefix"), names)
	}
}

func (c checker) prefix(name string, at path, names []string) {
	route := c.doc.Routes[name]
	own := cleanPrefix(route.Prefix)
	if !strings.HasPrefix(route.Prefix, "/") || own == "" || strings.ContainsAny(own, "?#% ") || strings.Contains(own, "//") || hasDotSegment(own) {
		c.Add(at, `must be a path such as "/courts", without query, escapes or dot segments, not %q`, route.Prefix)
		return
	}
	for _, reserved := range reservedPrefixes {
		if under(own, reserved) {
			c.Add(at, "lies under %s, which belongs to the callers' interface", reserved)
			return
		}
	}
	for _, other := range names {
		otherRoute := c.doc.Routes[other]
		prefix := cleanPrefix(otherRoute.Prefix)
		switch {
		case other == name || prefix == "":
		case own == prefix && other < name:
			c.Add(at, "is the prefix of route %q already; each route needs one of its own", other)
		case own != prefix && under(own, prefix) && route.IsOpen != otherRoute.IsOpen:
			c.Add(at, "lies under the prefix of route %q, but only one of the two is open; nested routes must both be open or both keyed", other)
		}
	}
}

func cleanPrefix(prefix string) string { return strings.TrimRight(prefix, "/") }

func hasDotSegment(p string) bool {
	for _, segment := range strings.Split(p, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// under reports whether the path equals the prefix or continues it at a
// segment boundary.
func under(p, prefix string) bool {
	return strings.HasPrefix(p, prefix) && (len(p) == len(prefix) || p[len(prefix)] == '/')
}
