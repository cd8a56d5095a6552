// Package keeper runs the leases and the journal of one scheduler. It carries
// the events and actions of package lease between the platform's table, the
// peers of the failure domain and the clock, and keeps records durable through
// package journal/tail. It implements journal.Ownership and journal.Journal.
//
// Messages to one peer are sent together: one exchange for all groups in a
// renewal interval, and one batch of entries for all groups at a time.
package keeper
