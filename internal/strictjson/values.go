package strictjson

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"strings"
)

// AddressFormat describes the format of an address for messages.
const AddressFormat = `host:port with a numeric host, such as "127.0.0.1:8080"`

const maxNameBytes = 64

// Port is whether an address may have port 0, with which the operating system
// chooses a free port.
type Port bool

// Values of Port.
const (
	PortNonZero   Port = false
	PortMayBeZero Port = true
)

// CheckName adds a problem unless name consists of 1 to 64 letters, digits, "-",
// "_" or ".".
func (r *Report) CheckName(path Path, name string) {
	if name == "" {
		r.Add(path, "is missing; must be a name")
		return
	}
	if len(name) > maxNameBytes || !isPlainName(strings.ReplaceAll(name, ".", "-")) {
		r.Add(path, `name %q must have 1 to %d letters, digits, "-", "_" or "."`, name, maxNameBytes)
	}
}

// CheckAddress adds a problem unless address is host:port with a numeric host and
// an allowed port.
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

// CheckURL adds a problem unless text is an HTTP or HTTPS URL with a numeric host
// and without user, query or fragment.
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

// CheckOneOf adds a problem unless value is one of the allowed values.
func (r *Report) CheckOneOf(path Path, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	r.Add(path, "must be one of %s, not %q", strings.Join(allowed, ", "), value)
}

// IsHex reports whether text is the hexadecimal encoding of exactly n bytes.
func IsHex(text string, n int) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == 2*n
}
