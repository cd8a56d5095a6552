// Package production holds copies of the message and row types of the release that
// deploy/system.toml names as the one in production, commit 3311343367271b21aea46921bbdf17ab1289fc71,
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
}

// Observation is targetrate.Observation.
type Observation struct {
	Rate float32       `msgpack:"r"`
	Age  time.Duration `msgpack:"a"`
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
	MembersHash      uint64                                 `msgpack:"k"`
}

// DigestReply is fleet.DigestReply.
type DigestReply struct {
	Config         uint64        `msgpack:"c"`
	ReachesTargets bool          `msgpack:"t,omitempty"`
	Members        []Member      `msgpack:"m,omitempty"`
	Crashes        []CrashReport `msgpack:"x,omitempty"`
}

// PlacementRequest is fleet.PlacementRequest.
type PlacementRequest struct {
	Service    structs.ServiceID                      `msgpack:"s"`
	Cached     structs.TargetID                       `msgpack:"c,omitempty"`
	Exclude    []structs.TargetID                     `msgpack:"x,omitempty"`
	Domain     structs.DomainID                       `msgpack:"d"`
	Priority   int                                    `msgpack:"p,omitempty"`
	DueIn      time.Duration                          `msgpack:"u"`
	Wait       time.Duration                          `msgpack:"w"`
	TimeLeft   time.Duration                          `msgpack:"l"`
	Patience   time.Duration                          `msgpack:"t,omitempty"`
	Rates      map[structs.TargetID]Observation       `msgpack:"n,omitempty"`
	Departures map[structs.TargetID]TargetIncarnation `msgpack:"y,omitempty"`
}

// PlacementReply is fleet.PlacementReply.
type PlacementReply struct {
	Target      structs.TargetID `msgpack:"t,omitempty"`
	GrantID     uint64           `msgpack:"g,omitempty"`
	HasNoTarget bool             `msgpack:"n,omitempty"`
	RateWait    time.Duration    `msgpack:"w,omitempty"`
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
}

// ForwardReply is fleet.ForwardReply without Refusal.
type ForwardReply struct {
	Head          *ForwardHead `msgpack:"h,omitempty"`
	Data          []byte       `msgpack:"d,omitempty"`
	IsEnd         bool         `msgpack:"e,omitempty"`
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

// Balance is ledger.Balance, the value of a row of table budgets.
type Balance struct {
	Spent int64         `msgpack:"s"`
	Open  []Reservation `msgpack:"o,omitempty"`
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
