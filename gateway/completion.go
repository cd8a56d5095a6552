package gateway

import (
	"time"
	"unicode/utf8"

	"github.com/endivecourse/endivecourse/structs"
)

const roleAssistant = "assistant"

// completion is an OpenAI-compatible response or one chunk of it.
type completion struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"` // Unix seconds
	Model   structs.ServiceID `json:"model"`
	Choices []choice          `json:"choices"`
	Usage   *completionUsage  `json:"usage,omitempty"`
}

type choice struct {
	Index        int              `json:"index"`
	Message      *structs.Message `json:"message,omitempty"`
	Delta        *delta           `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type completionUsage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func newCompletion(x *exchange, call *structs.Call, object string) completion {
	return completion{
		ID:      "chatcmpl-" + string(x.id),
		Object:  object,
		Created: time.Now().Unix(),
		Model:   call.Service(),
	}
}

func newUsage(usage structs.Usage) *completionUsage {
	return &completionUsage{
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.OutputTokens,
		TotalTokens:      usage.Total(),
		PromptDetails:    promptDetails{CachedTokens: usage.CachedTokens},
	}
}

func finishReason(call *structs.Call, ev *structs.CallEvent) string {
	if call.Model != nil && ev.Usage.OutputTokens >= call.Model.MaxTokens {
		return "length"
	}
	return "stop"
}

// completeRunesLen returns the length of the text without an incomplete last character.
func completeRunesLen(text []byte) int {
	for back := 1; back < utf8.UTFMax && back <= len(text); back++ {
		start := len(text) - back
		if !utf8.RuneStart(text[start]) {
			continue
		}
		if utf8.FullRune(text[start:]) {
			return len(text)
		}
		return start
	}
	return len(text)
}
