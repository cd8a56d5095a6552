// Package wire carries requests and streamed replies between the system's own
// processes: msgpack bodies in length-prefixed frames over TCP, many requests
// at a time on one connection, with a protocol version, bounded sizes,
// deadlines, flow control by credits and optional mutual TLS.
package wire
