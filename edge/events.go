package edge

import "bytes"

// eventEnd is the blank line that ends an event of a stream.
var eventEnd = []byte("\n\n")

// dataField begins a line of an event that carries data.
var dataField = []byte("data:")

// completeEvents returns the length of the complete events at the start of a buffer.
// The first searched bytes are known to end no event, so that a long event is not
// searched again with each read.
func completeEvents(buffer []byte, searched int) int {
	from := max(0, searched-len(eventEnd)+1) // an end may begin there
	last := bytes.LastIndex(buffer[from:], eventEnd)
	if last < 0 {
		return 0
	}
	return from + last + len(eventEnd)
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
