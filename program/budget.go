package program

import "github.com/endivecourse/endivecourse/structs"

// messageOverhead bounds the tokens that an engine adds around one message.
const messageOverhead = 8

// maxPromptTokens returns an upper bound of the tokens of the next prompt: the
// tokens that the engine counted for the history so far, and one token for each
// byte of the new messages.
func (p *program) maxPromptTokens(messages []structs.Message) int64 {
	bound := p.historyTokens
	for _, m := range messages {
		bound += int64(len(m.Role)+len(m.Content)) + messageOverhead
	}
	return bound
}

// reserveCall reserves the highest possible cost of the call and lowers the
// call's output limit to the remaining budget.
func (c *Core) reserveCall(call *call) *structs.Refusal {
	if call.spec.Model == nil {
		return nil
	}
	p := call.program
	prompt := p.maxPromptTokens(call.spec.Model.Messages)
	output := call.spec.Model.MaxTokens
	if output <= 0 {
		output = c.opts.DefaultMaxTokens
	}
	left := p.budgetLeft()
	if left <= prompt {
		return structs.Refuse(structs.RefusedOverBudget, structs.RunNo,
			"the prompt may take %d tokens and %d are left", prompt, left)
	}
	call.maxOutput = min(output, left-prompt)
	call.reserved = prompt + call.maxOutput
	c.reserve(p, call.reserved)
	return nil
}

func (c *Core) reserve(p *program, tokens int64) {
	p.reserved += tokens
	c.checkBudget(p)
}

// settleReservation replaces a reservation by the tokens that were spent.
func (c *Core) settleReservation(p *program, reserved, spent int64) {
	p.reserved -= reserved
	p.spent += spent
	c.checkBudget(p)
}

// finalCost returns the cost of a call whose usage is known. If the usage exceeds
// the reservation, the reservation is extended as far as the budget allows.
func (c *Core) finalCost(call *call) int64 {
	if call.spec.Model == nil {
		return call.lostTokens
	}
	used := call.usage.Total()
	if extra := min(used-call.reserved, call.program.budgetLeft()); extra > 0 {
		c.reserve(call.program, extra)
		call.reserved += extra
	}
	return call.lostTokens + min(used, call.reserved)
}

func (c *Core) checkBudget(p *program) {
	if p.spent < 0 || p.reserved < 0 {
		c.reportViolation("budget_not_negative", "program %s: negative balance: %d tokens spent, %d reserved", p.spec.ID, p.spent, p.reserved)
	}
	if p.spent+p.reserved > p.spec.Budget {
		c.reportViolation("budget_kept", "program %s: %d tokens spent and %d reserved exceed the budget of %d", p.spec.ID, p.spent, p.reserved, p.spec.Budget)
	}
}
