package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/conversation"
	"github.com/endivecourse/endivecourse/edge"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/logline"
	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/rowstore/storepath"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
	"github.com/endivecourse/endivecourse/turnlog"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	// partitions is the number of partitions of the store that rows are spread over. Each
	// partition takes 200 transactions per second; 16 exceed the rate of the whole store.
	partitions = 16
	// cacheDivisor sets the size of the cache of recent turns: the VM's memory divided
	// by it.
	cacheDivisor = 8
	// turnReadsShare is the part of the store's reading rate that reads of conversations may use.
	// The rest is for tables and configuration.
	turnReadsShare = 0.5
	// heapLimitPercent is the Go memory limit in percent of the VM's memory. Sockets and
	// stacks need the rest.
	heapLimitPercent = 60
	// gcPercent is above the default of 100: memory is cheap, and fewer collections save
	// processor time.
	gcPercent = 200
	// exitMargin is the part of the grace period that is not used for draining, so that
	// the process can exit in time.
	exitMargin = 500 * time.Millisecond
)

// startedAt is when this process started.
var startedAt = time.Now()

// EndivedCommand returns the command line of endived, the daemon that runs on the users'
// platform.
func EndivedCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "endived",
		Short:         "Serves agent programs on the users' platform",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(&cobra.Command{
		Use:   "run",
		Short: "Run the daemon with the settings file that " + platform.SettingsVariable + " names",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runEndived(os.Getenv(platform.SettingsVariable)) },
	})
	root.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			loaded, err := platform.LoadSettings(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of VM %s\n", args[0], loaded.VM)
			}
			return err
		},
	})
	return root
}

func runEndived(path string) error {
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(loaded.MemoryBytes * heapLimitPercent / 100)
	logWriter := logline.NewWriter(os.Stdout)
	log := logline.New(logWriter, slog.LevelInfo).With("vm", string(loaded.VM))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e, err := newEndived(loaded, path, nil, log)
	if err != nil {
		return err
	}
	logCtx, stopLog := context.WithCancel(context.Background())
	flushed := make(chan error, 1)
	go func() { flushed <- logWriter.Run(logCtx) }()
	log.Info("started", "incarnation", string(e.self.Incarnation), "domain", string(loaded.Domain), "store", loaded.StoreAddress, "first_start", loaded.IsFirstStart)
	err = e.kernel.Run(ctx, loaded.Grace-exitMargin)
	reason := "signal"
	if err != nil {
		reason = err.Error()
	}
	log.Info("stopped", "reason", reason)
	stopLog()
	return errors.Wrap(firstError(err, <-flushed), "run")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// endived is the kernel with the components of one process.
type endived struct {
	kernel *kernel.Kernel
	self   fleet.Member
}

// newEndived connects the components of a process. dialTarget opens the connections to
// targets; nil means TCP.
func newEndived(loaded platform.Settings, path string, dialTarget hop.DialFunc, log *slog.Logger) (*endived, error) {
	self := fleet.Member{
		VM:             loaded.VM,
		Incarnation:    newIncarnation(loaded.VM),
		Address:        loaded.PeerAddress,
		Domain:         loaded.Domain,
		Region:         loaded.Region,
		Capacity:       loaded.MilliCores,
		GrantsByRegion: true,
	}
	peers, err := net.Listen("tcp", loaded.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections from peers")
	}
	config := routing.NewConfig(platform.DecodeDocument)
	direct := platform.NewStore(loaded.StoreAddress)
	var server *edge.Server
	var conversations *conversation.Keeper
	var router *storepath.Router
	local := &conversation.Local{Partition: partitionOf}
	mesh := fleet.New(fleet.Options{
		Self: self, Seeds: loaded.Seeds, Listener: peers, DirectStore: direct, Config: config, Log: log,
		MaxPeerConns: platform.PeerConns(loaded), MemoryBytes: loaded.MemoryBytes,
		Store:            func() rowstore.Store { return router },
		IsStoreReachable: func() bool { return router.IsDirectUp() },
		Serve: func(s *wire.Server) {
			conversation.Register(s, local)
			conversation.RegisterHolds(s, func() *conversation.Holds { return local.Holds })
		},
		Hooks: fleet.Hooks{
			Digest:       func() fleet.Digest { return server.Digest() },
			ApplyDigest:  func(d fleet.Digest) { server.ApplyDigest(d) },
			Crashes:      func() []quarantine.Report { return server.Crashes() },
			ApplyCrashes: func(reports []quarantine.Report) { server.ApplyCrashes(reports) },
			Lend:         func(account structs.AccountID) int { return server.Lend(account) },
			Admit:        func(request fleet.AdmissionRequest) fleet.AdmissionReply { return server.AdmitForPeer(request) },
			Place: func(ctx context.Context, p fleet.PlacementRequest) fleet.PlacementReply {
				return server.PlaceForPeer(ctx, p)
			},
			Release: func(r fleet.Release) { server.ReleaseForPeer(r) },
			Forward: func(ctx context.Context, req fleet.ForwardRequest, send func(fleet.ForwardReply) error) error {
				return server.ForwardForPeer(ctx, req, send)
			},
			ReachesTargets: func() bool { return server.ReachesTargets() },
			ReportReach:    func(vm fleet.Member, reachesTargets bool) { server.ReportReach(vm, reachesTargets) },
			ProcessEnded:   func(process structs.Incarnation) { local.Ledger.EndProcess(process) },
			ProcessRuns:    func(process structs.Incarnation) { local.Ledger.ProcessRuns(process) },
			Flush:          func(ctx context.Context) { conversations.Flush(ctx) },
			ForgetVM:       func(vm structs.VMID) { server.ForgetVM(vm) },
		},
	})
	router = storepath.NewRouter(direct, mesh, log)
	local.Ledger = ledger.NewKeeper(ledger.Options{
		Self: loaded.VM, Store: router, Partition: partitionOf, FirstStart: loaded.IsFirstStart, Log: log,
	})
	local.Turns = turnlog.New(turnlog.Options{
		Store: router, Partition: partitionOf, Partitions: partitionNames(),
		CacheBytes: int(loaded.MemoryBytes / cacheDivisor), RowBytes: loaded.RowBytes,
		ReadsPerSecond: func() float64 { return turnReadsShare * loaded.StoreReads / float64(mesh.PeerCount()+1) },
	})
	local.Holds = conversation.NewHolds(conversation.HoldOptions{
		Holders: mesh, Ledger: local.Ledger, Store: router, Partition: partitionOf, Partitions: partitionNames(),
		Region: loaded.Region, MayGrant: func() bool { return hasUnstoredTurns(config.Current()) },
		UnreachableFor: func() time.Duration { return router.UnreachableFor() }, FirstStart: loaded.IsFirstStart, Started: startedAt, Log: log,
	})
	conversations = conversation.NewKeeper(local, mesh, log)
	server = edge.New(edge.Options{
		VM: loaded.VM, Process: self.Incarnation, Domain: loaded.Domain, Region: loaded.Region,
		Config:        config,
		Dialect:       platform.Dialect{},
		Store:         router,
		Conversations: conversations,
		Local:         local,
		Peers:         mesh,
		Domains:       loaded.Regions,
		Regions:       regionCount(loaded),
		QuotaSlack:    loaded.QuotaSlack,
		MemoryBytes:   loaded.MemoryBytes,
		ColdBounds:    targetrate.ColdBounds{Overage: loaded.ColdOverage, Slack: loaded.ColdSlack},
		ConfigApply:   loaded.ConfigApply,
		DialTarget:    dialTarget,
		Log:           log,
	})
	operators := mesh.ShareTable(platform.OperatorTable, router)
	follower := &platform.Follower{
		Store: router, Config: config, Edge: server, Regions: loaded.Regions, Log: log,
		FollowOperators: operators.Follow, OperatorsSource: operators.Source,
		VMs: func() int { return mesh.PeerCount() + 1 },
	}
	frontend := &platform.Frontend{Settings: loaded, SettingsPath: path, Edge: server, Config: config, Follower: follower, Log: log}
	k := kernel.New(log, mesh, server, frontend)
	frontend.Metrics = func(w io.Writer) {
		k.WriteMetrics(w)
		direct.WriteMetrics(w)
	}
	frontend.StateDump = http.HandlerFunc(k.ServeDump)
	return &endived{kernel: k, self: self}, nil
}

// hasUnstoredTurns reports whether turns may run on a grant, also before a configuration is known.
func hasUnstoredTurns(table *routing.Table) bool { return table == nil || table.HasUnstoredTurns }

func regionCount(loaded platform.Settings) int {
	regions := make(map[string]bool)
	for _, region := range loaded.Regions {
		regions[region] = true
	}
	return max(len(regions), 1)
}

// partitionOf returns the name of the store's partition that holds a key.
func partitionOf(key string) string {
	return partitionName(xxhash.Sum64String(key) % partitions)
}

func partitionName(n uint64) string { return fmt.Sprintf("p%02d", n) }

func partitionNames() []string {
	names := make([]string, partitions)
	for n := range names {
		names[n] = partitionName(uint64(n))
	}
	return names
}
