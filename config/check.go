package config

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/endivecourse/endivecourse/internal/strictjson"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Bounds of single values.
const (
	maxProgramDepth = 64
	keySaltBytes    = 16
	keyHashBytes    = 32
)

type path = strictjson.Path

// checker checks a document. Each problem is noted once, in name order.
type checker struct {
	*strictjson.Report
	doc *Document
}

func checkDocument(doc *Document, r *strictjson.Report) {
	c := checker{Report: r, doc: doc}
	c.domains()
	c.services()
	c.programs()
	c.routes()
	c.accounts()
}

// sorted returns the names of a map in order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c checker) domains() {
	at := strictjson.Keys("domains")
	if len(c.doc.Domains) == 0 {
		c.Add(at, "is missing; must name the failure domains of the site")
	}
	for _, id := range sorted(c.doc.Domains) {
		c.CheckName(at.Key(string(id)), string(id))
		c.CheckName(at.Key(string(id)).Key("region"), c.doc.Domains[id].Region)
	}
}

func (c checker) programs() {
	for _, kind := range sorted(c.doc.Programs) {
		p, at := c.doc.Programs[kind], strictjson.Keys("programs", kind)
		c.CheckName(at, kind)
		if p.Budget <= 0 {
			c.Add(at.Key("budget_tokens"), "must be a whole number of at least 1, not %d", p.Budget)
		}
		if p.IdleLimit <= 0 {
			c.Add(at.Key("idle_limit"), "must be longer than 0, not %s", p.IdleLimit.Std())
		}
		if p.MaxDepth < 0 || p.MaxDepth > maxProgramDepth {
			c.Add(at.Key("max_depth"), "must be a whole number from 0 to %d, not %d", maxProgramDepth, p.MaxDepth)
		}
		if len(p.Services) == 0 {
			c.Add(at.Key("services"), "is empty; must name at least one service")
		}
		checkNames(c, at.Key("services"), p.Services, "services", c.doc.Services)
	}
}

// checkNames notes repeated names and those that known, a member of the
// document, does not have.
func checkNames[K ~string, V any](c checker, at path, names []K, section string, known map[K]V) {
	what := strings.TrimSuffix(section, "s")
	unreadable := c.HasProblem(strictjson.Keys(section))
	seen := make(map[K]bool, len(names))
	for i, name := range names {
		_, exists := known[name]
		switch {
		case !exists && unreadable:
		case !exists:
			c.Add(at.Index(i), "names the unknown %s %q; known are %s", what, name, list(known))
		case seen[name]:
			c.Add(at.Index(i), "names the %s %q a second time", what, name)
		}
		seen[name] = true
	}
}

const maxListed = 20

// list names up to maxListed entries of a map for a message.
func list[K ~string, V any](known map[K]V) string {
	names := sorted(known)
	if len(names) == 0 {
		return "none"
	}
	var text []string
	for _, name := range names[:min(len(names), maxListed)] {
		text = append(text, string(name))
	}
	if len(names) > maxListed {
		text = append(text, "...")
	}
	return strings.Join(text, ", ")
}

func (c checker) accounts() {
	keyOwner := make(map[string]structs.AccountID)
	for _, id := range sorted(c.doc.Accounts) {
		a, at := c.doc.Accounts[id], strictjson.Keys("accounts", string(id))
		c.CheckName(at, string(id))
		if !(a.Rate > 0) || math.IsInf(a.Rate, 1) {
			c.Add(at.Key("rate_per_second"), "must be greater than 0, not %g", a.Rate)
		}
		if a.Burst < 1 {
			c.Add(at.Key("burst"), "must be a whole number of at least 1, not %d", a.Burst)
		}
		checkNames(c, at.Key("programs"), a.Programs, "programs", c.doc.Programs)
		checkNames(c, at.Key("routes"), a.Routes, "routes", c.doc.Routes)
		for i, name := range a.Routes {
			if c.doc.Routes[name].IsOpen {
				c.Add(at.Key("routes").Index(i), "names the open route %q, which every caller may use; only keyed routes are listed", name)
			}
		}
		c.accountKeys(id, a, at.Key("keys"), keyOwner)
	}
}

func (c checker) accountKeys(id structs.AccountID, a Account, at path, owner map[string]structs.AccountID) {
	for _, keyID := range sorted(a.Keys) {
		key, keyAt := a.Keys[keyID], at.Key(keyID)
		if !validKeyID(keyID) {
			c.Add(keyAt, `key ID %q must have 1 to %d lower-case letters, digits or "-"`, keyID, maxKeyIDBytes)
		}
		if other, taken := owner[keyID]; taken {
			c.Add(keyAt, "is a key ID of account %q already; key IDs are unique", other)
		}
		owner[keyID] = id
		if !strictjson.IsHex(key.Salt, keySaltBytes) {
			c.Add(keyAt.Key("salt"), "must have %d hexadecimal digits", 2*keySaltBytes)
		}
		if !strictjson.IsHex(key.Hash, keyHashBytes) {
			c.Add(keyAt.Key("hash"), "must have %d hexadecimal digits", 2*keyHashBytes)
		}
	}
}

// checkTimeout notes a negative duration.
func (c checker) checkTimeout(at path, timeout settings.Duration) {
	if timeout < 0 {
		c.Add(at, "must be 0 (the daemon's call_timeout) or longer, not %s", timeout.Std())
	}
}
