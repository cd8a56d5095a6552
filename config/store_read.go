package config

import (
	"context"
	"encoding/json"

	"github.com/endivecourse/endivecourse/backing"
)

// CurrentInfo returns what RowCurrent says of the latest version; Version is 0 when
// none was stored.
func (s *Store) CurrentInfo(ctx context.Context) (VersionInfo, error) {
	info, _, err := s.currentRow(ctx)
	return info, err
}

func (s *Store) currentRow(ctx context.Context) (VersionInfo, backing.Row, error) {
	row, err := s.Table.Get(ctx, RowCurrent)
	if err != nil || row.Version == 0 {
		return VersionInfo{}, row, err
	}
	var info VersionInfo
	if err := json.Unmarshal(row.Value, &info); err != nil {
		return info, row, &CorruptRowError{Key: RowCurrent, Cause: err}
	}
	return info, row, nil
}

// Current returns the latest version, or nil when none was stored.
func (s *Store) Current(ctx context.Context) (*Snapshot, error) {
	info, err := s.CurrentInfo(ctx)
	if err != nil || info.Version == 0 {
		return nil, err
	}
	return s.Version(ctx, info.Version)
}

// Version returns a stored version. Its error is *NoVersionError when the
// version was never stored or is no longer kept.
func (s *Store) Version(ctx context.Context, version uint64) (*Snapshot, error) {
	key := VersionRow(version)
	row, err := s.Table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, &VersionNotFoundError{Version: version}
	}
	var stored versionRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return nil, &CorruptRowError{Key: key, Cause: err}
	}
	return NewSnapshot(stored.Version, stored.Author, stored.Document), nil
}

// maxPatches bounds the patches that are read in place of a whole document.
const maxPatches = 16

// VersionFrom returns a stored version, made by patches from a snapshot in hand where
// that is possible.
func (s *Store) VersionFrom(ctx context.Context, have *Snapshot, version uint64) (*Snapshot, error) {
	if have == nil || have.version >= version || version-have.version > maxPatches {
		return s.Version(ctx, version)
	}
	for at := have; ; {
		row, err := s.Table.Get(ctx, PatchRow(at.version+1))
		if err != nil {
			return nil, err
		}
		if row.Version == 0 {
			return s.Version(ctx, version)
		}
		if at, err = ApplyEncoded(row.Value, at); err != nil {
			return s.Version(ctx, version)
		}
		if at.version == version {
			return at, nil
		}
	}
}

// History returns the versions that are kept, the oldest first.
func (s *Store) History(ctx context.Context) ([]VersionInfo, error) {
	rows, err := s.Table.List(ctx, RowVersionPrefix)
	if err != nil {
		return nil, err
	}
	history := make([]VersionInfo, 0, len(rows))
	for _, row := range rows {
		var info VersionInfo
		if err := json.Unmarshal(row.Value, &info); err != nil {
			return nil, &CorruptRowError{Key: row.Key, Cause: err}
		}
		history = append(history, info)
	}
	return history, nil
}
