// Package lease decides which process owns which group of program slots of one
// failure domain. It is a deterministic state machine without clock, goroutine or
// I/O: the caller passes in events and the current instant, and carries out the
// actions.
//
// # Unit
//
// A lease covers a group of slots, not a single slot: one table row, one renewal and
// one recovery serve all slots of a group, so the control traffic depends on the
// number of groups (at most MaxGroups) and not on the number of slots. Slots are
// assigned to groups by remainder, and groups are balanced over the live schedulers.
//
// # Protocol
//
// The platform's table holds one Row per group. The owner may act until L after the
// instant at which it sent its last counted renewal, by its own clock. A renewal
// counts if one of these holds:
//
//   - The owner wrote the row without a revocation.
//   - The store returned the row without a revocation and with ReadsRenew set, in
//     answer to a request that was sent at that instant. The owner sets ReadsRenew
//     only while the witnesses fail.
//   - A majority of the witnesses acknowledged it.
//
// A successor needs both a row under revocation (the store then counts no renewal)
// and promises of a majority of the witnesses never to acknowledge that epoch again.
// Both quorums intersect every quorum by which a renewal can count, so each counted
// renewal was sent before the successor had both. The successor takes the next epoch
// by a compare-and-swap on the version of the row under revocation, once L plus the
// bounded clock drift has passed since the last instant at which a counted renewal
// can have been sent. That instant is the latest of:
//
//   - When the successor saw the row's last version before the revocation. Renewals
//     counted with other witness sets, and the write of that version, were sent
//     earlier. If reads renewed, or the successor didn't see that version, it is when
//     the successor saw the revocation.
//   - For a majority of each set, when its members last acknowledged. A promise states
//     how long ago that was, for any epoch, by the witness's clock; the clock drift is
//     subtracted, and the transit time of the answer is counted as zero. A member that
//     counts as promised without being asked may have acknowledged until ExitGrace
//     after the evidence that it exited.
//
// Suspicion alone never proves that the owner has failed: it only starts a
// revocation, which may therefore be complete by the time the lease has expired.
//
// Witnesses are incarnations. Promises are kept in memory for the life of the process,
// and another incarnation at the same address never answers for an earlier one. A
// witness counts as promised, without being asked, once ExitGrace has passed since
// there was evidence that its process has exited: its VM was in the platform's list
// and then was not, or another incarnation answers on the same VM. The protocol
// assumes that such a process acknowledges nothing once ExitGrace of real time has
// passed since the evidence. A VM that was never listed gives no evidence.
//
// The witness set changes in two writes: the first adds the pending set, the second
// removes the old one. While either may have taken effect, a renewal needs a majority
// of each set that the row may hold. The sets of a row under revocation don't change.
// A write whose outcome is unknown is repeated unchanged until the row's version has
// moved past it, so it can't take effect later.
//
// An owner that finds its epoch under revocation while its lease is valid takes the
// next epoch at once, with the same sets; no other process can have held the group. An
// owner that stops on purpose ends its lease locally, then marks the row as released;
// a successor of a released row neither asks for promises nor waits.
package lease
