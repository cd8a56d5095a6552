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
	// tightBudget is so small that most programs spend it before their last call.
	tightBudget        = 160
	childBudgetDivisor = 8  // a sub-program gets this fraction of its parent's budget
	maxResponseTokens  = 64 // limit of one response
	orderPath          = "/orders/gravel"
	// tryTimeout bounds one try of a request.
	tryTimeout = 15 * time.Second
	agentPause = 20 * time.Millisecond
	modelName  = structs.ServiceID("rake-llm")
	plainName  = structs.ServiceID("courts-app")
)

// pick returns a random value of a map. Keys are sorted, so the choice depends only
// on the random source.
func pick[K cmp.Ordered, V any](random *rand.Rand, values map[K]V) V {
	keys := slices.Sorted(maps.Keys(values))
	return values[keys[random.IntN(len(keys))]]
}

type agentCounts struct {
	Programs, Turns, Lost, Orders, Refused, Quarantined, Spent int
}

// agent is a caller that runs one program after another at one gateway and retries
// failed requests.
type agent struct {
	f            *fleet
	name         string
	random       *rand.Rand
	client       *caller.Client
	key          string
	kind         string
	url          string
	lastSerial   int
	budget       int64
	counts       agentCounts
	orders       map[string]bool // by body: whether it was confirmed
	rootPrograms []structs.ProgramID
}

func newAgent(f *fleet, seed uint64, index int) *agent {
	identity := accraAgents[index%len(accraAgents)]
	gateway := f.gateways[index]
	budget := int64(agentBudget)
	if index == len(f.gateways)-1 {
		budget = tightBudget
	}
	return &agent{
		budget: budget,
		f:      f, name: fmt.Sprintf("agent-%d-%d", seed, index), random: rand.New(rand.NewPCG(seed, uint64(index)+1)),
		client: f.client(gateway, identity.account), key: f.keys[identity.account], kind: identity.kind,
		url: "http://" + gateway.settings.Listen.Callers, orders: make(map[string]bool),
	}
}

// run runs programs until over is closed. It finishes the current program.
func (a *agent) run(ctx context.Context, over <-chan struct{}) error {
	for {
		if err := a.runProgram(ctx); err != nil {
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

// programState is what the caller knows of a program.
type programState struct {
	id     structs.ProgramID
	prompt []structs.Message
	turns  []expectedTurn // turn n is at index n-1
}

// expectedTurn is what the history must contain for one call.
type expectedTurn struct {
	isLost   bool
	messages []structs.Message
}

func (r *programState) nextNumber() uint64 { return uint64(len(r.turns)) + 1 }

// budgetSpentError reports that the program ended because its budget is spent.
type budgetSpentError struct{}

func (budgetSpentError) Error() string { return "the budget is spent" }

func (a *agent) runProgram(ctx context.Context) error {
	root, err := a.create(ctx, caller.NewProgram{Program: a.kind, Budget: a.budget})
	if err != nil {
		return err
	}
	a.rootPrograms = append(a.rootPrograms, root.id)
	err = a.runSteps(ctx, root)
	if errors.Is(err, budgetSpentError{}) {
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

func (a *agent) runSteps(ctx context.Context, root *programState) error {
	steps := []func(context.Context, *programState) error{a.makeModelCall, a.makeOrder, a.runSubProgram, a.sendLeakedKeys, a.makeModelCall}
	for range 1 + a.random.IntN(3) {
		steps = append(steps, a.makeModelCall, a.makeOrder)
	}
	for _, step := range steps {
		if err := step(ctx, root); err != nil {
			return err
		}
		time.Sleep(agentPause)
	}
	return nil
}

// runSubProgram runs a sub-program with one model call.
func (a *agent) runSubProgram(ctx context.Context, root *programState) error {
	child, err := a.create(ctx, caller.NewProgram{Program: a.kind, Budget: a.budget / childBudgetDivisor, Parent: root.id})
	if err != nil {
		_, _, fatal := a.classifyRefusal(root, err)
		return fatal
	}
	err = a.makeModelCall(ctx, child)
	if err != nil && !errors.Is(err, budgetSpentError{}) {
		return errors.Wrap(err, string(child.id))
	}
	return a.end(ctx, child)
}

func (a *agent) create(ctx context.Context, program caller.NewProgram) (*programState, error) {
	var info structs.ProgramInfo
	err := a.retry(ctx, "create", func(ctx context.Context) (err error) {
		info, err = a.client.Create(ctx, program)
		return err
	})
	return &programState{id: info.ID}, err
}

func (a *agent) end(ctx context.Context, r *programState) error {
	return a.retry(ctx, "end "+string(r.id), func(ctx context.Context) error {
		info, err := a.client.End(ctx, r.id)
		if err == nil && info.Spent > info.Budget {
			return &unexpectedError{"program spent more than its budget", info}
		}
		return err
	})
}

// finalRefusals are the refusals that an agent does not retry.
var finalRefusals = map[structs.RefusalKind]bool{
	structs.RefusedOutcomeUnknown: true, structs.RefusedQuarantined: true, structs.RefusedOverBudget: true,
	structs.RefusedProgramEnded: true, structs.RefusedNotFound: true, structs.RefusedConflict: true,
	structs.RefusedOutOfOrder: true, structs.RefusedInvariant: true, structs.RefusedUnauthorized: true,
	structs.RefusedForbidden: true, structs.RefusedBadRequest: true,
}

// retry calls try until it succeeds, returns a final refusal or an unexpectedError,
// or ctx is done.
func (a *agent) retry(ctx context.Context, what string, try func(context.Context) error) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		err := try(tryCtx)
		cancel()
		var refused *caller.RefusedError
		var violation *unexpectedError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refused) && finalRefusals[refused.Kind], errors.As(err, &violation):
			return errors.Wrap(err, what)
		case ctx.Err() != nil:
			return errors.Wrap(err, what)
		}
		a.counts.Refused++
		time.Sleep(retryPause)
	}
}

// classifyRefusal classifies the final refusal of a call. isLost: its outcome is
// unknown, and the program continues with the next number. isQuarantined: it must be
// made with other content. fatal: the program cannot continue.
func (a *agent) classifyRefusal(r *programState, err error) (isLost, isQuarantined bool, fatal error) {
	var refused *caller.RefusedError
	if !errors.As(err, &refused) {
		return false, false, err
	}
	switch refused.Kind {
	case structs.RefusedProgramEnded:
		if a.budget == tightBudget {
			return false, false, budgetSpentError{}
		}
	case structs.RefusedOutcomeUnknown:
		r.turns = append(r.turns, expectedTurn{isLost: true})
		a.counts.Lost++
		return true, false, nil
	case structs.RefusedQuarantined:
		a.counts.Quarantined++
		return false, true, nil
	case structs.RefusedOverBudget:
		return false, false, budgetSpentError{}
	}
	return false, false, err
}

// makeModelCall makes a model call and checks that the response is the one to the
// whole prompt. After a lost or quarantined call it makes another one.
func (a *agent) makeModelCall(ctx context.Context, r *programState) error {
	for {
		a.lastSerial++
		message := structs.Message{Role: "user", Content: fmt.Sprintf("%s question %d", a.name, a.lastSerial)}
		call := caller.ModelCall{Call: r.nextNumber(), Service: modelName, Messages: []structs.Message{message}, MaxTokens: maxResponseTokens}
		var answer caller.Answer
		err := a.retry(ctx, fmt.Sprintf("call %d of %s", call.Call, r.id), func(ctx context.Context) (err error) {
			answer, err = a.client.Model(ctx, r.id, call, nil)
			return err
		})
		if err != nil {
			if _, _, fatal := a.classifyRefusal(r, err); fatal != nil {
				return fatal
			}
			continue
		}
		prompt := append(slices.Clone(r.prompt), message)
		want := engine.Answer(prompt)
		isTruncated := a.budget == tightBudget && answer.Text != "" && strings.HasPrefix(want, answer.Text)
		if answer.Text != want && !isTruncated {
			return &unexpectedError{"response to another prompt", fmt.Sprintf("%q, want %q", answer.Text, want)}
		}
		reply := structs.Message{Role: "assistant", Content: answer.Text}
		r.prompt = append(prompt, reply)
		r.turns = append(r.turns, expectedTurn{messages: []structs.Message{message, reply}})
		a.counts.Turns++
		return nil
	}
}

// makeOrder makes a non-repeatable call with a unique body, by which runs are
// counted at the targets.
func (a *agent) makeOrder(ctx context.Context, r *programState) error {
	a.lastSerial++
	body := fmt.Sprintf("%s order %d", a.name, a.lastSerial)
	a.orders[body] = false
	call := caller.PlainCall{Call: r.nextNumber(), Service: plainName, Request: caller.PlainRequest{Method: "POST", Path: orderPath, Body: body}}
	isKnownNotRun := true // every earlier try was refused as not run
	err := a.retry(ctx, fmt.Sprintf("order %d of %s", call.Call, r.id), func(ctx context.Context) error {
		answer, err := a.client.Plain(ctx, r.id, call)
		if want := plain.ResponseBody("POST", orderPath, []byte(body)); err == nil && answer.Text != want {
			return &unexpectedError{"response to another order", answer.Text}
		}
		var refused *caller.RefusedError
		isRefusedNotRun := errors.As(err, &refused) && refused.Run == structs.RunNo
		if isKnownNotRun && isRefusedNotRun && a.f.orders()[body] != 0 {
			return &unexpectedError{"refused as not run but ran", err}
		}
		isKnownNotRun = isKnownNotRun && isRefusedNotRun
		return err
	})
	if err != nil {
		_, _, fatal := a.classifyRefusal(r, err)
		return fatal
	}
	a.orders[body] = true
	a.counts.Orders++
	r.turns = append(r.turns, expectedTurn{})
	return nil
}

func (a *agent) checkHistory(ctx context.Context, r *programState) error {
	var history structs.History
	err := a.retry(ctx, "history of "+string(r.id), func(ctx context.Context) (err error) {
		history, err = a.client.History(ctx, r.id)
		return err
	})
	if err != nil {
		return err
	}
	if len(history.Turns) != len(r.turns) {
		return &unexpectedError{"turns", fmt.Sprintf("%d, want %d", len(history.Turns), len(r.turns))}
	}
	var prev uint64
	for i, turn := range history.Turns {
		want := r.turns[i]
		isLost := turn.Outcome != structs.RunYes
		if turn.Number != uint64(i)+1 || turn.PrevHash != prev || isLost != want.isLost || !slices.Equal(turn.Messages, want.messages) {
			return &unexpectedError{"turn", fmt.Sprintf("%+v, want %+v", turn, want)}
		}
		prev = turn.Hash
	}
	return nil
}

// tokenCost returns the tokens that a completion costs: one for each word and each
// role of the prompt, and one for each word of the response.
func tokenCost(t *testing.T, body []byte) int64 {
	t.Helper()
	var request struct {
		Messages  []structs.Message `json:"messages"`
		MaxTokens int64             `json:"max_tokens"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 {
		return 0 // the request releases engine memory
	}
	assert.Assert(t, request.MaxTokens > 0)
	tokens := int64(len(strings.Fields(engine.LimitedAnswer(request.Messages, request.MaxTokens))))
	for _, m := range request.Messages {
		tokens += 1 + int64(len(strings.Fields(m.Content)))
	}
	return tokens
}
