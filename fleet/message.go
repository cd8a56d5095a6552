// Package fleet connects the VMs of the system: it keeps the list of members,
// spreads what each VM knows that the others need, and carries calls that one VM
// makes to another. None of its state has to be durable: losing it only costs time.
package fleet

import (
	"time"

	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// Member identifies the process of one VM.
type Member struct {
	VM          structs.VMID        `msgpack:"v"`
	Incarnation structs.Incarnation `msgpack:"i"`
	Address     string              `msgpack:"a"` // host:port of its server for peers
	Domain      structs.DomainID    `msgpack:"d"`
	Region      string              `msgpack:"r"`
	// Capacity is the VM's processor share in thousandths of a core.
	Capacity int `msgpack:"w,omitempty"`
	// HoldsGrants reports whether the VM serves conversation.hold of earlier builds, which grant
	// tokens in each region. In a region with a VM that does not, they grant none.
	HoldsGrants bool `msgpack:"h,omitempty"`
	// GrantsByRegion reports whether the VM serves conversation.hold, and grants tokens only to the
	// programs of its region.
	GrantsByRegion bool `msgpack:"hr,omitempty"`
}

// Digest is the periodic report of one VM to another.
type Digest struct {
	From Member `msgpack:"f"`
	// Config is the version of the configuration in force at the sender.
	Config uint64 `msgpack:"c"`
	// IsStoreReachable reports whether the sender reaches the store directly.
	IsStoreReachable bool `msgpack:"s"`
	// ReachesTargets reports whether the sender takes requests that others forward.
	ReachesTargets bool                     `msgpack:"t,omitempty"`
	Demand         share.Demand             `msgpack:"q,omitempty"`
	Spare          share.SpareTokens        `msgpack:"p,omitempty"`
	Loads          map[structs.TargetID]int `msgpack:"l,omitempty"`
	// Failing holds the targets that failed the sender's requests recently.
	Failing map[structs.TargetID]placement.OutcomeCounts `msgpack:"o,omitempty"`
	// Rates holds the rates that targets have named.
	Rates   map[structs.TargetID]targetrate.Report `msgpack:"n,omitempty"`
	Crashes []quarantine.Report                    `msgpack:"x,omitempty"`
	// Departures holds the targets that have said in a response that they leave.
	Departures map[structs.TargetID]placement.Incarnation `msgpack:"y,omitempty"`
	// HonorsRegions reports whether the sender applies allowed regions and evacuations to
	// requests of peers.
	HonorsRegions bool `msgpack:"a,omitempty"`
	// MembersHash is a hash of the members that the sender knows, including
	// itself.
	MembersHash uint64 `msgpack:"k"`
}

// DigestReply answers a Digest.
type DigestReply struct {
	Config uint64 `msgpack:"c"`
	// ReachesTargets is the same as in a Digest.
	ReachesTargets bool `msgpack:"t,omitempty"`
	// HonorsRegions is the same as in a Digest.
	HonorsRegions bool `msgpack:"a,omitempty"`
	// Members is sent if the two VMs know different members.
	Members []Member `msgpack:"m,omitempty"`
	// Crashes are the requests that the replying VM suspects to crash targets.
	Crashes []quarantine.Report `msgpack:"x,omitempty"`
}

// Methods of the server for peers.
const (
	MethodDigest  = "fleet.digest"
	MethodConfig  = "fleet.config"
	MethodLend    = "fleet.lend"
	MethodAdmit   = "fleet.admit"
	MethodPlace   = "fleet.place"
	MethodRelease = "fleet.release"
	MethodForward = "fleet.forward"
)

// LoanRequest asks a VM for quota tokens of an account.
type LoanRequest struct {
	Account structs.AccountID `msgpack:"a"`
}

// LoanReply returns the number of tokens that a VM lends.
type LoanReply struct {
	Tokens int `msgpack:"n"`
}

// AdmissionRequest asks one of an account's quota holders to admit a request.
type AdmissionRequest struct {
	Account       structs.AccountID `msgpack:"a"`
	StartsProgram bool              `msgpack:"s,omitempty"` // the request begins a program
	// MaxWait is how long the request may be held until its token is available.
	MaxWait time.Duration `msgpack:"m,omitempty"`
	// Returns means that the request was refused without having run: its token is given
	// back.
	Returns bool `msgpack:"r,omitempty"`
	// Limit is the account's limit by the asking VM's configuration, for a holder whose
	// configuration does not have the account yet.
	Limit share.Limit `msgpack:"l,omitempty"`
}

// AdmissionReply answers an AdmissionRequest.
type AdmissionReply struct {
	IsAdmitted bool `msgpack:"a"`
	// Wait is how long an admitted request has to be held, or the time after which a new
	// attempt of a refused one gets a token.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Tokens and Share are the holder's tokens and share of the account, for the log.
	Tokens float64 `msgpack:"t,omitempty"`
	Share  float64 `msgpack:"s,omitempty"`
}

// PlacementRequest asks a service's placer for a target.
type PlacementRequest struct {
	Service  structs.ServiceID  `msgpack:"s"`
	Cached   structs.TargetID   `msgpack:"c,omitempty"`
	Exclude  []structs.TargetID `msgpack:"x,omitempty"`
	Domain   structs.DomainID   `msgpack:"d"` // of the asking VM
	Priority int                `msgpack:"p,omitempty"`
	DueIn    time.Duration      `msgpack:"u"` // until the program should have ended
	Wait     time.Duration      `msgpack:"w"` // in the queue, at most
	TimeLeft time.Duration      `msgpack:"l"` // until the request's deadline
	// Patience is how long the request may wait in all.
	Patience time.Duration `msgpack:"t,omitempty"`
	// Rates holds named rates that the asking VM knows and the placer may not.
	Rates map[structs.TargetID]targetrate.Observation `msgpack:"n,omitempty"`
	// Departures holds the departures that the asking VM knows.
	Departures map[structs.TargetID]placement.Incarnation `msgpack:"y,omitempty"`
	// VM is the asking VM if its connections count. Connected holds the targets to which it
	// has an idle connection.
	VM        structs.VMID       `msgpack:"g,omitempty"`
	Connected []structs.TargetID `msgpack:"e,omitempty"`
	// DomainDelay is the additional round trip to another failure domain that the asking VM
	// has measured.
	DomainDelay time.Duration `msgpack:"j,omitempty"`
	// Regions are the regions whose targets may be used, empty for all.
	Regions []string `msgpack:"h,omitempty"`
	// Evacuated are failure domains that the asking VM knows to be evacuated.
	Evacuated []structs.DomainID `msgpack:"v,omitempty"`
	// Account is the client account of the request, empty if it has none; Weight is the
	// account's rate. StartsProgram means that the request begins a program.
	Account       structs.AccountID `msgpack:"a,omitempty"`
	StartsProgram bool              `msgpack:"b,omitempty"`
	Weight        float64           `msgpack:"o,omitempty"`
	// Ticket identifies the request when it is asked for again. A VM that sends one
	// understands RetryAfter in the reply.
	Ticket uint64 `msgpack:"k,omitempty"`
	// Waited is how long the request has waited before.
	Waited time.Duration `msgpack:"m,omitempty"`
	// WorthlessIn is the time until an answer is of no value any more to the caller,
	// negative if that has passed, 0 if it is unknown.
	WorthlessIn time.Duration `msgpack:"z,omitempty"`
}

// PlacementReply answers a PlacementRequest. If it has neither a target nor
// HasNoTarget nor RateWait nor RetryAfter, the slots of all targets are in use.
type PlacementReply struct {
	Target      structs.TargetID `msgpack:"t,omitempty"`
	GrantID     uint64           `msgpack:"g,omitempty"` // for its Release
	HasNoTarget bool             `msgpack:"n,omitempty"`
	// RateWait is the time until the targets' named rates leave a slot, if that is longer
	// than the request may wait.
	RateWait time.Duration `msgpack:"w,omitempty"`
	// RetryAfter means that the request gets no slot in the time that it may wait; its
	// caller should try again after that time.
	RetryAfter time.Duration `msgpack:"q,omitempty"`
	// Rate is what the placer knows of the target's rate, nil for nothing.
	Rate *targetrate.Observation `msgpack:"r,omitempty"`
}

// Release ends a grant.
type Release struct {
	GrantID uint64           `msgpack:"g"`
	Result  placement.Result `msgpack:"r,omitempty"`
	Latency time.Duration    `msgpack:"l,omitempty"` // until the response began
}

// ConfigQuery asks for the newest configuration.
type ConfigQuery struct {
	// AcceptsPacked means that the asking VM decompresses the document.
	AcceptsPacked bool `msgpack:"p,omitempty"`
}

// ConfigReply is the newest configuration; either Raw or Packed is set.
type ConfigReply struct {
	routing.Document
	Packed []byte `msgpack:"z,omitempty"` // the document compressed with DEFLATE
}
