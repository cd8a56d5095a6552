package vengine

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func prompt(lengths ...int64) []Prefix {
	var prefixes []Prefix
	var tokens int64
	for i, length := range lengths {
		tokens += length
		prefixes = append(prefixes, Prefix{Hash: uint64(i + 1), Tokens: tokens})
	}
	return prefixes
}

func drain(e *Engine) []Completion {
	var done []Completion
	for !e.IsIdle() {
		done = append(done, e.Step().Completions...)
	}
	return done
}

func TestSecondCallFindsTheFirstCached(t *testing.T) {
	e := New(DefaultParams())
	e.Submit(&Request{ID: 1, Prefixes: prompt(1000, 500), Output: 10, ResponseHash: 3})
	assert.DeepEqual(t, drain(e), []Completion{{ID: 1, Prompt: 1500, Output: 10}})
	e.Submit(&Request{ID: 2, Prefixes: prompt(1000, 500, 10, 40), Output: 5, ResponseHash: 9})
	assert.DeepEqual(t, drain(e), []Completion{{ID: 2, Prompt: 1550, Cached: 1510, Output: 5}})
}

func TestRequestsAreAdmittedInOrderAsMemoryAllows(t *testing.T) {
	params := DefaultParams()
	params.MemoryTokens = 2000
	e := New(params)
	e.Submit(&Request{ID: 1, Prefixes: prompt(1500), Output: 10})
	e.Submit(&Request{ID: 2, Prefixes: []Prefix{{Hash: 7, Tokens: 1500}}, Output: 10})
	e.Submit(&Request{ID: 3, Prefixes: []Prefix{{Hash: 8, Tokens: 10}}, Output: 1})
	e.Step()
	assert.Equal(t, e.Load(), Load{Running: 1, Waiting: 2})
	done := drain(e)
	assert.Equal(t, done[0].ID, uint64(1))
	assert.Equal(t, len(done), 3)
}

func TestDroppedPrefixIsNotFound(t *testing.T) {
	e := New(DefaultParams())
	e.Submit(&Request{ID: 1, Prefixes: prompt(1000, 500), Output: 10, ResponseHash: 3})
	drain(e)
	e.FreePrefix(3)
	e.Submit(&Request{ID: 2, Prefixes: prompt(1000, 500, 10, 40), Output: 5})
	assert.Equal(t, drain(e)[0].Cached, int64(0))
}

// Memory in use never exceeds the engine's, and is all accounted for at rest.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := DefaultParams()
		params.MemoryTokens = 4000
		e := New(params)
		for id := range uint64(rapid.IntRange(1, 30).Draw(t, "requests")) {
			first := rapid.Uint64Range(1, 3).Draw(t, "first")
			second := rapid.Uint64Range(1, 9).Draw(t, "second")
			e.Submit(&Request{ID: id, Output: rapid.Int64Range(1, 50).Draw(t, "output"), ResponseHash: 1000 + id, Prefixes: []Prefix{
				{Hash: first, Tokens: 500}, {Hash: 10*first + second, Tokens: 500 + int64(second)*100},
			}})
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				e.Step()
				assert.Assert(t, e.cache.used+e.reserved <= params.MemoryTokens)
			}
		}
		drain(e)
		assert.Equal(t, e.reserved, int64(0))
	})
}
