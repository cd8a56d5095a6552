package target

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Request is what a driver sends to a target. It never carries a caller's key.
type Request struct {
	Request structs.RequestID
	// Hold names the engine memory that the request may leave cached; the
	// scheduler releases it when the program ends.
	Hold structs.ProgramID
	// Model requests carry the whole prompt.
	Messages  []structs.Message
	MaxTokens int64
	// Plain requests.
	Plain *structs.PlainCall
}

// Chunk is one part of a target's answer, in order. The last one has End set;
// an answer without it is cut.
type Chunk struct {
	Data   []byte
	Status int                 // first chunk of a plain answer
	Header map[string][]string // first chunk of a plain answer
	Usage  structs.Usage       // last chunk of a model answer
	IsLast bool
}

// Stream is one answer. Recv returns *BrokenError when the answer is cut.
// Close cancels an answer that has not ended and is idempotent.
type Stream interface {
	Recv() (Chunk, error)
	Close() error
}

// Load is an engine's report; it lags behind the truth.
type Load struct {
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	UsedBlocks   int64         `json:"used_blocks"`
	TotalBlocks  int64         `json:"total_blocks"`
	Age          time.Duration `json:"age"`
	HeldPrograms []string      `json:"held_programs,omitempty"`
}

// OrderKind tells the orders to a model engine apart.
type OrderKind string

// Orders that a model engine accepts.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetVersion  OrderKind = "set_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order asks an engine to change what it serves. Fence is the fencing number
// of the orderer; an engine that checks it refuses a lower one.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version,omitempty"`
	Fence   uint64    `json:"fence"`
}

// Driver speaks one protocol to one target. All methods are safe for
// concurrent use.
type Driver interface {
	// Do sends the request. It returns *NotSentError when no byte of the
	// request left, *StatusError when the target refused it, *BrokenError
	// when the outcome is unknown.
	Do(ctx context.Context, req Request) (Stream, error)
	// Load returns the target's latest report.
	Load(ctx context.Context) (Load, error)
	// Release frees what the target holds for an ended program. It is
	// idempotent.
	Release(ctx context.Context, hold structs.ProgramID) error
	// Order sends an order; *FencedError when its fencing number is old.
	Order(ctx context.Context, order Order) error
}

// Spec says which target a driver is made for.
type Spec struct {
	ID       structs.TargetID
	Service  structs.ServiceID
	Domain   structs.DomainID
	BaseURL  string
	Protocol string // registered driver name, "engine" or "plain"
}

// Factory makes a driver for a target. It does not connect.
type Factory func(spec Spec) (Driver, error)
