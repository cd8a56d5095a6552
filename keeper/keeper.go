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

// Keeper is the kernel.Component that holds the leases and replicates and stores
// the journal of one scheduler.
type Keeper struct {
	opts   Options
	cfg    lease.Config
	leases []atomic.Pointer[leaseView] // by group; Held reads it without the lock

	mu           sync.Mutex
	node         *lease.Node
	witness      *tail.WitnessLog
	groups       []*groupState
	outbox       map[structs.Incarnation]*outbox
	sending      map[structs.Incarnation]bool // a batch is being sent to this witness
	members      map[structs.VMID]lease.Member
	gone         map[structs.VMID]bool
	leaving      map[structs.Incarnation]bool // includes this process
	groupRelease map[lease.Group]*groupRelease
	failingSince map[structs.VMID]structs.Instant // start of the current failures
	// startedAt and hasInitialPeers delay the first acquisition; see canAcquire.
	startedAt       structs.Instant
	hasInitialPeers bool
	lastObject      uint64 // number in the key of the last object
	changes         []journal.SlotChange

	changed   chan struct{} // signals that changes is not empty
	delivered chan journal.SlotChange
	reads     *kernel.Ring[lease.Group]
	writes    *kernel.Ring[lease.WriteRow]
	collects  *kernel.Ring[lease.CollectTail]
	calls     *kernel.Ring[func(context.Context)]
	drainNow  chan struct{}
	drainSem  chan struct{} // semaphore: one drain at a time
	stop      context.CancelFunc
}

type leaseView struct {
	epoch     structs.Epoch
	expiresAt structs.Instant
}

// groupState is the journal state of one group; its lease is in node.
type groupState struct {
	id             lease.Group
	tail           *tail.OwnerLog // nil when this process is not the owner
	since          structs.Epoch
	waiting        []*waiter
	pendingMove    *tailMove
	index          *indexRow // nil when it must be read from the table
	isOwnSuccessor bool      // the epoch last lost was followed by one of this process
}

type waiter struct {
	slot      structs.Slot
	epoch     structs.Epoch
	lastIndex uint64
	done      chan error
}

// tailMove is a pending change of the witness set. It completes once the pending
// set holds all entries up to lastIndex.
type tailMove struct {
	epoch     structs.Epoch
	pending   []lease.Member
	lastIndex uint64
}

const (
	ringSize     = 1024
	storeTasks   = 4
	callTasks    = 16
	collectTasks = 4
	maxMessages  = 4096 // queued for one peer
)

// New returns a Keeper, or *OptionError when an option is not valid.
func New(opts Options) (*Keeper, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	cfg := opts.leaseConfig()
	k := &Keeper{
		opts:         opts,
		cfg:          cfg,
		leases:       make([]atomic.Pointer[leaseView], cfg.Groups),
		node:         lease.NewNode(cfg, opts.Self),
		witness:      tail.NewWitnessLog(opts.MaxTail),
		outbox:       make(map[structs.Incarnation]*outbox),
		sending:      make(map[structs.Incarnation]bool),
		members:      make(map[structs.VMID]lease.Member),
		gone:         make(map[structs.VMID]bool),
		leaving:      make(map[structs.Incarnation]bool),
		groupRelease: make(map[lease.Group]*groupRelease),
		failingSince: make(map[structs.VMID]structs.Instant),
		changed:      make(chan struct{}, 1),
		delivered:    make(chan journal.SlotChange),
		drainNow:     make(chan struct{}, 1),
		drainSem:     make(chan struct{}, 1),
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
		return &OptionError{Option: "Self", Reason: "must have Incarnation, VM and Addr"}
	case o.StoreWriteRate <= 0:
		o.StoreWriteRate = DefaultStoreWriteRate
	}
	return nil
}

// Name implements kernel.Component.
func (k *Keeper) Name() string { return "keeper" }

// Start starts the workers.
func (k *Keeper) Start(_ context.Context, kern *kernel.Kernel) error {
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	k.startedAt = structs.Now()
	k.reads = kernel.NewRing[lease.Group](kern, "keeper.reads", ringSize)
	k.writes = kernel.NewRing[lease.WriteRow](kern, "keeper.writes", ringSize)
	k.collects = kernel.NewRing[lease.CollectTail](kern, "keeper.jobs", ringSize)
	k.calls = kernel.NewRing[func(context.Context)](kern, "keeper.calls", ringSize)
	startWorkers := func(name string, tasks int, work func(context.Context)) {
		for range tasks {
			kern.Go(name, func(workerCtx context.Context) error {
				merged, cancel := context.WithCancel(workerCtx)
				defer cancel()
				defer context.AfterFunc(ctx, cancel)()
				work(merged)
				return nil
			})
		}
	}
	startWorkers("keeper.changes", 1, k.deliverChanges)
	startWorkers("keeper.reads", 1, k.serveReads)
	startWorkers("keeper.writes", storeTasks, k.serveWrites)
	startWorkers("keeper.jobs", collectTasks, k.serveCollects)
	startWorkers("keeper.calls", callTasks, k.serveCalls)
	startWorkers("keeper.drain", 1, k.serveDrain)
	startWorkers("keeper.sweep", 1, k.serveSweep)
	startWorkers("keeper.poll", 1, k.servePoll)
	startWorkers("keeper.tick", 1, k.serveTicks)
	return nil
}

// Stop ends the workers. Leases that were not released expire.
func (k *Keeper) Stop(context.Context) error {
	k.stop()
	return nil
}

// wakesPerRenewal is the number of steps per renewal interval: one lease.Tick, and
// lease.Wake for the others, which only advance successions.
const wakesPerRenewal = 4

func (k *Keeper) serveTicks(ctx context.Context) {
	n := 0
	every(ctx, k.cfg.RenewInterval/wakesPerRenewal, func() {
		if n++; n%wakesPerRenewal != 1 {
			k.step(lease.Wake{})
			return
		}
		k.updateMembership()
		k.step(lease.Tick{})
		k.mu.Lock()
		k.flushOutboxes()
		k.flushTails()
		k.mu.Unlock()
	})
}

// every calls f immediately and then once per interval until ctx ends.
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

// step passes one event to the lease state machine and performs the actions it returns.
func (k *Keeper) step(ev lease.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(ev)
}

func (k *Keeper) stepLocked(ev lease.Event) {
	actions, err := k.node.Step(structs.Now(), ev)
	if err != nil {
		violationsTotal.Inc()
		k.opts.Log.Error("lease invariant violated", "error", err)
	}
	for g := range k.leases {
		group := lease.Group(g)
		k.witness.Promise(group, k.node.PromisedEpoch(group))
		epoch, expiresAt := k.node.Lease(group)
		if view := k.leases[g].Load(); view == nil || *view != (leaseView{epoch, expiresAt}) {
			k.leases[g].Store(&leaseView{epoch: epoch, expiresAt: expiresAt})
		}
	}
	for _, a := range actions {
		k.perform(a)
	}
	if isUrgent(actions) {
		k.flushOutboxes()
	}
}

// isUrgent reports whether the actions include a message that must not wait for
// the next renewal, because a group has no owner until it arrives.
func isUrgent(actions []lease.Action) bool {
	for _, a := range actions {
		if send, ok := a.(lease.SendMessage); ok && (send.Message.Kind == lease.PromiseRequest || send.Message.Kind == lease.ReleaseNotice) {
			return true
		}
	}
	return false
}

func (k *Keeper) perform(a lease.Action) {
	switch a := a.(type) {
	case lease.SendMessage:
		k.enqueue(a.Message)
	case lease.ReadRow:
		k.reads.TryPut(a.Group)
	case lease.WriteRow:
		if !k.writes.TryPut(a) {
			k.stepLocked(lease.WriteFailed{Group: a.Group, Version: a.Version})
		}
	case lease.CollectTail:
		k.collects.TryPut(a)
	case lease.Handover:
		k.acceptHandover(a)
	case lease.MoveTail:
		k.beginMove(a)
	case lease.Gained:
		gainsTotal.Inc()
		k.applyGain(a)
	case lease.Lost:
		lossesTotal.Inc()
		k.applyLoss(a)
	}
}
