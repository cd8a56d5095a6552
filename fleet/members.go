package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/rowstore"
)

// refreshMembers periodically writes this VM's own row, reads the rows of the
// others and calls the seeds that are not known yet. Using both sources merges
// groups of VMs that found each other through only one of them.
func (m *Mesh) refreshMembers(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		m.querySeeds(ctx)
		if err := m.syncMemberTable(ctx); err != nil {
			m.opts.Log.Warn("member table not refreshed", "cause", err.Error())
		}
		period := refreshPeriod
		if round < startupRefreshRounds {
			period = startupRefreshPeriod
		}
		select {
		case <-time.After(period):
		case <-ctx.Done():
		}
	}
	return nil
}

func (m *Mesh) querySeeds(ctx context.Context) {
	knownAddresses := map[string]bool{m.opts.Self.Address: true}
	for _, member := range m.Members() {
		knownAddresses[member.Address] = true
	}
	for _, seed := range m.opts.Seeds {
		if !knownAddresses[seed] {
			m.querySeed(ctx, seed)
		}
	}
}

func (m *Mesh) querySeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply DigestReply
	if err := m.call(ctx, seed, MethodDigest, m.digest(), &reply); err != nil {
		m.opts.Log.Info("seed does not answer", "seed", seed, "cause", err.Error())
		return
	}
	m.addMembers(reply.Members)
	m.noteNewerConfig(reply.Config, Member{Address: seed})
}

func (m *Mesh) syncMemberTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := m.opts.Store()
	rows, _, err := rowstore.ScanAll(ctx, store, rowstore.Range{Table: membersTable})
	if err != nil {
		return err
	}
	var members []Member
	ownRow := rowstore.Row{Key: rowstore.Key{Table: membersTable, Key: string(m.opts.Self.VM)}}
	for _, row := range rows {
		var member Member
		if err := msgpack.Unmarshal(row.Value, &member); err != nil {
			m.opts.Log.Error("member row can't be read", "key", row.Key.Key, "cause", err.Error())
			continue
		}
		if row.Key == ownRow.Key {
			ownRow = row
		}
		members = append(members, member)
	}
	m.addMembers(members)
	m.recordTable(members)
	m.hasReadTable.Store(true)
	return m.writeOwnRow(ctx, ownRow)
}

func (m *Mesh) writeOwnRow(ctx context.Context, ownRow rowstore.Row) error {
	value, err := msgpack.Marshal(m.opts.Self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	if string(value) == string(ownRow.Value) {
		return nil
	}
	_, err = m.opts.Store().Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: ownRow.Key, Version: ownRow.Version}},
		Put:    []rowstore.Put{{Key: ownRow.Key, Value: value}},
	})
	return err
}

// deleteRow deletes the row of a forgotten VM. If the VM is still running, it
// writes the row again.
func (m *Mesh) deleteRow(member Member) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := rowstore.Key{Table: membersTable, Key: string(member.VM)}
	row, err := rowstore.Get(ctx, m.opts.Store(), key)
	if err != nil || row.Version == 0 {
		return // another VM has deleted it, or the next VM to forget it will
	}
	var listed Member
	if err := msgpack.Unmarshal(row.Value, &listed); err == nil && listed.Incarnation != member.Incarnation {
		return // the VM has restarted
	}
	_, err = m.opts.Store().Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key, Version: row.Version}},
		Delete: []rowstore.Key{key},
	})
	if err != nil {
		m.opts.Log.Info("row of a forgotten VM not deleted", "peer", string(member.VM), "cause", err.Error())
	}
}

// recentMembers returns the members that were added in the last introductionTTL, at
// most maxIntroductions. Older ones are in the member table.
func (m *Mesh) recentMembers(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := []Member{m.opts.Self}
	for _, peer := range m.members {
		if now.Sub(peer.addedAt) < introductionTTL && len(recent) < maxIntroductions {
			recent = append(recent, peer.Member)
		}
	}
	return recent
}

const (
	// introductionTTL is how long a VM introduces a new member to its peers.
	introductionTTL = 2 * memberTimeout
	// maxIntroductions bounds the members in one reply.
	maxIntroductions = 32
)
