package config

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
)

// Rows of the platform's table.
const (
	RowCurrent       = "config/current"
	RowVersionPrefix = "config/version/"
	RowPatchPrefix   = "config/patch/"
	RowInForcePrefix = "config/inforce/"
)

const (
	attemptBytes = 16
	// publishTries bounds how often a transaction without an answer is sent.
	publishTries = 4
	publishPause = 200 * time.Millisecond
	// keptVersions is how many versions can be shown and rolled back to.
	keptVersions = 500
)

// VersionInfo describes a stored version.
type VersionInfo struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	// Attempt identifies the transaction that wrote the version, so that its
	// publisher recognises it when the answer was lost.
	Attempt string `json:"attempt"`
}

// versionRow is the value of a version's row.
type versionRow struct {
	VersionInfo
	Document Document `json:"document"`
}

// Store keeps the versions of the document in the platform's table. The row
// RowCurrent names the latest version; it and the version's own row are
// written by one transaction that requires the row as it was read.
type Store struct {
	Table backing.Table
	Now   func() time.Time // nil means time.Now
}

// VersionRow returns the key of a version's row.
func VersionRow(version uint64) string { return fmt.Sprintf("%s%020d", RowVersionPrefix, version) }

// PatchRow returns the key of the row with the patch that leads to a version
// from the one before.
func PatchRow(version uint64) string { return fmt.Sprintf("%s%020d", RowPatchPrefix, version) }

// Publish stores doc as the version after expected, which is 0 for the first.
// Its errors are *settings.FileError for a document that the checks refuse,
// *LostRaceError, *NotStoredError and *UncertainError.
func (s *Store) Publish(ctx context.Context, expected uint64, author string, doc Document) (uint64, error) {
	if err := doc.Check(); err != nil {
		return 0, err
	}
	current, row, err := s.currentRow(ctx)
	if err != nil {
		return 0, &NotStoredError{Cause: err}
	}
	if current.Version != expected {
		return 0, &VersionConflictError{Version: current.Version, Author: current.Author}
	}
	before, err := s.before(ctx, expected)
	if err != nil {
		return 0, &NotStoredError{Cause: err}
	}
	p, err := s.newPublication(before, expected+1, author, doc, row.Version)
	if err != nil {
		return 0, &NotStoredError{Cause: err}
	}
	return p.commit(ctx, s.Table)
}

// publication is one attempt to store a version. Its transaction can take
// effect at most once, however often it is sent.
type publication struct {
	info VersionInfo
	txn  backing.Txn
}

// before returns the version that a publication replaces, or nil for the first
// one.
func (s *Store) before(ctx context.Context, expected uint64) (*Snapshot, error) {
	if expected == 0 {
		return nil, nil
	}
	return s.Version(ctx, expected)
}

func (s *Store) newPublication(before *Snapshot, version uint64, author string, doc Document, currentRow uint64) (*publication, error) {
	var attempt [attemptBytes]byte
	if _, err := rand.Read(attempt[:]); err != nil {
		return nil, errors.Wrap(err, "draw attempt")
	}
	info := VersionInfo{Version: version, Author: author, Time: s.now().UTC(), Attempt: hex.EncodeToString(attempt[:])}
	head, err := json.Marshal(info)
	if err != nil {
		return nil, errors.Wrap(err, "encode version")
	}
	whole, err := json.Marshal(versionRow{VersionInfo: info, Document: doc})
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	txn := backing.Txn{
		Require: []backing.Condition{
			{Key: RowCurrent, Version: currentRow},
			{Key: VersionRow(version), Version: 0},
		},
		Writes: []backing.Write{
			{Key: RowCurrent, Value: head},
			{Key: VersionRow(version), Value: whole},
		},
	}
	if before != nil {
		patch, err := encodedPatch(before, NewSnapshot(version, author, doc))
		if err != nil {
			return nil, err
		}
		txn.Writes = append(txn.Writes, backing.Write{Key: PatchRow(version), Value: patch})
	}
	if version > keptVersions {
		old := version - keptVersions
		txn.Writes = append(txn.Writes,
			backing.Write{Key: VersionRow(old), IsDelete: true}, backing.Write{Key: PatchRow(old), IsDelete: true})
	}
	return &publication{info: info, txn: txn}, nil
}

func encodedPatch(from, to *Snapshot) ([]byte, error) {
	patch, err := Diff(from, to)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(patch)
	return data, errors.Wrap(err, "encode patch")
}

func (s *Store) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// commit sends the transaction until its outcome is known. After an unknown
// outcome the same transaction is sent again: if the first has taken effect,
// the second conflicts, and the version's row then tells whose it is.
func (p *publication) commit(ctx context.Context, table backing.Table) (uint64, error) {
	sent := false
	var cause error
	for try := range publishTries {
		if try > 0 && !pause(ctx, publishPause) {
			break
		}
		_, err := table.Commit(ctx, p.txn)
		var conflict *backing.ConflictError
		var unavailable *backing.UnavailableError
		switch {
		case err == nil:
			return p.info.Version, nil
		case errors.As(err, &conflict):
			version, winnerErr, known := p.winner(ctx, table, sent)
			if known {
				return version, winnerErr
			}
			sent, cause = true, err
		case errors.As(err, &unavailable) && !sent:
			return 0, &NotStoredError{Cause: err}
		default:
			sent, cause = true, err
		}
	}
	return 0, &UnknownOutcomeError{Version: p.info.Version, Cause: cause}
}

// winner reads which publication stored the version. Without an earlier send of
// unknown outcome, a conflict alone shows that it was another one.
func (p *publication) winner(ctx context.Context, table backing.Table, sent bool) (version uint64, err error, known bool) {
	row, err := table.Get(ctx, VersionRow(p.info.Version))
	if err != nil {
		return 0, nil, false
	}
	var winner VersionInfo
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &winner); err != nil {
			return 0, nil, false
		}
		if winner.Attempt == p.info.Attempt {
			return p.info.Version, nil, true
		}
		return 0, &VersionConflictError{Version: winner.Version, Author: winner.Author}, true
	}
	if sent {
		return 0, nil, false // the row may be one that is no longer kept
	}
	row, err = table.Get(ctx, RowCurrent)
	if err != nil || json.Unmarshal(row.Value, &winner) != nil {
		return 0, nil, false
	}
	return 0, &VersionConflictError{Version: winner.Version, Author: winner.Author}, true
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
