// Package tail holds the records of a group's slots that are not yet in the platform's
// store. It is a deterministic state machine: callers transmit its messages and report
// what was stored.
//
// The owner of an epoch numbers its entries by index without gaps. An entry is durable
// once one of these holds:
//
//   - The store has it, through a transaction that found the epoch not under revocation.
//   - A majority of each current witness set holds it and all entries before it.
//
// A witness that has promised to refuse an epoch accepts no more entries of that epoch.
// A successor that reads the store and a majority of the witnesses after their promises
// therefore misses no acknowledged entry.
//
// A successor stores what it read before it takes the next epoch, and the row of its
// lease records the first epoch of its ownership. The store also holds the position up
// to which the owner has stored its tail. Entries of epochs before the first one, and
// entries up to the stored position, are not read from witnesses again, so neither a
// record that was never acknowledged nor one of a program that has ended can reappear.
// The owner stores all its entries at once, so the stored position of an epoch covers
// everything that was carried over into it. A successor doesn't move the stored
// position: the owner may survive the revocation and carry over entries that the
// successor didn't find.
package tail
