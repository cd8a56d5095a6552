package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/routing"
)

// Most VMs receive a new configuration with the operators' table before they receive it from
// a peer. Peers are therefore asked for it only after a delay, one at a time, and
// those of the same region first: in a large fleet, the links between regions would
// be saturated if every VM asked each peer that has it.
const (
	// sameRegionFetchDelay is longer than the store takes to notify all VMs;
	// otherRegionFetchDelay leaves time for a peer of this region to get it first, and
	// followerFetchDelay for the VMs at which this one follows the operators' table.
	sameRegionFetchDelay  = 400 * time.Millisecond
	otherRegionFetchDelay = 900 * time.Millisecond
	followerFetchDelay    = 2 * time.Second
	// configFetchTimeout is the time that a document of the largest size takes over a link
	// of 30 Mbit/s.
	configFetchTimeout = 3 * time.Second
	// A lag of at least minReportedLag is logged each configLagPeriod.
	configLagPeriod = time.Second
	minReportedLag  = 500 * time.Millisecond
)

// configSource is a peer that has a newer configuration than this VM.
type configSource struct {
	version    uint64
	address    string
	sameRegion bool
}

// noteNewerConfig starts a fetch if a peer has a newer configuration than this VM.
func (m *Mesh) noteNewerConfig(version uint64, peer Member) {
	if m.opts.Config.NoteVersion(version, peer.Address) {
		m.opts.Log.Info("newer configuration known", "version", version, "in_force", m.opts.Config.Version(), "peer", peer.Address)
	}
	if version <= m.opts.Config.Version() {
		return
	}
	newerConfig := configSource{version: version, address: peer.Address, sameRegion: peer.Region == m.opts.Self.Region}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.newerConfig == nil:
		m.newerConfig = &newerConfig
		go m.fetchNewerConfig()
	case version >= m.newerConfig.version && (newerConfig.sameRegion || !m.newerConfig.sameRegion):
		*m.newerConfig = newerConfig
	}
}

// fetchNewerConfig fetches the newer configuration unless it arrives from elsewhere
// first.
func (m *Mesh) fetchNewerConfig() {
	for {
		m.mu.Lock()
		sameRegion := m.newerConfig.sameRegion
		m.mu.Unlock()
		time.Sleep(m.fetchDelay(sameRegion))
		m.mu.Lock()
		newerConfig := *m.newerConfig
		if m.opts.Config.Version() >= newerConfig.version {
			m.newerConfig = nil
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		if !m.fetchConfig(newerConfig.address) {
			m.clearNewerConfig()
			return // the next digest names a peer to ask
		}
	}
}

// reportConfigLag logs that a newer configuration is known and not yet in force.
func (m *Mesh) reportConfigLag(context.Context, time.Time) {
	if lag := m.opts.Config.Lag(); lag.For >= minReportedLag {
		m.opts.Log.Warn("configuration lags", "in_force", m.opts.Config.Version(), "known", lag.Version, "lag_ms", lag.For.Milliseconds(), "peer", lag.Source)
	}
}

func (m *Mesh) clearNewerConfig() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newerConfig = nil
}

// fetchDelay returns a delay that varies randomly by half, so that VMs don't ask at
// the same time. A VM without any configuration does not wait for one of its region.
func (m *Mesh) fetchDelay(sameRegion bool) time.Duration {
	hasNone := m.opts.Config.Version() == 0
	isFollower := len(m.tableSources()) > 0
	delay := otherRegionFetchDelay
	switch {
	case hasNone && (sameRegion || !isFollower):
		return 0
	case sameRegion:
		delay = sameRegionFetchDelay
	case isFollower:
		delay = followerFetchDelay
	}
	return delay/2 + rand.N(delay)
}

func (m *Mesh) fetchConfig(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
	defer cancel()
	var document ConfigReply
	start := time.Now()
	err := m.call(ctx, address, MethodConfig, ConfigQuery{AcceptsPacked: true}, &document)
	if err == nil {
		err = document.unpack()
	}
	if err != nil {
		m.opts.Log.Warn("configuration not fetched from a peer", "peer", address, "wait_ms", time.Since(start).Milliseconds(), "cause", err.Error())
		return false
	}
	fetched := time.Now()
	if document.Version <= m.opts.Config.Version() {
		return true
	}
	isAccepted, err := m.opts.Config.UpdateIfNewer(document.Raw)
	if err != nil {
		m.opts.Log.Error("configuration of a peer can't be read", "peer", address, "version", document.Version, "cause", err.Error())
		return false
	}
	if isAccepted {
		m.opts.Log.Info("configuration in force", "version", document.Version, "source", address, "document_bytes", len(document.Raw),
			"transfer_ms", fetched.Sub(start).Milliseconds(), "apply_ms", time.Since(fetched).Milliseconds())
	}
	return true
}

// handleConfig answers with the newest configuration.
func (m *Mesh) handleConfig(_ context.Context, q ConfigQuery) (ConfigReply, error) {
	m.configsSent.Add(1)
	document := m.opts.Config.Document()
	if !q.AcceptsPacked || len(document.Raw) < minPackedBytes {
		return ConfigReply{Document: document}, nil
	}
	packed, err := m.packedConfig(document)
	if err != nil {
		return ConfigReply{}, err
	}
	return ConfigReply{Document: routing.Document{Version: document.Version}, Packed: packed}, nil
}

// packedConfig returns a document compressed. Each version is compressed once.
func (m *Mesh) packedConfig(document routing.Document) ([]byte, error) {
	m.packed.mu.Lock()
	defer m.packed.mu.Unlock()
	if m.packed.version != document.Version {
		value, err := compress(document.Raw)
		if err != nil {
			return nil, err
		}
		m.packed.version, m.packed.value = document.Version, value
	}
	return m.packed.value, nil
}

// unpack decompresses the document if it is compressed.
func (r *ConfigReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	raw, err := decompress(r.Packed)
	r.Raw = raw
	return err
}
