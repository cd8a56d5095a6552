package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// ForwardRequest asks another VM to send a request to a target, since the asking VM reaches
// none. The asking VM has admitted it and keeps its turn.
type ForwardRequest struct {
	From    structs.VMID      `msgpack:"f"`
	ID      structs.RequestID `msgpack:"i"`
	Method  string            `msgpack:"m"`
	Host    string            `msgpack:"h"`
	URI     string            `msgpack:"u"` // path and query as the caller sent it
	Header  http.Header       `msgpack:"e"`
	Body    []byte            `msgpack:"b"`
	Account structs.AccountID `msgpack:"a,omitempty"`

	Route       string            `msgpack:"r"` // name, for the log
	Service     structs.ServiceID `msgpack:"s"`
	Kind        routing.Kind      `msgpack:"k"`
	MaxSends    int               `msgpack:"n"` // targets that the request may still be sent to
	Priority    int               `msgpack:"p,omitempty"`
	Fingerprint uint64            `msgpack:"g"` // identifies the request when targets crash
	Program     structs.ProgramID `msgpack:"o,omitempty"`
	// LastEvent is the last event that the caller has of a stream which it resumes.
	LastEvent string `msgpack:"q,omitempty"`

	Cached  structs.TargetID   `msgpack:"c,omitempty"` // has the prompt in its cache
	Exclude []structs.TargetID `msgpack:"x,omitempty"`
	// Departures holds the departures that the asking VM knows.
	Departures map[structs.TargetID]placement.Incarnation `msgpack:"y,omitempty"`
	// TimeLeft is the time until the request's deadline, DueIn until that of its program.
	TimeLeft time.Duration `msgpack:"l"`
	DueIn    time.Duration `msgpack:"d"`
	// Regions are the regions whose targets may be used, empty for all.
	Regions []string `msgpack:"w,omitempty"`
	// Evacuated are failure domains that the asking VM knows to be evacuated.
	Evacuated []structs.DomainID `msgpack:"v,omitempty"`
}

// ForwardReply is a part of the reply to a ForwardRequest: the head of the target's
// response, data of its body, its end, or a refusal in place of these.
type ForwardReply struct {
	Head *ForwardHead `msgpack:"h,omitempty"`
	Data []byte       `msgpack:"d,omitempty"`
	// IsEnd follows the complete body. A reply that ends without it is incomplete.
	IsEnd bool `msgpack:"e,omitempty"`

	Refusal *structs.Refusal `msgpack:"r,omitempty"`
	// IsUnavailable means that the VM sent the request to no target, and that another VM
	// may: it reaches none itself, stops, or forwards too many requests.
	IsUnavailable bool `msgpack:"u,omitempty"`
	// Sends is the number of targets that the request was sent to, with a head or refusal.
	Sends int `msgpack:"s,omitempty"`
}

// ForwardHead is the head of a target's response.
type ForwardHead struct {
	Target structs.TargetID `msgpack:"t"`
	// Incarnation is that of the target.
	Incarnation placement.Incarnation `msgpack:"n"`
	Status      int                   `msgpack:"s"`
	Header      http.Header           `msgpack:"h"`
}

// ForwardStream receives the replies to a ForwardRequest. Recv returns io.EOF after the
// last one; Close cancels the request unless it has ended.
type ForwardStream interface {
	Recv(out any) error
	Close() error
}

// Forward asks a VM to send a request to a target. Its error is a *wire.NotSentError if the
// VM has not received the request.
func (m *Mesh) Forward(ctx context.Context, vm structs.VMID, req ForwardRequest) (ForwardStream, error) {
	m.mu.Lock()
	peer := m.members[vm]
	m.mu.Unlock()
	if peer == nil {
		return nil, &wire.NotSentError{Addr: string(vm), Cause: &UnknownVMError{VM: vm}}
	}
	stream, err := m.client.Stream(ctx, peer.Address, MethodForward, req)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

func (m *Mesh) handleForward(ctx context.Context, req *wire.Request, out *wire.ReplyWriter) error {
	var forwarded ForwardRequest
	if err := req.Decode(&forwarded); err != nil {
		return err
	}
	return m.opts.Hooks.Forward(ctx, forwarded, func(reply ForwardReply) error { return out.Send(reply) })
}
