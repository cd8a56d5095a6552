package borrower

import (
	"sync"

	"github.com/endivecourse/endivecourse/structs"
)

// domainSlot identifies a slot of a domain, given by its index.
type domainSlot struct {
	domain int
	slot   structs.Slot
}

// ownerResolver finds the quota holder of a slot: the address of a redirect or of the last
// reply, else the owner according to Options.OwnerAddr, else one of the domain's schedulers
// in turn. After a failed call, OwnerAddr is not used for the slot until a holder replies or
// redirects.
type ownerResolver struct {
	opts          Options
	mu            sync.Mutex
	known         map[domainSlot]string
	failed        map[domainSlot]bool
	nextScheduler int
}

func newOwnerResolver(opts Options) *ownerResolver {
	return &ownerResolver{opts: opts, known: make(map[domainSlot]string), failed: make(map[domainSlot]bool)}
}

// resolve returns the address to which requests for the slot go, or "" if there is none.
func (r *ownerResolver) resolve(domain int, slot structs.Slot) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr := r.known[domainSlot{domain, slot}]; addr != "" {
		return addr
	}
	id := r.opts.Domains[domain]
	if r.opts.OwnerAddr != nil && !r.failed[domainSlot{domain, slot}] {
		if addr := r.opts.OwnerAddr(id, slot); addr != "" {
			return addr
		}
	}
	if r.opts.SchedulerAddrs == nil {
		return ""
	}
	peers := r.opts.SchedulerAddrs(id)
	if len(peers) == 0 {
		return ""
	}
	r.nextScheduler++
	return peers[r.nextScheduler%len(peers)]
}

// setOwner records the address of a slot's owner. An empty address has the effect of
// markFailed.
func (r *ownerResolver) setOwner(domain int, slot structs.Slot, addr string) {
	if addr == "" {
		r.markFailed(domain, slot)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[domainSlot{domain, slot}] = addr
	delete(r.failed, domainSlot{domain, slot})
}

// markFailed removes the recorded owner of a slot and stops the use of OwnerAddr for it.
func (r *ownerResolver) markFailed(domain int, slot structs.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.known, domainSlot{domain, slot})
	r.failed[domainSlot{domain, slot}] = true
}
