package integration

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/standin/plain"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	agentBudget = 30000 // tokens
	// tightBudget is spent before the last call of most programs.
	tightBudget = 160
	childShare  = 8  // of its parent's budget, one part goes to a sub-program
	agentTokens = 64 // of one answer
	orderPath   = "/orders/gravel"
	// tryTimeout bounds one try of a request.
	tryTimeout = 15 * time.Second
	agentPause = 20 * time.Millisecond
	modelName  = structs.ServiceID("rake-llm")
	plainName  = structs.ServiceID("courts-app")
)

// pick draws a value of a map.
func pick[K cmp.Ordered, V any](random *rand.Rand, values map[K]V) V {
	keys := slices.Sorted(maps.Keys(values))
	return values[keys[random.IntN(len(keys))]]
}

type agentCounts struct {
	Programs, Turns, Lost, Orders, Refused, Quarantined, Spent int
}

// agent is a caller that runs one program after another at one gateway. It
// tries again what failed, as callers do.
type agent struct {
	f      *fleet
	name   string
	random *rand.Rand
	client *caller.Client
	key    string
	kind   string
	url    string
	serial int
	budget int64
	counts agentCounts
	orders map[string]bool // by body: whether it was answered
	roots  []structs.ProgramID
}

func newAgent(f *fleet, seed uint64, index int) *agent {
	who := accraAgents[index%len(accraAgents)]
	gateway := f.gateways[index]
	budget := int64(agentBudget)
	if index == len(f.gateways)-1 {
		budget = tightBudget
	}
	return &agent{
		budget: budget,
		f:      f, name: fmt.Sprintf("agent-%d-%d", seed, index), random: rand.New(rand.NewPCG(seed, uint64(index)+1)),
		client: f.client(gateway, who.account), key: f.keys[who.account], kind: who.kind,
		url: "http://" + gateway.settings.Listen.Callers, orders: make(map[string]bool),
	}
}

// run runs programs until over is closed; the one at hand is finished.
func (a *agent) run(ctx context.Context, over <-chan struct{}) error {
	for {
		if err := a.program(ctx); err != nil {
			return errors.Wrap(err, a.name)
		}
		a.counts.Programs++
		select {
		case <-over:
			return nil
		default:
		}
	}
}

// running is a program as its caller knows it.
type running struct {
	id     structs.ProgramID
	prompt []structs.Message
	turns  []expected // turn n is at n-1
}

// expected is what the history says of one call.
type expected struct {
	lost     bool
	messages []structs.Message
}

func (r *running) next() uint64 { return uint64(len(r.turns)) + 1 }

// spentError ends a program whose budget is spent.
type spentError struct{}

func (spentError) Error() string { return "the budget is spent" }

func (a *agent) program(ctx context.Context) error {
	root, err := a.create(ctx, caller.NewProgram{Program: a.kind, Budget: a.budget})
	if err != nil {
		return err
	}
	a.roots = append(a.roots, root.id)
	err = a.steps(ctx, root)
	if errors.Is(err, spentError{}) {
		a.counts.Spent++
		err = nil
	}
	if err == nil {
		err = a.checkHistory(ctx, root)
	}
	if err != nil {
		return errors.Wrap(err, string(root.id))
	}
	return a.end(ctx, root)
}

func (a *agent) steps(ctx context.Context, root *running) error {
	steps := []func(context.Context, *running) error{a.turn, a.order, a.child, a.attempts, a.turn}
	for range 1 + a.random.IntN(3) {
		steps = append(steps, a.turn, a.order)
	}
	for _, step := range steps {
		if err := step(ctx, root); err != nil {
			return err
		}
		time.Sleep(agentPause)
	}
	return nil
}

// child runs a sub-program of one turn.
func (a *agent) child(ctx context.Context, root *running) error {
	child, err := a.create(ctx, caller.NewProgram{Program: a.kind, Budget: a.budget / childShare, Parent: root.id})
	if err != nil {
		_, _, fatal := a.verdict(root, err)
		return fatal
	}
	err = a.turn(ctx, child)
	if err != nil && !errors.Is(err, spentError{}) {
		return errors.Wrap(err, string(child.id))
	}
	return a.end(ctx, child)
}

func (a *agent) create(ctx context.Context, program caller.NewProgram) (*running, error) {
	var info structs.ProgramInfo
	err := a.persist(ctx, "create", func(ctx context.Context) (err error) {
		info, err = a.client.Create(ctx, program)
		return err
	})
	return &running{id: info.ID}, err
}

func (a *agent) end(ctx context.Context, r *running) error {
	return a.persist(ctx, "end "+string(r.id), func(ctx context.Context) error {
		info, err := a.client.End(ctx, r.id)
		if err == nil && info.Spent > info.Budget {
			return &unexpected{"budget exceeded", info}
		}
		return err
	})
}

// final lists the refusals that a caller does not answer by trying again.
var final = map[structs.RefusalKind]bool{
	structs.RefusedOutcomeUnknown: true, structs.RefusedQuarantined: true, structs.RefusedOverBudget: true,
	structs.RefusedProgramEnded: true, structs.RefusedNotFound: true, structs.RefusedConflict: true,
	structs.RefusedOutOfOrder: true, structs.RefusedInvariant: true, structs.RefusedUnauthorized: true,
	structs.RefusedForbidden: true, structs.RefusedBadRequest: true,
}

// persist tries until success, a final refusal or the end of ctx.
func (a *agent) persist(ctx context.Context, what string, try func(context.Context) error) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		err := try(tryCtx)
		cancel()
		var refused *caller.RefusedError
		var broken *unexpected
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refused) && final[refused.Kind], errors.As(err, &broken):
			return errors.Wrap(err, what)
		case ctx.Err() != nil:
			return errors.Wrap(err, what)
		}
		a.counts.Refused++
		time.Sleep(retryPause)
	}
}

// verdict sorts a final refusal of a call: the call was lost, it is to be made
// with other content, or the program has ended.
func (a *agent) verdict(r *running, err error) (lost, other bool, fatal error) {
	var refused *caller.RefusedError
	if !errors.As(err, &refused) {
		return false, false, err
	}
	switch refused.Kind {
	case structs.RefusedProgramEnded:
		if a.budget == tightBudget {
			return false, false, spentError{}
		}
	case structs.RefusedOutcomeUnknown:
		r.turns = append(r.turns, expected{lost: true})
		a.counts.Lost++
		return true, false, nil
	case structs.RefusedQuarantined:
		a.counts.Quarantined++
		return false, true, nil
	case structs.RefusedOverBudget:
		return false, false, spentError{}
	}
	return false, false, err
}

// turn makes a model call and checks that its answer belongs to the whole
// prompt. A lost one is followed by another.
func (a *agent) turn(ctx context.Context, r *running) error {
	for {
		a.serial++
		message := structs.Message{Role: "user", Content: fmt.Sprintf("%s question %d", a.name, a.serial)}
		call := caller.ModelCall{Call: r.next(), Service: modelName, Messages: []structs.Message{message}, MaxTokens: agentTokens}
		var answer caller.Answer
		err := a.persist(ctx, fmt.Sprintf("call %d of %s", call.Call, r.id), func(ctx context.Context) (err error) {
			answer, err = a.client.Model(ctx, r.id, call, nil)
			return err
		})
		if err != nil {
			if _, _, fatal := a.verdict(r, err); fatal != nil {
				return fatal
			}
			continue
		}
		prompt := append(slices.Clone(r.prompt), message)
		want := engine.Answer(prompt)
		cut := a.budget == tightBudget && answer.Text != "" && strings.HasPrefix(want, answer.Text)
		if answer.Text != want && !cut {
			return &unexpected{"answer to another prompt", fmt.Sprintf("%q, want %q", answer.Text, want)}
		}
		said := structs.Message{Role: "assistant", Content: answer.Text}
		r.prompt = append(prompt, said)
		r.turns = append(r.turns, expected{messages: []structs.Message{message, said}})
		a.counts.Turns++
		return nil
	}
}

// order makes a call that may not be repeated. Its body is like no other.
func (a *agent) order(ctx context.Context, r *running) error {
	a.serial++
	body := fmt.Sprintf("%s order %d", a.name, a.serial)
	a.orders[body] = false
	call := caller.PlainCall{Call: r.next(), Service: plainName, Request: caller.PlainRequest{Method: "POST", Path: orderPath, Body: body}}
	certain := true // that no earlier try has left the outcome open
	err := a.persist(ctx, fmt.Sprintf("order %d of %s", call.Call, r.id), func(ctx context.Context) error {
		answer, err := a.client.Plain(ctx, r.id, call)
		if want := plain.ResponseBody("POST", orderPath, []byte(body)); err == nil && answer.Text != want {
			return &unexpected{"answer to another order", answer.Text}
		}
		var refused *caller.RefusedError
		said := errors.As(err, &refused) && refused.Run == structs.RunNo
		if certain && said && a.f.orders()[body] != 0 {
			return &unexpected{"refused as not run, and ran", err}
		}
		certain = certain && said
		return err
	})
	if err != nil {
		_, _, fatal := a.verdict(r, err)
		return fatal
	}
	a.orders[body] = true
	a.counts.Orders++
	r.turns = append(r.turns, expected{})
	return nil
}

func (a *agent) checkHistory(ctx context.Context, r *running) error {
	var history structs.History
	err := a.persist(ctx, "history of "+string(r.id), func(ctx context.Context) (err error) {
		history, err = a.client.History(ctx, r.id)
		return err
	})
	if err != nil {
		return err
	}
	if len(history.Turns) != len(r.turns) {
		return &unexpected{"turns", fmt.Sprintf("%d, want %d", len(history.Turns), len(r.turns))}
	}
	var prev uint64
	for i, turn := range history.Turns {
		want := r.turns[i]
		lost := turn.Outcome != structs.RunYes
		if turn.Number != uint64(i)+1 || turn.PrevHash != prev || lost != want.lost || !slices.Equal(turn.Messages, want.messages) {
			return &unexpected{"turn", fmt.Sprintf("%+v, want %+v", turn, want)}
		}
		prev = turn.Hash
	}
	return nil
}

// tokensOf counts what a completion costs: a token for each word and role of
// the prompt, and those of the answer.
func tokensOf(t *testing.T, body []byte) int64 {
	t.Helper()
	var request struct {
		Messages  []structs.Message `json:"messages"`
		MaxTokens int64             `json:"max_tokens"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 {
		return 0 // a release
	}
	assert.Assert(t, request.MaxTokens > 0)
	tokens := int64(len(strings.Fields(engine.LimitedAnswer(request.Messages, request.MaxTokens))))
	for _, m := range request.Messages {
		tokens += 1 + int64(len(strings.Fields(m.Content)))
	}
	return tokens
}
