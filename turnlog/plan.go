package turnlog

import (
	"github.com/endivecourse/endivecourse/structs"
)

// segmentTurns is the number of turns of a segment: a row that repeats consecutive turns of a
// chain, so that a long chain is read with few calls.
const segmentTurns = 16

// PartitionRun says that the next Turns ancestors of a turn are stored in one partition, which
// is empty if it is not known.
type PartitionRun struct {
	Partition string `msgpack:"p"`
	Turns     int    `msgpack:"n"`
}

// partitionRuns returns the partitions of records in their order.
func partitionRuns(records []*Record) []PartitionRun {
	var runs []PartitionRun
	for _, r := range records {
		if last := len(runs) - 1; last >= 0 && runs[last].Partition == r.Partition {
			runs[last].Turns++
			continue
		}
		runs = append(runs, PartitionRun{Partition: r.Partition, Turns: 1})
	}
	return runs
}

// partitionOfAncestor returns the partition of the ancestor at a position, empty if it is not known.
func (r *Record) partitionOfAncestor(position int) string {
	for _, run := range r.AncestorPartitions {
		if position < run.Turns {
			return run.Partition
		}
		position -= run.Turns
	}
	return ""
}

// plannedRead is one read of a chain: a turn or, if isSegment is set, the segment that ends with
// it.
type plannedRead struct {
	turn      structs.RequestID
	partition string // empty if it is not known
	isSegment bool
	// from and to are the positions [from, to) in the chain of the turns that are read.
	from, to int
}

// planAncestors returns the reads for the ancestors of a turn that isMissing reports. The number
// of reads grows with the number of ancestors only.
func planAncestors(of *Record, isMissing func(structs.RequestID) bool) []plannedRead {
	var reads []plannedRead
	for from := 0; from < len(of.Ancestors); from += segmentTurns {
		to := min(from+segmentTurns, len(of.Ancestors))
		turns := planTurns(of, from, to, isMissing)
		if len(turns) > 1 && to-from == segmentTurns {
			last := to - 1
			reads = append(reads, plannedRead{
				turn: of.Ancestors[last], partition: of.partitionOfAncestor(last), isSegment: true, from: from, to: to,
			})
			continue
		}
		reads = append(reads, turns...)
	}
	return reads
}

// planTurns plans one read for each missing ancestor in [from, to).
func planTurns(of *Record, from, to int, isMissing func(structs.RequestID) bool) []plannedRead {
	var reads []plannedRead
	for i := from; i < to; i++ {
		if id := of.Ancestors[i]; isMissing(id) {
			reads = append(reads, plannedRead{turn: id, partition: of.partitionOfAncestor(i), from: i, to: i + 1})
		}
	}
	return reads
}
