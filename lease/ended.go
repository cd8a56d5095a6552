package lease

import "github.com/endivecourse/endivecourse/structs"

// vmGone takes that a VM was in the platform's list and is not any more.
func (n *Node) vmGone(now structs.Instant, vm structs.VMID) {
	n.gone[vm] = true
	for inc, m := range n.named {
		if m.vm == vm {
			n.setEnded(now, inc)
		}
	}
}

// superseded takes that a member runs. Every other incarnation on its VM that
// was named before the request was sent has ended.
func (n *Node) superseded(now structs.Instant, ev ProcessSeen) {
	for inc, m := range n.named {
		if m.vm == ev.Member.VM && inc != ev.Member.Incarnation && !ev.Sent.Before(m.at) {
			n.setEnded(now, inc)
		}
	}
}

func (n *Node) setEnded(now structs.Instant, inc structs.Incarnation) {
	if _, known := n.ended[inc]; !known && inc != n.self.Incarnation {
		n.ended[inc] = now
	}
}

// countsEnded reports whether a witness counts as promising unasked.
func (n *Node) countsEnded(now structs.Instant, m Member) bool {
	at, ended := n.ended[m.Incarnation]
	return ended && (n.rules.goneWithoutGrace || now.Sub(at) >= n.cfg.grace())
}

func (n *Node) ownerEnded(g *group) bool {
	_, ended := n.ended[g.row.Owner.Incarnation]
	return ended
}

// HasExited reports whether there is evidence that an incarnation's process has
// ended.
func (n *Node) HasExited(inc structs.Incarnation) bool {
	_, ended := n.ended[inc]
	return ended
}

// ExitedMembers returns those of the members whose processes are known to have
// ended and may acknowledge nothing more.
func (n *Node) ExitedMembers(now structs.Instant, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if n.countsEnded(now, m) {
			out = append(out, m)
		}
	}
	return out
}
