package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// Sections of the document, as a MemberChange names them. Targets are apart
// from their service, which may have thousands.
const (
	sectionDomains  = "domains"
	sectionAccounts = "accounts"
	sectionPrograms = "programs"
	sectionServices = "services"
	sectionTargets  = "targets"
	sectionRoutes   = "routes"
)

// MemberChange sets or deletes one member of a section.
type MemberChange struct {
	Section string `json:"s"`
	Service string `json:"o,omitempty"` // of a target
	Name    string `json:"n"`
	// Value is the member as JSON; it is absent when the member is deleted.
	Value json.RawMessage `json:"v,omitempty"`
}

// Patch leads from one version of the document to a later one. Digest is that
// of the later document.
type Patch struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Author  string         `json:"author"`
	Digest  []byte         `json:"digest"`
	Changes []MemberChange `json:"changes"`
}

// PatchError says that a patch does not fit the snapshot that it was applied
// to, or does not lead to the document that it names.
type PatchError struct {
	From, To, Base uint64
	Detail         string
}

// Error names the versions and what is wrong.
func (e *PatchError) Error() string {
	return fmt.Sprintf("patch from version %d to %d at version %d: %s", e.From, e.To, e.Base, e.Detail)
}

// Diff returns the patch that leads from one snapshot to another.
func Diff(from, to *Snapshot) (Patch, error) {
	p := Patch{From: from.version, To: to.version, Author: to.author, Digest: to.digest[:]}
	a, b := from.doc, to.doc
	err := firstFailure(
		diffSection(&p, sectionDomains, "", a.Domains, b.Domains, func(x, y Domain) bool { return x == y }),
		diffSection(&p, sectionAccounts, "", a.Accounts, b.Accounts, sameAccount),
		diffSection(&p, sectionPrograms, "", a.Programs, b.Programs, sameProgram),
		diffServices(&p, a.Services, b.Services),
		diffSection(&p, sectionRoutes, "", a.Routes, b.Routes, func(x, y Route) bool { return x == y }),
	)
	return p, err
}

func firstFailure(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func diffSection[K ~string, V any](p *Patch, section, service string, from, to map[K]V, same func(V, V) bool) error {
	for _, name := range sorted(to) {
		if before, exists := from[name]; exists && same(before, to[name]) {
			continue
		}
		value, err := json.Marshal(to[name])
		if err != nil {
			return errors.Wrapf(err, "encode %s %s", section, name)
		}
		p.Changes = append(p.Changes, MemberChange{Section: section, Service: service, Name: string(name), Value: value})
	}
	for _, name := range sorted(from) {
		if _, exists := to[name]; !exists {
			p.Changes = append(p.Changes, MemberChange{Section: section, Service: service, Name: string(name)})
		}
	}
	return nil
}

// diffServices lists the services before their targets. Deleting a service
// deletes its targets.
func diffServices(p *Patch, from, to map[structs.ServiceID]Service) error {
	if err := diffSection(p, sectionServices, "", stripped(from), stripped(to), sameService); err != nil {
		return err
	}
	same := func(x, y Target) bool { return x == y }
	for _, id := range sorted(to) {
		if err := diffSection(p, sectionTargets, string(id), from[id].Targets, to[id].Targets, same); err != nil {
			return err
		}
	}
	return nil
}

func stripped(services map[structs.ServiceID]Service) map[structs.ServiceID]Service {
	out := make(map[structs.ServiceID]Service, len(services))
	for id, service := range services {
		out[id] = withoutTargets(service)
	}
	return out
}

func sameAccount(a, b Account) bool {
	return a.Rate == b.Rate && a.Burst == b.Burst && slices.Equal(a.Programs, b.Programs) &&
		slices.Equal(a.Routes, b.Routes) && maps.Equal(a.Keys, b.Keys)
}

func sameProgram(a, b Program) bool {
	return a.Budget == b.Budget && a.IdleLimit == b.IdleLimit && a.MaxDepth == b.MaxDepth &&
		slices.Equal(a.Services, b.Services)
}

// sameService compares services without their targets.
func sameService(a, b Service) bool {
	return a.Kind == b.Kind && a.IsRepeatable == b.IsRepeatable && a.Timeout == b.Timeout && slices.Equal(a.Methods, b.Methods)
}
