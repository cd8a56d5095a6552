// Package production holds copies of the message and row types of the release that
// deploy/system.toml names as the one in production, commit a4fb8d97f9ade346383f828b0f633db27542abcc,
// with their msgpack keys. They are changed only when another release is in production.
package production

import (
	"net/http"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Member is fleet.Member, which is also the value of a row of table members.
type Member struct {
	VM          structs.VMID        `msgpack:"v"`
	Incarnation structs.Incarnation `msgpack:"i"`
	Address     string              `msgpack:"a"`
	Domain      structs.DomainID    `msgpack:"d"`
	Region      string              `msgpack:"r"`
	Capacity    int                 `msgpack:"w,omitempty"`
	HoldsGrants bool                `msgpack:"h,omitempty"`
}

// Observation is targetrate.Observation.
type Observation struct {
	Rate     float32       `msgpack:"r"`
	Age      time.Duration `msgpack:"a"`
	ColdFor  time.Duration `msgpack:"c,omitempty"`
	ColdRate float32       `msgpack:"k,omitempty"`
	ColdAge  time.Duration `msgpack:"g,omitempty"`
}

// RateReport is targetrate.Report.
type RateReport struct {
	Observation Observation `msgpack:"o"`
	Taken       float32     `msgpack:"t,omitempty"`
}

// OutcomeCounts is placement.OutcomeCounts.
type OutcomeCounts struct {
	Successes float32 `msgpack:"g"`
	Failures  float32 `msgpack:"b"`
}

// TargetIncarnation is placement.Incarnation.
type TargetIncarnation struct {
	Started int64  `msgpack:"s"`
	Address string `msgpack:"a"`
}

// CrashReport is quarantine.Report.
type CrashReport struct {
	Fingerprint uint64             `msgpack:"f"`
	Targets     []structs.TargetID `msgpack:"t"`
	Remaining   time.Duration      `msgpack:"l"`
}

// Digest is fleet.Digest.
type Digest struct {
	From             Member                                 `msgpack:"f"`
	Config           uint64                                 `msgpack:"c"`
	IsStoreReachable bool                                   `msgpack:"s"`
	ReachesTargets   bool                                   `msgpack:"t,omitempty"`
	Demand           map[structs.AccountID]float64          `msgpack:"q,omitempty"`
	Spare            map[structs.AccountID]float64          `msgpack:"p,omitempty"`
	Loads            map[structs.TargetID]int               `msgpack:"l,omitempty"`
	Failing          map[structs.TargetID]OutcomeCounts     `msgpack:"o,omitempty"`
	Rates            map[structs.TargetID]RateReport        `msgpack:"n,omitempty"`
	Crashes          []CrashReport                          `msgpack:"x,omitempty"`
	Departures       map[structs.TargetID]TargetIncarnation `msgpack:"y,omitempty"`
	HonorsRegions    bool                                   `msgpack:"a,omitempty"`
	MembersHash      uint64                                 `msgpack:"k"`
}

// DigestReply is fleet.DigestReply.
type DigestReply struct {
	Config         uint64        `msgpack:"c"`
	ReachesTargets bool          `msgpack:"t,omitempty"`
	HonorsRegions  bool          `msgpack:"a,omitempty"`
	Members        []Member      `msgpack:"m,omitempty"`
	Crashes        []CrashReport `msgpack:"x,omitempty"`
}

// PlacementRequest is fleet.PlacementRequest.
type PlacementRequest struct {
	Service       structs.ServiceID                      `msgpack:"s"`
	Cached        structs.TargetID                       `msgpack:"c,omitempty"`
	Exclude       []structs.TargetID                     `msgpack:"x,omitempty"`
	Domain        structs.DomainID                       `msgpack:"d"`
	Priority      int                                    `msgpack:"p,omitempty"`
	DueIn         time.Duration                          `msgpack:"u"`
	Wait          time.Duration                          `msgpack:"w"`
	TimeLeft      time.Duration                          `msgpack:"l"`
	Patience      time.Duration                          `msgpack:"t,omitempty"`
	Rates         map[structs.TargetID]Observation       `msgpack:"n,omitempty"`
	Departures    map[structs.TargetID]TargetIncarnation `msgpack:"y,omitempty"`
	VM            structs.VMID                           `msgpack:"g,omitempty"`
	Connected     []structs.TargetID                     `msgpack:"e,omitempty"`
	DomainDelay   time.Duration                          `msgpack:"j,omitempty"`
	Regions       []string                               `msgpack:"h,omitempty"`
	Evacuated     []structs.DomainID                     `msgpack:"v,omitempty"`
	Account       structs.AccountID                      `msgpack:"a,omitempty"`
	StartsProgram bool                                   `msgpack:"b,omitempty"`
	Weight        float64                                `msgpack:"o,omitempty"`
	Ticket        uint64                                 `msgpack:"k,omitempty"`
	Waited        time.Duration                          `msgpack:"m,omitempty"`
	WorthlessIn   time.Duration                          `msgpack:"z,omitempty"`
}

// PlacementReply is fleet.PlacementReply.
type PlacementReply struct {
	Target      structs.TargetID `msgpack:"t,omitempty"`
	GrantID     uint64           `msgpack:"g,omitempty"`
	HasNoTarget bool             `msgpack:"n,omitempty"`
	RateWait    time.Duration    `msgpack:"w,omitempty"`
	RetryAfter  time.Duration    `msgpack:"q,omitempty"`
	Rate        *Observation     `msgpack:"r,omitempty"`
}

// Release is fleet.Release.
type Release struct {
	GrantID uint64        `msgpack:"g"`
	Result  uint8         `msgpack:"r,omitempty"`
	Latency time.Duration `msgpack:"l,omitempty"`
}

// ForwardRequest is fleet.ForwardRequest.
type ForwardRequest struct {
	From        structs.VMID                           `msgpack:"f"`
	ID          structs.RequestID                      `msgpack:"i"`
	Method      string                                 `msgpack:"m"`
	Host        string                                 `msgpack:"h"`
	URI         string                                 `msgpack:"u"`
	Header      http.Header                            `msgpack:"e"`
	Body        []byte                                 `msgpack:"b"`
	Account     structs.AccountID                      `msgpack:"a,omitempty"`
	Route       string                                 `msgpack:"r"`
	Service     structs.ServiceID                      `msgpack:"s"`
	Kind        uint8                                  `msgpack:"k"`
	MaxSends    int                                    `msgpack:"n"`
	Priority    int                                    `msgpack:"p,omitempty"`
	Fingerprint uint64                                 `msgpack:"g"`
	Program     structs.ProgramID                      `msgpack:"o,omitempty"`
	Cached      structs.TargetID                       `msgpack:"c,omitempty"`
	Exclude     []structs.TargetID                     `msgpack:"x,omitempty"`
	Departures  map[structs.TargetID]TargetIncarnation `msgpack:"y,omitempty"`
	TimeLeft    time.Duration                          `msgpack:"l"`
	DueIn       time.Duration                          `msgpack:"d"`
	Regions     []string                               `msgpack:"w,omitempty"`
	Evacuated   []structs.DomainID                     `msgpack:"v,omitempty"`
}

// ForwardReply is fleet.ForwardReply.
type ForwardReply struct {
	Head          *ForwardHead `msgpack:"h,omitempty"`
	Data          []byte       `msgpack:"d,omitempty"`
	IsEnd         bool         `msgpack:"e,omitempty"`
	Refusal       *Refusal     `msgpack:"r,omitempty"`
	IsUnavailable bool         `msgpack:"u,omitempty"`
	Sends         int          `msgpack:"s,omitempty"`
}

// ForwardHead is fleet.ForwardHead.
type ForwardHead struct {
	Target      structs.TargetID  `msgpack:"t"`
	Incarnation TargetIncarnation `msgpack:"n"`
	Status      int               `msgpack:"s"`
	Header      http.Header       `msgpack:"h"`
}

// Refusal is structs.Refusal.
type Refusal struct {
	Kind       string        `msgpack:"k"`
	Status     int           `msgpack:"s"`
	Run        string        `msgpack:"r"`
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	Field      string        `msgpack:"f,omitempty"`
	Message    string        `msgpack:"m"`
	Owner      string        `msgpack:"o,omitempty"`
}

// Balance is ledger.Balance, the value of a row of table budgets.
type Balance struct {
	Spent       int64         `msgpack:"s"`
	Open        []Reservation `msgpack:"o,omitempty"`
	OutageTurns []OutageTurn  `msgpack:"w,omitempty"`
	ChargedAt   int64         `msgpack:"c,omitempty"`
	Budget      int64         `msgpack:"b,omitempty"`
}

// OutageTurn is ledger.OutageTurn.
type OutageTurn struct {
	Turn      structs.RequestID `msgpack:"t"`
	WrittenAt int64             `msgpack:"a"`
}

// Reservation is ledger.Reservation.
type Reservation struct {
	Turn      structs.RequestID `msgpack:"t"`
	Tokens    int64             `msgpack:"n"`
	CreatedAt int64             `msgpack:"a"`
}

// Record is turnlog.Record, the value of a row of table turns.
type Record struct {
	Account   structs.AccountID   `msgpack:"a"`
	Previous  structs.RequestID   `msgpack:"p,omitempty"`
	Ancestors []structs.RequestID `msgpack:"c,omitempty"`
	Input     []byte              `msgpack:"i"`
	Output    []byte              `msgpack:"o"`
	Target    structs.TargetID    `msgpack:"t,omitempty"`
	CreatedAt int64               `msgpack:"e"`
}

// Program is ledger.Program.
type Program struct {
	Account structs.AccountID `msgpack:"a"`
	ID      structs.ProgramID `msgpack:"i"`
}

// ReserveRequest is conversation.ReserveRequest.
type ReserveRequest struct {
	Program       Program           `msgpack:"p"`
	Reservation   Reservation       `msgpack:"r"`
	Budget        int64             `msgpack:"b"`
	AdvanceKey    structs.RequestID `msgpack:"v"`
	NeedsAdvance  bool              `msgpack:"d,omitempty"`
	AllowsPending bool              `msgpack:"e,omitempty"`
	IsUnstored    bool              `msgpack:"u,omitempty"`
}

// FinishRequest is conversation.FinishRequest.
type FinishRequest struct {
	Program     Program     `msgpack:"p"`
	Reservation Reservation `msgpack:"r"`
	Budget      int64       `msgpack:"b"`
	Tokens      int64       `msgpack:"n"`
	Record      *Record     `msgpack:"t"`
	Regions     []string    `msgpack:"g,omitempty"`
}

// SettleRequest is conversation.SettleRequest.
type SettleRequest struct {
	Program    Program           `msgpack:"p"`
	Turn       structs.RequestID `msgpack:"t"`
	Tokens     int64             `msgpack:"n"`
	AdvanceKey structs.RequestID `msgpack:"v,omitempty"`
	MaxTokens  int64             `msgpack:"m,omitempty"`
	Budget     int64             `msgpack:"b,omitempty"`
}

// FindRequest is conversation.FindRequest.
type FindRequest struct {
	Program Program             `msgpack:"p"`
	Turns   []structs.RequestID `msgpack:"t"`
	Regions []string            `msgpack:"g,omitempty"`
}

// CodeOther is conversation.codeOther, the code of errors that have none of their own.
const CodeOther = 7

// Reply is conversation.Reply.
type Reply struct {
	Code    uint8             `msgpack:"e,omitempty"`
	Numbers [3]int64          `msgpack:"n,omitempty"`
	Turn    structs.RequestID `msgpack:"t,omitempty"`
	Detail  string            `msgpack:"d,omitempty"`
	Records []*Record         `msgpack:"r,omitempty"`
	CopyAt  structs.VMID      `msgpack:"c,omitempty"`
}

// IsFinal is conversation.Reply.isFinal: whether the caller leaves the operation at this
// reply. After any other it performs the operation itself.
func (r *Reply) IsFinal() bool { return r.Code != CodeOther }
