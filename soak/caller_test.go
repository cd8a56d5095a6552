package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/endivecourse/endivecourse/gateway/answer"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// caller runs one program after another through one gateway.
type caller struct {
	f       *fleet
	gateway *node
	account structs.AccountID
	name    string
}

// run begins programs until the fleet stops.
func (c *caller) run() {
	for n := 0; !c.f.ended(); n++ {
		home := c.f.domains[c.f.draw(len(c.f.domains))]
		id := structs.NewProgramID(home, fmt.Sprintf("%sx%d", c.name, n))
		c.runProgram(id, "", 2+c.f.draw(7))
		c.pause(2000)
	}
}

func (c *caller) pause(ms int) { time.Sleep(time.Duration(c.f.draw(ms)) * time.Millisecond) }

// unary asks a program's owner until it answers.
func (c *caller) unary(id structs.ProgramID, method string, in, out any) error {
	var err error
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		err = c.gateway.forwarder.Call(ctx, id.HomeDomain(), string(program.RootOf(id)), method, true, in, out)
		cancel()
		if !transient(err) || c.f.failed() {
			return err
		}
		c.pause(1000)
	}
	return err
}

// transient reports that the same request may succeed later.
func transient(err error) bool {
	refusal := refusalOf(err)
	if refusal == nil {
		return false
	}
	switch refusal.Kind {
	case structs.RefusedNotReady, structs.RefusedNotOwner, structs.RefusedTimeout, structs.RefusedTailFull,
		structs.RefusedNoTarget, structs.RefusedTargetFailed, structs.RefusedOverRate, structs.RefusedAnswerIncomplete,
		structs.RefusedQueueFull, structs.RefusedStaleConfig:
		return true
	}
	return false
}

func refusalOf(err error) *structs.Refusal {
	if err == nil {
		return nil
	}
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return structs.Refuse(structs.RefusedTimeout, structs.RunUnknown, "%v", err)
}

// runProgram creates a program, makes its calls one after another with pauses
// for its tools, runs sub-programs, and reads its history back and ends it,
// unless its caller vanishes.
func (c *caller) runProgram(id, parent structs.ProgramID, calls int) {
	f := c.f
	ref := structs.ProgramRef{ID: id, Account: c.account}
	create := structs.CreateProgram{ID: id, Account: c.account, Kind: "plan", Parent: parent}
	if parent != "" {
		create.Budget = 1500
	}
	if err := c.unary(id, structs.MethodCreateProgram, create, &structs.ProgramInfo{}); err != nil {
		f.count("programs not created")
		return
	}
	f.count("programs")
	acked := make(map[uint64]bool)
	vanish := f.draw(10) == 0
	for number := uint64(1); int(number) <= calls && !f.failed(); {
		if vanish && f.draw(4) == 0 {
			c.abandon(id, number)
			return
		}
		outcome := c.call(id, number)
		if outcome == gone {
			break
		}
		if outcome == structs.RunYes {
			acked[number] = true
			number++
		} else {
			number = c.nextNumber(ref, number)
		}
		c.pause(500)
		if parent == "" && f.draw(12) == 0 {
			c.runProgram(program.NewChildID(id, fmt.Sprint(number)), id, 2)
		}
	}
	c.finish(ref, acked)
}

// gone is the outcome of a call that its program takes no more.
const gone structs.Run = "gone"

// abandon makes one more call and leaves without its answer.
func (c *caller) abandon(id structs.ProgramID, number uint64) {
	c.f.count("callers vanished")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.f.draw(200))*time.Millisecond)
	defer cancel()
	c.attempt(ctx, c.newCall(id, number, 1))
}

func (c *caller) nextNumber(ref structs.ProgramRef, number uint64) uint64 {
	var info structs.ProgramInfo
	if err := c.unary(ref.ID, structs.MethodGetProgram, ref, &info); err == nil {
		c.f.checkBudget(info)
		return max(number, info.NextNumber)
	}
	return number
}

func (c *caller) newCall(id structs.ProgramID, number uint64, try int) *structs.Call {
	name := fmt.Sprintf("%s#%d", id, number)
	call := &structs.Call{
		Program: id, Account: c.account, Number: number, Timeout: callTimeout,
		Request: structs.RequestID(fmt.Sprintf("%s!%d", name, try)),
	}
	if number%2 == 0 {
		call.Plain = &structs.PlainCall{Service: "orders", Method: "POST", Path: name}
	} else {
		call.Model = &structs.ModelCall{Service: "llm", MaxTokens: 20, Messages: []structs.Message{{Role: "user", Content: name}}}
	}
	return call
}

// call makes one numbered call, again while nothing says how it ended.
func (c *caller) call(id structs.ProgramID, number uint64) structs.Run {
	f := c.f
	name := fmt.Sprintf("%s#%d", id, number)
	allNot := true
	for try := 1; try <= 40 && !f.failed(); try++ {
		began := time.Now()
		call := c.newCall(id, number, try)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout+time.Second)
		data, err := c.attempt(ctx, call)
		cancel()
		refusal := refusalOf(err)
		if refusal == nil {
			f.count("calls run")
			f.checkAnswer(name, call, data)
			if f.draw(10) == 0 {
				c.resend(call, data)
			}
			return structs.RunYes
		}
		f.count(fmt.Sprintf("calls %s, run %s", refusal.Kind, refusal.Run))
		allNot = allNot && refusal.Run == structs.RunNo
		f.checkNotRun(name, allNot)
		f.checkCalm(name, began, refusal)
		switch {
		case transient(err):
			c.pause(1000)
		case refusal.Kind == structs.RefusedOutcomeUnknown || refusal.Kind == structs.RefusedOutOfOrder || refusal.Kind == structs.RefusedConflict:
			return structs.RunUnknown
		case refusal.Kind == structs.RefusedNotFound:
			f.checkFound(id, refusal)
			return gone
		default:
			return gone
		}
	}
	return gone
}

// resend asks for the answer of a call again.
func (c *caller) resend(call *structs.Call, want string) {
	again := *call
	again.Request += "again"
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if data, err := c.attempt(ctx, &again); err == nil && data != want {
		c.f.fail("%s was answered with %q and again with %q", call.Request, want, data)
	}
	c.f.count("resends")
}

// attempt admits a call and forwards it as a gateway does.
func (c *caller) attempt(ctx context.Context, call *structs.Call) (string, error) {
	g := c.gateway
	if refusal := g.borrower.Admit(ctx, c.account); refusal != nil {
		return "", refusal
	}
	c.f.admit(c.account)
	attempts := g.forwarder.BeginRequest(call.Program.HomeDomain(), string(program.RootOf(call.Program)))
	defer attempts.End()
	checker := answer.NewChecker(call.Request)
	var data []byte
	for {
		addr, refusal := attempts.NextAddr()
		if refusal != nil {
			return "", refusal
		}
		attempts.RecordSend()
		err := receive(ctx, g, addr, call, checker, &data, func() { attempts.RecordOwner(addr) })
		if err == nil {
			return string(data), nil
		}
		var mismatch *answer.MismatchError
		if errors.As(err, &mismatch) {
			c.f.fail("%s: %v", call.Request, err)
		}
		if err := attempts.PrepareRetry(ctx, addr, truthful(err, checker), true); err != nil {
			return "", err
		}
		checker.Restart()
	}
}

func truthful(err error, checker *answer.Checker) error {
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Run != structs.RunNo || checker.Delivered() == 0 {
		return err
	}
	changed := *refusal
	changed.Run = structs.RunUnknown
	return &changed
}

func receive(ctx context.Context, g *node, addr string, call *structs.Call, checker *answer.Checker, data *[]byte, started func()) error {
	replies, err := g.forwarder.OpenStream(ctx, addr, structs.MethodCall, call)
	if err != nil {
		return err
	}
	defer replies.Close()
	for {
		var ev structs.CallEvent
		err := replies.Recv(&ev)
		if errors.Is(err, io.EOF) {
			return &wire.IncompleteReplyError{Addr: addr, Cause: io.ErrUnexpectedEOF}
		}
		if err != nil {
			return err
		}
		fresh, err := checker.CheckEvent(&ev)
		if err != nil {
			return err
		}
		*data = append(*data, fresh...)
		switch ev.Kind {
		case structs.EventStarted:
			started()
		case structs.EventDone:
			return nil
		case structs.EventRefused:
			return ev.Refusal
		}
	}
}

// finish reads a program's history, checks it, and ends the program.
func (c *caller) finish(ref structs.ProgramRef, acked map[uint64]bool) {
	var history structs.History
	err := c.unary(ref.ID, structs.MethodHistory, ref, &history)
	if err == nil {
		c.f.checkHistory(ref, history, acked)
	} else if refusal := refusalOf(err); refusal.Kind == structs.RefusedNotFound && len(acked) > 0 {
		c.f.checkFound(ref.ID, refusal)
	}
	var info structs.ProgramInfo
	if c.unary(ref.ID, structs.MethodEndProgram, ref, &info) == nil {
		c.f.checkBudget(info)
		c.f.count("programs ended")
	}
	other := ref
	other.Account = "stranger"
	if err := c.unary(ref.ID, structs.MethodHistory, other, &history); err == nil {
		c.f.fail("%s was shown to another account", ref.ID)
	}
}

// greedy asks for admission only, in bursts above the account's rate and with
// breaks in which the account's tokens fill up.
func (f *fleet) greedy(g *node) {
	for !f.ended() {
		time.Sleep(time.Duration(f.draw(6000)) * time.Millisecond)
		for range f.draw(60) {
			if g.borrower.Admit(context.Background(), "greedy") == nil {
				f.admit("greedy")
			}
			time.Sleep(time.Duration(f.draw(60)) * time.Millisecond)
		}
	}
}

func (f *fleet) admit(id structs.AccountID) {
	f.set(func() { f.admitted[id] = append(f.admitted[id], time.Now()) })
}
