package program

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

type writeKind uint8

const (
	writeCreated writeKind = iota + 1
	writeIntent
	writeVoid
	writeTurn
	writeEnded
)

// write is the one append of a program that is under way. One at a time keeps
// the sequence of records without gaps.
type write struct {
	id      WriteID
	kind    writeKind
	records []journal.Record
	turn    *structs.Turn
	unknown bool // an earlier try may have been kept
	retryAt structs.Instant
	retry   bool
}

func (c *Core) record(p *program, kind journal.Kind, body any) journal.Record {
	data, err := msgpack.Marshal(body)
	if err != nil {
		c.fault("record_encoded", "%s: %v", p.spec.ID, err)
	}
	p.seq++
	return journal.Record{Slot: p.slot, Epoch: p.epoch, Program: p.spec.ID, Seq: p.seq, Kind: kind, Body: data}
}

func (c *Core) append(p *program, kind writeKind, turn *structs.Turn, records ...journal.Record) {
	if p.writing != nil {
		c.fault("one_write", "%s starts a second write", p.spec.ID)
		return
	}
	w := &write{id: WriteID(c.nextID()), kind: kind, turn: turn}
	w.records = append(p.unwritten, records...)
	p.unwritten = nil
	p.writing = w
	if p.ephemeral {
		c.durable(p)
		return
	}
	c.writes[w.id] = p
	c.emit(Write{ID: w.id, Records: w.records})
}

func (c *Core) wrote(e WriteFinished) {
	p := c.writes[e.ID]
	if p == nil || p.writing == nil || p.writing.retry {
		return // of a lost slot
	}
	w := p.writing
	switch e.Result {
	case WriteDurable:
		delete(c.writes, e.ID)
		c.durable(p)
	case WriteFenced:
		c.lose(p.slot)
	case WriteTailFull:
		if !w.unknown && c.giveUp(p) {
			delete(c.writes, e.ID)
			return
		}
		c.retryLater(w)
	default:
		w.unknown = true
		c.retryLater(w)
	}
}

func (c *Core) retryLater(w *write) {
	w.retry = true
	w.retryAt = c.now.Add(c.opts.RetryDelay)
}

// durable goes on after the program's write.
func (c *Core) durable(p *program) {
	w := p.writing
	p.writing = nil
	switch w.kind {
	case writeCreated:
		c.created(p)
	case writeIntent:
		c.intentDurable(p)
	case writeVoid:
		c.voidDurable(p)
	case writeTurn:
		c.turnDurable(p, *w.turn)
	case writeEnded:
		c.endDurable(p)
	}
}

// giveUp takes back a write that was refused for want of room, if nothing has
// run that it records.
func (c *Core) giveUp(p *program) bool {
	w := p.writing
	switch w.kind {
	case writeCreated:
		for _, token := range p.creators {
			c.refuse(token, structs.RefusedTailFull, structs.RunNo, "the journal has no room")
		}
		c.dropProgram(p, structs.RefusedTailFull)
		return true
	case writeIntent:
		c.takeBackIntent(p, w)
		return true
	}
	return false
}

func (c *Core) takeBackIntent(p *program, w *write) {
	p.writing = nil
	p.seq -= uint64(len(w.records))
	if w.records[0].Kind == journal.KindCreated {
		p.unwritten = w.records[:1]
		p.seq++
	}
	c.emit(UnassignTarget{Call: p.running.id, Target: p.running.target})
	c.giveUpCall(p.running, *structs.Refuse(structs.RefusedTailFull, structs.RunNo, "the journal has no room"))
}

// retryWrite repeats a write whose delay is over.
func (c *Core) retryWrite(p *program) {
	w := p.writing
	if w == nil || !w.retry || c.now.Before(w.retryAt) {
		return
	}
	w.retry = false
	c.emit(Write{ID: w.id, Records: w.records})
}
