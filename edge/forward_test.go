package edge

import (
	"io"
	"log/slog"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/internal/httpgrammar"
	"github.com/endivecourse/endivecourse/structs"
)

// Guards against a 502 for a request that a stopping VM has turned away.
func TestRequestTurnedAwayByStoppingVMHasNotRun(t *testing.T) {
	stopping := structs.Refuse(structs.RefusedNotReady, structs.RunNo, "the process is stopping")
	result := failedForward("vm-2", stopping)
	assert.ErrorType(t, result.cause, &RelayUnavailableError{})
	assert.Assert(t, !result.isRunUnknown)
	for _, err := range []error{io.EOF, structs.Refuse(structs.RefusedInvariant, structs.RunUnknown, "broken")} {
		assert.Assert(t, failedForward("vm-2", err).isRunUnknown)
	}
}

func TestRefusalAfterAnEarlierSendMayHaveRun(t *testing.T) {
	x := &exchange{mayHaveRun: true}
	full := structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "full")
	assert.Equal(t, x.mergeRefusal(full).Run, structs.RunUnknown)
	assert.Equal(t, (&exchange{}).mergeRefusal(full).Run, structs.RunNo)
}

func TestForwardedBodyWithoutEndIsIncomplete(t *testing.T) {
	for _, isWhole := range []bool{true, false} {
		stream := &fakeForwardStream{parts: [][]byte{[]byte("one "), []byte("two")}, isWhole: isWhole}
		body, err := io.ReadAll(&forwardedBody{stream: stream})
		assert.Equal(t, string(body), "one two")
		if isWhole {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorType(t, err, &IncompleteForwardError{})
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against MIXED and REFUSED: a VM of an earlier build forwards heads that HTTP does not
// allow, and the asking VM must not believe them.
func TestForwardedHeadOutsideGrammarIsRejected(t *testing.T) {
	for name, head := range map[string]fleet.ForwardHead{
		"status 0":            {Status: 0},
		"status 99":           {Status: 99},
		"status 600":          {Status: 600},
		"blank in a name":     {Status: 200, Header: http.Header{"X Own": {"1"}}},
		"blank after a name":  {Status: 503, Header: http.Header{"X-Own ": {"1"}}},
		"name without a byte": {Status: 200, Header: http.Header{"": {"1"}}},
	} {
		x := &exchange{Request: &Request{ID: "a"}, server: New(Options{Log: slog.New(slog.DiscardHandler)}), forwardedBy: "vm-2"}
		result := x.relayForwarded(t.Context(), &fakeForwardStream{isWhole: true}, &head)
		var invalid *httpgrammar.Error
		assert.Check(t, errors.As(result.cause, &invalid) && result.isRunUnknown && !result.isAnswered, "%s: %+v", name, result)
	}
}

// fakeForwardStream replies with parts of a body and, if it is whole, its end.
type fakeForwardStream struct {
	parts   [][]byte
	isWhole bool
}

func (s *fakeForwardStream) Recv(out any) error {
	reply := out.(*fleet.ForwardReply)
	switch {
	case len(s.parts) > 0:
		*reply = fleet.ForwardReply{Data: s.parts[0]}
		s.parts = s.parts[1:]
	case s.isWhole:
		*reply = fleet.ForwardReply{IsEnd: true}
	default:
		return io.EOF
	}
	return nil
}

func (s *fakeForwardStream) Close() error { return nil }
