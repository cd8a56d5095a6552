// Package orders gives orders to model engines (load a model, an adapter or a version,
// change role) from one orderer at a time for each target.
//
// The lease to give orders to a target is a row of the platform's table. Acquiring it
// raises the row's fencing token (the fencing number in messages) by compare-and-swap.
// A target that checks fencing tokens refuses orders of an earlier orderer by itself.
// For a target that doesn't, the new orderer first waits until the previous lease has
// expired: an orderer sends orders only while its lease is valid, which it measures by
// its own clock from before the request that acquired or renewed the lease.
package orders
