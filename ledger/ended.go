package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// EndedTurn is a turn whose reservation was closed. Calls for the turn that arrive late or
// once more find it here: they neither reserve nor count its tokens again.
type EndedTurn struct {
	// Hash is a hash of the turn's ID.
	Hash uint64 `msgpack:"h"`
	// At is when the reservation was closed, in Unix seconds.
	At int64 `msgpack:"a"`
	// Charged is the number of tokens with which the turn counts since it was not settled, 0
	// if it was.
	Charged int64 `msgpack:"c,omitempty"`
}

// LateReservationError reports a call that would reserve the tokens of a turn which has ended.
type LateReservationError struct {
	Turn structs.RequestID
	Age  time.Duration // since the call was made
}

// Error names the turn and the age.
func (e *LateReservationError) Error() string {
	return fmt.Sprintf("turn %s has ended, the call to reserve its tokens is %s old", e.Turn, e.Age.Round(time.Millisecond))
}

func turnHash(turn structs.RequestID) uint64 { return xxhash.Sum64String(string(turn)) }

func (b *Balance) findEnded(turn structs.RequestID) *EndedTurn {
	hash := turnHash(turn)
	for i := range b.Ended {
		if b.Ended[i].Hash == hash {
			return &b.Ended[i]
		}
	}
	return nil
}

// isCharged reports whether a turn counts with its maximum since it was not settled in time.
func (b *Balance) isCharged(turn structs.RequestID) bool {
	ended := b.findEnded(turn)
	return ended != nil && ended.Charged > 0
}

func (b *Balance) hasOutageTurn(turn structs.RequestID) bool {
	return slices.ContainsFunc(b.OutageTurns, func(t OutageTurn) bool { return t.Turn == turn })
}

// end records that a turn's reservation is closed.
func (b *Balance) end(turn structs.RequestID, charged int64, now time.Time) {
	b.Ended = append(b.Ended, EndedTurn{Hash: turnHash(turn), At: now.Unix(), Charged: charged})
}

// charge closes the reservations of turns that can't run any more, and forgets the turns that
// ended long ago. Callers may have got any number of their tokens, so that each counts with its
// maximum until it is settled. It returns these reservations. hasEnded reports whether a
// process is known to have ended.
func (b *Balance) charge(now time.Time, hasEnded func(structs.Incarnation) bool) []Reservation {
	b.Ended = slices.DeleteFunc(b.Ended, func(t EndedTurn) bool { return now.Unix()-t.At > int64((endedTTL+maxClockDifference)/time.Second) })
	var charged []Reservation
	b.Open = slices.DeleteFunc(b.Open, func(r Reservation) bool {
		isOver := now.UnixMilli()-r.CreatedAt > reservationTTL.Milliseconds()
		isLost := r.Owner != "" && hasEnded != nil && hasEnded(r.Owner)
		if isOver || isLost {
			charged = append(charged, r)
		}
		return isOver || isLost
	})
	for i, r := range charged {
		if strings.HasPrefix(string(r.Turn), advancePrefix) {
			charged[i].Tokens = 0
			continue
		}
		b.Spent += r.Tokens
		b.Uncertain += r.Tokens
		b.end(r.Turn, r.Tokens, now)
	}
	return charged
}
