package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/config/configwatch"
	"github.com/endivecourse/endivecourse/structs"
)

const inForcePollInterval = 100 * time.Millisecond

// Values of --keys.
const (
	keysStored = "stored"
	keysFiles  = "files"
)

func addKeysFlag(c *cobra.Command, keys *string) {
	c.Flags().StringVar(keys, "keys", keysStored, "which keys to use for accounts that are already stored: stored or files")
}

// selectKeys returns next. If choice is "stored", accounts that current also has keep the
// keys that they have in current. Any other choice than "stored" or "files" is an error.
func selectKeys(choice string, current, next config.Document) (config.Document, error) {
	switch choice {
	case keysFiles:
		return next, nil
	case keysStored:
	default:
		return next, usageErrorf("--keys must be %s or %s, not %q", keysStored, keysFiles, choice)
	}
	next.Accounts = maps.Clone(next.Accounts)
	for id, account := range next.Accounts {
		if stored, exists := current.Accounts[id]; exists {
			account.Keys = stored.Keys
			next.Accounts[id] = account
		}
	}
	return next, nil
}

// outcome is what a subcommand that changes the configuration prints.
type outcome struct {
	Version   uint64             `json:"stored_at_version"`
	Changes   []fieldChange      `json:"changes"`
	HasWaited bool               `json:"waited"`
	InForce   int                `json:"in_force"`
	Domains   int                `json:"domains"`
	Missing   []structs.DomainID `json:"missing,omitempty"`
	// Key is a new key in the form in which callers send it.
	Key   string `json:"key,omitempty"`
	KeyID string `json:"key_id,omitempty"`
}

// publishEdit applies edit to the latest version, stores the result as the next version and
// waits up to wait until it is in force. It stores nothing if the latest version is not
// expect; a negative expect stands for the version that was edited.
func (a *app) publishEdit(ctx context.Context, wait time.Duration, expect int64, edit func(config.Document) (config.Document, error)) error {
	return a.publishEditWith(ctx, wait, expect, edit, &outcome{})
}

// publishEditWith does what publishEdit does and completes and prints o, in which the
// caller may have set a new key.
func (a *app) publishEditWith(ctx context.Context, wait time.Duration, expect int64, edit func(config.Document) (config.Document, error), o *outcome) error {
	if a.author == "" {
		return usageErrorf("the author is not given: use --author or %s", EnvAuthor)
	}
	store, current, err := a.current(ctx)
	if err != nil {
		return &config.NotStoredError{Cause: err}
	}
	next, err := edit(current.doc)
	if err != nil {
		return err
	}
	if o.Changes, err = diff(current.doc, next); err != nil {
		return err
	}
	expected := current.version
	if expect >= 0 {
		expected = uint64(expect)
	}
	if o.Version, err = store.Publish(ctx, expected, a.author, next); err != nil {
		return err
	}
	if !a.isJSON {
		printStored(a.out, current.version, o)
	}
	if wait > 0 {
		o.HasWaited = true
		a.waitInForce(ctx, store.Table, wait, next, o)
	}
	return a.printOutcome(o)
}

func printStored(w io.Writer, before uint64, o *outcome) {
	printChanges(w, before, o.Changes)
	if o.Key != "" {
		fmt.Fprintf(w, "key %s, shown this once: %s\n", o.KeyID, o.Key)
	}
	fmt.Fprintf(w, "stored at version %d\n", o.Version)
}

func (a *app) printOutcome(o *outcome) error {
	err := a.print(o, func(w io.Writer) {
		if o.HasWaited {
			fmt.Fprintf(w, "in force in %d of %d failure domains\n", o.InForce, o.Domains)
		}
	})
	if err == nil && o.HasWaited && len(o.Missing) > 0 {
		return &NotInForceError{Version: o.Version, InForce: o.InForce, Domains: o.Domains, Missing: o.Missing}
	}
	return err
}

// waitInForce reads the domains' reports until all domains have the version in force or the
// time is over. While the store can't be read, o.Missing stays as it was read last.
func (a *app) waitInForce(ctx context.Context, table backing.Table, wait time.Duration, doc config.Document, o *outcome) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	o.Domains = len(doc.Domains)
	o.Missing = slices.Sorted(maps.Keys(doc.Domains))
	for ctx.Err() == nil {
		if missing, err := missingDomains(ctx, table, doc, o.Version); err == nil {
			o.Missing = missing
			o.InForce = o.Domains - len(missing)
		}
		if len(o.Missing) == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(inForcePollInterval):
		}
	}
}

func missingDomains(ctx context.Context, table backing.Table, doc config.Document, version uint64) ([]structs.DomainID, error) {
	rows, err := table.List(ctx, config.RowInForcePrefix)
	if err != nil {
		return nil, err
	}
	reached := make(map[structs.DomainID]bool)
	for _, row := range rows {
		var report configwatch.InForce
		if err := json.Unmarshal(row.Value, &report); err != nil {
			return nil, &config.CorruptRowError{Key: row.Key, Cause: err}
		}
		reached[structs.DomainID(row.Key[len(config.RowInForcePrefix):])] = report.Version >= version
	}
	var missing []structs.DomainID
	for _, domain := range slices.Sorted(maps.Keys(doc.Domains)) {
		if !reached[domain] {
			missing = append(missing, domain)
		}
	}
	return missing, nil
}
