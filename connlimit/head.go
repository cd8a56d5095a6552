package connlimit

import (
	"bytes"
	"fmt"
)

// HeadTooLargeError reports that a request's head exceeds a limit.
type HeadTooLargeError struct {
	Part string // "request line", "fields" or "number of fields"
	Max  int    // bytes, or fields
}

// Error names the limit.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("%s of a request's head over %d", e.Part, e.Max)
}

// headScan follows the head of one request while it arrives, before anything is kept of it.
type headScan struct {
	lineBytes  int // of the request line
	fieldBytes int
	fields     int
	inLine     int // bytes of the line that has not ended, without its line break
	hasLine    bool
	isWhole    bool
}

// feed follows the next bytes. It ends at the empty line after the head. Its error is a
// *HeadTooLargeError.
func (h *headScan) feed(p []byte, limits Limits) error {
	for len(p) > 0 && !h.isWhole {
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end+1]
		}
		p = p[len(part):]
		h.count(part, end >= 0)
	}
	switch {
	case h.lineBytes > limits.MaxHeadBytes:
		return &HeadTooLargeError{Part: "request line", Max: limits.MaxHeadBytes}
	case h.fieldBytes > limits.MaxHeadBytes:
		return &HeadTooLargeError{Part: "fields", Max: limits.MaxHeadBytes}
	case h.fields > limits.MaxHeadFields:
		return &HeadTooLargeError{Part: "number of fields", Max: limits.MaxHeadFields}
	}
	return nil
}

// count counts a part of one line, which the part ends if isEnd is true.
func (h *headScan) count(part []byte, isEnd bool) {
	if h.hasLine {
		h.fieldBytes += len(part)
	} else {
		h.lineBytes += len(part)
	}
	h.inLine += len(bytes.TrimRight(part, "\r\n"))
	if !isEnd {
		return
	}
	h.isWhole = h.hasLine && h.inLine == 0
	if h.hasLine {
		h.fields++
	}
	h.hasLine = h.hasLine || h.inLine > 0
	h.inLine = 0
}
