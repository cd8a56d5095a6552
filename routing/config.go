package routing

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/endivecourse/endivecourse/structs"
)

// Document is one version of the configuration as written by the operator.
type Document struct {
	Version uint64 `msgpack:"v"`
	Raw     []byte `msgpack:"r"`
}

// Decoder parses a document into a table.
type Decoder func(raw []byte) (*Table, error)

// Config holds the newest configuration. Its version never decreases.
type Config struct {
	decode  Decoder
	current atomic.Pointer[Table]

	mu       sync.Mutex
	document Document
	lag      lag
}

// NewConfig returns a Config without a table.
func NewConfig(decode Decoder) *Config { return &Config{decode: decode} }

// Current returns the newest table, nil if there is none yet.
func (c *Config) Current() *Table { return c.current.Load() }

// Version returns the version in force, 0 if there is none yet.
func (c *Config) Version() uint64 {
	if t := c.current.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Document returns the newest document.
func (c *Config) Document() Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// UpdateIfNewer replaces the configuration if the document has a higher version, and
// reports whether it did.
func (c *Config) UpdateIfNewer(raw []byte) (bool, error) {
	if c.isInForce(raw) {
		return false, nil
	}
	table, err := c.decode(raw)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.current.Load(); current != nil && table.Version <= current.Version {
		return false, nil
	}
	c.document = Document{Version: table.Version, Raw: raw}
	c.current.Store(table)
	c.lag.apply(table.Version)
	return true, nil
}

// isInForce reports whether a document is the one in force. The same one may come from the
// store and from other VMs.
func (c *Config) isInForce(raw []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Load() != nil && bytes.Equal(raw, c.document.Raw)
}

// NoteVersion records that the VM with an address has a version in force, and reports whether
// a version that this VM lacks is heard of for the first time.
func (c *Config) NoteVersion(version uint64, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.current.Load(); current == nil || version <= current.Version {
		return false
	}
	return c.lag.note(structs.Now(), version, source)
}

// Lag returns how far the version in force is behind that of other VMs. A VM without any
// configuration has no lag.
func (c *Config) Lag() Lag {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag.state(structs.Now())
}
