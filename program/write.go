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
	writeWithdrawal
	writeTurn
	writeEnded
)

// write is the append of a program that is in progress. There is only one at a
// time, so that the sequence of records has no gaps.
type write struct {
	id             WriteID
	kind           writeKind
	records        []journal.Record
	turn           *structs.Turn
	mayBeDurable   bool // an earlier attempt may have succeeded
	retryAt        structs.Instant
	isRetryPending bool
}

func (c *Core) newRecord(p *program, kind journal.Kind, body any) journal.Record {
	data, err := msgpack.Marshal(body)
	if err != nil {
		c.reportViolation("record_encoded", "program %s: encoding a record: %v", p.spec.ID, err)
	}
	p.seq++
	return journal.Record{Slot: p.slot, Epoch: p.epoch, Program: p.spec.ID, Seq: p.seq, Kind: kind, Body: data}
}

func (c *Core) append(p *program, kind writeKind, turn *structs.Turn, records ...journal.Record) {
	if p.pendingWrite != nil {
		c.reportViolation("one_write", "program %s: a second write starts before the first has finished", p.spec.ID)
		return
	}
	w := &write{id: WriteID(c.nextID()), kind: kind, turn: turn}
	w.records = append(p.deferredRecords, records...)
	p.deferredRecords = nil
	p.pendingWrite = w
	if p.isEphemeral {
		c.completeWrite(p)
		return
	}
	c.writes[w.id] = p
	c.emit(Write{ID: w.id, Records: w.records})
}

func (c *Core) handleWriteResult(e WriteFinished) {
	p := c.writes[e.ID]
	if p == nil || p.pendingWrite == nil || p.pendingWrite.isRetryPending {
		return // the slot was lost
	}
	w := p.pendingWrite
	switch e.Result {
	case WriteDurable:
		delete(c.writes, e.ID)
		c.completeWrite(p)
	case WriteFenced:
		c.dropSlot(p.slot)
	case WriteTailFull:
		if !w.mayBeDurable && c.cancelWrite(p) {
			delete(c.writes, e.ID)
			return
		}
		c.scheduleRetry(w)
	default:
		w.mayBeDurable = true
		c.scheduleRetry(w)
	}
}

func (c *Core) scheduleRetry(w *write) {
	w.isRetryPending = true
	w.retryAt = c.now.Add(c.opts.RetryDelay)
}

// completeWrite continues with the step that follows the finished write.
func (c *Core) completeWrite(p *program) {
	w := p.pendingWrite
	p.pendingWrite = nil
	switch w.kind {
	case writeCreated:
		c.createDurable(p)
	case writeIntent:
		c.intentDurable(p)
	case writeWithdrawal:
		c.withdrawalDurable(p)
	case writeTurn:
		c.turnDurable(p, *w.turn)
	case writeEnded:
		c.endDurable(p)
	}
}

// cancelWrite cancels a write that was refused because the journal is full, and
// reports whether it could. Only a creation and an intent can be canceled,
// because nothing has run yet; all other records must be written.
func (c *Core) cancelWrite(p *program) bool {
	w := p.pendingWrite
	switch w.kind {
	case writeCreated:
		for _, token := range p.createTokens {
			c.refuse(token, structs.RefusedTailFull, structs.RunNo, "the journal has no room")
		}
		c.dropProgram(p, structs.RefusedTailFull)
		return true
	case writeIntent:
		c.cancelIntent(p, w)
		return true
	}
	return false
}

// cancelIntent cancels the write of an intent and ends the call. The sequence
// numbers are used again. The creation of the program, if it is part of the
// write, is kept for the next write.
func (c *Core) cancelIntent(p *program, w *write) {
	p.pendingWrite = nil
	p.seq -= uint64(len(w.records))
	if w.records[0].Kind == journal.KindCreated {
		p.deferredRecords = w.records[:1]
		p.seq++
	}
	c.emit(UnassignTarget{Call: p.running.id, Target: p.running.target})
	c.abandonCall(p.running, *structs.Refuse(structs.RefusedTailFull, structs.RunNo, "the journal has no room"))
}

// retryWrite repeats a failed write once its delay is over.
func (c *Core) retryWrite(p *program) {
	w := p.pendingWrite
	if w == nil || !w.isRetryPending || c.now.Before(w.retryAt) {
		return
	}
	w.isRetryPending = false
	c.emit(Write{ID: w.id, Records: w.records})
}
