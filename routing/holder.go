package routing

import (
	"sync"
	"sync/atomic"
)

// Document is one version of the configuration as the operator wrote it.
type Document struct {
	Version uint64 `msgpack:"v"`
	Raw     []byte `msgpack:"r"`
}

// Decoder turns a document into a table.
type Decoder func(raw []byte) (*Table, error)

// Config keeps the newest table. Its version never goes back.
type Config struct {
	decode  Decoder
	current atomic.Pointer[Table]

	mu       sync.Mutex
	document Document
}

// NewConfig makes a holder without a table.
func NewConfig(decode Decoder) *Config { return &Config{decode: decode} }

// Current returns the newest table, nil before the first.
func (h *Config) Current() *Table { return h.current.Load() }

// Version returns the version in force, 0 before the first.
func (h *Config) Version() uint64 {
	if t := h.current.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Document returns the newest document.
func (h *Config) Document() Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.document
}

// UpdateIfNewer takes a document if it is newer than the one in force, and reports
// whether it did.
func (h *Config) UpdateIfNewer(raw []byte) (bool, error) {
	table, err := h.decode(raw)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && table.Version <= current.Version {
		return false, nil
	}
	h.document = Document{Version: table.Version, Raw: raw}
	h.current.Store(table)
	return true, nil
}
