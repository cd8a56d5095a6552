package strictjson

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"strings"
)

// AddressFormat says how an address is written.
const AddressFormat = `host:port with a numeric host, such as "127.0.0.1:8080"`

const maxNameBytes = 64

// Port tells whether port 0, which lets the system choose, is allowed.
type Port bool

// Values of Port.
const (
	PortNonZero   Port = false
	PortMayBeZero Port = true
)

// CheckName notes a problem unless name has 1 to 64 letters, digits, "-", "_"
// or ".".
func (r *Report) CheckName(path Path, name string) {
	if name == "" {
		r.Add(path, "is missing; must be a name")
		return
	}
	if len(name) > maxNameBytes || !plainName(strings.ReplaceAll(name, ".", "-")) {
		r.Add(path, `name %q must have 1 to %d letters, digits, "-", "_" or "."`, name, maxNameBytes)
	}
}

// CheckAddress notes a problem unless address is host:port with a numeric host.
func (r *Report) CheckAddress(path Path, address string, port Port) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		r.Add(path, "must be %s, not %q", AddressFormat, address)
		return
	}
	if parsed.Port() == 0 && port == PortNonZero {
		r.Add(path, "must have a port from 1 to 65535, not 0")
	}
}

// CheckURL notes a problem unless text is an HTTP URL with a numeric host and
// without user, query or fragment.
func (r *Report) CheckURL(path Path, text string) {
	const form = `an http or https URL with a numeric host, such as "http://127.0.0.1:8080"`
	if text == "" {
		r.Add(path, "is missing; must be %s", form)
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		r.Add(path, "must be %s, not %q", form, text)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		r.Add(path, "must be %s; its host %q is not numeric", form, u.Hostname())
		return
	}
	if u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "" {
		r.Add(path, "must be %s, without user, query or fragment", form)
	}
}

// CheckOneOf notes a problem unless value is one of those allowed.
func (r *Report) CheckOneOf(path Path, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	r.Add(path, "must be one of %s, not %q", strings.Join(allowed, ", "), value)
}

// IsHex reports whether text is the hexadecimal form of exactly n bytes.
func IsHex(text string, n int) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == 2*n
}
