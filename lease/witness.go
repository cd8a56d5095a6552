package lease

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// witness is this process's side of the leases of others. It answers renewals
// and promises; a promise covers all epochs up to the promised one and is kept
// for the life of the process.
type witness struct {
	cfg      Config
	self     Member
	rules    rules
	promised []structs.Epoch
	heard    []heard
}

// heard is the last renewal of the highest epoch, and the last one of any.
type heard struct {
	epoch   structs.Epoch
	at      structs.Instant
	ever    bool // an epoch was acknowledged
	acked   structs.Instant
	ackedOf structs.Epoch // used with rules.ageOfFirst only
}

func newWitness(cfg Config, self Member) *witness {
	return &witness{
		cfg:      cfg,
		self:     self,
		promised: make([]structs.Epoch, cfg.Groups),
		heard:    make([]heard, cfg.Groups),
	}
}

// renew reports whether the renewal of an epoch is acknowledged.
func (w *witness) renew(now structs.Instant, g Group, epoch structs.Epoch) bool {
	if epoch <= w.promised[g] && !w.rules.promiseForgotten {
		return false
	}
	h := &w.heard[g]
	if !w.rules.ageOfFirst || !h.ever || h.ackedOf != epoch {
		h.ever, h.acked, h.ackedOf = true, now, epoch
	}
	if epoch >= h.epoch {
		h.epoch, h.at = epoch, now
	}
	return true
}

// age returns how long ago this witness acknowledged a renewal of the group,
// whatever its epoch.
func (w *witness) age(now structs.Instant, g Group) time.Duration {
	h := w.heard[g]
	if !h.ever {
		return w.cfg.maxAge()
	}
	return min(max(now.Sub(h.acked), 0), w.cfg.maxAge())
}

// promise reports whether the witness promises to acknowledge the epoch no
// more. It declines while it hears of the owner, unless the owner has ended.
func (w *witness) promise(now structs.Instant, g Group, epoch structs.Epoch, ended bool) bool {
	if epoch <= w.promised[g] {
		return true
	}
	last := w.heard[g]
	if !ended && last.epoch >= epoch && now.Sub(last.at) < w.cfg.SuspectTimeout {
		return false
	}
	w.promised[g] = epoch
	return true
}

// silent reports whether an epoch was not heard of since the given instant or
// for the time after which an owner is suspected.
func (w *witness) silent(now, since structs.Instant, g Group, epoch structs.Epoch) bool {
	if last := w.heard[g]; last.epoch >= epoch && since.Before(last.at) {
		since = last.at
	}
	return now.Sub(since) >= w.cfg.SuspectTimeout
}
