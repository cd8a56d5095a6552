package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/config"
)

const defaultWait = 30 * time.Second

// configFiles holds the flags that name the base file and the overlay.
type configFiles struct{ base, overlay string }

func (f *configFiles) add(c *cobra.Command) {
	c.Flags().StringVar(&f.base, "base", "", "base file")
	c.Flags().StringVar(&f.overlay, "overlay", "", "overlay file of the site")
}

func (f *configFiles) load() (config.Document, error) {
	if f.base == "" {
		return config.Document{}, usageErrorf("--base is missing")
	}
	return config.Load(f.base, f.overlay)
}

func (a *app) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check, compare and change the configuration"}
	c.AddCommand(a.configCheck(), a.configDiff(), a.configApply(), a.configShow(), a.configHistory(), a.configRollback())
	return commandGroup(c)
}

func (a *app) configCheck() *cobra.Command {
	var f configFiles
	var isShown bool
	c := &cobra.Command{
		Use:     "check",
		Short:   "Merge the files and check the result; every mistake is reported",
		Example: "  endivectl config check --base base.jsonc --overlay overlay.jsonc --show",
		Args:    argCount(0, 0),
		RunE: func(*cobra.Command, []string) error {
			doc, err := f.load()
			if err != nil {
				return err
			}
			if isShown {
				return a.printJSON(doc)
			}
			return a.print(countEntries(doc), countEntries(doc).print)
		},
	}
	f.add(c)
	c.Flags().BoolVar(&isShown, "show", false, "print the merged document")
	return c
}

// entryCounts holds the number of entries of each kind in a document.
type entryCounts struct {
	Domains  int `json:"domains"`
	Accounts int `json:"accounts"`
	Programs int `json:"programs"`
	Services int `json:"services"`
	Targets  int `json:"targets"`
	Routes   int `json:"routes"`
}

func countEntries(doc config.Document) entryCounts {
	s := entryCounts{
		Domains: len(doc.Domains), Accounts: len(doc.Accounts), Programs: len(doc.Programs),
		Services: len(doc.Services), Routes: len(doc.Routes),
	}
	for _, service := range doc.Services {
		s.Targets += len(service.Targets)
	}
	return s
}

func (s entryCounts) print(w io.Writer) {
	fmt.Fprintf(w, "ok: %d failure domains, %d accounts, %d programs, %d services, %d targets, %d routes\n",
		s.Domains, s.Accounts, s.Programs, s.Services, s.Targets, s.Routes)
}

func (a *app) configDiff() *cobra.Command {
	var f configFiles
	var keys string
	c := &cobra.Command{
		Use:     "diff",
		Short:   "Show what apply would change",
		Example: "  endivectl config diff --base base.jsonc --overlay overlay.jsonc",
		Args:    argCount(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			doc, err := f.load()
			if err != nil {
				return err
			}
			_, current, err := a.current(c.Context())
			if err != nil {
				return err
			}
			doc, err = selectKeys(keys, current.doc, doc)
			if err != nil {
				return err
			}
			changes, err := diff(current.doc, doc)
			if err != nil {
				return err
			}
			return a.print(struct {
				Version uint64        `json:"version"`
				Changes []fieldChange `json:"changes"`
			}{current.version, changes}, func(w io.Writer) { printChanges(w, current.version, changes) })
		},
	}
	f.add(c)
	addKeysFlag(c, &keys)
	return c
}

func (a *app) configApply() *cobra.Command {
	var f configFiles
	var keys string
	var expect int64
	var wait time.Duration
	c := &cobra.Command{
		Use:   "apply",
		Short: "Store the merged files as the next version and wait until it is in force",
		Long: `Store the merged files as the next version and wait until it is in force.

The version is stored only if the latest one is still the one that the
comparison was made with, or the one given by --expect. Keys of accounts that
are stored already stay as they are, so that a file cannot bring back a
withdrawn key; --keys=files takes them from the files.`,
		Example: `  endivectl config apply --base base.jsonc --overlay overlay.jsonc
  endivectl config apply --base base.jsonc --overlay overlay.jsonc --expect 41 --wait 0s`,
		Args: argCount(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			doc, err := f.load()
			if err != nil {
				return err
			}
			return a.publishEdit(c.Context(), wait, expect, func(current config.Document) (config.Document, error) {
				return selectKeys(keys, current, doc)
			})
		},
	}
	f.add(c)
	addKeysFlag(c, &keys)
	c.Flags().Int64Var(&expect, "expect", -1, "version that must be the latest one; -1 takes the latest")
	addWaitFlag(c, &wait)
	return c
}

func addWaitFlag(c *cobra.Command, wait *time.Duration) {
	c.Flags().DurationVar(wait, "wait", defaultWait, "how long to wait until the version is in force in all failure domains; 0s does not wait")
}

func (a *app) configHistory() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the stored versions",
		Example: "  endivectl config history --json",
		Args:    argCount(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := a.store()
			if err != nil {
				return err
			}
			history, err := store.History(c.Context())
			if err != nil {
				return err
			}
			return a.print(history, func(w io.Writer) {
				fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR")
				for _, v := range history {
					fmt.Fprintf(w, "%d\t%s\t%s\n", v.Version, v.Time.Format(time.RFC3339), v.Author)
				}
			})
		},
	}
}

func (a *app) configRollback() *cobra.Command {
	var keys string
	var wait time.Duration
	c := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Store an earlier document again, as a new and higher version",
		Long: `Store an earlier document again, as a new and higher version. Keys stay as they
are now, so that a withdrawn key does not become valid again; --keys=files takes
the keys of the earlier version.`,
		Example: "  endivectl config rollback 41",
		Args:    argCount(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageErrorf("VERSION must be a whole number, not %q", args[0])
			}
			store, err := a.store()
			if err != nil {
				return err
			}
			earlier, err := store.Version(c.Context(), version)
			if err != nil {
				return err
			}
			return a.publishEdit(c.Context(), wait, -1, func(current config.Document) (config.Document, error) {
				return selectKeys(keys, current, earlier.Document())
			})
		},
	}
	addKeysFlag(c, &keys)
	addWaitFlag(c, &wait)
	return c
}

// storedConfig is a stored version of the configuration. Version 0, with an empty document,
// means that none is stored yet.
type storedConfig struct {
	version uint64
	doc     config.Document
}

// current returns the configuration store and the latest version in it.
func (a *app) current(ctx context.Context) (*config.Store, storedConfig, error) {
	store, err := a.store()
	if err != nil {
		return nil, storedConfig{}, err
	}
	snapshot, err := store.Current(ctx)
	if err != nil || snapshot == nil {
		return store, storedConfig{}, err
	}
	return store, storedConfig{version: snapshot.Version(), doc: snapshot.Document()}, nil
}
