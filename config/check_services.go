package config

import (
	"net/http"
	"strings"

	"github.com/endivecourse/endivecourse/internal/strictjson"
	"github.com/endivecourse/endivecourse/structs"
)

// targetProtocols gives the protocol of the targets of each kind of service.
var targetProtocols = map[ServiceKind]string{ServiceModel: "engine", ServicePlain: "plain"}

var plainMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

// reservedPrefixes are paths of the callers' interface itself.
var reservedPrefixes = []string{"/v1", "/healthz", "/readyz"}

// targetUses records the path at which each target ID and URL was found.
type targetUses struct {
	ids, urls map[string]path
}

func (c checker) checkServices() {
	uses := targetUses{ids: make(map[string]path), urls: make(map[string]path)}
	for _, id := range sortedKeys(c.doc.Services) {
		s, at := c.doc.Services[id], strictjson.Keys("services", string(id))
		c.CheckName(at, string(id))
		c.CheckOneOf(at.Key("kind"), string(s.Kind), string(ServiceModel), string(ServicePlain))
		c.checkTimeout(at.Key("timeout"), s.Timeout)
		c.checkMethods(s, at.Key("repeatable_methods"))
		if len(s.Targets) == 0 {
			c.Add(at.Key("targets"), "is empty; must hold at least one target")
		}
		for _, target := range sortedKeys(s.Targets) {
			c.checkTarget(s, target, at.Key("targets").Key(string(target)), uses)
		}
	}
}

func (c checker) checkMethods(s Service, at path) {
	if len(s.Methods) == 0 {
		return
	}
	if s.Kind == ServiceModel {
		c.Add(at, "applies to a plain service only; a model service must leave it out")
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

func (c checker) checkTarget(s Service, id structs.TargetID, at path, uses targetUses) {
	t := s.Targets[id]
	c.CheckName(at, string(id))
	if first, isTaken := uses.ids[string(id)]; isTaken {
		c.Add(at, "has the same name as %s; target names are unique over all services", first)
	}
	uses.ids[string(id)] = at
	if _, isKnown := c.doc.Domains[t.Domain]; !isKnown && !c.HasProblem(strictjson.Keys("domains")) {
		c.Add(at.Key("domain"), "names the unknown failure domain %q; known are %s", t.Domain, joinNames(c.doc.Domains))
	}
	c.CheckURL(at.Key("url"), t.URL)
	address := strings.TrimRight(t.URL, "/")
	if first, taken := uses.urls[address]; taken && address != "" {
		c.Add(at.Key("url"), "is the URL of %s already; each target needs one of its own", first)
	}
	uses.urls[address] = at
	if want := targetProtocols[s.Kind]; want != "" && t.Protocol != want {
		c.Add(at.Key("protocol"), "must be %q for a %s service, not %q", want, s.Kind, t.Protocol)
	}
	if t.ChecksFence && s.Kind == ServicePlain {
		c.Add(at.Key("checks_fence"), "must be false for a plain service, which takes no orders")
	}
	if t.MaxInFlight < 0 {
		c.Add(at.Key("max_in_flight"), "must be 0 (learned) or a whole number of at least 1, not %d", t.MaxInFlight)
	}
}

func (c checker) checkRoutes() {
	names := sortedKeys(c.doc.Routes)
	for _, name := range names {
		route, at := c.doc.Routes[name], strictjson.Keys("routes", name)
		c.CheckName(at, name)
		service, isKnown := c.doc.Services[route.Service]
		switch {
		case !isKnown && c.HasProblem(strictjson.Keys("services")):
		case !isKnown:
			c.Add(at.Key("service"), "names the unknown service %q; known are %s", route.Service, joinNames(c.doc.Services))
		case service.Kind == ServiceModel:
			c.Add(at.Key("service"), "names the model service %q; a route leads to a plain service, a model is asked by a program", route.Service)
		}
		c.checkPrefix(name, at.Key("prefix"), names)
	}
}

func (c checker) checkPrefix(name string, at path, names []string) {
	route := c.doc.Routes[name]
	own := cleanPrefix(route.Prefix)
	if !strings.HasPrefix(route.Prefix, "/") || own == "" || strings.ContainsAny(own, "?#% ") || strings.Contains(own, "//") || hasDotSegment(own) {
		c.Add(at, `must be a path such as "/courts", without query, escapes or dot segments, not %q`, route.Prefix)
		return
	}
	for _, reserved := range reservedPrefixes {
		if hasPathPrefix(own, reserved) {
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
		case own != prefix && hasPathPrefix(own, prefix) && route.IsOpen != otherRoute.IsOpen:
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

// hasPathPrefix reports whether the path equals the prefix or is below it, that
// is, whether the prefix ends at a segment boundary of the path.
func hasPathPrefix(p, prefix string) bool {
	return strings.HasPrefix(p, prefix) && (len(p) == len(prefix) || p[len(prefix)] == '/')
}
