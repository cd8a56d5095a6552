package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// chatRequest is the body of POST /v1/chat/completions. The fields of type ignored are
// accepted and have no effect.
type chatRequest struct {
	Model               structs.ServiceID `json:"model"`
	Messages            []chatMessage     `json:"messages"`
	MaxTokens           int64             `json:"max_tokens"`
	MaxCompletionTokens int64             `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	N                   *int              `json:"n"`

	FrequencyPenalty ignored `json:"frequency_penalty"`
	LogitBias        ignored `json:"logit_bias"`
	Metadata         ignored `json:"metadata"`
	PresencePenalty  ignored `json:"presence_penalty"`
	Seed             ignored `json:"seed"`
	ServiceTier      ignored `json:"service_tier"`
	Stop             ignored `json:"stop"`
	Store            ignored `json:"store"`
	StreamOptions    ignored `json:"stream_options"`
	Temperature      ignored `json:"temperature"`
	TopP             ignored `json:"top_p"`
	User             ignored `json:"user"`
}

// ignored accepts a field of any JSON value and discards it.
type ignored struct{}

// UnmarshalJSON accepts any value.
func (ignored) UnmarshalJSON([]byte) error { return nil }

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
	Name    ignored     `json:"name"`
}

// chatContent is decoded from a string or from a list of text parts, which are joined.
type chatContent string

// UnmarshalJSON decodes either form.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return badRequest("messages.content", "the content is neither a string nor a list of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return badRequest("messages.content", "a part of type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*c = chatContent(joined.String())
	return nil
}

func (x *exchange) handleChat(ctx context.Context) error {
	if err := x.requireKey(ctx); err != nil {
		return err
	}
	var body chatRequest
	if err := x.readJSON(ctx, &body); err != nil {
		return err
	}
	model, err := body.modelCall()
	if err != nil {
		return err
	}
	if err := x.requireService("model", model.Service, config.ServiceModel); err != nil {
		return err
	}
	call, err := x.newChatCall(model.Service)
	if err != nil {
		return err
	}
	return x.sendModel(ctx, call, model, body.Stream)
}

func (b *chatRequest) modelCall() (*structs.ModelCall, error) {
	if b.N != nil && *b.N != 1 {
		return nil, badRequest("n", "only one answer can be asked for")
	}
	if len(b.Messages) == 0 {
		return nil, badRequest("messages", "at least one message is required")
	}
	model := &structs.ModelCall{Service: b.Model, MaxTokens: b.MaxCompletionTokens}
	if model.MaxTokens == 0 {
		model.MaxTokens = b.MaxTokens
	}
	for _, m := range b.Messages {
		model.Messages = append(model.Messages, structs.Message{Role: m.Role, Content: string(m.Content)})
	}
	return model, nil
}

// newChatCall returns a call in the program that the headers name or, without one, in a
// new program that ends after this call.
func (x *exchange) newChatCall(service structs.ServiceID) (*structs.Call, error) {
	key, err := x.idempotencyKey()
	if err != nil {
		return nil, err
	}
	call := &structs.Call{IdempotencyKey: key}
	program := x.r.Header.Get(headerProgram)
	if program == "" {
		call.EndAfter = true
		call.Program = x.programIDFor("call", key)
		call.Kind, err = x.kindFor(service)
		return call, err
	}
	if call.Program, err = decodeID(headerProgram, program); err != nil {
		return nil, err
	}
	number := x.r.Header.Get(headerCall)
	if number == "" {
		return call, nil
	}
	if call.Number, err = strconv.ParseUint(number, 10, 64); err != nil {
		return nil, badRequest(headerCall, "the call's number is not a number")
	}
	return call, nil
}

// kindFor chooses the kind of the new program: the one in the header, else the first
// kind of the account that may call the service.
func (x *exchange) kindFor(service structs.ServiceID) (string, error) {
	requested := x.r.Header.Get(headerKind)
	if requested != "" {
		if !x.snapshot.MayRun(x.account, requested) {
			return "", forbiddenProgram(requested)
		}
		if !x.snapshot.MayCall(requested, service) {
			return "", refuse(structs.RefusedForbidden, "program %q may not ask service %q", requested, service)
		}
		return requested, nil
	}
	account, _ := x.snapshot.Account(x.account)
	for _, kind := range account.Programs {
		if x.snapshot.MayRun(x.account, kind) && x.snapshot.MayCall(kind, service) {
			return kind, nil
		}
	}
	return "", refuse(structs.RefusedForbidden, "no program of the client account may ask service %q", service)
}
