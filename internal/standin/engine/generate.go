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

type result struct {
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

// generate produces the answer token by token and stores the prompt's cache
// under the hold. A crash, a cancel or a cut closes the connection.
func (s *Server) generate(ctx context.Context, w http.ResponseWriter, c *completion, hold structs.ProgramID, crash <-chan struct{}) {
	tokens := answerTokens(c.Messages, c.MaxTokens)
	cut := s.takeCut()
	used := usageOf(c.Messages, s.cached(hold, c.Messages), len(tokens))
	if c.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	s.hold(hold, c.Messages)
	for i, token := range tokens {
		if !s.pause(ctx, i, crash) {
			panic(http.ErrAbortHandler)
		}
		if c.Stream {
			sendToken(w, i, token)
		}
		if cut {
			panic(http.ErrAbortHandler)
		}
	}
	if c.Stream {
		sendEvent(w, result{Object: "chat.completion.chunk", Choices: []choice{}, Usage: used})
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	stop := "stop"
	message := structs.Message{Role: "assistant", Content: strings.Join(tokens, " ")}
	whole := choice{Message: &message, FinishReason: &stop}
	writeJSON(w, http.StatusOK, result{Object: "chat.completion", Choices: []choice{whole}, Usage: used})
}

func usageOf(messages []structs.Message, cached int64, output int) *usage {
	prompt := promptTokens(messages)
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: int64(output),
		TotalTokens:      prompt + int64(output),
		Details:          promptDetails{CachedTokens: cached},
	}
}

func (s *Server) pause(ctx context.Context, token int, crash <-chan struct{}) bool {
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
	sendEvent(w, result{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta}}})
}

func sendEvent(w http.ResponseWriter, event result) {
	data, _ := json.Marshal(event)
	fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
