package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/endivecourse/endivecourse/structs"
)

// plainBuffer is how much of a plain answer is held back, so that a short
// answer that fails is refused as JSON and not cut.
const plainBuffer = 64 << 10 // bytes

// responseHeaders that belong to one connection and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// plainSink writes the answer of a plain service.
type plainSink struct {
	x      *exchange
	status int
	buffer []byte
	flow   bool // what arrives is written at once
}

func (s *plainSink) started(ev *structs.CallEvent) error {
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
		return s.release()
	}
	return nil
}

func (s *plainSink) data(part []byte) error {
	if s.flow {
		return s.x.write(part)
	}
	s.buffer = append(s.buffer, part...)
	if len(s.buffer) > plainBuffer {
		return s.release()
	}
	return nil
}

// release writes what was held back and lets the rest through.
func (s *plainSink) release() error {
	s.flow = true
	s.x.commit(s.status)
	held := s.buffer
	s.buffer = nil
	return s.x.write(held)
}

func (s *plainSink) done(*structs.CallEvent) error {
	if s.flow {
		return nil
	}
	if s.status != http.StatusNoContent && s.status != http.StatusNotModified {
		s.x.w.Header().Set("Content-Length", strconv.Itoa(len(s.buffer)))
	}
	return s.release()
}

// jsonSink answers a model call with one JSON value.
type jsonSink struct {
	x      *exchange
	call   *structs.Call
	number uint64
	text   []byte
}

func (s *jsonSink) started(ev *structs.CallEvent) error {
	s.number = ev.Number
	return nil
}

func (s *jsonSink) data(part []byte) error {
	if int64(len(s.text)+len(part)) > s.x.g.opts.MaxResponseBytes {
		return structs.Refuse(structs.RefusedTooLarge, structs.RunUnknown,
			"the answer exceeds %d bytes; ask for a stream", s.x.g.opts.MaxResponseBytes)
	}
	s.text = append(s.text, part...)
	return nil
}

func (s *jsonSink) done(ev *structs.CallEvent) error {
	out := newCompletion(s.x, s.call, "chat.completion")
	finish := finishReason(s.call, ev)
	out.Choices = []choice{{
		Message:      &structs.Message{Role: roleAssistant, Content: string(s.text)},
		FinishReason: &finish,
	}}
	out.Usage = newUsage(ev.Usage)
	return s.x.writeJSON(http.StatusOK, out)
}

// sseSink answers a model call with server-sent events.
type sseSink struct {
	x    *exchange
	call *structs.Call
	tail []byte // the beginning of a character whose rest has not arrived
}

func (s *sseSink) started(*structs.CallEvent) error {
	header := s.x.w.Header()
	header.Set("Content-Type", typeSSE)
	header.Set("Cache-Control", "no-store")
	s.x.streaming = true
	s.x.commit(http.StatusOK)
	return s.chunk(choice{Delta: &delta{Role: roleAssistant}}, nil)
}

func (s *sseSink) data(part []byte) error {
	text := append(s.tail, part...)
	whole := wholeRunes(text)
	s.tail = append([]byte(nil), text[whole:]...)
	if whole == 0 {
		return nil
	}
	return s.chunk(choice{Delta: &delta{Content: string(text[:whole])}}, nil)
}

func (s *sseSink) done(ev *structs.CallEvent) error {
	if len(s.tail) > 0 {
		if err := s.chunk(choice{Delta: &delta{Content: string(s.tail)}}, nil); err != nil {
			return err
		}
	}
	finish := finishReason(s.call, ev)
	if err := s.chunk(choice{Delta: &delta{}, FinishReason: &finish}, newUsage(ev.Usage)); err != nil {
		return err
	}
	return s.x.write([]byte("data: [DONE]\n\n"))
}

func (s *sseSink) chunk(c choice, usage *completionUsage) error {
	out := newCompletion(s.x, s.call, "chat.completion.chunk")
	out.Choices = []choice{c}
	out.Usage = usage
	event, err := sseEvent("", out)
	if err != nil {
		return err
	}
	return s.x.write(event)
}

// sseEvent encodes one event; an empty name leaves the event's type out.
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
