// Package fleet keeps the VMs of the system in touch: who they are, what each
// knows that the others need, and calls that one makes for another. Nothing here
// must last: it speeds things up and is lost freely.
package fleet

import (
	"time"

	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
)

// Member is one VM's process.
type Member struct {
	VM          structs.VMID        `msgpack:"v"`
	Incarnation structs.Incarnation `msgpack:"i"`
	Address     string              `msgpack:"a"` // host:port of its peers' server
	Domain      structs.DomainID    `msgpack:"d"`
	Region      string              `msgpack:"r"`
}

// Digest is what one VM tells another at each round.
type Digest struct {
	From Member `msgpack:"f"`
	// Config is the version in force at the sender.
	Config uint64 `msgpack:"c"`
	// IsStoreReachable says that the sender's own path to the store works.
	IsStoreReachable bool                     `msgpack:"s"`
	Demand           share.Demand             `msgpack:"q,omitempty"`
	Spare            share.SpareTokens        `msgpack:"p,omitempty"`
	Loads            map[structs.TargetID]int `msgpack:"l,omitempty"`
	// Failing are the targets that failed the sender's requests lately.
	Failing map[structs.TargetID]placement.OutcomeCounts `msgpack:"o,omitempty"`
	Crashes []quarantine.Report                          `msgpack:"x,omitempty"`
	// MembersHash is a hash of the members that the sender knows, itself included.
	MembersHash uint64 `msgpack:"k"`
}

// DigestReply answers a Digest.
type DigestReply struct {
	Config uint64 `msgpack:"c"`
	// Members is sent when the two VMs know different members.
	Members []Member `msgpack:"m,omitempty"`
}

// Methods of the peers' server.
const (
	MethodDigest  = "fleet.digest"
	MethodConfig  = "fleet.config"
	MethodLend    = "fleet.lend"
	MethodAdmit   = "fleet.admit"
	MethodPlace   = "fleet.place"
	MethodRelease = "fleet.release"
)

// LoanRequest asks a VM for quota tokens of an account.
type LoanRequest struct {
	Account structs.AccountID `msgpack:"a"`
}

// LoanReply is the tokens that a VM gives up.
type LoanReply struct {
	Tokens int `msgpack:"n"`
}

// AdmissionRequest asks an account's holder to admit a request.
type AdmissionRequest struct {
	Account       structs.AccountID `msgpack:"a"`
	StartsProgram bool              `msgpack:"s,omitempty"` // the request begins a program
	IsRetry       bool              `msgpack:"g,omitempty"` // it was asked for before
}

// AdmissionReply answers an Admission.
type AdmissionReply struct {
	IsAdmitted bool          `msgpack:"a"`
	Wait       time.Duration `msgpack:"w,omitempty"` // until a token is there
}

// PlacementRequest asks a service's placer for a target.
type PlacementRequest struct {
	Service  structs.ServiceID  `msgpack:"s"`
	Cached   structs.TargetID   `msgpack:"c,omitempty"`
	Exclude  []structs.TargetID `msgpack:"x,omitempty"`
	Domain   structs.DomainID   `msgpack:"d"` // of the asking VM
	Priority int                `msgpack:"p,omitempty"`
	DueIn    time.Duration      `msgpack:"u"` // until the program should have ended
	Wait     time.Duration      `msgpack:"w"` // in line, at most
	TimeLeft time.Duration      `msgpack:"l"` // until the request ends by itself
}

// PlacementReply answers a Placement. Without a target and NoTarget, all are full.
type PlacementReply struct {
	Target      structs.TargetID `msgpack:"t,omitempty"`
	GrantID     uint64           `msgpack:"g,omitempty"` // to be released
	HasNoTarget bool             `msgpack:"n,omitempty"`
}

// Release ends a grant.
type Release struct {
	GrantID uint64           `msgpack:"g"`
	Result  placement.Result `msgpack:"r,omitempty"`
	Latency time.Duration    `msgpack:"l,omitempty"` // until the answer began
}

// ConfigQuery asks for the newest configuration.
type ConfigQuery struct{}
