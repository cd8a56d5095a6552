// Package scheduler runs the programs whose slots this process owns. It connects the
// program state machine (program.Core) to gateways, the journal, slot ownership and
// targets. One goroutine, the loop, steps the core; every write, dispatch, load report
// and memory release runs on a goroutine of its own.
package scheduler
