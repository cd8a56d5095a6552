package target

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Request is what a driver sends to a target. It never carries a caller's API key.
type Request struct {
	Request structs.RequestID
	// Hold identifies the engine memory that the request may leave cached. The scheduler
	// releases it when the program ends.
	Hold structs.ProgramID
	// Messages is the whole prompt of a model request.
	Messages  []structs.Message
	MaxTokens int64
	// Plain is set for a request to a plain service.
	Plain *structs.PlainCall
}

// Chunk is one part of a target's response. Chunks arrive in order and the last one has
// IsLast set; without it the response is incomplete.
type Chunk struct {
	Data   []byte
	Status int                 // first chunk of a plain response
	Header map[string][]string // first chunk of a plain response
	Usage  structs.Usage       // last chunk of a model response
	IsLast bool
}

// Stream is one response. Recv returns *IncompleteResponseError when the response ends
// early. Close cancels a response that has not ended and is idempotent.
type Stream interface {
	Recv() (Chunk, error)
	Close() error
}

// Load is an engine's load report. It is Age old when the engine sends it.
type Load struct {
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	UsedBlocks   int64         `json:"used_blocks"`
	TotalBlocks  int64         `json:"total_blocks"`
	Age          time.Duration `json:"age"`
	HeldPrograms []string      `json:"held_programs,omitempty"`
}

// OrderKind is the type of an order to a model engine.
type OrderKind string

// Orders that a model engine accepts.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetVersion  OrderKind = "set_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order tells an engine to change what it serves. Fence is the sender's fencing token; an
// engine that checks it refuses a token lower than one it has accepted.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version,omitempty"`
	Fence   uint64    `json:"fence"`
}

// Driver sends requests to one target over one protocol. All methods are safe for
// concurrent use.
type Driver interface {
	// Do sends the request. It returns *NotSentError when no byte of the request was
	// written, *StatusError when a model engine refused it, and *IncompleteResponseError
	// when the outcome is unknown.
	Do(ctx context.Context, req Request) (Stream, error)
	// Load returns the target's latest load report.
	Load(ctx context.Context) (Load, error)
	// Release frees the memory that the target keeps for an ended program. It is
	// idempotent.
	Release(ctx context.Context, hold structs.ProgramID) error
	// Order sends an order. It returns *FencedError when the target refuses the order's
	// fencing token as too old.
	Order(ctx context.Context, order Order) error
}

// Spec describes the target of a driver.
type Spec struct {
	ID       structs.TargetID
	Service  structs.ServiceID
	Domain   structs.DomainID
	BaseURL  string
	Protocol string // registered driver name, "engine" or "plain"
}

// Factory creates a driver for a target without connecting to it.
type Factory func(spec Spec) (Driver, error)
