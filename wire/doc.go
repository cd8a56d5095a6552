// Package wire is the RPC protocol between the daemons: requests with streamed
// replies, as msgpack bodies in length-prefixed frames over TCP. It multiplexes
// many requests over one connection and has a protocol version, bounded frame
// sizes, deadlines, credit-based flow control and optional mutual TLS.
package wire
