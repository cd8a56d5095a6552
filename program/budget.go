package program

import "github.com/endivecourse/endivecourse/structs"

// messageOverhead bounds the tokens that an engine adds around one message.
const messageOverhead = 8

// promptBound bounds the tokens of the next prompt: what the engine counted
// for the history so far, and at most one token a byte of the new messages.
func (p *program) promptBound(messages []structs.Message) int64 {
	bound := p.historyTokens
	for _, m := range messages {
		bound += int64(len(m.Role)+len(m.Content)) + messageOverhead
	}
	return bound
}

// reserveCall sets the call's share of the budget aside and cuts its output
// limit to what is left.
func (c *Core) reserveCall(call *call) *structs.Refusal {
	if call.spec.Model == nil {
		return nil
	}
	p := call.program
	prompt := p.promptBound(call.spec.Model.Messages)
	output := call.spec.Model.MaxTokens
	if output <= 0 {
		output = c.opts.DefaultMaxTokens
	}
	left := p.left()
	if left <= prompt {
		return structs.Refuse(structs.RefusedOverBudget, structs.RunNo,
			"the prompt may take %d tokens and %d are left", prompt, left)
	}
	call.output = min(output, left-prompt)
	call.reserved = prompt + call.output
	c.reserve(p, call.reserved)
	return nil
}

func (c *Core) reserve(p *program, tokens int64) {
	p.reserved += tokens
	c.checkBudget(p)
}

// settle turns a reservation into what was spent.
func (c *Core) settle(p *program, reserved, spent int64) {
	p.reserved -= reserved
	p.spent += spent
	c.checkBudget(p)
}

// charge returns what a call whose usage is known costs. A usage above the
// reservation extends it as far as the budget reaches.
func (c *Core) charge(call *call) int64 {
	if call.spec.Model == nil {
		return call.lost
	}
	used := call.usage.Total()
	if extra := min(used-call.reserved, call.program.left()); extra > 0 {
		c.reserve(call.program, extra)
		call.reserved += extra
	}
	return call.lost + min(used, call.reserved)
}

func (c *Core) checkBudget(p *program) {
	if p.spent < 0 || p.reserved < 0 {
		c.fault("budget_not_negative", "%s: spent %d, reserved %d", p.spec.ID, p.spent, p.reserved)
	}
	if p.spent+p.reserved > p.spec.Budget {
		c.fault("budget_kept", "%s: spent %d and reserved %d of %d", p.spec.ID, p.spent, p.reserved, p.spec.Budget)
	}
}
