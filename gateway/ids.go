package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// idSeparator replaces the slash of a program ID in the callers' interface, so that an
// ID is one segment of a URL.
const idSeparator = "~"

// maxIDLen limits a program ID from a caller, in bytes.
const maxIDLen = 200

// encodeID converts a program ID to the form that callers see.
func encodeID(id structs.ProgramID) structs.ProgramID {
	return structs.ProgramID(strings.Replace(string(id), "/", idSeparator, 1))
}

// decodeID parses a program ID from a caller. field is named in the refusal.
func decodeID(field, text string) (structs.ProgramID, error) {
	id := structs.ProgramID(strings.Replace(text, idSeparator, "/", 1))
	domain, random, ok := strings.Cut(string(id), "/")
	if !ok || domain == "" || random == "" || len(text) > maxIDLen || strings.ContainsAny(random, "/~") {
		return "", badRequest(field, "a program ID has the form home~random")
	}
	return id, nil
}

func encodeInfo(info structs.ProgramInfo) structs.ProgramInfo {
	info.ID = encodeID(info.ID)
	info.Parent = encodeID(info.Parent)
	return info
}

func encodeHistory(history structs.History) structs.History {
	history.Program = encodeID(history.Program)
	for i := range history.Turns {
		history.Turns[i].Program = encodeID(history.Turns[i].Program)
	}
	return history
}

// newProgramID generates the ID of a new program in the gateway's own failure domain.
func (g *Gateway) newProgramID() structs.ProgramID {
	return structs.NewProgramID(g.opts.Domain, g.opts.NewID())
}

// programIDFor returns the ID for a program that the request creates for the given
// purpose. Requests of one account with the same purpose and idempotency key get the
// same ID on every gateway, so that the program's owner recognizes a repetition.
func (x *exchange) programIDFor(purpose, idempotencyKey string) structs.ProgramID {
	if idempotencyKey == "" || x.account == "" {
		return x.g.newProgramID()
	}
	hash := sha256.New()
	for _, part := range []string{purpose, string(x.account), idempotencyKey} {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		hash.Write([]byte(part))
	}
	random := hex.EncodeToString(hash.Sum(nil)[:idBytes])
	return structs.NewProgramID(homeDomain(x.g.opts.Domains(), random), random)
}

// childID returns the ID of a sub-program of parent, with the random part of a
// generated ID.
func childID(parent, generated structs.ProgramID) structs.ProgramID {
	_, random, _ := strings.Cut(string(generated), "/")
	return program.NewChildID(parent, random)
}

// homeDomain chooses a failure domain for the key by rendezvous hashing. The order of
// the list has no effect.
func homeDomain(domains []structs.DomainID, key string) structs.DomainID {
	var best structs.DomainID
	var bestScore uint64
	for _, d := range domains {
		score := xxhash.Sum64String(string(d) + "/" + key)
		if best == "" || score > bestScore || score == bestScore && d < best {
			best, bestScore = d, score
		}
	}
	return best
}
