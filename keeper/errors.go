package keeper

import (
	"fmt"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// OptionError says that an option is missing or contradictory.
type OptionError struct {
	Option string
	Reason string
}

// Error names the option.
func (e *OptionError) Error() string { return fmt.Sprintf("keeper option %s: %s", e.Option, e.Reason) }

// WitnessQuorumError says that too few witnesses of a group could be read.
type WitnessQuorumError struct {
	Group     lease.Group
	Epoch     structs.Epoch
	ReadCount int
}

// Error names the group and how many witnesses were read.
func (e *WitnessQuorumError) Error() string {
	return fmt.Sprintf("tail of group %d, epoch %d: only %d witnesses read", e.Group, e.Epoch, e.ReadCount)
}

// RowChangedError says that a group's row changed while it was worked on.
type RowChangedError struct{ Group lease.Group }

// Error names the group.
func (e *RowChangedError) Error() string { return fmt.Sprintf("row of group %d has changed", e.Group) }

// MalformedMessagesError says that a peer's lease messages can't be read.
type MalformedMessagesError struct{ Bytes int }

// Error tells how long they are.
func (e *MalformedMessagesError) Error() string {
	return fmt.Sprintf("lease messages of %d bytes are broken", e.Bytes)
}
