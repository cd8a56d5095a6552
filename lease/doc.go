// Package lease decides which process owns which group of program slots of one
// failure domain. It is a state machine without clock, goroutine or I/O: the
// caller passes events and the instant, and carries out the actions.
//
// # Unit
//
// A lease covers a group of slots, not one slot: one table row, one renewal
// and one recovery serve all slots of a group, so the control traffic depends
// on the number of groups (at most MaxGroups) and not on the number of slots.
// Slots are spread over groups by remainder, and groups are balanced over the
// live schedulers.
//
// # Rule
//
// The platform's table holds one Row per group. The owner may act until
// L after the instant at which it sent its last counted renewal, by its own
// clock. A renewal counts when the owner wrote the row unmarked, when the store
// showed it unmarked and saying that reads renew, in answer to a request that
// was sent at that instant, or when a majority of the witnesses acknowledged
// it. The owner has the row say that reads renew only while the witnesses fail.
//
// A successor needs both: the row marked as being revoked (the store then
// counts no renewal) and promises of a majority of the witnesses never to
// acknowledge that epoch again. Both quorums meet every quorum that a renewal
// can count with, so each counted renewal was sent before the successor had
// both. The next epoch is taken by a compare-and-swap on the version of the
// marked row, L plus the bounded clock drift after the last instant at which a
// counted renewal can have been sent. That is the latest of two:
//
//   - When the successor saw the row's last version before the mark. Renewals
//     counted with other witness sets, and the write of that version, were sent
//     before. If reads renewed, or the successor didn't see that version, it is
//     when it saw the mark.
//   - For a majority of each set, when its members acknowledged last. A promise
//     tells how long ago that was by the witness's clock, for whatever epoch;
//     the drift is taken off, and the way of the answer counts as none. A member
//     that counts as promising unasked may have acknowledged until GoneGrace
//     after the evidence.
//
// Suspicion is never evidence: it only begins a revocation, which may so be
// whole by the time at which the lease has run out.
//
// Witnesses are incarnations. Promises are kept in memory for the life of the
// process, and another incarnation at the same address never answers for its
// predecessor. A witness counts as promising, without being asked, from
// GoneGrace after there was evidence that its process has ended: its VM was in
// the platform's list and then was not, or another incarnation answers on the
// same VM. The rule assumes that such a process acknowledges nothing once
// GoneGrace of real time has passed since the evidence; a VM that was never
// listed gives no evidence.
//
// The witness set changes in two writes: the first adds the pending set, the
// second drops the old one. While either may have taken effect, a renewal
// needs a majority of each set that the row may hold. A marked row's sets
// don't change. A write whose outcome is unknown is repeated unchanged until
// the row's version has moved past it, so it can't take effect later.
//
// An owner that finds its epoch marked while its lease runs takes the next
// epoch at once, with the same sets; nobody else can have held the group. An
// owner that stops on purpose ends its lease locally, then marks the row as
// released; a successor of a released row neither asks nor waits.
package lease
