package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/routing"
)

// The store tells most VMs of a new configuration before their peers do. Peers
// are asked for it only after a while, one at a time, and those of the own region
// first: in a large fleet, all VMs asking each peer that has it fill the links
// between regions.
const (
	// nearFetchDelay is longer than the store takes to tell all VMs;
	// farFetchDelay leaves time for a peer of the region to get it first.
	nearFetchDelay = 400 * time.Millisecond
	farFetchDelay  = 900 * time.Millisecond
)

// wantedConfig is a configuration that a peer has and this VM has not.
type wantedConfig struct {
	version uint64
	address string
	near    bool
}

// learnConfig notes that a peer has a configuration.
func (m *Mesh) learnConfig(version uint64, peer Member) {
	if version <= m.opts.Config.Version() {
		return
	}
	wanted := wantedConfig{version: version, address: peer.Address, near: peer.Region == m.opts.Self.Region}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.wanted == nil:
		m.wanted = &wanted
		go m.fetchWanted()
	case version >= m.wanted.version && (wanted.near || !m.wanted.near):
		*m.wanted = wanted
	}
}

// fetchWanted fetches the wanted configuration, unless it arrives otherwise.
func (m *Mesh) fetchWanted() {
	for {
		m.mu.Lock()
		near := m.wanted.near
		m.mu.Unlock()
		time.Sleep(m.fetchDelay(near))
		m.mu.Lock()
		wanted := *m.wanted
		if m.opts.Config.Version() >= wanted.version {
			m.wanted = nil
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		if !m.fetchConfig(wanted.address) {
			m.forgetWanted()
			return // the next digest names a peer to ask
		}
	}
}

func (m *Mesh) forgetWanted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = nil
}

// fetchDelay is varied by half, so that VMs don't ask at once. A VM without any
// configuration does not wait.
func (m *Mesh) fetchDelay(near bool) time.Duration {
	if m.opts.Config.Version() == 0 {
		return 0
	}
	delay := farFetchDelay
	if near {
		delay = nearFetchDelay
	}
	return delay/2 + rand.N(delay)
}

func (m *Mesh) fetchConfig(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var document routing.Document
	if err := m.call(ctx, address, MethodConfig, ConfigQuery{}, &document); err != nil {
		m.opts.Log.Warn("configuration not fetched from a peer", "peer", address, "cause", err.Error())
		return false
	}
	taken, err := m.opts.Config.UpdateIfNewer(document.Raw)
	if err != nil {
		m.opts.Log.Error("configuration of a peer can't be read", "peer", address, "version", document.Version, "cause", err.Error())
		return false
	}
	if taken {
		m.opts.Log.Info("configuration in force", "version", document.Version, "source", address)
	}
	return true
}
