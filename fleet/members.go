package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/rowstore"
)

// refreshMembers writes this VM's own row and reads the others', and asks the
// seeds that are not known yet. Groups of VMs that found each other by one way
// meet by the other.
func (m *Mesh) refreshMembers(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		m.askSeeds(ctx)
		if err := m.readTable(ctx); err != nil {
			m.opts.Log.Warn("member table not refreshed", "cause", err.Error())
		}
		period := refreshPeriod
		if round < joinRounds {
			period = joinPeriod
		}
		select {
		case <-time.After(period):
		case <-ctx.Done():
		}
	}
	return nil
}

func (m *Mesh) askSeeds(ctx context.Context) {
	known := map[string]bool{m.opts.Self.Address: true}
	for _, member := range m.Members() {
		known[member.Address] = true
	}
	for _, seed := range m.opts.Seeds {
		if !known[seed] {
			m.askSeed(ctx, seed)
		}
	}
}

func (m *Mesh) askSeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply DigestReply
	if err := m.call(ctx, seed, MethodDigest, m.digest(), &reply); err != nil {
		m.opts.Log.Info("seed does not answer", "seed", seed, "cause", err.Error())
		return
	}
	m.introduce(reply.Members)
	m.learnConfig(reply.Config, Member{Address: seed})
}

func (m *Mesh) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := m.opts.Store()
	rows, _, err := rowstore.ScanAll(ctx, store, rowstore.Range{Table: membersTable})
	if err != nil {
		return err
	}
	var members []Member
	own := rowstore.Row{Key: rowstore.Key{Table: membersTable, Key: string(m.opts.Self.VM)}}
	for _, row := range rows {
		var member Member
		if err := msgpack.Unmarshal(row.Value, &member); err != nil {
			m.opts.Log.Error("member row can't be read", "key", row.Key.Key, "cause", err.Error())
			continue
		}
		if row.Key == own.Key {
			own = row
		}
		members = append(members, member)
	}
	m.introduce(members)
	m.tableRead.Store(true)
	return m.writeOwn(ctx, own)
}

func (m *Mesh) writeOwn(ctx context.Context, own rowstore.Row) error {
	value, err := msgpack.Marshal(m.opts.Self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	if string(value) == string(own.Value) {
		return nil
	}
	_, err = m.opts.Store().Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: own.Key, Version: own.Version}},
		Put:    []rowstore.Put{{Key: own.Key, Value: value}},
	})
	return err
}

// deleteRow removes the row of a forgotten VM. One that lives writes it again.
func (m *Mesh) deleteRow(member Member) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := rowstore.Key{Table: membersTable, Key: string(member.VM)}
	row, err := rowstore.Get(ctx, m.opts.Store(), key)
	if err != nil || row.Version == 0 {
		return // another VM deletes it, or the next to forget it
	}
	var listed Member
	if err := msgpack.Unmarshal(row.Value, &listed); err == nil && listed.Incarnation != member.Incarnation {
		return // the VM is back
	}
	_, err = m.opts.Store().Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key, Version: row.Version}},
		Delete: []rowstore.Key{key},
	})
	if err != nil {
		m.opts.Log.Info("row of a forgotten VM not deleted", "peer", string(member.VM), "cause", err.Error())
	}
}
