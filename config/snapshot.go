package config

import (
	"crypto/sha256"
	"maps"
	"slices"
	"sort"

	"github.com/endivecourse/endivecourse/structs"
)

// Snapshot is one version of the document, indexed for use on every request.
// It is immutable and safe for concurrent use.
type Snapshot struct {
	version  uint64
	author   string
	doc      Document
	digest   digest
	accounts map[structs.AccountID]accountIndex
	keys     map[string]keyIndex
	programs map[string]map[structs.ServiceID]bool
	routes   []namedRoute // longest prefix first
}

type accountIndex struct {
	programs map[string]bool
	routes   map[string]bool
}

type keyIndex struct {
	account structs.AccountID
	key     storedKey
}

type namedRoute struct {
	name   string
	prefix string
	route  Route
}

// absentKey stands in for the key of an unknown key ID, so that a refusal
// takes the same work whether or not the ID exists.
var absentKey = storedKey{salt: make([]byte, keySaltBytes), hash: make([]byte, sha256.Size)}

// NewSnapshot indexes a checked document, which the caller does not change
// afterwards.
func NewSnapshot(version uint64, author string, doc Document) *Snapshot {
	s := &Snapshot{
		version:  version,
		author:   author,
		doc:      doc,
		digest:   digestOf(doc),
		accounts: make(map[structs.AccountID]accountIndex, len(doc.Accounts)),
		keys:     make(map[string]keyIndex),
		programs: make(map[string]map[structs.ServiceID]bool, len(doc.Programs)),
	}
	for id := range doc.Accounts {
		s.indexAccount(id)
	}
	for kind, program := range doc.Programs {
		s.programs[kind] = setOf(program.Services)
	}
	s.indexRoutes()
	return s
}

func (s *Snapshot) indexAccount(id structs.AccountID) {
	account := s.doc.Accounts[id]
	s.accounts[id] = accountIndex{programs: setOf(account.Programs), routes: setOf(account.Routes)}
	for keyID, key := range account.Keys {
		if stored, ok := decodeKey(key); ok {
			s.keys[keyID] = keyIndex{account: id, key: stored}
		}
	}
}

func (s *Snapshot) indexRoutes() {
	s.routes = nil
	for name, route := range s.doc.Routes {
		s.routes = append(s.routes, namedRoute{name: name, prefix: cleanPrefix(route.Prefix), route: route})
	}
	sort.Slice(s.routes, func(i, j int) bool {
		a, b := s.routes[i], s.routes[j]
		if len(a.prefix) != len(b.prefix) {
			return len(a.prefix) > len(b.prefix)
		}
		return a.name < b.name
	})
}

func setOf[T comparable](items []T) map[T]bool {
	set := make(map[T]bool, len(items))
	for _, item := range items {
		set[item] = true
	}
	return set
}

// ServiceIDs returns the IDs of all services, sorted.
func (s *Snapshot) ServiceIDs() []structs.ServiceID {
	return slices.Sorted(maps.Keys(s.doc.Services))
}

// Version returns the number of the version.
func (s *Snapshot) Version() uint64 { return s.version }

// Author returns the operator who stored the version.
func (s *Snapshot) Author() string { return s.author }

// Document returns the document. Its maps and slices must not be changed.
func (s *Snapshot) Document() Document { return s.doc }

// Authenticate returns the account whose key is presented.
func (s *Snapshot) Authenticate(presented string) (account structs.AccountID, keyID string, ok bool) {
	keyID, secret, ok := splitKey(presented)
	if !ok {
		return "", "", false
	}
	entry, known := s.keys[keyID]
	if !known {
		absentKey.matches(secret)
		return "", "", false
	}
	if !entry.key.matches(secret) {
		return "", "", false
	}
	return entry.account, keyID, true
}

// IsKeyValid reports whether the key is still one of the account's.
func (s *Snapshot) IsKeyValid(account structs.AccountID, keyID string) bool {
	entry, known := s.keys[keyID]
	return known && entry.account == account
}

// Account returns an account.
func (s *Snapshot) Account(id structs.AccountID) (Account, bool) {
	a, ok := s.doc.Accounts[id]
	return a, ok
}

// Program returns a kind of program.
func (s *Snapshot) Program(kind string) (Program, bool) {
	p, ok := s.doc.Programs[kind]
	return p, ok
}

// Service returns a service.
func (s *Snapshot) Service(id structs.ServiceID) (Service, bool) {
	service, ok := s.doc.Services[id]
	return service, ok
}

// MayRun reports whether the account's callers may run the kind of program.
func (s *Snapshot) MayRun(account structs.AccountID, kind string) bool {
	return s.accounts[account].programs[kind]
}

// MayCall reports whether programs of the kind may call the service.
func (s *Snapshot) MayCall(kind string, service structs.ServiceID) bool {
	return s.programs[kind][service]
}

// MatchRoute returns the route with the longest prefix of the path that ends
// at a segment boundary. A path with a dot segment matches none, since a target
// would resolve it to a path outside the prefix.
func (s *Snapshot) MatchRoute(path string) (name string, route Route, ok bool) {
	if hasDotSegment(path) {
		return "", Route{}, false
	}
	for _, r := range s.routes {
		if under(path, r.prefix) {
			return r.name, r.route, true
		}
	}
	return "", Route{}, false
}

// MayUseRoute reports whether the route is open or the account may use it.
func (s *Snapshot) MayUseRoute(account structs.AccountID, name string) bool {
	route, known := s.doc.Routes[name]
	return known && (route.IsOpen || s.accounts[account].routes[name])
}

// sameContent reports whether both versions hold the same document by the same
// author.
func (s *Snapshot) sameContent(other *Snapshot) bool {
	return s.author == other.author && s.digest == other.digest
}
