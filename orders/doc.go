// Package orders gives orders to model engines (load a model, an adapter or a
// version, change role) from one orderer at a time for each target.
//
// The right to give orders to a target is a row of the platform's table. Taking
// it raises the row's fencing number by compare-and-swap. A target that checks
// fencing numbers refuses an earlier orderer by itself. For a target that does
// not, the new orderer first waits until the term of the one before has ended:
// an orderer sends only within its term, which it counts on its own clock from
// before the request that took or renewed the right.
package orders
