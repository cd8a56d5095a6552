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

// run runs programs until the fleet stops.
func (c *caller) run() {
	for n := 0; !c.f.shouldStop(); n++ {
		home := c.f.domains[c.f.draw(len(c.f.domains))]
		id := structs.NewProgramID(home, fmt.Sprintf("%sx%d", c.name, n))
		c.runProgram(id, "", 2+c.f.draw(7))
		c.pause(2000)
	}
}

func (c *caller) pause(ms int) { time.Sleep(time.Duration(c.f.draw(ms)) * time.Millisecond) }

// callOwner sends a unary request to a program's owner and retries while the error
// is transient, up to 60 times.
func (c *caller) callOwner(id structs.ProgramID, method string, in, out any) error {
	var err error
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		err = c.gateway.forwarder.Call(ctx, id.HomeDomain(), string(program.RootOf(id)), method, true, in, out)
		cancel()
		if !isTransient(err) || c.f.hasFailed() {
			return err
		}
		c.pause(1000)
	}
	return err
}

// isTransient reports whether the same request may succeed later.
func isTransient(err error) bool {
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

// runProgram creates a program, makes its calls one after another with pauses for
// its tools and runs sub-programs. Then it checks the history and ends the
// program, unless its caller disconnects before.
func (c *caller) runProgram(id, parent structs.ProgramID, calls int) {
	f := c.f
	ref := structs.ProgramRef{ID: id, Account: c.account}
	create := structs.CreateProgram{ID: id, Account: c.account, Kind: "plan", Parent: parent}
	if parent != "" {
		create.Budget = 1500
	}
	if err := c.callOwner(id, structs.MethodCreateProgram, create, &structs.ProgramInfo{}); err != nil {
		f.count("programs not created")
		return
	}
	f.count("programs")
	acked := make(map[uint64]bool)
	vanishes := f.draw(10) == 0
	for number := uint64(1); int(number) <= calls && !f.hasFailed(); {
		if vanishes && f.draw(4) == 0 {
			c.abandonCall(id, number)
			return
		}
		outcome := c.completeCall(id, number)
		if outcome == programGone {
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
	c.checkAndEnd(ref, acked)
}

// programGone is the outcome of a call that the program no longer accepts.
const programGone structs.Run = "gone"

// abandonCall makes one more call and disconnects before its response.
func (c *caller) abandonCall(id structs.ProgramID, number uint64) {
	c.f.count("callers disconnected")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.f.draw(200))*time.Millisecond)
	defer cancel()
	c.sendCall(ctx, c.newCall(id, number, 1))
}

func (c *caller) nextNumber(ref structs.ProgramRef, number uint64) uint64 {
	var info structs.ProgramInfo
	if err := c.callOwner(ref.ID, structs.MethodGetProgram, ref, &info); err == nil {
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

// completeCall makes one numbered call and retries it while the refusal is
// transient. It returns whether the call ran.
func (c *caller) completeCall(id structs.ProgramID, number uint64) structs.Run {
	f := c.f
	name := fmt.Sprintf("%s#%d", id, number)
	isNotRun := true
	for try := 1; try <= 40 && !f.hasFailed(); try++ {
		began := time.Now()
		call := c.newCall(id, number, try)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout+time.Second)
		data, err := c.sendCall(ctx, call)
		cancel()
		refusal := refusalOf(err)
		if refusal == nil {
			f.count("calls run")
			f.checkResponse(name, call, data)
			if f.draw(10) == 0 {
				c.repeatCall(call, data)
			}
			return structs.RunYes
		}
		f.count(fmt.Sprintf("calls %s, run %s", refusal.Kind, refusal.Run))
		isNotRun = isNotRun && refusal.Run == structs.RunNo
		f.checkNotRun(name, isNotRun)
		f.checkFailureExpected(name, began, refusal)
		switch {
		case isTransient(err):
			c.pause(1000)
		case refusal.Kind == structs.RefusedOutcomeUnknown || refusal.Kind == structs.RefusedOutOfOrder || refusal.Kind == structs.RefusedConflict:
			return structs.RunUnknown
		case refusal.Kind == structs.RefusedNotFound:
			f.reportLost(id, refusal)
			return programGone
		default:
			return programGone
		}
	}
	return programGone
}

// repeatCall sends a finished call again and checks that the response is the same.
func (c *caller) repeatCall(call *structs.Call, want string) {
	again := *call
	again.Request += "again"
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if data, err := c.sendCall(ctx, &again); err == nil && data != want {
		c.f.fail("%s received the response %q and, repeated, %q", call.Request, want, data)
	}
	c.f.count("resends")
}

// sendCall admits a call and forwards it with the attempts of a gateway.
func (c *caller) sendCall(ctx context.Context, call *structs.Call) (string, error) {
	g := c.gateway
	if refusal := g.borrower.Admit(ctx, c.account); refusal != nil {
		return "", refusal
	}
	c.f.recordAdmission(c.account)
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
		err := receiveEvents(ctx, g, addr, call, checker, &data, func() { attempts.RecordOwner(addr) })
		if err == nil {
			return string(data), nil
		}
		var mismatch *answer.MismatchError
		if errors.As(err, &mismatch) {
			c.f.fail("%s: %v", call.Request, err)
		}
		if err := attempts.PrepareRetry(ctx, addr, withRunUnknown(err, checker), true); err != nil {
			return "", err
		}
		checker.Restart()
	}
}

// withRunUnknown changes a refusal from not run to unknown if a part of the
// response was already delivered.
func withRunUnknown(err error, checker *answer.Checker) error {
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Run != structs.RunNo || checker.Delivered() == 0 {
		return err
	}
	changed := *refusal
	changed.Run = structs.RunUnknown
	return &changed
}

func receiveEvents(ctx context.Context, g *node, addr string, call *structs.Call, checker *answer.Checker, data *[]byte, started func()) error {
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

// checkAndEnd checks a program's history and budget, ends the program, and checks
// that another account cannot read it.
func (c *caller) checkAndEnd(ref structs.ProgramRef, acked map[uint64]bool) {
	var history structs.History
	err := c.callOwner(ref.ID, structs.MethodHistory, ref, &history)
	if err == nil {
		c.f.checkHistory(ref, history, acked)
	} else if refusal := refusalOf(err); refusal.Kind == structs.RefusedNotFound && len(acked) > 0 {
		c.f.reportLost(ref.ID, refusal)
	}
	var info structs.ProgramInfo
	if c.callOwner(ref.ID, structs.MethodEndProgram, ref, &info) == nil {
		c.f.checkBudget(info)
		c.f.count("programs ended")
	}
	other := ref
	other.Account = "stranger"
	if err := c.callOwner(ref.ID, structs.MethodHistory, other, &history); err == nil {
		c.f.fail("%s was shown to another account", ref.ID)
	}
}

// runGreedyAccount only requests admission, in bursts above the account's rate and
// with pauses in which the account's token bucket refills.
func (f *fleet) runGreedyAccount(g *node) {
	for !f.shouldStop() {
		time.Sleep(time.Duration(f.draw(6000)) * time.Millisecond)
		for range f.draw(60) {
			if g.borrower.Admit(context.Background(), "greedy") == nil {
				f.recordAdmission("greedy")
			}
			time.Sleep(time.Duration(f.draw(60)) * time.Millisecond)
		}
	}
}

func (f *fleet) recordAdmission(id structs.AccountID) {
	f.withLock(func() { f.admitted[id] = append(f.admitted[id], time.Now()) })
}
