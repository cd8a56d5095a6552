// Package tail holds the records of a group's slots that the platform's store
// has not taken yet. It is pure: callers carry its messages and pass what was
// stored.
//
// The owner of an epoch numbers its entries by Position without gaps. An entry
// is durable once the store has it, through a transaction that saw the epoch
// unmarked, or a majority of each witness set in force holds it and all before
// it. A witness that has promised an epoch away refuses entries of that epoch,
// so a successor that reads a majority of the witnesses after their promises,
// and the store, misses none that was acknowledged.
//
// A successor stores what it read before it takes the next epoch and records
// the epoch up to which it did so. Entries of those epochs are not read again,
// so one that was never acknowledged can't come back later.
package tail
