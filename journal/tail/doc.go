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
// A successor stores what it read before it takes the next epoch, and the row of
// its lease says since which epoch it is the owner. The store also holds a mark
// of how far the owner has stored its tail. Entries of epochs before the first,
// and those up to the mark, are not read from witnesses again, so neither a
// record that was never acknowledged nor one of a program that has ended can
// come back later. The owner stores all its entries at a time, so a mark of one
// epoch covers what was carried into it. A successor doesn't move the mark: the
// owner may outrun it and carry on entries that it didn't find.
package tail
