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

// WrongResponseError reports that a response is incomplete or belongs to another request.
type WrongResponseError struct {
	Request   string
	Want, Got string
}

// Error returns the request, the response and the expected response.
func (e *WrongResponseError) Error() string {
	return fmt.Sprintf("%s: got response %q, want %q", e.Request, e.Got, e.Want)
}

// toolDelay is the time between two calls. It simulates the work of a tool.
const toolDelay = 200 * time.Millisecond

// example is a single run of the example program.
type example struct {
	client *caller.Client
	out    io.Writer
}

// RunExample runs a program of several dependent calls with a tool delay, a call
// that must not be repeated and a sub-program, and checks every response.
func RunExample(ctx context.Context, s *Site, out io.Writer) error {
	e := &example{client: caller.New(s.GatewayURL, s.Key, nil), out: out}
	start := time.Now()
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
		time.Since(start).Round(time.Millisecond), ended.Spent, ended.Budget)
	return nil
}

func (e *example) runRoot(ctx context.Context, id structs.ProgramID) error {
	conv := &conversation{example: e, id: id}
	if err := conv.call(ctx, "Plan the round of crew 7."); err != nil {
		return err
	}
	time.Sleep(toolDelay)
	if err := e.placeOrder(ctx, id); err != nil {
		return err
	}
	if err := e.runSubProgram(ctx, id); err != nil {
		return err
	}
	return conv.call(ctx, "The order is placed and the court was looked at. Sum up.")
}

// placeOrder makes a call that must not be repeated.
func (e *example) placeOrder(ctx context.Context, id structs.ProgramID) error {
	const path, body = "/orders", `{"gravel_kg":40}`
	response, err := e.client.Plain(ctx, id, caller.PlainCall{
		Service: PlainService,
		Request: caller.PlainRequest{Method: "POST", Path: path, Body: body},
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "call %d: POST %s answered %d\n", response.Number, path, response.Status)
	return checkResponse("POST "+path, plain.ResponseBody("POST", path, []byte(body)), response.Text)
}

// runSubProgram runs a sub-program within the budget of its parent.
func (e *example) runSubProgram(ctx context.Context, parent structs.ProgramID) error {
	child, err := e.client.Create(ctx, caller.NewProgram{Program: Kind, Parent: parent, Budget: 2000})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "sub-program %s\n", child.ID)
	conv := &conversation{example: e, id: child.ID}
	if err := conv.call(ctx, "Look at court 3."); err != nil {
		return err
	}
	_, err = e.client.End(ctx, child.ID)
	return err
}

// conversation checks that each response to a program depends on the program's whole
// history.
type conversation struct {
	example *example
	id      structs.ProgramID
	prompt  []structs.Message
}

func (c *conversation) call(ctx context.Context, text string) error {
	message := structs.Message{Role: "user", Content: text}
	c.prompt = append(c.prompt, message)
	response, err := c.example.client.Model(ctx, c.id, caller.ModelCall{
		Service:  ModelService,
		Messages: []structs.Message{message},
	}, nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.example.out, "call %d: %q answered with %d bytes\n", response.Number, text, len(response.Text))
	want := engine.Answer(c.prompt)
	c.prompt = append(c.prompt, structs.Message{Role: "assistant", Content: response.Text})
	return checkResponse(text, want, response.Text)
}

func checkResponse(request, want, got string) error {
	if want != got {
		return &WrongResponseError{Request: request, Want: want, Got: got}
	}
	return nil
}
