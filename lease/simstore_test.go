package lease

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const simTable = -1 // index of the table in the links

func (s *sim) read(pr *process, g Group) {
	sent := pr.clock(s.now)
	s.after(s.delay(), func() {
		if !s.isStoreUp || s.cutLinks[[2]int{pr.address.index, simTable}] {
			return
		}
		current := s.rows[g]
		s.reply(pr, func() { s.step(pr, RowRead{Sent: sent, Group: g, Row: current.row, Version: current.version}) })
	})
}

// reply delivers an answer of the table, unless it is lost.
func (s *sim) reply(pr *process, run func()) bool {
	if s.cutLinks[[2]int{simTable, pr.address.index}] || !s.noFaults && s.rng.IntN(20) == 0 {
		s.stats.LostReplies++
		return false
	}
	s.after(s.delay(), func() { s.deliver(pr, run) })
	return true
}

// write applies a write after a delay. The delay may be longer than the timeout after
// which the sender is told that the outcome is unknown.
func (s *sim) write(pr *process, a WriteRow) {
	sent := pr.clock(s.now)
	isAnswered := false
	deliverOnce := func(ev Event) {
		s.deliver(pr, func() {
			if !isAnswered {
				isAnswered = true
				s.step(pr, ev)
			}
		})
	}
	s.after(simStoreTimeout, func() { deliverOnce(WriteFailed{Group: a.Group, Version: a.Version, Unknown: true}) })
	s.after(s.delay(), func() {
		if !s.isStoreUp || s.cutLinks[[2]int{pr.address.index, simTable}] {
			if s.rng.IntN(2) == 0 {
				s.after(s.randomDuration(time.Second), func() { deliverOnce(WriteFailed{Group: a.Group, Version: a.Version}) })
			}
			return
		}
		current := s.rows[a.Group]
		if current.version != a.Version {
			s.reply(pr, func() { deliverOnce(RowRead{Sent: sent, Group: a.Group, Row: current.row, Version: current.version}) })
			return
		}
		s.countChange(current.row, a.Row)
		s.rows[a.Group] = simRow{row: a.Row, version: a.Version + 1}
		s.reply(pr, func() { deliverOnce(RowWritten{Sent: sent, Group: a.Group, Row: a.Row, Version: a.Version + 1}) })
	})
}

func (s *sim) countChange(from, to Row) {
	switch {
	case to.IsReleased:
		s.stats.Releases++
	case to.Epoch != from.Epoch && to.Owner.Incarnation == from.Owner.Incarnation:
		s.stats.SelfSuccessions++
	case to.Epoch != from.Epoch:
		s.stats.Successions++
	case from.PendingWitnesses != nil && to.PendingWitnesses == nil:
		s.stats.SetChanges++
	}
}

// injectFault injects one random fault and schedules the next one.
func (s *sim) injectFault() {
	if s.noFaults {
		return
	}
	s.after(s.randomDuration(6*time.Second), s.injectFault)
	p := s.addresses[s.rng.IntN(len(s.addresses))]
	if len(p.processes) == 0 {
		return
	}
	pr := p.processes[len(p.processes)-1]
	switch s.rng.IntN(9) {
	case 0:
		s.stats.Kills++
		s.kill(pr)
		s.after(s.randomDuration(5*time.Second), func() { s.restart(p, pr.self.VM) })
	case 1:
		s.replace(pr)
	case 2, 3:
		s.pause(pr)
	case 4, 5:
		s.cutRandomLinks()
	case 6:
		s.stats.Outages++
		s.isStoreUp = false
		s.after(s.randomDuration(20*time.Second), func() { s.isStoreUp = true })
	case 7:
		vm := pr.self.VM
		s.unoffered[vm] = true
		s.after(s.randomDuration(15*time.Second), func() { delete(s.unoffered, vm) })
	case 8:
		s.releaseAndStop(pr)
	}
}

// restart starts a new incarnation on a VM unless the VM was replaced.
func (s *sim) restart(p *address, vm structs.VMID) {
	for _, pr := range p.processes {
		if pr.self.VM == vm {
			return
		}
	}
	if !s.replacedVMs[vm] {
		s.start(p, vm)
	}
}

// replace starts a new VM at the address. The old one may keep running until ExitGrace
// after its removal from the list.
func (s *sim) replace(pr *process) {
	if s.replacedVMs[pr.self.VM] {
		return
	}
	s.replacedVMs[pr.self.VM] = true
	s.stats.Replacements++
	listLag := s.randomDuration(simListLag)
	s.after(listLag, func() { s.removedVMs[pr.self.VM] = true })
	if s.rng.IntN(2) == 0 {
		s.kill(pr)
	} else {
		s.stats.OldVMsKept++
		s.after(listLag+s.randomDuration(simConfig.ExitGrace), func() { s.kill(pr) })
	}
	s.vmsAdded++
	vm := structs.VMID(fmt.Sprintf("vm%d-%d", pr.address.index, s.vmsAdded))
	s.after(s.randomDuration(5*time.Second), func() { s.start(pr.address, vm) })
}

func (s *sim) pause(pr *process) {
	if pr.isPaused {
		return
	}
	s.stats.Pauses++
	pr.isPaused = true
	s.after(s.randomDuration(12*time.Second), func() {
		pr.isPaused = false
		inbox := pr.inbox
		pr.inbox = nil
		for _, run := range inbox {
			s.deliver(pr, run)
		}
	})
}

// cutRandomLinks cuts the links between one end and some others, in one or both
// directions.
func (s *sim) cutRandomLinks() {
	s.stats.Cuts++
	end := s.rng.IntN(len(s.addresses)+1) - 1
	direction := s.rng.IntN(3)
	var links [][2]int
	for other := simTable; other < len(s.addresses); other++ {
		if other == end || s.rng.IntN(3) == 0 {
			continue
		}
		if direction != 1 {
			links = append(links, [2]int{end, other})
		}
		if direction != 0 {
			links = append(links, [2]int{other, end})
		}
	}
	for _, l := range links {
		s.cutLinks[l] = true
	}
	s.after(s.randomDuration(20*time.Second), func() {
		for _, l := range links {
			delete(s.cutLinks, l)
		}
	})
}

func (s *sim) releaseAndStop(pr *process) {
	s.deliver(pr, func() { s.step(pr, ReleaseAll{}) })
	s.after(s.randomDuration(5*time.Second), func() {
		if !pr.isDead {
			s.kill(pr)
			s.after(s.randomDuration(3*time.Second), func() { s.restart(pr.address, pr.self.VM) })
		}
	})
}
