package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/structs"
)

// recoveryTimeout bounds one call across the loss of its scheduler.
const recoveryTimeout = 60 * time.Second

// retryPause is the pause between two tries of a request.
const retryPause = 100 * time.Millisecond

// conversation is a program whose caller keeps the whole history.
type conversation struct {
	f       *fleet
	client  *caller.Client
	service structs.ServiceID
	id      structs.ProgramID
	prompt  []structs.Message
	number  uint64
}

func (f *fleet) conversation(gateway *daemonProcess, account structs.AccountID, kind string, service structs.ServiceID) *conversation {
	f.t.Helper()
	c := &conversation{f: f, client: f.client(gateway, account), service: service}
	f.retry("create", func(ctx context.Context) error {
		info, err := c.client.Create(ctx, caller.NewProgram{Program: kind})
		c.id = info.ID
		return err
	})
	return c
}

// retry calls try until it succeeds, and fails the test after recoveryTimeout.
func (f *fleet) retry(what string, try func(context.Context) error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), recoveryTimeout)
	defer cancel()
	for err := try(ctx); err != nil; err = try(ctx) {
		f.t.Logf("%s: %v", what, err)
		assert.NilError(f.t, ctx.Err(), what)
		time.Sleep(retryPause)
	}
}

// turn makes the next call, retries it with the same number while it fails, and
// checks that the response is the one to the program's whole history.
func (c *conversation) turn(text string) {
	c.f.t.Helper()
	c.number++
	message := structs.Message{Role: "user", Content: text}
	c.prompt = append(c.prompt, message)
	call := caller.ModelCall{Call: c.number, Service: c.service, Messages: []structs.Message{message}}
	var answer caller.Answer
	c.f.retry(fmt.Sprintf("call %d of %s", c.number, c.id), func(ctx context.Context) (err error) {
		answer, err = c.client.Model(ctx, c.id, call, nil)
		return err
	})
	assert.Equal(c.f.t, answer.Text, engine.Answer(c.prompt), "call %d of %s", c.number, c.id)
	c.prompt = append(c.prompt, structs.Message{Role: "assistant", Content: answer.Text})
}

// A scheduler is killed between the calls of its programs. The programs must
// continue at another scheduler with their whole history.
func TestProgramsContinueAfterKill(t *testing.T) {
	sites := map[string]struct {
		account structs.AccountID
		kind    string
		service structs.ServiceID
	}{
		"accra":   {"court-wardens", "rake-agent", "rake-llm"},
		"tayside": {"council-dundee", "dispute", "agent-models"},
	}
	for name, site := range sites {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{name: name, engine: engine.Options{TokenTime: time.Millisecond}})
			var conversations []*conversation
			for i, gateway := range f.gateways {
				c := f.conversation(gateway, site.account, site.kind, site.service)
				c.turn(fmt.Sprintf("first of %d", i))
				c.turn("second")
				conversations = append(conversations, c)
			}
			f.kill(f.ownerOf(conversations[0].id))
			for _, c := range conversations {
				c.turn("third")
				c.turn("fourth")
				var history structs.History
				f.retry("history", func(ctx context.Context) (err error) {
					history, err = c.client.History(ctx, c.id)
					return err
				})
				assert.Equal(t, len(history.Turns), 4)
			}
		})
	}
}
