package command

import (
	"crypto/rand"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

func (a *app) keyCommand() *cobra.Command {
	c := &cobra.Command{Use: "key", Short: "Create, withdraw and list callers' keys"}
	c.AddCommand(a.keyCreate(), a.keyWithdraw(), a.keyList())
	return commandGroup(c)
}

// editAccount returns a function that applies edit to one account of a document.
func editAccount(id structs.AccountID, edit func(*config.Account) error) func(config.Document) (config.Document, error) {
	return func(doc config.Document) (config.Document, error) {
		account, exists := doc.Accounts[id]
		if !exists {
			return doc, &UnknownNameError{Kind: "account", Name: string(id)}
		}
		account.Keys = maps.Clone(account.Keys)
		if err := edit(&account); err != nil {
			return doc, err
		}
		doc.Accounts = maps.Clone(doc.Accounts)
		doc.Accounts[id] = account
		return doc, nil
	}
}

func (a *app) keyCreate() *cobra.Command {
	var note string
	var wait time.Duration
	c := &cobra.Command{
		Use:     "create ACCOUNT",
		Short:   "Create a key; it is shown only once and stored as a hash",
		Example: `  endivectl key create council-dundee --note "call centre, 2026"`,
		Args:    argCount(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			secretKey, keyID, key, err := config.NewKey(rand.Reader)
			if err != nil {
				return err
			}
			key.Note = note
			edit := editAccount(structs.AccountID(args[0]), func(account *config.Account) error {
				if account.Keys == nil {
					account.Keys = make(map[string]config.Key)
				}
				account.Keys[keyID] = key
				return nil
			})
			return a.publishEditWith(c.Context(), wait, -1, edit, &outcome{Key: secretKey, KeyID: keyID})
		},
	}
	c.Flags().StringVar(&note, "note", "", "note to keep with the key")
	addWaitFlag(c, &wait)
	return c
}

func (a *app) keyWithdraw() *cobra.Command {
	var wait time.Duration
	c := &cobra.Command{
		Use:     "withdraw ACCOUNT KEY-ID",
		Short:   "Withdraw a key; running requests that use it are cancelled",
		Example: "  endivectl key withdraw council-dundee bef816d7008223f2",
		Args:    argCount(2, 2),
		RunE: func(c *cobra.Command, args []string) error {
			edit := editAccount(structs.AccountID(args[0]), func(account *config.Account) error {
				if _, exists := account.Keys[args[1]]; !exists {
					return &UnknownNameError{Kind: "key of account " + args[0], Name: args[1]}
				}
				delete(account.Keys, args[1])
				return nil
			})
			return a.publishEdit(c.Context(), wait, -1, edit)
		},
	}
	addWaitFlag(c, &wait)
	return c
}

// keyEntry is one line of the output of "key list".
type keyEntry struct {
	Account structs.AccountID `json:"account"`
	KeyID   string            `json:"key_id"`
	Note    string            `json:"note,omitempty"`
}

func (a *app) keyList() *cobra.Command {
	return &cobra.Command{
		Use:     "list [ACCOUNT]",
		Short:   "List the key IDs of one account or all",
		Example: "  endivectl key list council-dundee",
		Args:    argCount(0, 1),
		RunE: func(c *cobra.Command, args []string) error {
			_, current, err := a.current(c.Context())
			if err != nil {
				return err
			}
			ids := slices.Sorted(maps.Keys(current.doc.Accounts))
			if len(args) == 1 {
				ids = []structs.AccountID{structs.AccountID(args[0])}
				if _, exists := current.doc.Accounts[ids[0]]; !exists {
					return &UnknownNameError{Kind: "account", Name: args[0]}
				}
			}
			entries := []keyEntry{}
			for _, id := range ids {
				keys := current.doc.Accounts[id].Keys
				for _, keyID := range slices.Sorted(maps.Keys(keys)) {
					entries = append(entries, keyEntry{Account: id, KeyID: keyID, Note: keys[keyID].Note})
				}
			}
			return a.print(entries, func(w io.Writer) {
				fmt.Fprintln(w, "ACCOUNT\tKEY ID\tNOTE")
				for _, e := range entries {
					fmt.Fprintf(w, "%s\t%s\t%s\n", e.Account, e.KeyID, e.Note)
				}
			})
		},
	}
}
