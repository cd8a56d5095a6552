package ledger

import (
	"slices"

	"github.com/endivecourse/endivecourse/structs"
)

// ContendedError reports that another VM changed the balance before each of maxConflicts
// attempts. Without a known Writer, changes that somebody waits for are tried until their
// deadline instead.
type ContendedError struct {
	Program string
	// Writer is the VM that changed the balance last, empty if it is not known. Changes
	// that it makes for other VMs do not conflict with its own.
	Writer structs.VMID
	// ReservedAs maps turns that use an advance reservation to the ID of that reservation.
	ReservedAs map[structs.RequestID]structs.RequestID
}

// Error implements error.
func (e *ContendedError) Error() string {
	return "budget of program " + e.Program + " was changed by other VMs in every round"
}

// failContended fails the changes that somebody waits for and requeues the others.
func (k *Keeper) failContended(item *batchItem) {
	failed := &ContendedError{Program: item.entry.key.Key, Writer: item.rival(k.opts.Self), ReservedAs: make(map[structs.RequestID]structs.RequestID)}
	k.mu.Lock()
	for _, c := range item.changes {
		if c.done == nil {
			continue
		}
		for turn, id := range item.entry.advanceIDs {
			if id == c.reservation.Turn {
				failed.ReservedAs[turn] = id
				delete(item.entry.advanceIDs, turn)
			}
		}
	}
	k.mu.Unlock()
	k.handleFailure(item, failed, false)
}

// rival returns the VM that wrote the balance last, empty if that is not known or it was this
// VM.
func (item *batchItem) rival(self structs.VMID) structs.VMID {
	if writer := item.entry.balance.Writer; writer != self {
		return writer
	}
	return ""
}

// isAwaited reports whether somebody waits for a change, until its deadline.
func (item *batchItem) isAwaited() bool {
	return slices.ContainsFunc(item.changes, func(c *change) bool { return c.done != nil })
}
