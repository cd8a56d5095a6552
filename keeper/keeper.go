package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Keeper is a kernel.Component that holds leases and keeps the journal.
type Keeper struct {
	opts   Options
	cfg    lease.Config
	leases []atomic.Pointer[leaseView] // by group, for Held

	mu      sync.Mutex
	node    *lease.Node
	witness *tail.WitnessLog
	groups  []*groupState
	outbox  map[structs.Incarnation]*outbox
	senders map[structs.Incarnation]bool // a batch is on its way
	members map[structs.VMID]lease.Member
	gone    map[structs.VMID]bool
	leaving map[structs.Incarnation]bool // this process included
	handing map[lease.Group]*handing
	failing map[structs.VMID]structs.Instant // since when exchanges fail
	// startedAt and greeted delay the first step towards a group; see mayAct.
	startedAt structs.Instant
	greeted   bool
	objects   uint64 // number of the last object written
	changes   []journal.SlotChange

	changed   chan struct{} // changes is not empty
	delivered chan journal.SlotChange
	reads     *kernel.Ring[lease.Group]
	writes    *kernel.Ring[lease.WriteRow]
	jobs      *kernel.Ring[lease.CollectTail]
	calls     *kernel.Ring[func(context.Context)]
	drainNow  chan struct{}
	draining  chan struct{} // holds an element while a drain runs
	stop      context.CancelFunc
}

type leaseView struct {
	epoch structs.Epoch
	until structs.Instant
}

// groupState is what this process keeps of one group beside its lease.
type groupState struct {
	id      lease.Group
	tail    *tail.OwnerLog // nil when this process is not the owner
	since   structs.Epoch
	waiting []*waiter
	move    *move
	index   *indexRow // nil when it must be read
	carried bool      // the last loss was of an epoch that this process follows itself
}

type waiter struct {
	slot  structs.Slot
	epoch structs.Epoch
	upto  uint64
	done  chan error
}

// move waits until the tail stands with a pending witness set.
type move struct {
	epoch   structs.Epoch
	pending []lease.Member
	upto    uint64
}

const (
	ringSize    = 1024
	storeTasks  = 4
	callTasks   = 16
	jobTasks    = 4
	maxMessages = 4096 // for one peer
)

// New makes a Keeper. It returns *OptionError.
func New(opts Options) (*Keeper, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	cfg := opts.leaseConfig()
	k := &Keeper{
		opts:      opts,
		cfg:       cfg,
		leases:    make([]atomic.Pointer[leaseView], cfg.Groups),
		node:      lease.NewNode(cfg, opts.Self),
		witness:   tail.NewWitnessLog(opts.MaxTail),
		outbox:    make(map[structs.Incarnation]*outbox),
		senders:   make(map[structs.Incarnation]bool),
		members:   make(map[structs.VMID]lease.Member),
		gone:      make(map[structs.VMID]bool),
		leaving:   make(map[structs.Incarnation]bool),
		handing:   make(map[lease.Group]*handing),
		failing:   make(map[structs.VMID]structs.Instant),
		changed:   make(chan struct{}, 1),
		delivered: make(chan journal.SlotChange),
		drainNow:  make(chan struct{}, 1),
		draining:  make(chan struct{}, 1),
	}
	for g := range cfg.Groups {
		k.groups = append(k.groups, &groupState{id: lease.Group(g)})
	}
	return k, nil
}

func (o *Options) check() error {
	switch {
	case o.Lease.Slots <= 0:
		return &OptionError{Option: "Lease.Slots", Reason: "must be positive"}
	case o.Lease.Renew <= 0 || o.Lease.Duration < 2*o.Lease.Renew:
		return &OptionError{Option: "Lease.Duration", Reason: "must be at least twice Lease.Renew"}
	case o.Lease.ClockDrift < 0 || o.Lease.ClockDrift >= 0.5:
		return &OptionError{Option: "Lease.ClockDrift", Reason: "must be at least 0 and below 0.5"}
	case o.Self.Incarnation == "" || o.Self.VM == "" || o.Self.Addr == "":
		return &OptionError{Option: "Self", Reason: "must be whole"}
	case o.StoreWriteRate <= 0:
		o.StoreWriteRate = DefaultStoreWriteRate
	}
	return nil
}

// Name returns the component's name.
func (k *Keeper) Name() string { return "keeper" }

// Start starts the duties.
func (k *Keeper) Start(_ context.Context, kern *kernel.Kernel) error {
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	k.startedAt = structs.Now()
	k.reads = kernel.NewRing[lease.Group](kern, "keeper.reads", ringSize)
	k.writes = kernel.NewRing[lease.WriteRow](kern, "keeper.writes", ringSize)
	k.jobs = kernel.NewRing[lease.CollectTail](kern, "keeper.jobs", ringSize)
	k.calls = kernel.NewRing[func(context.Context)](kern, "keeper.calls", ringSize)
	run := func(name string, tasks int, duty func(context.Context)) {
		for range tasks {
			kern.Go(name, func(dutyCtx context.Context) error {
				both, cancel := context.WithCancel(dutyCtx)
				defer cancel()
				defer context.AfterFunc(ctx, cancel)()
				duty(both)
				return nil
			})
		}
	}
	run("keeper.changes", 1, k.deliverChanges)
	run("keeper.reads", 1, k.serveReads)
	run("keeper.writes", storeTasks, k.serveWrites)
	run("keeper.jobs", jobTasks, k.serveJobs)
	run("keeper.calls", callTasks, k.serveCalls)
	run("keeper.drain", 1, k.serveDrain)
	run("keeper.sweep", 1, k.serveSweep)
	run("keeper.poll", 1, k.servePoll)
	run("keeper.tick", 1, k.serveTicks)
	return nil
}

// Stop ends the duties. Leases that were not released run out.
func (k *Keeper) Stop(context.Context) error {
	k.stop()
	return nil
}

// wakes is how often successions go on in one renewal interval.
const wakes = 4

func (k *Keeper) serveTicks(ctx context.Context) {
	n := 0
	every(ctx, k.cfg.RenewInterval/wakes, func() {
		if n++; n%wakes != 1 {
			k.step(lease.Wake{})
			return
		}
		k.tellMembership()
		k.step(lease.Tick{})
		k.mu.Lock()
		k.flush()
		k.flushTails()
		k.mu.Unlock()
	})
}

// every calls f at once and then in each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// step takes one event and carries out its actions.
func (k *Keeper) step(ev lease.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(ev)
}

func (k *Keeper) stepLocked(ev lease.Event) {
	actions, err := k.node.Step(structs.Now(), ev)
	if err != nil {
		violationsTotal.Inc()
		k.opts.Log.Error("lease invariant", "error", err)
	}
	for g := range k.leases {
		group := lease.Group(g)
		k.witness.Promise(group, k.node.PromisedEpoch(group))
		epoch, until := k.node.Lease(group)
		if view := k.leases[g].Load(); view == nil || *view != (leaseView{epoch, until}) {
			k.leases[g].Store(&leaseView{epoch: epoch, until: until})
		}
	}
	for _, a := range actions {
		k.act(a)
	}
	if urgent(actions) {
		k.flush()
	}
}

// urgent reports that a message shouldn't wait for the next renewal: somebody
// waits for a group to get its next owner.
func urgent(actions []lease.Action) bool {
	for _, a := range actions {
		if send, ok := a.(lease.SendMessage); ok && (send.Message.Kind == lease.PromiseRequest || send.Message.Kind == lease.ReleaseNotice) {
			return true
		}
	}
	return false
}

func (k *Keeper) act(a lease.Action) {
	switch a := a.(type) {
	case lease.SendMessage:
		k.post(a.Message)
	case lease.ReadRow:
		k.reads.TryPut(a.Group)
	case lease.WriteRow:
		if !k.writes.TryPut(a) {
			k.stepLocked(lease.WriteFailed{Group: a.Group, Version: a.Version})
		}
	case lease.CollectTail:
		k.jobs.TryPut(a)
	case lease.Handover:
		k.handover(a)
	case lease.MoveTail:
		k.beginMove(a)
	case lease.Gained:
		gainsTotal.Inc()
		k.gained(a)
	case lease.Lost:
		lossesTotal.Inc()
		k.lost(a)
	}
}
