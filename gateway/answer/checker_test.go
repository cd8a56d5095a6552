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

func startedEvent(number uint64) structs.CallEvent {
	return structs.CallEvent{Kind: structs.EventStarted, Request: "q", Number: number, Status: 200}
}

func dataEvent(offset int64, text string) structs.CallEvent {
	return structs.CallEvent{Kind: structs.EventData, Request: "q", Offset: offset, Data: []byte(text)}
}

func doneEvent(text string) structs.CallEvent {
	return structs.CallEvent{
		Kind: structs.EventDone, Request: "q",
		Length: int64(len(text)), Digest: xxhash.Sum64String(text),
	}
}

func withOtherRequest(ev structs.CallEvent) structs.CallEvent {
	ev.Request = "other"
	return ev
}

func TestMismatchedEventIsRejected(t *testing.T) {
	startWithOtherStatus := startedEvent(1)
	startWithOtherStatus.Status = 500
	cases := map[string]struct {
		field  string
		events []structs.CallEvent
		// secondAttempt holds the events after a Restart, if there is one.
		secondAttempt []structs.CallEvent
	}{
		"crossed":           {"request", []structs.CallEvent{startedEvent(1), withOtherRequest(dataEvent(0, "a"))}, nil},
		"doubled":           {"offset", []structs.CallEvent{startedEvent(1), dataEvent(0, "a"), dataEvent(0, "a")}, nil},
		"gap":               {"offset", []structs.CallEvent{startedEvent(1), dataEvent(1, "a")}, nil},
		"no start":          {"kind", []structs.CallEvent{dataEvent(0, "a")}, nil},
		"two starts":        {"kind", []structs.CallEvent{startedEvent(1), startedEvent(1)}, nil},
		"short":             {"length", []structs.CallEvent{startedEvent(1), dataEvent(0, "a"), doneEvent("ab")}, nil},
		"changed":           {"digest", []structs.CallEvent{startedEvent(1), dataEvent(0, "ac"), doneEvent("ab")}, nil},
		"after the end":     {"kind", []structs.CallEvent{startedEvent(1), doneEvent(""), dataEvent(0, "a")}, nil},
		"unknown kind":      {"kind", []structs.CallEvent{{Request: "q", Kind: 99}}, nil},
		"empty refusal":     {"refusal", []structs.CallEvent{{Request: "q", Kind: structs.EventRefused}}, nil},
		"other number":      {"number", []structs.CallEvent{startedEvent(1), dataEvent(0, "a")}, []structs.CallEvent{startedEvent(2)}},
		"other status":      {"status", []structs.CallEvent{startedEvent(1), dataEvent(0, "a")}, []structs.CallEvent{startWithOtherStatus}},
		"other prefix":      {"digest", []structs.CallEvent{startedEvent(1), dataEvent(0, "a")}, []structs.CallEvent{startedEvent(1), dataEvent(0, "bb")}},
		"shorter on replay": {"length", []structs.CallEvent{startedEvent(1), dataEvent(0, "ab")}, []structs.CallEvent{startedEvent(1), dataEvent(0, "a"), doneEvent("a")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker("q")
			err := checkAll(checker, c.events)
			if c.secondAttempt != nil {
				assert.NilError(t, err)
				checker.Restart()
				err = checkAll(checker, c.secondAttempt)
			}
			var mismatch *MismatchError
			assert.Assert(t, errors.As(err, &mismatch), "%v", err)
			assert.Equal(t, mismatch.Field, c.field)
		})
	}
}

func checkAll(checker *Checker, events []structs.CallEvent) error {
	for _, ev := range events {
		if _, err := checker.CheckEvent(&ev); err != nil {
			return err
		}
	}
	return nil
}

// However a response is split and however often it is received again from the beginning,
// each byte is returned once and in order.
func TestRestartsReturnEachByteOnce(t *testing.T) {
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
			receivePrefix(t, checker, &got, text, until)
		}
		ev := doneEvent(text)
		_, err := checker.CheckEvent(&ev)
		assert.NilError(t, err)
		assert.Equal(t, got.String(), text)
	})
}

func receivePrefix(t *rapid.T, checker *Checker, got *bytes.Buffer, text string, until int) {
	ev := startedEvent(7)
	_, err := checker.CheckEvent(&ev)
	assert.NilError(t, err)
	for offset := 0; offset < until; {
		size := rapid.IntRange(1, until-offset).Draw(t, "size")
		ev := dataEvent(int64(offset), text[offset:offset+size])
		fresh, err := checker.CheckEvent(&ev)
		assert.NilError(t, err)
		got.Write(fresh)
		offset += size
	}
}
