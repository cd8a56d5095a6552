package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	minResponseTokens  = 4
	responseTokenRange = 12
)

// Answer returns the text of the engine's response to a prompt without an output limit. It
// depends only on the role and content of every message.
func Answer(messages []structs.Message) string {
	return strings.Join(responseTokens(messages, 0), " ")
}

// LimitedAnswer returns the text of the engine's response truncated to maxTokens tokens; 0
// is no limit.
func LimitedAnswer(messages []structs.Message, maxTokens int64) string {
	return strings.Join(responseTokens(messages, maxTokens), " ")
}

func responseTokens(messages []structs.Message, maxTokens int64) []string {
	hash := xxhash.New()
	for _, m := range messages {
		fmt.Fprintf(hash, "%d:%s%d:%s", len(m.Role), m.Role, len(m.Content), m.Content)
	}
	sum := hash.Sum64()
	count := minResponseTokens + int(sum%responseTokenRange)
	if maxTokens > 0 && int64(count) > maxTokens {
		count = int(maxTokens)
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%016x.%d", sum, i)
	}
	return tokens
}

// promptTokens counts one token for each word of the messages and one for each role.
func promptTokens(messages []structs.Message) int64 {
	var n int64
	for _, m := range messages {
		n += 1 + int64(len(strings.Fields(m.Content)))
	}
	return n
}

// commonPrefix returns the longest sequence of messages that both prompts start with.
func commonPrefix(a, b []structs.Message) []structs.Message {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[:n]
}
