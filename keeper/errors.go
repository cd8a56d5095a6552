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

// UnreadTailError says that too few witnesses of a group could be read.
type UnreadTailError struct {
	Group lease.Group
	Epoch structs.Epoch
	Read  int
}

// Error names the group and how many witnesses were read.
func (e *UnreadTailError) Error() string {
	return fmt.Sprintf("tail of group %d, epoch %d: only %d witnesses read", e.Group, e.Epoch, e.Read)
}

// OutdatedError says that a group's row changed while it was worked on.
type OutdatedError struct{ Group lease.Group }

// Error names the group.
func (e *OutdatedError) Error() string { return fmt.Sprintf("row of group %d has changed", e.Group) }

// MessagesError says that a peer's lease messages can't be read.
type MessagesError struct{ Bytes int }

// Error tells how long they are.
func (e *MessagesError) Error() string {
	return fmt.Sprintf("lease messages of %d bytes are broken", e.Bytes)
}
