package structs

import "time"

// Message is one chat message of a program's history.
type Message struct {
	Role    string `msgpack:"r" json:"role"`
	Content string `msgpack:"c" json:"content"`
}

// Usage counts the tokens of one call. CachedTokens are those of PromptTokens
// that the engine did not have to compute.
type Usage struct {
	PromptTokens int64 `msgpack:"p" json:"prompt_tokens"`
	CachedTokens int64 `msgpack:"h" json:"cached_tokens"`
	OutputTokens int64 `msgpack:"o" json:"completion_tokens"`
}

// Total returns the tokens that a program's budget is charged for.
func (u Usage) Total() int64 { return u.PromptTokens + u.OutputTokens }

// ModelCall asks a model service to continue a program's history.
type ModelCall struct {
	Service   ServiceID `msgpack:"s"`
	Messages  []Message `msgpack:"m"` // appended to the program's history
	MaxTokens int64     `msgpack:"x"` // upper bound of output tokens
}

// PlainCall sends an HTTP request to a plain service, one that serves no
// model. Header holds only headers that may go to a target: never
// Authorization, Cookie or any header that carried a key.
type PlainCall struct {
	Service ServiceID           `msgpack:"s"`
	Method  string              `msgpack:"m"`
	Path    string              `msgpack:"p"` // including the query
	Header  map[string][]string `msgpack:"h,omitempty"`
	Body    []byte              `msgpack:"b,omitempty"`
}

// Call is one numbered call of a program. Exactly one of Model and Plain is
// set. (Program, Number) identifies the call; a second call with the same pair
// but another fingerprint of its request is a conflict.
type Call struct {
	Program        ProgramID     `msgpack:"g"`
	Account        AccountID     `msgpack:"a"`
	Number         uint64        `msgpack:"n"` // 1 for the first call; 0 lets the owner assign the next number
	IdempotencyKey string        `msgpack:"i,omitempty"`
	Request        RequestID     `msgpack:"q"`
	Model          *ModelCall    `msgpack:"m,omitempty"`
	Plain          *PlainCall    `msgpack:"p,omitempty"`
	Timeout        time.Duration `msgpack:"t"`
	// Kind and EndAfter are set for a call that belongs to no existing
	// program: the owner creates a program of that kind and ends it after
	// this call.
	Kind     string `msgpack:"k,omitempty"`
	EndAfter bool   `msgpack:"e,omitempty"`
}

// Service returns the service that the call is for.
func (c *Call) Service() ServiceID {
	if c.Model != nil {
		return c.Model.Service
	}
	if c.Plain != nil {
		return c.Plain.Service
	}
	return ""
}

// Turn is one finished call in a program's history. PrevHash is the Hash of
// the previous turn, so that a reader detects a missing turn or one that
// belongs to another history.
type Turn struct {
	Program  ProgramID  `msgpack:"g" json:"program"`
	Number   uint64     `msgpack:"n" json:"number"`
	Epoch    Epoch      `msgpack:"e" json:"epoch"`
	PrevHash uint64     `msgpack:"v" json:"prev"`
	Hash     uint64     `msgpack:"h" json:"hash"`
	Service  ServiceID  `msgpack:"s" json:"service"`
	Messages []Message  `msgpack:"m,omitempty" json:"messages,omitempty"`
	Plain    *PlainTurn `msgpack:"p,omitempty" json:"plain,omitempty"`
	Usage    Usage      `msgpack:"u" json:"usage"`
	// Outcome is RunYes, or RunUnknown for a call whose end was not observed.
	Outcome        Run    `msgpack:"o" json:"run"`
	IdempotencyKey string `msgpack:"i,omitempty" json:"idempotency_key,omitempty"`
	// Fingerprint identifies the request, so that a duplicate can be
	// distinguished from a conflict after recovery.
	Fingerprint uint64 `msgpack:"f,omitempty" json:"-"`
	// Charged is the number of tokens charged to the program's budget for the
	// call, including attempts with an unknown outcome.
	Charged int64 `msgpack:"c,omitempty" json:"charged_tokens"`
}

// PlainTurn holds the request line and the response of a plain call.
type PlainTurn struct {
	Method string `msgpack:"m" json:"method"`
	Path   string `msgpack:"p" json:"path"`
	Status int    `msgpack:"s" json:"status"`
	Body   []byte `msgpack:"b" json:"body"`
	// Header holds those headers of the answer that are passed on to the caller.
	Header map[string][]string `msgpack:"h,omitempty" json:"header,omitempty"`
}

// ProgramInfo describes a program to its caller and to operators.
type ProgramInfo struct {
	ID          ProgramID `msgpack:"g" json:"id"`
	Account     AccountID `msgpack:"a" json:"account"`
	Kind        string    `msgpack:"k" json:"program"`
	Parent      ProgramID `msgpack:"p,omitempty" json:"parent,omitempty"`
	Budget      int64     `msgpack:"b" json:"budget_tokens"`
	Spent       int64     `msgpack:"s" json:"spent_tokens"`
	Reserved    int64     `msgpack:"r" json:"reserved_tokens"`
	NextNumber  uint64    `msgpack:"n" json:"next_call"`
	Ended       bool      `msgpack:"e" json:"ended"`
	EndedReason string    `msgpack:"w,omitempty" json:"ended_reason,omitempty"`
	Epoch       Epoch     `msgpack:"o" json:"epoch"`
}
