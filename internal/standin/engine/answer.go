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

// Answer returns the engine's whole answer to a prompt. It is a function of
// every message's role and content.
func Answer(messages []structs.Message) string {
	return strings.Join(responseTokens(messages, 0), " ")
}

// LimitedAnswer returns the answer cut to an output limit in tokens; 0 has no
// limit.
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

// promptTokens counts the words of the messages and one token for each role.
func promptTokens(messages []structs.Message) int64 {
	var n int64
	for _, m := range messages {
		n += 1 + int64(len(strings.Fields(m.Content)))
	}
	return n
}

// commonPrefix returns the messages that two prompts begin with.
func commonPrefix(a, b []structs.Message) []structs.Message {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[:n]
}
