package lease

import "github.com/endivecourse/endivecourse/structs"

// recordVMRemoved handles the removal of a VM from the platform's list.
func (n *Node) recordVMRemoved(now structs.Instant, vm structs.VMID) {
	n.removedVMs[vm] = true
	for inc, m := range n.firstSeen {
		if m.vm == vm {
			n.recordExit(now, inc)
		}
	}
}

// recordProcessSeen handles an answer of a running member. Every other incarnation on
// its VM that this process saw in a row before the request was sent has exited.
func (n *Node) recordProcessSeen(now structs.Instant, ev ProcessSeen) {
	for inc, m := range n.firstSeen {
		if m.vm == ev.Member.VM && inc != ev.Member.Incarnation && !ev.Sent.Before(m.at) {
			n.recordExit(now, inc)
		}
	}
}

func (n *Node) recordExit(now structs.Instant, inc structs.Incarnation) {
	if _, known := n.exitedAt[inc]; !known && inc != n.self.Incarnation {
		n.exitedAt[inc] = now
	}
}

// countsAsPromised reports whether a witness counts as having promised without being
// asked, because it has exited.
func (n *Node) countsAsPromised(now structs.Instant, m Member) bool {
	at, hasExited := n.exitedAt[m.Incarnation]
	return hasExited && (n.mutations.skipExitWait || now.Sub(at) >= n.cfg.exitWait())
}

func (n *Node) hasOwnerExited(g *group) bool {
	_, hasExited := n.exitedAt[g.row.Owner.Incarnation]
	return hasExited
}

// HasExited reports whether there is evidence that an incarnation's process has
// exited.
func (n *Node) HasExited(inc structs.Incarnation) bool {
	_, hasExited := n.exitedAt[inc]
	return hasExited
}

// ExitedMembers returns the members whose processes are known to have exited and can
// no longer acknowledge anything.
func (n *Node) ExitedMembers(now structs.Instant, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if n.countsAsPromised(now, m) {
			out = append(out, m)
		}
	}
	return out
}
