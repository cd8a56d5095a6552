package lease

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// witness is this process's role as a witness of leases of other processes. It answers
// renewals and requests for promises. A promise covers all epochs up to the promised
// one and is kept for the life of the process.
type witness struct {
	cfg       Config
	self      Member
	mutations mutations
	promised  []structs.Epoch
	lastAck   []lastAck
}

// lastAck is the last acknowledged renewal of the highest epoch, and of any epoch.
type lastAck struct {
	epoch        structs.Epoch
	epochAckedAt structs.Instant
	hasAcked     bool // any renewal was acknowledged
	ackedAt      structs.Instant
	ackedEpoch   structs.Epoch // used only with mutations.reportFirstAckAge
}

func newWitness(cfg Config, self Member) *witness {
	return &witness{
		cfg:      cfg,
		self:     self,
		promised: make([]structs.Epoch, cfg.Groups),
		lastAck:  make([]lastAck, cfg.Groups),
	}
}

// acknowledge reports whether the witness acknowledges a renewal of the epoch.
func (w *witness) acknowledge(now structs.Instant, g Group, epoch structs.Epoch) bool {
	if epoch <= w.promised[g] && !w.mutations.forgetPromises {
		return false
	}
	h := &w.lastAck[g]
	if !w.mutations.reportFirstAckAge || !h.hasAcked || h.ackedEpoch != epoch {
		h.hasAcked, h.ackedAt, h.ackedEpoch = true, now, epoch
	}
	if epoch >= h.epoch {
		h.epoch, h.epochAckedAt = epoch, now
	}
	return true
}

// ackAge returns how long ago this witness acknowledged a renewal of the group in any
// epoch.
func (w *witness) ackAge(now structs.Instant, g Group) time.Duration {
	h := w.lastAck[g]
	if !h.hasAcked {
		return w.cfg.maxAckAge()
	}
	return min(max(now.Sub(h.ackedAt), 0), w.cfg.maxAckAge())
}

// promise reports whether the witness promises to no longer acknowledge the epoch. It
// declines while the owner renews, unless the owner has exited.
func (w *witness) promise(now structs.Instant, g Group, epoch structs.Epoch, hasOwnerExited bool) bool {
	if epoch <= w.promised[g] {
		return true
	}
	last := w.lastAck[g]
	if !hasOwnerExited && last.epoch >= epoch && now.Sub(last.epochAckedAt) < w.cfg.SuspectTimeout {
		return false
	}
	w.promised[g] = epoch
	return true
}

// isOwnerSilent reports whether the witness has acknowledged no renewal of the epoch
// since the given instant for at least SuspectTimeout.
func (w *witness) isOwnerSilent(now, since structs.Instant, g Group, epoch structs.Epoch) bool {
	if last := w.lastAck[g]; last.epoch >= epoch && since.Before(last.epochAckedAt) {
		since = last.epochAckedAt
	}
	return now.Sub(since) >= w.cfg.SuspectTimeout
}
