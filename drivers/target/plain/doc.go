// Package plain implements the target driver for plain HTTP services. It registers as
// "target.plain".
package plain
