package edge

import "bytes"

// eventEnd is the blank line that ends an event of a stream.
var eventEnd = []byte("\n\n")

// dataField begins a line of an event that carries data.
var dataField = []byte("data:")

// completeEvents returns the length of the complete events at the start of a
// buffer.
func completeEvents(buffer []byte) int {
	last := bytes.LastIndex(buffer, eventEnd)
	if last < 0 {
		return 0
	}
	return last + len(eventEnd)
}

// appendData appends the data of one event to output, with a line feed after each
// line.
func appendData(output, event []byte) []byte {
	for line := range bytes.Lines(event) {
		data, found := bytes.CutPrefix(line, dataField)
		if !found {
			continue
		}
		data = bytes.TrimPrefix(data, []byte(" "))
		output = append(output, bytes.TrimRight(data, "\r\n")...)
		output = append(output, '\n')
	}
	return output
}
