package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

type choice struct {
	Index        int              `json:"index"`
	Delta        *structs.Message `json:"delta,omitempty"`
	Message      *structs.Message `json:"message,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type completionResponse struct {
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// generate stores the prompt's cache under the hold and writes the response, token by token
// if it is a stream. A crash, a cancellation or an AbortNext fault closes the connection.
func (s *Server) generate(ctx context.Context, w http.ResponseWriter, c *completionRequest, hold structs.ProgramID, crash <-chan struct{}) {
	tokens := responseTokens(c.Messages, c.MaxTokens)
	isAborted := s.takeAbortFault()
	tokenUsage := newUsage(c.Messages, s.cachedTokens(hold, c.Messages), len(tokens))
	if c.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	s.storeHold(hold, c.Messages)
	for i, token := range tokens {
		if !s.waitForToken(ctx, i, crash) {
			panic(http.ErrAbortHandler)
		}
		if c.Stream {
			sendToken(w, i, token)
		}
		if isAborted {
			panic(http.ErrAbortHandler)
		}
	}
	if c.Stream {
		sendEvent(w, completionResponse{Object: "chat.completion.chunk", Choices: []choice{}, Usage: tokenUsage})
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	stop := "stop"
	message := structs.Message{Role: "assistant", Content: strings.Join(tokens, " ")}
	full := choice{Message: &message, FinishReason: &stop}
	writeJSON(w, http.StatusOK, completionResponse{Object: "chat.completion", Choices: []choice{full}, Usage: tokenUsage})
}

func newUsage(messages []structs.Message, cached int64, output int) *usage {
	prompt := promptTokens(messages)
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: int64(output),
		TotalTokens:      prompt + int64(output),
		Details:          promptDetails{CachedTokens: cached},
	}
}

// waitForToken waits for the time that a token takes. It returns false if the request is
// cancelled or the engine crashes first.
func (s *Server) waitForToken(ctx context.Context, token int, crash <-chan struct{}) bool {
	wait := s.opts.TokenTime
	if token == 0 {
		wait = s.opts.FirstTokenTime
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	case <-crash:
		return false
	}
}

func sendToken(w http.ResponseWriter, index int, token string) {
	if index > 0 {
		token = " " + token
	}
	delta := structs.Message{Role: "assistant", Content: token}
	sendEvent(w, completionResponse{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta}}})
}

func sendEvent(w http.ResponseWriter, event completionResponse) {
	data, _ := json.Marshal(event)
	fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
