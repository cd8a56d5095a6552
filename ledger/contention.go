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
}

// Error implements error.
func (e *ContendedError) Error() string {
	return "budget of program " + e.Program + " was changed by other VMs in every round"
}

// failContended fails the changes that somebody waits for and requeues the others.
func (k *Keeper) failContended(item *batchItem) {
	failed := &ContendedError{Program: item.entry.key.Key, Writer: item.rival(k.opts.Self)}
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
