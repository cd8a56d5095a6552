package devsite

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/standin/plain"
	"github.com/endivecourse/endivecourse/structs"
)

// WrongResponseError says that an answer was not the whole answer to its own
// request.
type WrongResponseError struct {
	Request   string
	Want, Got string
}

// Error names the request and both answers.
func (e *WrongResponseError) Error() string {
	return fmt.Sprintf("%s: answer %q is not %q", e.Request, e.Got, e.Want)
}

// toolPause is how long the example's caller works between two calls.
const toolPause = 200 * time.Millisecond

// example is one run of the example program.
type example struct {
	client *caller.Client
	out    io.Writer
}

// RunExample runs a program of several dependent calls with a tool pause, a
// sub-agent and a call that may not be repeated, and checks every answer.
func RunExample(ctx context.Context, s *Site, out io.Writer) error {
	e := &example{client: caller.New(s.GatewayURL, s.Key, nil), out: out}
	began := time.Now()
	root, err := e.client.Create(ctx, caller.NewProgram{Program: Kind})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "program %s\n", root.ID)
	if err := e.runRoot(ctx, root.ID); err != nil {
		return err
	}
	ended, err := e.client.End(ctx, root.ID)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "program latency %s, %d of %d tokens spent\n",
		time.Since(began).Round(time.Millisecond), ended.Spent, ended.Budget)
	return nil
}

func (e *example) runRoot(ctx context.Context, id structs.ProgramID) error {
	talk := &conversation{example: e, id: id}
	if err := talk.ask(ctx, "Plan the round of crew 7."); err != nil {
		return err
	}
	time.Sleep(toolPause)
	if err := e.order(ctx, id); err != nil {
		return err
	}
	if err := e.subAgent(ctx, id); err != nil {
		return err
	}
	return talk.ask(ctx, "The order is placed and the court was looked at. Sum up.")
}

// order makes the call that may not be repeated.
func (e *example) order(ctx context.Context, id structs.ProgramID) error {
	const path, body = "/orders", `{"gravel_kg":40}`
	answer, err := e.client.Plain(ctx, id, caller.PlainCall{
		Service: PlainService,
		Request: caller.PlainRequest{Method: "POST", Path: path, Body: body},
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "call %d: POST %s answered %d\n", answer.Number, path, answer.Status)
	return expect("POST "+path, plain.ResponseBody("POST", path, []byte(body)), answer.Text)
}

// subAgent runs a program of its own within the budget of its parent.
func (e *example) subAgent(ctx context.Context, parent structs.ProgramID) error {
	child, err := e.client.Create(ctx, caller.NewProgram{Program: Kind, Parent: parent, Budget: 2000})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "sub-program %s\n", child.ID)
	talk := &conversation{example: e, id: child.ID}
	if err := talk.ask(ctx, "Look at court 3."); err != nil {
		return err
	}
	_, err = e.client.End(ctx, child.ID)
	return err
}

// conversation checks that each answer of a program belongs to its whole
// history.
type conversation struct {
	example *example
	id      structs.ProgramID
	prompt  []structs.Message
}

func (c *conversation) ask(ctx context.Context, text string) error {
	message := structs.Message{Role: "user", Content: text}
	c.prompt = append(c.prompt, message)
	answer, err := c.example.client.Model(ctx, c.id, caller.ModelCall{
		Service:  ModelService,
		Messages: []structs.Message{message},
	}, nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.example.out, "call %d: %q answered with %d bytes\n", answer.Number, text, len(answer.Text))
	want := engine.Answer(c.prompt)
	c.prompt = append(c.prompt, structs.Message{Role: "assistant", Content: answer.Text})
	return expect(text, want, answer.Text)
}

func expect(what, want, have string) error {
	if want != have {
		return &WrongResponseError{Request: what, Want: want, Got: have}
	}
	return nil
}
