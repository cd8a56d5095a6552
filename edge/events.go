package edge

import "bytes"

// eventEnds are the forms of the blank line that ends an event of a stream, whose lines end
// with a line feed or with CRLF.
var eventEnds = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

const maxEventEndBytes = 3

// dataField begins a line of an event that carries data.
var dataField = []byte("data:")

// completeEvents returns the length of the complete events at the start of a buffer.
// The first searched bytes are known to end no event, so that a long event is not
// searched again with each read.
func completeEvents(buffer []byte, searched int) int {
	from := max(0, searched-maxEventEndBytes+1) // an end may begin there
	complete := 0
	for _, end := range eventEnds {
		if last := bytes.LastIndex(buffer[from:], end); last >= 0 {
			complete = max(complete, from+last+len(end))
		}
	}
	return complete
}

// firstEvent returns the length of the first event of a buffer that begins with a complete
// one.
func firstEvent(buffer []byte) int {
	length := len(buffer)
	for _, end := range eventEnds {
		if first := bytes.Index(buffer[:length], end); first >= 0 {
			length = first + len(end)
		}
	}
	return length
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
