package borrower

import (
	"sync"

	"github.com/endivecourse/endivecourse/structs"
)

type route struct {
	domain int
	slot   structs.Slot
}

// routes finds the holder of a slot: where a redirect pointed, else the owner
// as the gateway knows it, else the domain's schedulers in turn. After a failure
// the gateway's knowledge is passed over until a redirect.
type routes struct {
	opts    Options
	mu      sync.Mutex
	learned map[route]string
	failed  map[route]bool
	turn    int
}

func newRoutes(opts Options) *routes {
	return &routes{opts: opts, learned: make(map[route]string), failed: make(map[route]bool)}
}

func (r *routes) find(domain int, slot structs.Slot) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr := r.learned[route{domain, slot}]; addr != "" {
		return addr
	}
	id := r.opts.Domains[domain]
	if r.opts.OwnerAddr != nil && !r.failed[route{domain, slot}] {
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
	r.turn++
	return peers[r.turn%len(peers)]
}

// learn keeps the address of an owner; an empty one forgets what was known.
func (r *routes) learn(domain int, slot structs.Slot, addr string) {
	if addr == "" {
		r.forget(domain, slot)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learned[route{domain, slot}] = addr
	delete(r.failed, route{domain, slot})
}

// forget passes over what is known about a slot's owner.
func (r *routes) forget(domain int, slot structs.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.learned, route{domain, slot})
	r.failed[route{domain, slot}] = true
}
