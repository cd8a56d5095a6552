package turnlog

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// segmentTable holds the segments, each under the key of its last turn and in that turn's
// partition.
const segmentTable = "segments"

// SegmentBefore returns the records that the segment of a new turn repeats, oldest first and
// without their ancestors, or nil if the turn ends no segment.
func SegmentBefore(chain *Chain) []*Record {
	if chain == nil || (len(chain.Records)+1)%segmentTurns != 0 {
		return nil
	}
	last := chain.Records[len(chain.Records)-segmentTurns+1:]
	before := make([]*Record, len(last))
	for i, r := range last {
		before[i] = r.withoutAncestors()
	}
	return before
}

// withoutAncestors returns a copy that does not repeat the list of the ancestors.
func (r *Record) withoutAncestors() *Record {
	c := *r
	c.Ancestors, c.AncestorPartitions = nil, nil
	return &c
}

// encodeSegment returns the value of a segment's rows.
func encodeSegment(before []*Record, last *Record) ([]byte, error) {
	return msgpack.Marshal(append(before[:len(before):len(before)], last.withoutAncestors()))
}

// decodeSegment decodes the segment of the turns at [read.from, read.to) of the chain of a turn.
func decodeSegment(value []byte, of *Record, read plannedRead) ([]*Record, error) {
	var records []*Record
	if err := msgpack.Unmarshal(value, &records); err != nil {
		return nil, &CorruptRecordError{Turn: read.turn, Cause: err}
	}
	if len(records) != read.to-read.from {
		return nil, &CorruptRecordError{Turn: read.turn, Cause: &SegmentLengthError{Turns: len(records)}}
	}
	for i, r := range records {
		r.Ancestors, r.sharesAncestors = of.Ancestors[:read.from+i:read.from+i], true
		r.AncestorPartitions = runsBefore(of.AncestorPartitions, len(r.Ancestors))
	}
	return records, nil
}

// runsBefore returns the partitions of the first turns.
func runsBefore(runs []PartitionRun, turns int) []PartitionRun {
	var before []PartitionRun
	for _, run := range runs {
		if turns <= 0 {
			break
		}
		before = append(before, PartitionRun{Partition: run.Partition, Turns: min(run.Turns, turns)})
		turns -= run.Turns
	}
	return before
}

// SegmentLengthError reports a segment with an unexpected number of turns.
type SegmentLengthError struct{ Turns int }

// Error includes the number.
func (e *SegmentLengthError) Error() string {
	return fmt.Sprintf("segment of %d turns, expected %d", e.Turns, segmentTurns)
}
