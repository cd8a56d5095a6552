package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/settings"
)

// Exit statuses of a daemon.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadSettings = 2
)

// Role describes one kind of daemon.
type Role struct {
	Name  string // name of the executable
	Short string // one line of help
	// Check applies the checks that only this role needs to the settings.
	Check func(settings.Daemon) error
	// Build creates the daemon's components, in the order in which they start.
	Build func(settings.Daemon, *slog.Logger) ([]kernel.Component, error)
}

// settingsError marks an error caused by the settings file; the daemon then exits with
// ExitBadSettings.
type settingsError struct{ cause error }

func (e *settingsError) Error() string { return e.cause.Error() }

func (e *settingsError) Unwrap() error { return e.cause }

// Main runs the role's command line and returns the exit status.
func Main(role Role, args []string, stderr io.Writer) int {
	root := command(role)
	root.SetArgs(args)
	root.SetErr(stderr)
	err := root.Execute()
	var bad *settingsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &bad):
		fmt.Fprintln(stderr, err)
		return ExitBadSettings
	default:
		fmt.Fprintf(stderr, "%s: %v\n", role.Name, err)
		return ExitFailed
	}
}

func command(role Role) *cobra.Command {
	var file string
	root := &cobra.Command{
		Use:           role.Name,
		Short:         role.Short,
		Example:       fmt.Sprintf("  %s --settings /etc/endivecourse/%s.jsonc\n  %s check --settings %s.jsonc", role.Name, role.Name, role.Name, role.Name),
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			loaded, err := load(role, file)
			if err != nil {
				return err
			}
			return run(role, loaded)
		},
	}
	root.PersistentFlags().StringVar(&file, "settings", "", "settings file (JSON with comments)")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings file and exit",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := load(role, file)
			return err
		},
	})
	return root
}

func load(role Role, file string) (settings.Daemon, error) {
	loaded, err := settings.Load(file)
	if err == nil {
		err = role.Check(loaded)
	}
	if err != nil {
		return settings.Daemon{}, &settingsError{cause: err}
	}
	return loaded, nil
}

func run(role Role, loaded settings.Daemon) error {
	log := NewLogger(loaded, os.Stderr).With("daemon", role.Name)
	components, err := role.Build(loaded, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("starting")
	err = kernel.New(log, components...).Run(ctx, loaded.Limits.DrainTimeout.Std())
	log.Info("stopped")
	return err
}

// NewLogger returns a logger with the level and the format of the settings; an unknown
// level means info. Every line carries the VM and its failure domain.
func NewLogger(loaded settings.Daemon, out io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(loaded.Log.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(out, options)
	if loaded.Log.Format == "text" {
		handler = slog.NewTextHandler(out, options)
	}
	return slog.New(handler).With("vm", loaded.VM, "domain", loaded.Domain)
}
