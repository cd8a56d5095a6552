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

// files are the flags that name a base file and an overlay.
type files struct{ base, overlay string }

func (f *files) add(c *cobra.Command) {
	c.Flags().StringVar(&f.base, "base", "", "base file")
	c.Flags().StringVar(&f.overlay, "overlay", "", "overlay file of the site")
}

func (f *files) load() (config.Document, error) {
	if f.base == "" {
		return config.Document{}, usage("--base is missing")
	}
	return config.Load(f.base, f.overlay)
}

func (a *app) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check, compare and change the configuration"}
	c.AddCommand(a.configCheck(), a.configDiff(), a.configApply(), a.configShow(), a.configHistory(), a.configRollback())
	return noun(c)
}

func (a *app) configCheck() *cobra.Command {
	var f files
	var show bool
	c := &cobra.Command{
		Use:     "check",
		Short:   "Merge the files and check the result; every mistake is reported",
		Example: "  endivectl config check --base base.jsonc --overlay overlay.jsonc --show",
		Args:    nArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			doc, err := f.load()
			if err != nil {
				return err
			}
			if show {
				return a.printJSON(doc)
			}
			return a.print(sizesOf(doc), sizesOf(doc).print)
		},
	}
	f.add(c)
	c.Flags().BoolVar(&show, "show", false, "print the merged document")
	return c
}

// sizes counts a document's entries.
type sizes struct {
	Domains  int `json:"domains"`
	Accounts int `json:"accounts"`
	Programs int `json:"programs"`
	Services int `json:"services"`
	Targets  int `json:"targets"`
	Routes   int `json:"routes"`
}

func sizesOf(doc config.Document) sizes {
	s := sizes{
		Domains: len(doc.Domains), Accounts: len(doc.Accounts), Programs: len(doc.Programs),
		Services: len(doc.Services), Routes: len(doc.Routes),
	}
	for _, service := range doc.Services {
		s.Targets += len(service.Targets)
	}
	return s
}

func (s sizes) print(w io.Writer) {
	fmt.Fprintf(w, "ok: %d failure domains, %d accounts, %d programs, %d services, %d targets, %d routes\n",
		s.Domains, s.Accounts, s.Programs, s.Services, s.Targets, s.Routes)
}

func (a *app) configDiff() *cobra.Command {
	var f files
	var keys string
	c := &cobra.Command{
		Use:     "diff",
		Short:   "Show what apply would change",
		Example: "  endivectl config diff --base base.jsonc --overlay overlay.jsonc",
		Args:    nArgs(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			doc, err := f.load()
			if err != nil {
				return err
			}
			_, current, err := a.current(c.Context())
			if err != nil {
				return err
			}
			doc, err = chooseKeys(keys, current.doc, doc)
			if err != nil {
				return err
			}
			changes, err := diff(current.doc, doc)
			if err != nil {
				return err
			}
			return a.print(struct {
				Version uint64   `json:"version"`
				Changes []change `json:"changes"`
			}{current.version, changes}, func(w io.Writer) { printChanges(w, current.version, changes) })
		},
	}
	f.add(c)
	addKeysFlag(c, &keys)
	return c
}

func (a *app) configApply() *cobra.Command {
	var f files
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
		Args: nArgs(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			doc, err := f.load()
			if err != nil {
				return err
			}
			return a.change(c.Context(), wait, expect, func(current config.Document) (config.Document, error) {
				return chooseKeys(keys, current, doc)
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
	c.Flags().DurationVar(wait, "wait", defaultWait, "how long to wait until the version is in force everywhere; 0s does not wait")
}

func (a *app) configHistory() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the stored versions",
		Example: "  endivectl config history --json",
		Args:    nArgs(0, 0),
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
are now, so that a withdrawn key does not come back; --keys=files takes those of
the earlier version.`,
		Example: "  endivectl config rollback 41",
		Args:    nArgs(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usage("VERSION must be a whole number, not %q", args[0])
			}
			store, err := a.store()
			if err != nil {
				return err
			}
			earlier, err := store.Version(c.Context(), version)
			if err != nil {
				return err
			}
			return a.change(c.Context(), wait, -1, func(current config.Document) (config.Document, error) {
				return chooseKeys(keys, current, earlier.Document())
			})
		},
	}
	addKeysFlag(c, &keys)
	addWaitFlag(c, &wait)
	return c
}

// stored is the latest stored version; version 0 has an empty document.
type stored struct {
	version uint64
	doc     config.Document
}

func (a *app) current(ctx context.Context) (*config.Store, stored, error) {
	store, err := a.store()
	if err != nil {
		return nil, stored{}, err
	}
	snapshot, err := store.Current(ctx)
	if err != nil || snapshot == nil {
		return store, stored{}, err
	}
	return store, stored{version: snapshot.Version(), doc: snapshot.Document()}, nil
}
