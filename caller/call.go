package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// ModelCall is the request body of a call to a model service.
type ModelCall struct {
	Call      uint64            `json:"call,omitempty"`
	Service   structs.ServiceID `json:"service"`
	Messages  []structs.Message `json:"messages"`
	MaxTokens int64             `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream"`
}

// PlainCall is the request body of a call to a plain service.
type PlainCall struct {
	Call    uint64            `json:"call,omitempty"`
	Service structs.ServiceID `json:"service"`
	Request PlainRequest      `json:"request"`
}

// PlainRequest is the HTTP request that a plain service receives.
type PlainRequest struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// Answer is the complete response to a call.
type Answer struct {
	Number uint64 // number of the call
	Status int    // HTTP status
	Text   string
}

// Model makes a model call with a streamed response. onText, which may be nil, is
// called with each part as it arrives. A response without the end marker gives an
// *IncompleteResponseError together with the text received.
func (c *Client) Model(ctx context.Context, id structs.ProgramID, call ModelCall, onText func(string)) (Answer, error) {
	call.Stream = true
	response, err := c.send(ctx, c.base.New().Post(programPath(id)+"/calls").BodyJSON(call))
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	text, err := readEvents(response.Body, onText)
	return Answer{Number: callNumber(response), Status: response.StatusCode, Text: text}, err
}

// Plain makes a call to a plain service and returns its response. A status of 300
// or above gives a *RefusedError.
func (c *Client) Plain(ctx context.Context, id structs.ProgramID, call PlainCall) (Answer, error) {
	response, err := c.send(ctx, c.base.New().Post(programPath(id)+"/calls").BodyJSON(call))
	if err != nil {
		return Answer{}, err
	}
	return c.readResponse(response)
}

// Route sends a request to a route of the operators' document.
func (c *Client) Route(ctx context.Context, method, path, body string) (Answer, error) {
	request := c.base.New().Path(path).Body(strings.NewReader(body))
	switch method {
	case http.MethodPost:
		request = request.Post("")
	default:
		request = request.Get("")
	}
	response, err := c.send(ctx, request)
	if err != nil {
		return Answer{}, err
	}
	return c.readResponse(response)
}

func (c *Client) readResponse(response *http.Response) (Answer, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && !c.provesEnds && endsWithConnection(response) {
		err = &UnprovenEndError{}
	}
	answer := Answer{Number: callNumber(response), Status: response.StatusCode, Text: string(body)}
	if err != nil {
		return answer, &IncompleteResponseError{Received: len(body), Cause: err}
	}
	return answer, nil
}

// endsWithConnection reports whether a body has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// maxEventBytes is the maximum length of a line of an event stream.
const maxEventBytes = 1 << 20

type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readEvents reads server-sent events up to the end marker and returns their text.
func readEvents(body io.Reader, onText func(string)) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxEventBytes)
	isError := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			isError = true
			continue
		}
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case !isData:
		case isError:
			return text.String(), parseErrorEvent(data)
		case data == "[DONE]":
			return text.String(), nil
		default:
			part, err := parseDelta(data)
			if err != nil {
				return text.String(), err
			}
			text.WriteString(part)
			if onText != nil && part != "" {
				onText(part)
			}
		}
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return text.String(), &IncompleteResponseError{Received: text.Len(), Cause: cause}
}

func parseDelta(data string) (string, error) {
	var chunk chunkBody
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", errors.Wrap(err, "decode event")
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Delta.Content, nil
}

func parseErrorEvent(data string) error {
	var parsed errorBody
	if err := json.Unmarshal([]byte(data), &parsed); err != nil {
		return errors.Wrap(err, "decode error event")
	}
	return &RefusedError{Status: http.StatusOK, Kind: parsed.Error.Type, Run: parsed.Error.Run, Message: parsed.Error.Message}
}
