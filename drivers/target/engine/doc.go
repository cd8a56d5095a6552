// Package engine implements the target driver for OpenAI-compatible model engines. It
// registers as "target.engine".
package engine
