package config

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/endivecourse/endivecourse/structs"
)

// digest identifies the content of a document. It is the exclusive or of the
// hashes of all members, so that a change of one member updates it without
// hashing the others. It detects faults; it does not protect against forgery.
type digest [sha256.Size]byte

// toggle adds a member to the digest, or removes it if the digest includes it.
func (d *digest) toggle(section, service, name string, member any) {
	data, err := json.Marshal([]any{section, service, name, member})
	if err != nil {
		panic(&structs.InvariantError{Package: "config", Name: "encodable", Detail: err.Error()})
	}
	for i, b := range sha256.Sum256(data) {
		d[i] ^= b
	}
}

func digestOf(doc Document) digest {
	var d digest
	for id, domain := range doc.Domains {
		d.toggle(sectionDomains, "", string(id), domain)
	}
	for id, account := range doc.Accounts {
		d.toggle(sectionAccounts, "", string(id), account)
	}
	for kind, program := range doc.Programs {
		d.toggle(sectionPrograms, "", kind, program)
	}
	for id, service := range doc.Services {
		d.toggle(sectionServices, "", string(id), withoutTargets(service))
		for target, t := range service.Targets {
			d.toggle(sectionTargets, string(id), string(target), t)
		}
	}
	for name, route := range doc.Routes {
		d.toggle(sectionRoutes, "", name, route)
	}
	return d
}

func withoutTargets(s Service) Service {
	s.Targets = nil
	return s
}
