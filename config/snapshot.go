package config

import (
	"crypto/sha256"
	"maps"
	"slices"
	"sort"

	"github.com/endivecourse/endivecourse/structs"
)

// Snapshot is one version of the document with indexes for the look-ups that
// each request needs. It is immutable and safe for concurrent use.
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

// dummyKey is compared with the secret if the key ID is unknown, so that a
// refusal takes the same time whether or not the key ID exists.
var dummyKey = storedKey{salt: make([]byte, keySaltBytes), hash: make([]byte, sha256.Size)}

// NewSnapshot indexes a checked document. The document must not be changed
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
		s.programs[kind] = toSet(program.Services)
	}
	s.indexRoutes()
	return s
}

func (s *Snapshot) indexAccount(id structs.AccountID) {
	account := s.doc.Accounts[id]
	s.accounts[id] = accountIndex{programs: toSet(account.Programs), routes: toSet(account.Routes)}
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

func toSet[T comparable](items []T) map[T]bool {
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

// Version returns the version number.
func (s *Snapshot) Version() uint64 { return s.version }

// Author returns the operator who stored the version.
func (s *Snapshot) Author() string { return s.author }

// Document returns the document. Its maps and slices must not be changed.
func (s *Snapshot) Document() Document { return s.doc }

// Authenticate returns the account and the ID of the presented key. ok is false
// if the key is malformed, unknown or wrong.
func (s *Snapshot) Authenticate(presented string) (account structs.AccountID, keyID string, ok bool) {
	keyID, secret, ok := splitKey(presented)
	if !ok {
		return "", "", false
	}
	entry, known := s.keys[keyID]
	if !known {
		dummyKey.matches(secret)
		return "", "", false
	}
	if !entry.key.matches(secret) {
		return "", "", false
	}
	return entry.account, keyID, true
}

// IsKeyValid reports whether the account still has the key.
func (s *Snapshot) IsKeyValid(account structs.AccountID, keyID string) bool {
	entry, known := s.keys[keyID]
	return known && entry.account == account
}

// Account returns the client account with the ID.
func (s *Snapshot) Account(id structs.AccountID) (Account, bool) {
	a, ok := s.doc.Accounts[id]
	return a, ok
}

// Program returns the program of the kind.
func (s *Snapshot) Program(kind string) (Program, bool) {
	p, ok := s.doc.Programs[kind]
	return p, ok
}

// Service returns the service with the ID.
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

// MatchRoute returns the route with the longest prefix that matches the path up
// to a segment boundary. A path with a dot segment matches no route, since a
// target could resolve it to a path outside the prefix.
func (s *Snapshot) MatchRoute(path string) (name string, route Route, ok bool) {
	if hasDotSegment(path) {
		return "", Route{}, false
	}
	for _, r := range s.routes {
		if hasPathPrefix(path, r.prefix) {
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

// sameContent reports whether both snapshots have the same document and author.
func (s *Snapshot) sameContent(other *Snapshot) bool {
	return s.author == other.author && s.digest == other.digest
}
