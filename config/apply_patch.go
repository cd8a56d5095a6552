package config

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// Apply returns the snapshot that the patch leads to from base. Its error is a
// *PatchError when the patch does not fit base or the result is not the
// document that the patch names; the whole document is then needed.
func (p Patch) Apply(base *Snapshot) (*Snapshot, error) {
	if base == nil || base.version != p.From {
		have := uint64(0)
		if base != nil {
			have = base.version
		}
		return nil, &PatchError{From: p.From, To: p.To, Base: have, Detail: "it starts from another version"}
	}
	if p.To <= p.From {
		return nil, &PatchError{From: p.From, To: p.To, Base: base.version, Detail: "it does not ascend"}
	}
	e := newEditor(base, p)
	for _, c := range p.Changes {
		e.remove(c)
	}
	for _, c := range p.Changes {
		if err := e.set(c); err != nil {
			return nil, errors.Wrapf(err, "apply patch to version %d", p.To)
		}
	}
	next := e.finish()
	if !bytes.Equal(next.digest[:], p.Digest) {
		return nil, &PatchError{From: p.From, To: p.To, Base: base.version, Detail: "the result has another digest"}
	}
	return next, nil
}

// ApplyEncoded applies a patch that is encoded as JSON.
func ApplyEncoded(data []byte, base *Snapshot) (*Snapshot, error) {
	var p Patch
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode patch")
	}
	return p.Apply(base)
}

// editor makes a snapshot from another one. It copies the maps that it
// changes and shares the others.
type editor struct {
	next    *Snapshot
	targets map[structs.ServiceID]bool // whose targets are copied
	routes  bool                       // have changed
}

func newEditor(base *Snapshot, p Patch) *editor {
	next := *base
	next.version, next.author = p.To, p.Author
	e := &editor{next: &next, targets: make(map[structs.ServiceID]bool)}
	touched := make(map[string]bool)
	for _, c := range p.Changes {
		touched[c.Section] = true
	}
	doc := &next.doc
	if touched[sectionDomains] {
		doc.Domains = cloned(doc.Domains)
	}
	if touched[sectionAccounts] {
		doc.Accounts = cloned(doc.Accounts)
		next.accounts, next.keys = cloned(next.accounts), cloned(next.keys)
	}
	if touched[sectionPrograms] {
		doc.Programs, next.programs = cloned(doc.Programs), cloned(next.programs)
	}
	if touched[sectionServices] || touched[sectionTargets] {
		doc.Services = cloned(doc.Services)
	}
	if touched[sectionRoutes] {
		doc.Routes, e.routes = cloned(doc.Routes), true
	}
	return e
}

// cloned copies a map; the copy of a nil one can be written to.
func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// remove takes the member as it was out of the document, its index and the
// digest.
func (e *editor) remove(c MemberChange) {
	doc, d := &e.next.doc, &e.next.digest
	switch c.Section {
	case sectionDomains:
		removeFrom(d, doc.Domains, structs.DomainID(c.Name), c)
	case sectionAccounts:
		e.removeAccount(c)
	case sectionPrograms:
		removeFrom(d, doc.Programs, c.Name, c)
		delete(e.next.programs, c.Name)
	case sectionServices:
		e.removeService(c)
	case sectionTargets:
		id := structs.ServiceID(c.Service)
		if _, exists := doc.Services[id]; exists {
			removeFrom(d, e.targetsOf(id), structs.TargetID(c.Name), c)
		}
	case sectionRoutes:
		removeFrom(d, doc.Routes, c.Name, c)
	}
}

func removeFrom[K ~string, V any](d *digest, m map[K]V, name K, c MemberChange) {
	if before, exists := m[name]; exists {
		d.toggle(c.Section, c.Service, c.Name, before)
		delete(m, name)
	}
}

func (e *editor) removeAccount(c MemberChange) {
	id := structs.AccountID(c.Name)
	for keyID := range e.next.doc.Accounts[id].Keys {
		delete(e.next.keys, keyID)
	}
	delete(e.next.accounts, id)
	removeFrom(&e.next.digest, e.next.doc.Accounts, id, c)
}

// removeService takes a deleted service out with its targets; those of one
// that changes stay.
func (e *editor) removeService(c MemberChange) {
	id := structs.ServiceID(c.Name)
	before, exists := e.next.doc.Services[id]
	if !exists {
		return
	}
	e.next.digest.toggle(c.Section, "", c.Name, withoutTargets(before))
	if c.Value != nil {
		return
	}
	for name, target := range before.Targets {
		e.next.digest.toggle(sectionTargets, c.Name, string(name), target)
	}
	delete(e.next.doc.Services, id)
}

// set puts a member into the document, its index and the digest.
func (e *editor) set(c MemberChange) error {
	if c.Value == nil {
		return nil
	}
	doc, d := &e.next.doc, &e.next.digest
	switch c.Section {
	case sectionDomains:
		return setIn(d, doc.Domains, structs.DomainID(c.Name), c)
	case sectionAccounts:
		if err := setIn(d, doc.Accounts, structs.AccountID(c.Name), c); err != nil {
			return err
		}
		e.next.indexAccount(structs.AccountID(c.Name))
	case sectionPrograms:
		if err := setIn(d, doc.Programs, c.Name, c); err != nil {
			return err
		}
		e.next.programs[c.Name] = setOf(doc.Programs[c.Name].Services)
	case sectionServices:
		return e.setService(c)
	case sectionTargets:
		return setIn(d, e.targetsOf(structs.ServiceID(c.Service)), structs.TargetID(c.Name), c)
	case sectionRoutes:
		return setIn(d, doc.Routes, c.Name, c)
	default:
		return &PatchError{Detail: "section " + c.Section + " is not known"}
	}
	return nil
}

func setIn[K ~string, V any](d *digest, m map[K]V, name K, c MemberChange) error {
	var member V
	if err := json.Unmarshal(c.Value, &member); err != nil {
		return errors.Wrapf(err, "decode %s %s", c.Section, c.Name)
	}
	m[name] = member
	d.toggle(c.Section, c.Service, c.Name, member)
	return nil
}

func (e *editor) setService(c MemberChange) error {
	id := structs.ServiceID(c.Name)
	var service Service
	if err := json.Unmarshal(c.Value, &service); err != nil {
		return errors.Wrapf(err, "decode service %s", c.Name)
	}
	service.Targets = e.next.doc.Services[id].Targets
	if service.Targets == nil {
		service.Targets = make(map[structs.TargetID]Target)
		e.targets[id] = true
	}
	e.next.doc.Services[id] = service
	e.next.digest.toggle(c.Section, "", c.Name, withoutTargets(service))
	return nil
}

// targetsOf returns the targets of a service as a map of this editor's own.
func (e *editor) targetsOf(id structs.ServiceID) map[structs.TargetID]Target {
	service := e.next.doc.Services[id]
	if !e.targets[id] {
		service.Targets = cloned(service.Targets)
		e.next.doc.Services[id] = service
		e.targets[id] = true
	}
	return service.Targets
}

func (e *editor) finish() *Snapshot {
	if e.routes {
		e.next.indexRoutes()
	}
	return e.next
}
