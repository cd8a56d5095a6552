package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/internal/strictclient"
	"github.com/endivecourse/endivecourse/structs"
)

// maxErrorBodyBytes is the part of an error response that is read.
const maxErrorBodyBytes = 64 << 10

// Client sends requests to one gateway with one key. It is safe for concurrent
// use.
type Client struct {
	base *sling.Sling
	http *http.Client
	// provesEnds reports that the end of a connection is told from its failure.
	provesEnds bool
}

// defaultClient is used by all clients that were given none.
var defaultClient = strictclient.NewClient()

// New returns a client for the gateway at baseURL. The key may be empty if only
// open routes are used. A nil httpClient means a client with the settings of
// http.DefaultClient that shares its connections with the others. Another client's
// responses are checked too, but those that end with their connection count as incomplete.
func New(baseURL, key string, httpClient *http.Client) *Client {
	provesEnds := httpClient == nil
	if provesEnds {
		httpClient = defaultClient
	} else {
		httpClient = withChecks(httpClient)
	}
	base := sling.New().Base(baseURL)
	if key != "" {
		base = base.Set("Authorization", "Bearer "+key)
	}
	return &Client{base: base, http: httpClient, provesEnds: provesEnds}
}

// withChecks returns a client like the given one whose responses are checked.
func withChecks(httpClient *http.Client) *http.Client {
	checked := *httpClient
	transport := httpClient.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	checked.Transport = &strictclient.Transport{Base: transport}
	return &checked
}

// NewProgram is the body of a request that creates a program.
type NewProgram struct {
	Program string            `json:"program"`
	Budget  int64             `json:"budget_tokens,omitempty"`
	Parent  structs.ProgramID `json:"parent,omitempty"`
}

// Create creates a program and returns its state.
func (c *Client) Create(ctx context.Context, program NewProgram) (structs.ProgramInfo, error) {
	var info structs.ProgramInfo
	err := c.sendJSON(ctx, c.base.New().Post("/v1/programs").BodyJSON(program), &info)
	return info, err
}

// Get returns the state of a program.
func (c *Client) Get(ctx context.Context, id structs.ProgramID) (structs.ProgramInfo, error) {
	var info structs.ProgramInfo
	err := c.sendJSON(ctx, c.base.New().Get(programPath(id)), &info)
	return info, err
}

// End ends a program and returns its final state.
func (c *Client) End(ctx context.Context, id structs.ProgramID) (structs.ProgramInfo, error) {
	var info structs.ProgramInfo
	err := c.sendJSON(ctx, c.base.New().Delete(programPath(id)), &info)
	return info, err
}

// History returns the turns of a program.
func (c *Client) History(ctx context.Context, id structs.ProgramID) (structs.History, error) {
	var history structs.History
	err := c.sendJSON(ctx, c.base.New().Get(programPath(id)+"/history"), &history)
	return history, err
}

func programPath(id structs.ProgramID) string {
	return "/v1/programs/" + url.PathEscape(string(id))
}

// sendJSON sends the request and decodes the JSON response into out.
func (c *Client) sendJSON(ctx context.Context, request *sling.Sling, out any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return &IncompleteResponseError{Received: len(body), Cause: err}
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode response")
}

// send sends the request and returns the response. A status of 300 or above gives
// a *RefusedError.
func (c *Client) send(ctx context.Context, request *sling.Sling) (*http.Response, error) {
	prepared, err := request.Request()
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	response, err := c.http.Do(prepared.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readRefusal(response)
}

type errorBody struct {
	Error struct {
		Type    structs.RefusalKind `json:"type"`
		Message string              `json:"message"`
		Run     structs.Run         `json:"run"`
	} `json:"error"`
}

func readRefusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return errors.Wrap(err, "read error response")
	}
	var parsed errorBody
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&parsed); err != nil {
		return &RefusedError{Status: response.StatusCode, Run: structs.RunUnknown, Message: string(body)}
	}
	return &RefusedError{
		Status:     response.StatusCode,
		Kind:       parsed.Error.Type,
		Run:        parsed.Error.Run,
		Message:    parsed.Error.Message,
		RetryAfter: response.Header.Get("Retry-After"),
	}
}

// numberHeader is the response header with the number of a call.
const numberHeader = "Endive-Call"

func callNumber(response *http.Response) uint64 {
	number, err := strconv.ParseUint(response.Header.Get(numberHeader), 10, 64)
	if err != nil {
		return 0
	}
	return number
}
