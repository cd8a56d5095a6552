package config

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// Apply returns the snapshot that results from applying the patch to base. Its
// error is a *PatchError if the patch starts from another version or if the
// digest of the result differs from the patch's; the full document is needed
// then.
func (p Patch) Apply(base *Snapshot) (*Snapshot, error) {
	if base == nil || base.version != p.From {
		baseVersion := uint64(0)
		if base != nil {
			baseVersion = base.version
		}
		return nil, &PatchError{From: p.From, To: p.To, Base: baseVersion, Detail: "the patch starts from another version"}
	}
	if p.To <= p.From {
		return nil, &PatchError{From: p.From, To: p.To, Base: base.version, Detail: "the new version is not later than the old one"}
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
		return nil, &PatchError{From: p.From, To: p.To, Base: base.version, Detail: "the digest of the result differs from the digest in the patch"}
	}
	return next, nil
}

// ApplyEncoded decodes a patch from JSON and applies it to base.
func ApplyEncoded(data []byte, base *Snapshot) (*Snapshot, error) {
	var p Patch
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode patch")
	}
	return p.Apply(base)
}

// snapshotEditor makes a new snapshot from a base snapshot. It copies the maps
// that it changes and shares the others with the base.
type snapshotEditor struct {
	next            *Snapshot
	copiedTargets   map[structs.ServiceID]bool // services whose targets are copied
	hasRouteChanges bool                       // the routes must be indexed again
}

func newEditor(base *Snapshot, p Patch) *snapshotEditor {
	next := *base
	next.version, next.author = p.To, p.Author
	e := &snapshotEditor{next: &next, copiedTargets: make(map[structs.ServiceID]bool)}
	changedSections := make(map[string]bool)
	for _, c := range p.Changes {
		changedSections[c.Section] = true
	}
	doc := &next.doc
	if changedSections[sectionDomains] {
		doc.Domains = cloneMap(doc.Domains)
	}
	if changedSections[sectionAccounts] {
		doc.Accounts = cloneMap(doc.Accounts)
		next.accounts, next.keys = cloneMap(next.accounts), cloneMap(next.keys)
	}
	if changedSections[sectionPrograms] {
		doc.Programs, next.programs = cloneMap(doc.Programs), cloneMap(next.programs)
	}
	if changedSections[sectionServices] || changedSections[sectionTargets] {
		doc.Services = cloneMap(doc.Services)
	}
	if changedSections[sectionRoutes] {
		doc.Routes, e.hasRouteChanges = cloneMap(doc.Routes), true
	}
	return e
}

// cloneMap copies a map. The copy of a nil map is empty and can be written to.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// remove deletes the old value of a member from the document, its index and the
// digest.
func (e *snapshotEditor) remove(c MemberChange) {
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

func (e *snapshotEditor) removeAccount(c MemberChange) {
	id := structs.AccountID(c.Name)
	for keyID := range e.next.doc.Accounts[id].Keys {
		delete(e.next.keys, keyID)
	}
	delete(e.next.accounts, id)
	removeFrom(&e.next.digest, e.next.doc.Accounts, id, c)
}

// removeService removes a service from the digest. If the change deletes the
// service, it removes the service and its targets from the document as well; if
// the change replaces it, the targets stay.
func (e *snapshotEditor) removeService(c MemberChange) {
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

// set adds the new value of a member to the document, its index and the digest.
func (e *snapshotEditor) set(c MemberChange) error {
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
		e.next.programs[c.Name] = toSet(doc.Programs[c.Name].Services)
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

func (e *snapshotEditor) setService(c MemberChange) error {
	id := structs.ServiceID(c.Name)
	var service Service
	if err := json.Unmarshal(c.Value, &service); err != nil {
		return errors.Wrapf(err, "decode service %s", c.Name)
	}
	service.Targets = e.next.doc.Services[id].Targets
	if service.Targets == nil {
		service.Targets = make(map[structs.TargetID]Target)
		e.copiedTargets[id] = true
	}
	e.next.doc.Services[id] = service
	e.next.digest.toggle(c.Section, "", c.Name, withoutTargets(service))
	return nil
}

// targetsOf returns the targets of a service in a map that this editor may
// change.
func (e *snapshotEditor) targetsOf(id structs.ServiceID) map[structs.TargetID]Target {
	service := e.next.doc.Services[id]
	if !e.copiedTargets[id] {
		service.Targets = cloneMap(service.Targets)
		e.next.doc.Services[id] = service
		e.copiedTargets[id] = true
	}
	return service.Targets
}

func (e *snapshotEditor) finish() *Snapshot {
	if e.hasRouteChanges {
		e.next.indexRoutes()
	}
	return e.next
}
