package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

func (m *Mesh) handleDigest(_ context.Context, d Digest) (DigestReply, error) {
	m.recordAlive(d.From)
	if m.opts.Hooks.ProcessRuns != nil {
		m.opts.Hooks.ProcessRuns(d.From.Incarnation)
	}
	m.recordStoreReachable(d.From.VM, d.IsStoreReachable)
	m.recordRegionSupport(d.From.VM, d.HonorsRegions)
	m.opts.Hooks.ApplyDigest(d)
	m.noteNewerConfig(d.Config, d.From)
	m.opts.Hooks.ReportReach(d.From, d.ReachesTargets)
	reply := DigestReply{Config: m.opts.Config.Version(), Crashes: m.opts.Hooks.Crashes(), ReachesTargets: m.opts.Hooks.ReachesTargets()}
	reply.HonorsRegions = true
	if m.membersHash() != d.MembersHash {
		reply.Members = m.recentMembers(time.Now())
	}
	return reply, nil
}

func (m *Mesh) sendDigests(ctx context.Context, now time.Time) {
	m.expirePeers(now)
	peers := m.pickDuePeers(now)
	if len(peers) == 0 {
		return
	}
	digest := m.digest()
	for _, peer := range peers {
		go m.sendDigest(ctx, peer, digest)
	}
}

func (m *Mesh) digest() Digest {
	d := m.opts.Hooks.Digest()
	d.From = m.opts.Self
	d.Config = m.opts.Config.Version()
	d.MembersHash = m.membersHash()
	d.ReachesTargets = m.opts.Hooks.ReachesTargets()
	d.HonorsRegions = true
	return d
}

// membersHash returns a hash of the members, including this VM.
func (m *Mesh) membersHash() uint64 {
	m.mu.Lock()
	ids := []structs.VMID{m.opts.Self.VM}
	for id := range m.members {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	slices.Sort(ids)
	hasher := xxhash.New()
	for _, id := range ids {
		hasher.WriteString(string(id))
		hasher.Write([]byte{0})
	}
	return hasher.Sum64()
}

// pickDuePeers returns the peers that get a digest in this round.
func (m *Mesh) pickDuePeers(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []Member
	due := m.rotation.pick(m.currentGroups(), func(vm structs.VMID) bool {
		peer := m.members[vm]
		return !peer.isSending && now.Sub(peer.lastSent) >= m.digestPeriod(peer)
	})
	for _, vm := range due {
		peer := m.members[vm]
		peer.lastSent, peer.isSending = now, true
		peers = append(peers, peer.Member)
	}
	return peers
}

func (m *Mesh) digestPeriod(peer *peerState) time.Duration {
	period := otherRegionPeriod
	if peer.Region == m.opts.Self.Region {
		period = sameRegionPeriod
	}
	return period - sameRegionPeriod/4 // the ticker's jitter must not skip a round
}

func (m *Mesh) sendDigest(ctx context.Context, peer Member, digest Digest) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if state := m.members[peer.VM]; state != nil {
			state.isSending = false
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply DigestReply
	if err := m.call(ctx, peer.Address, MethodDigest, digest, &reply); err != nil {
		return // expirePeers removes a peer that sends nothing for memberTimeout
	}
	m.recordAnswer(peer)
	m.recordRegionSupport(peer.VM, reply.HonorsRegions)
	m.opts.Hooks.ReportReach(peer, reply.ReachesTargets)
	m.addMembers(reply.Members)
	m.opts.Hooks.ApplyCrashes(reply.Crashes)
	m.noteNewerConfig(reply.Config, peer)
}
