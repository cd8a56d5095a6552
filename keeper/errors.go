package keeper

import (
	"fmt"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// OptionError is returned when an option is missing or not valid.
type OptionError struct {
	Option string
	Reason string
}

// Error names the option and the reason.
func (e *OptionError) Error() string { return fmt.Sprintf("keeper option %s: %s", e.Option, e.Reason) }

// WitnessQuorumError is returned when too few witnesses of a group could be read.
type WitnessQuorumError struct {
	Group     lease.Group
	Epoch     structs.Epoch
	ReadCount int
}

// Error names the group, the epoch and the number of witnesses read.
func (e *WitnessQuorumError) Error() string {
	return fmt.Sprintf("journal tail of group %d, epoch %d: no quorum, only %d witnesses read", e.Group, e.Epoch, e.ReadCount)
}

// RowChangedError is returned when a group's lease row has changed since an
// operation on the group was started.
type RowChangedError struct{ Group lease.Group }

// Error names the group.
func (e *RowChangedError) Error() string {
	return fmt.Sprintf("lease row of group %d has changed", e.Group)
}

// MalformedMessagesError is returned when a peer's lease messages can't be decoded.
type MalformedMessagesError struct{ Bytes int }

// Error gives the length of the encoded messages.
func (e *MalformedMessagesError) Error() string {
	return fmt.Sprintf("lease messages of %d bytes are broken", e.Bytes)
}
