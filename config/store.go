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

// Row keys in the platform's table. Keys that end in "/" are prefixes.
const (
	RowCurrent       = "config/current"
	RowVersionPrefix = "config/version/"
	RowPatchPrefix   = "config/patch/"
	RowInForcePrefix = "config/inforce/"
)

const (
	attemptBytes = 16
	// maxPublishAttempts limits how often a transaction of unknown outcome is sent.
	maxPublishAttempts = 4
	publishRetryDelay  = 200 * time.Millisecond
	// maxStoredVersions is the number of versions kept for display and rollback.
	maxStoredVersions = 500
)

// VersionInfo describes a stored version.
type VersionInfo struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	// Attempt identifies the transaction that wrote the version, so that the
	// publisher recognizes its own version when the response was lost.
	Attempt string `json:"attempt"`
}

// versionRow is the value of the row of a version.
type versionRow struct {
	VersionInfo
	Document Document `json:"document"`
}

// Store keeps the versions of the document in the platform's table. The row
// RowCurrent names the latest version. One transaction writes this row and the
// row of the new version, on condition that RowCurrent has not changed since it
// was read.
type Store struct {
	Table backing.Table
	Now   func() time.Time // nil means time.Now
}

// VersionRow returns the row key of a version.
func VersionRow(version uint64) string { return fmt.Sprintf("%s%020d", RowVersionPrefix, version) }

// PatchRow returns the key of the row that holds the patch from the previous
// version to this one.
func PatchRow(version uint64) string { return fmt.Sprintf("%s%020d", RowPatchPrefix, version) }

// Publish stores doc as the version after expected, which is 0 for the first
// version. Its errors are *settings.FileError for a document that fails the
// checks, *VersionConflictError, *NotStoredError and *UnknownOutcomeError.
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
	before, err := s.previousVersion(ctx, expected)
	if err != nil {
		return 0, &NotStoredError{Cause: err}
	}
	p, err := s.newPublication(before, expected+1, author, doc, row.Version)
	if err != nil {
		return 0, &NotStoredError{Cause: err}
	}
	return p.commit(ctx, s.Table)
}

// publication is the transaction that stores one version. It can take effect at
// most once, however often it is sent.
type publication struct {
	info VersionInfo
	txn  backing.Txn
}

// previousVersion returns the version that a publication replaces, or nil if
// there is none.
func (s *Store) previousVersion(ctx context.Context, expected uint64) (*Snapshot, error) {
	if expected == 0 {
		return nil, nil
	}
	return s.Version(ctx, expected)
}

func (s *Store) newPublication(before *Snapshot, version uint64, author string, doc Document, currentRow uint64) (*publication, error) {
	var attempt [attemptBytes]byte
	if _, err := rand.Read(attempt[:]); err != nil {
		return nil, errors.Wrap(err, "generate attempt ID")
	}
	info := VersionInfo{Version: version, Author: author, Time: s.now().UTC(), Attempt: hex.EncodeToString(attempt[:])}
	currentValue, err := json.Marshal(info)
	if err != nil {
		return nil, errors.Wrap(err, "encode version")
	}
	versionValue, err := json.Marshal(versionRow{VersionInfo: info, Document: doc})
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	txn := backing.Txn{
		Require: []backing.Condition{
			{Key: RowCurrent, Version: currentRow},
			{Key: VersionRow(version), Version: 0},
		},
		Writes: []backing.Write{
			{Key: RowCurrent, Value: currentValue},
			{Key: VersionRow(version), Value: versionValue},
		},
	}
	if before != nil {
		patch, err := encodedPatch(before, NewSnapshot(version, author, doc))
		if err != nil {
			return nil, err
		}
		txn.Writes = append(txn.Writes, backing.Write{Key: PatchRow(version), Value: patch})
	}
	if version > maxStoredVersions {
		old := version - maxStoredVersions
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

// commit sends the transaction until its outcome is known, at most
// maxPublishAttempts times. After an unknown outcome it sends the same
// transaction again: if the first send took effect, the second conflicts, and
// the row of the version then shows which publication stored it.
func (p *publication) commit(ctx context.Context, table backing.Table) (uint64, error) {
	maybeStored := false
	var cause error
	for attempt := range maxPublishAttempts {
		if attempt > 0 && !sleep(ctx, publishRetryDelay) {
			break
		}
		_, err := table.Commit(ctx, p.txn)
		var conflict *backing.ConflictError
		var unavailable *backing.UnavailableError
		switch {
		case err == nil:
			return p.info.Version, nil
		case errors.As(err, &conflict):
			version, conflictErr, known := p.resolveConflict(ctx, table, maybeStored)
			if known {
				return version, conflictErr
			}
			maybeStored, cause = true, err
		case errors.As(err, &unavailable) && !maybeStored:
			return 0, &NotStoredError{Cause: err}
		default:
			maybeStored, cause = true, err
		}
	}
	return 0, &UnknownOutcomeError{Version: p.info.Version, Cause: cause}
}

// resolveConflict reads which publication stored the version. It reports
// known as false if that cannot be determined. If no earlier send had an
// unknown outcome (maybeStored is false), the conflict itself shows that
// another publication was first.
func (p *publication) resolveConflict(ctx context.Context, table backing.Table, maybeStored bool) (version uint64, err error, known bool) {
	row, err := table.Get(ctx, VersionRow(p.info.Version))
	if err != nil {
		return 0, nil, false
	}
	var stored VersionInfo
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return 0, nil, false
		}
		if stored.Attempt == p.info.Attempt {
			return p.info.Version, nil, true
		}
		return 0, &VersionConflictError{Version: stored.Version, Author: stored.Author}, true
	}
	if maybeStored {
		return 0, nil, false // this version may have been stored and deleted since
	}
	row, err = table.Get(ctx, RowCurrent)
	if err != nil || json.Unmarshal(row.Value, &stored) != nil {
		return 0, nil, false
	}
	return 0, &VersionConflictError{Version: stored.Version, Author: stored.Author}, true
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
