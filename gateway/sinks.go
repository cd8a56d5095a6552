package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/endivecourse/endivecourse/structs"
)

// plainBufferSize is how much of a plain service's response is buffered. When a shorter
// response fails, the caller gets a refusal in JSON instead of an aborted connection.
const plainBufferSize = 64 << 10 // bytes

// connectionHeaders are the response headers that apply to one connection only and are
// not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// plainSink writes the response of a plain service.
type plainSink struct {
	x            *exchange
	status       int
	buffer       []byte
	isUnbuffered bool // data is written as it arrives
}

func (s *plainSink) begin(ev *structs.CallEvent) error {
	if ev.Status < http.StatusOK || ev.Status > 599 {
		return structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "the target answered with status %d", ev.Status)
	}
	s.status = ev.Status
	header := s.x.w.Header()
	for name, values := range ev.Header {
		name = http.CanonicalHeaderKey(name)
		if connectionHeaders[name] || strings.HasPrefix(name, "Endive-") {
			continue
		}
		for _, value := range values {
			header.Add(name, value)
		}
	}
	if strings.HasPrefix(header.Get("Content-Type"), typeSSE) {
		return s.flush()
	}
	return nil
}

func (s *plainSink) writeData(part []byte) error {
	if s.isUnbuffered {
		return s.x.write(part)
	}
	s.buffer = append(s.buffer, part...)
	if len(s.buffer) > plainBufferSize {
		return s.flush()
	}
	return nil
}

// flush writes the header and the buffered data, and ends the buffering.
func (s *plainSink) flush() error {
	s.isUnbuffered = true
	s.x.writeHeader(s.status)
	buffered := s.buffer
	s.buffer = nil
	return s.x.write(buffered)
}

func (s *plainSink) finish(*structs.CallEvent) error {
	if s.isUnbuffered {
		return nil
	}
	if s.status != http.StatusNoContent && s.status != http.StatusNotModified {
		s.x.w.Header().Set("Content-Length", strconv.Itoa(len(s.buffer)))
	}
	return s.flush()
}

// jsonSink writes the response to a model call as one JSON value.
type jsonSink struct {
	x      *exchange
	call   *structs.Call
	number uint64
	text   []byte
}

func (s *jsonSink) begin(ev *structs.CallEvent) error {
	s.number = ev.Number
	return nil
}

func (s *jsonSink) writeData(part []byte) error {
	if int64(len(s.text)+len(part)) > s.x.g.opts.MaxResponseBytes {
		return structs.Refuse(structs.RefusedTooLarge, structs.RunUnknown,
			"the answer exceeds %d bytes; ask for a stream", s.x.g.opts.MaxResponseBytes)
	}
	s.text = append(s.text, part...)
	return nil
}

func (s *jsonSink) finish(ev *structs.CallEvent) error {
	out := newCompletion(s.x, s.call, "chat.completion")
	finish := finishReason(s.call, ev)
	out.Choices = []choice{{
		Message:      &structs.Message{Role: roleAssistant, Content: string(s.text)},
		FinishReason: &finish,
	}}
	out.Usage = newUsage(ev.Usage)
	return s.x.writeJSON(http.StatusOK, out)
}

// sseSink writes the response to a model call as server-sent events.
type sseSink struct {
	x           *exchange
	call        *structs.Call
	partialRune []byte // first bytes of a character that is still incomplete
}

func (s *sseSink) begin(*structs.CallEvent) error {
	header := s.x.w.Header()
	header.Set("Content-Type", typeSSE)
	header.Set("Cache-Control", "no-store")
	s.x.isStreaming = true
	s.x.writeHeader(http.StatusOK)
	return s.writeChunk(choice{Delta: &delta{Role: roleAssistant}}, nil)
}

func (s *sseSink) writeData(part []byte) error {
	text := append(s.partialRune, part...)
	completeLen := completeRunesLen(text)
	s.partialRune = append([]byte(nil), text[completeLen:]...)
	if completeLen == 0 {
		return nil
	}
	return s.writeChunk(choice{Delta: &delta{Content: string(text[:completeLen])}}, nil)
}

func (s *sseSink) finish(ev *structs.CallEvent) error {
	if len(s.partialRune) > 0 {
		if err := s.writeChunk(choice{Delta: &delta{Content: string(s.partialRune)}}, nil); err != nil {
			return err
		}
	}
	finish := finishReason(s.call, ev)
	if err := s.writeChunk(choice{Delta: &delta{}, FinishReason: &finish}, newUsage(ev.Usage)); err != nil {
		return err
	}
	return s.x.write([]byte("data: [DONE]\n\n"))
}

func (s *sseSink) writeChunk(c choice, usage *completionUsage) error {
	out := newCompletion(s.x, s.call, "chat.completion.chunk")
	out.Choices = []choice{c}
	out.Usage = usage
	event, err := sseEvent("", out)
	if err != nil {
		return err
	}
	return s.x.write(event)
}

// sseEvent encodes one event; an empty name omits the event field.
func sseEvent(name string, v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, &structs.InvariantError{Package: "gateway", Name: "answer encodes", Detail: err.Error()}
	}
	var out []byte
	if name != "" {
		out = append(out, "event: "+name+"\n"...)
	}
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...), nil
}
