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
// as the gateway knows it, else the domain's schedulers in turn.
type routes struct {
	opts    Options
	mu      sync.Mutex
	learned map[route]string
	turn    int
}

func newRoutes(opts Options) *routes {
	return &routes{opts: opts, learned: make(map[route]string)}
}

func (r *routes) find(domain int, slot structs.Slot) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr := r.learned[route{domain, slot}]; addr != "" {
		return addr
	}
	id := r.opts.Domains[domain]
	if r.opts.Owner != nil {
		if addr := r.opts.Owner(id, slot); addr != "" {
			return addr
		}
	}
	if r.opts.Peers == nil {
		return ""
	}
	peers := r.opts.Peers(id)
	if len(peers) == 0 {
		return ""
	}
	r.turn++
	return peers[r.turn%len(peers)]
}

// learn keeps a redirect; an empty address forgets what was known.
func (r *routes) learn(domain int, slot structs.Slot, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == "" {
		delete(r.learned, route{domain, slot})
		return
	}
	r.learned[route{domain, slot}] = addr
}

func (r *routes) forget(domain int, slot structs.Slot) { r.learn(domain, slot, "") }
