// Package scheduler runs the programs of the slots that this process owns. It
// joins the program core to gateways, the journal, the owner of slots and the
// targets: one goroutine steps the core, and every write, dispatch, load
// report and release runs on a goroutine of its own.
package scheduler
