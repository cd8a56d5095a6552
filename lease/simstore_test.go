package lease

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const simTable = -1 // the table's end of a link

func (s *sim) read(pr *proc, g Group) {
	sent := pr.clock(s.now)
	s.after(s.delay(), func() {
		if !s.storeUp || s.cut[[2]int{pr.place.index, simTable}] {
			return
		}
		at := s.rows[g]
		s.answer(pr, func() { s.step(pr, RowRead{Sent: sent, Group: g, Row: at.row, Version: at.version}) })
	})
}

// answer carries an answer of the table back, unless it is lost.
func (s *sim) answer(pr *proc, run func()) bool {
	if s.cut[[2]int{simTable, pr.place.index}] || !s.calm && s.rng.IntN(20) == 0 {
		s.stats.LostAnswers++
		return false
	}
	s.after(s.delay(), func() { s.deliver(pr, run) })
	return true
}

// write takes effect after a delay that may be longer than the timeout after
// which its sender is told that the outcome is unknown.
func (s *sim) write(pr *proc, a WriteRow) {
	sent := pr.clock(s.now)
	answered := false
	once := func(ev Event) {
		s.deliver(pr, func() {
			if !answered {
				answered = true
				s.step(pr, ev)
			}
		})
	}
	s.after(simStoreTimeout, func() { once(WriteFailed{Group: a.Group, Version: a.Version, Unknown: true}) })
	s.after(s.delay(), func() {
		if !s.storeUp || s.cut[[2]int{pr.place.index, simTable}] {
			if s.rng.IntN(2) == 0 {
				s.after(s.upTo(time.Second), func() { once(WriteFailed{Group: a.Group, Version: a.Version}) })
			}
			return
		}
		at := s.rows[a.Group]
		if at.version != a.Version {
			s.answer(pr, func() { once(RowRead{Sent: sent, Group: a.Group, Row: at.row, Version: at.version}) })
			return
		}
		s.count(at.row, a.Row)
		s.rows[a.Group] = simRow{row: a.Row, version: a.Version + 1}
		s.answer(pr, func() { once(RowWritten{Sent: sent, Group: a.Group, Row: a.Row, Version: a.Version + 1}) })
	})
}

func (s *sim) count(from, to Row) {
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

// fault injects one fault at random and draws when the next one comes.
func (s *sim) fault() {
	if s.calm {
		return
	}
	s.after(s.upTo(6*time.Second), s.fault)
	p := s.places[s.rng.IntN(len(s.places))]
	if len(p.procs) == 0 {
		return
	}
	pr := p.procs[len(p.procs)-1]
	switch s.rng.IntN(9) {
	case 0:
		s.stats.Kills++
		s.kill(pr)
		s.after(s.upTo(5*time.Second), func() { s.restart(p, pr.self.VM) })
	case 1:
		s.replace(pr)
	case 2, 3:
		s.pause(pr)
	case 4, 5:
		s.cutLinks()
	case 6:
		s.stats.Outages++
		s.storeUp = false
		s.after(s.upTo(20*time.Second), func() { s.storeUp = true })
	case 7:
		vm := pr.self.VM
		s.hidden[vm] = true
		s.after(s.upTo(15*time.Second), func() { delete(s.hidden, vm) })
	case 8:
		s.releaseAndStop(pr)
	}
}

// restart starts a new incarnation on a VM unless the VM was replaced.
func (s *sim) restart(p *place, vm structs.VMID) {
	for _, pr := range p.procs {
		if pr.self.VM == vm {
			return
		}
	}
	if !s.old[vm] {
		s.start(p, vm)
	}
}

// replace puts a new VM at the place. The old one may live on until the list
// has not shown it for the grace time.
func (s *sim) replace(pr *proc) {
	if s.old[pr.self.VM] {
		return
	}
	s.old[pr.self.VM] = true
	s.stats.Replacements++
	listed := s.upTo(simListLag)
	s.after(listed, func() { s.gone[pr.self.VM] = true })
	if s.rng.IntN(2) == 0 {
		s.kill(pr)
	} else {
		s.stats.LivedOn++
		s.after(listed+s.upTo(simConfig.ExitGrace), func() { s.kill(pr) })
	}
	s.newVMs++
	vm := structs.VMID(fmt.Sprintf("vm%d-%d", pr.place.index, s.newVMs))
	s.after(s.upTo(5*time.Second), func() { s.start(pr.place, vm) })
}

func (s *sim) pause(pr *proc) {
	if pr.paused {
		return
	}
	s.stats.Pauses++
	pr.paused = true
	s.after(s.upTo(12*time.Second), func() {
		pr.paused = false
		inbox := pr.inbox
		pr.inbox = nil
		for _, run := range inbox {
			s.deliver(pr, run)
		}
	})
}

// cutLinks cuts one end off from some others, in one direction or both.
func (s *sim) cutLinks() {
	s.stats.Cuts++
	end := s.rng.IntN(len(s.places)+1) - 1
	direction := s.rng.IntN(3)
	var links [][2]int
	for other := simTable; other < len(s.places); other++ {
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
		s.cut[l] = true
	}
	s.after(s.upTo(20*time.Second), func() {
		for _, l := range links {
			delete(s.cut, l)
		}
	})
}

func (s *sim) releaseAndStop(pr *proc) {
	s.deliver(pr, func() { s.step(pr, ReleaseAll{}) })
	s.after(s.upTo(5*time.Second), func() {
		if !pr.dead {
			s.kill(pr)
			s.after(s.upTo(3*time.Second), func() { s.restart(pr.place, pr.self.VM) })
		}
	})
}
