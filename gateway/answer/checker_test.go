package answer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/structs"
)

func started(number uint64) structs.CallEvent {
	return structs.CallEvent{Kind: structs.EventStarted, Request: "q", Number: number, Status: 200}
}

func data(offset int64, text string) structs.CallEvent {
	return structs.CallEvent{Kind: structs.EventData, Request: "q", Offset: offset, Data: []byte(text)}
}

func done(text string) structs.CallEvent {
	return structs.CallEvent{
		Kind: structs.EventDone, Request: "q",
		Length: int64(len(text)), Digest: xxhash.Sum64String(text),
	}
}

func crossed(ev structs.CallEvent) structs.CallEvent {
	ev.Request = "other"
	return ev
}

func TestMismatches(t *testing.T) {
	again := started(1)
	again.Status = 500
	cases := map[string]struct {
		field  string
		events []structs.CallEvent
		// after are the events of a second attempt.
		after []structs.CallEvent
	}{
		"crossed":           {"request", []structs.CallEvent{started(1), crossed(data(0, "a"))}, nil},
		"doubled":           {"offset", []structs.CallEvent{started(1), data(0, "a"), data(0, "a")}, nil},
		"gap":               {"offset", []structs.CallEvent{started(1), data(1, "a")}, nil},
		"no start":          {"kind", []structs.CallEvent{data(0, "a")}, nil},
		"two starts":        {"kind", []structs.CallEvent{started(1), started(1)}, nil},
		"short":             {"length", []structs.CallEvent{started(1), data(0, "a"), done("ab")}, nil},
		"changed":           {"digest", []structs.CallEvent{started(1), data(0, "ac"), done("ab")}, nil},
		"after the end":     {"kind", []structs.CallEvent{started(1), done(""), data(0, "a")}, nil},
		"unknown kind":      {"kind", []structs.CallEvent{{Request: "q", Kind: 99}}, nil},
		"empty refusal":     {"refusal", []structs.CallEvent{{Request: "q", Kind: structs.EventRefused}}, nil},
		"other number":      {"number", []structs.CallEvent{started(1), data(0, "a")}, []structs.CallEvent{started(2)}},
		"other status":      {"status", []structs.CallEvent{started(1), data(0, "a")}, []structs.CallEvent{again}},
		"other prefix":      {"digest", []structs.CallEvent{started(1), data(0, "a")}, []structs.CallEvent{started(1), data(0, "bb")}},
		"shorter on replay": {"length", []structs.CallEvent{started(1), data(0, "ab")}, []structs.CallEvent{started(1), data(0, "a"), done("a")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker("q")
			err := takeAll(checker, c.events)
			if c.after != nil {
				assert.NilError(t, err)
				checker.Restart()
				err = takeAll(checker, c.after)
			}
			var mismatch *MismatchError
			assert.Assert(t, errors.As(err, &mismatch), "%v", err)
			assert.Equal(t, mismatch.Field, c.field)
		})
	}
}

func takeAll(checker *Checker, events []structs.CallEvent) error {
	for _, ev := range events {
		if _, err := checker.CheckEvent(&ev); err != nil {
			return err
		}
	}
	return nil
}

// However an answer is split and however often it is begun again, its bytes
// are returned once and in order.
func TestAnyRestartsGiveTheAnswerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 60, 200).Draw(t, "text")
		checker := NewChecker("q")
		var got bytes.Buffer
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		for i := range attempts {
			checker.Restart()
			until := len(text)
			if i < attempts-1 {
				until = rapid.IntRange(0, len(text)).Draw(t, "cut")
			}
			receive(t, checker, &got, text, until)
		}
		ev := done(text)
		_, err := checker.CheckEvent(&ev)
		assert.NilError(t, err)
		assert.Equal(t, got.String(), text)
	})
}

func receive(t *rapid.T, checker *Checker, got *bytes.Buffer, text string, until int) {
	ev := started(7)
	_, err := checker.CheckEvent(&ev)
	assert.NilError(t, err)
	for offset := 0; offset < until; {
		size := rapid.IntRange(1, until-offset).Draw(t, "size")
		ev := data(int64(offset), text[offset:offset+size])
		fresh, err := checker.CheckEvent(&ev)
		assert.NilError(t, err)
		got.Write(fresh)
		offset += size
	}
}
