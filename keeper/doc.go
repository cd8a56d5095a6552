// Package keeper runs the leases and the journal of one scheduler. It connects
// the state machine of package lease to the platform's table, the peers of the
// failure domain and the clock, and replicates journal records with package
// journal/tail. It implements journal.Ownership and journal.Journal.
//
// Messages to one peer are combined: one exchange per renewal interval carries
// the lease messages of all groups, and one request at a time carries the
// journal entries of all groups.
package keeper
