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
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/logline"
	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/rowstore/storepath"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	// partitions spreads rows over the store's partitions, each of which
	// takes 200 transactions a second; 16 pass the store's whole rate.
	partitions = 16
	// cachePart is the part of a VM's memory for recent turns.
	cachePart = 8
	// memoryPart is the part of a VM's memory that the heap may reach, in
	// percent; sockets and stacks need the rest.
	memoryPart = 60
	// garbagePercent trades memory, which is cheap, for processor time.
	garbagePercent = 200
	// drainMargin is kept from the grace period for the process's own end.
	drainMargin = 500 * time.Millisecond
)

// EndivedCommand returns the command line of the daemon that runs on the users'
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
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(loaded.MemoryBytes * memoryPart / 100)
	lines := logline.NewWriter(os.Stdout)
	log := logline.New(lines, slog.LevelInfo).With("vm", string(loaded.VM))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e, err := newEndived(loaded, path, log)
	if err != nil {
		return err
	}
	logged, ended := context.WithCancel(context.Background())
	flushed := make(chan error, 1)
	go func() { flushed <- lines.Run(logged) }()
	log.Info("started", "incarnation", string(e.self.Incarnation), "domain", string(loaded.Domain), "store", loaded.StoreAddress, "first_start", loaded.IsFirstStart)
	err = e.kernel.Run(ctx, loaded.Grace-drainMargin)
	reason := "signal"
	if err != nil {
		reason = err.Error()
	}
	log.Info("stopped", "reason", reason)
	ended()
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

// endived joins the components of one process.
type endived struct {
	kernel *kernel.Kernel
	self   fleet.Member
}

func newEndived(loaded platform.Settings, path string, log *slog.Logger) (*endived, error) {
	self := fleet.Member{
		VM:          loaded.VM,
		Incarnation: newIncarnation(loaded.VM),
		Address:     loaded.PeerAddress,
		Domain:      loaded.Domain,
		Region:      loaded.Region,
	}
	peers, err := net.Listen("tcp", loaded.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	config := routing.NewConfig(platform.DecodeDocument)
	direct := platform.NewStore(loaded.StoreAddress)
	var server *edge.Server
	var router *storepath.Router
	local := &conversation.Local{Partition: partitionOf}
	mesh := fleet.New(fleet.Options{
		Self: self, Seeds: loaded.Seeds, Listener: peers, DirectStore: direct, Config: config, Log: log,
		Store:            func() rowstore.Store { return router },
		IsStoreReachable: func() bool { return router.IsDirectUp() },
		Serve:            func(s *wire.Server) { conversation.Register(s, local) },
		Hooks: fleet.Hooks{
			Digest:      func() fleet.Digest { return server.Digest() },
			ApplyDigest: func(d fleet.Digest) { server.ApplyDigest(d) },
			Lend:        func(account structs.AccountID) int { return server.Lend(account) },
			Admit:       func(question fleet.AdmissionRequest) fleet.AdmissionReply { return server.AdmitForPeer(question) },
			Place: func(ctx context.Context, p fleet.PlacementRequest) fleet.PlacementReply {
				return server.PlaceForPeer(ctx, p)
			},
			Release:  func(r fleet.Release) { server.ReleaseForPeer(r) },
			ForgetVM: func(vm structs.VMID) { server.ForgetVM(vm) },
		},
	})
	router = storepath.NewRouter(direct, mesh, log)
	local.Ledger = ledger.NewKeeper(ledger.Options{
		Store: router, Partition: partitionOf, FirstStart: loaded.IsFirstStart, Log: log,
	})
	local.Turns = turnlog.New(turnlog.Options{
		Store: router, Partition: partitionOf, Partitions: partitionNames(),
		CacheBytes: int(loaded.MemoryBytes / cachePart), RowBytes: loaded.RowBytes,
	})
	server = edge.New(edge.Options{
		VM: loaded.VM, Domain: loaded.Domain, Region: loaded.Region,
		Config:        config,
		Dialect:       platform.Dialect{},
		Store:         router,
		Conversations: conversation.NewKeeper(local, mesh, log),
		Local:         local,
		Peers:         mesh,
		Regions:       regionCount(loaded),
		QuotaSlack:    loaded.QuotaSlack,
		Log:           log,
	})
	followers := &platform.Follower{
		Store: router, Config: config, Edge: server, Regions: loaded.Regions, Log: log,
		VMs: func() int { return mesh.PeerCount() + 1 },
	}
	front := &platform.Frontend{Settings: loaded, SettingsPath: path, Edge: server, Config: config, Follower: followers, Log: log}
	k := kernel.New(log, mesh, server, front)
	front.Metrics = func(w io.Writer) {
		k.WriteMetrics(w)
		direct.WriteMetrics(w)
	}
	front.StateDump = http.HandlerFunc(k.ServeDump)
	return &endived{kernel: k, self: self}, nil
}

func regionCount(loaded platform.Settings) int {
	regions := make(map[string]bool)
	for _, region := range loaded.Regions {
		regions[region] = true
	}
	return max(len(regions), 1)
}

// partitionOf maps a key to one of the store's partitions.
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
