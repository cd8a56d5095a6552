package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/wire"
)

// Environment variables that give defaults to flags.
const (
	EnvPlatform = "ENDIVE_PLATFORM"
	EnvAuthor   = "ENDIVE_AUTHOR"
	// EnvOperatorToken holds the operators' token; it is never taken from a flag,
	// which other users of the machine could read.
	EnvOperatorToken = "ENDIVE_OPERATOR_TOKEN"
)

const defaultTimeout = 5 * time.Second

// app is what all verbs share.
type app struct {
	out, errOut io.Writer

	json        bool
	platformURL string
	driver      string
	timeout     time.Duration
	author      string
	schedulers  []string
	tls         wire.TLSFiles
}

// Run executes the command line and returns the exit status.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		// A wrong flag ends the parsing before a later --json is seen.
		printError(errOut, err, a.json || slices.Contains(args, "--json"))
	}
	return exitStatus(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "endivectl",
		Short: "Operate endivecourse",
		Long: `Operate endivecourse: configuration, accounts, keys, programs, targets and VMs.

Exit statuses:
  0  done
  1  failed
  2  wrong usage or a wrong file
  3  another operator stored a version first; nothing was stored
  4  stored, but not yet in force in every failure domain

Environment:
  ENDIVE_PLATFORM        default of --platform
  ENDIVE_AUTHOR          default of --author
  ENDIVE_OPERATOR_TOKEN  token for the daemons' admin addresses`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	flags := root.PersistentFlags()
	flags.BoolVar(&a.json, "json", false, "print JSON")
	flags.StringVar(&a.platformURL, "platform", os.Getenv(EnvPlatform), "URL of the platform's services")
	flags.StringVar(&a.driver, "platform-driver", "http", "name of the platform driver")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of one request")
	flags.StringVar(&a.author, "author", defaultAuthor(), "name to store with a version")
	flags.StringSliceVar(&a.schedulers, "scheduler", nil, "wire addresses of schedulers, in place of the platform's list")
	flags.StringVar(&a.tls.Cert, "tls-cert", "", "certificate file for wire addresses")
	flags.StringVar(&a.tls.Key, "tls-key", "", "key file for wire addresses")
	flags.StringVar(&a.tls.CA, "tls-ca", "", "CA file for wire addresses")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage("%v", err) })
	root.AddCommand(a.configCommand(), a.keyCommand(), a.accountCommand(), a.programCommand(),
		a.targetCommand(), a.vmCommand(), a.stateCommand(), a.versionCommand())
	return noun(root)
}

func defaultAuthor() string {
	if author := os.Getenv(EnvAuthor); author != "" {
		return author
	}
	return os.Getenv("USER")
}

// noun makes a command that only holds verbs refuse anything else.
func noun(c *cobra.Command) *cobra.Command {
	c.Args = cobra.ArbitraryArgs
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usage("%s has no command %q; see %s --help", c.CommandPath(), args[0], c.CommandPath())
		}
		return c.Help()
	}
	return c
}

// nArgs requires between least and most arguments, named for the message.
func nArgs(least, most int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) < least || len(args) > most {
			return usage("usage: %s", c.UseLine())
		}
		return nil
	}
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this program",
		Example: "  endivectl version",
		Args:    nArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			info := struct {
				Version  string `json:"version"`
				Revision string `json:"revision,omitempty"`
				Go       string `json:"go"`
			}{Version: "unknown"}
			if build, ok := debug.ReadBuildInfo(); ok {
				info.Version, info.Go = build.Main.Version, build.GoVersion
				for _, s := range build.Settings {
					if s.Key == "vcs.revision" {
						info.Revision = s.Value
					}
				}
			}
			return a.print(info, func(w io.Writer) {
				fmt.Fprintf(w, "endivectl %s\t%s\t%s\n", info.Version, info.Revision, info.Go)
			})
		},
	}
}

// print writes value as JSON, or as the text that human writes; tabs align.
func (a *app) print(value any, human func(w io.Writer)) error {
	if a.json {
		return a.printJSON(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	human(w)
	return w.Flush()
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// platform makes the services of the platform.
func (a *app) platform() (backing.Services, error) {
	if a.platformURL == "" {
		return backing.Services{}, usage("the platform is not given: use --platform or %s", EnvPlatform)
	}
	factory, err := kernel.Lookup[backing.Factory](kernel.ModuleID("platform." + a.driver))
	if err != nil {
		return backing.Services{}, usage("--platform-driver: %v", err)
	}
	return factory(a.platformURL, a.timeout)
}

func (a *app) store() (*config.Store, error) {
	services, err := a.platform()
	return &config.Store{Table: services.Table}, err
}
