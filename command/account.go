package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

func (a *app) accountCommand() *cobra.Command {
	c := &cobra.Command{Use: "account", Short: "List and change client accounts"}
	c.AddCommand(a.accountList(), a.accountSet())
	return commandGroup(c)
}

// accountEntry is one line of the output of "account list".
type accountEntry struct {
	Account  structs.AccountID `json:"account"`
	Rate     float64           `json:"rate_per_second"`
	Burst    int               `json:"burst"`
	Keys     int               `json:"keys"`
	Programs []string          `json:"programs"`
	Routes   []string          `json:"routes,omitempty"`
}

func (a *app) accountList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the client accounts",
		Example: "  endivectl account list",
		Args:    argCount(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			_, current, err := a.current(c.Context())
			if err != nil {
				return err
			}
			entries := []accountEntry{}
			for _, id := range slices.Sorted(maps.Keys(current.doc.Accounts)) {
				account := current.doc.Accounts[id]
				entries = append(entries, accountEntry{
					Account: id, Rate: account.Rate, Burst: account.Burst, Keys: len(account.Keys),
					Programs: account.Programs, Routes: account.Routes,
				})
			}
			return a.print(entries, func(w io.Writer) {
				fmt.Fprintln(w, "ACCOUNT\tRATE\tBURST\tKEYS\tPROGRAMS\tROUTES")
				for _, e := range entries {
					fmt.Fprintf(w, "%s\t%g/s\t%d\t%d\t%s\t%s\n", e.Account, e.Rate, e.Burst, e.Keys,
						strings.Join(e.Programs, ","), strings.Join(e.Routes, ","))
				}
			})
		},
	}
}

func (a *app) accountSet() *cobra.Command {
	var rate float64
	var burst int
	var programs, routes []string
	var wait time.Duration
	c := &cobra.Command{
		Use:     "set ACCOUNT",
		Short:   "Change the rate, burst, programs or routes of a client account",
		Example: "  endivectl account set council-dundee --rate 50 --burst 100",
		Args:    argCount(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			isSet := c.Flags().Changed
			if !isSet("rate") && !isSet("burst") && !isSet("programs") && !isSet("routes") {
				return usageErrorf("nothing to set: give --rate, --burst, --programs or --routes")
			}
			edit := editAccount(structs.AccountID(args[0]), func(account *config.Account) error {
				if isSet("rate") {
					account.Rate = rate
				}
				if isSet("burst") {
					account.Burst = burst
				}
				if isSet("programs") {
					account.Programs = programs
				}
				if isSet("routes") {
					account.Routes = routes
				}
				return nil
			})
			return a.publishEdit(c.Context(), wait, -1, edit)
		},
	}
	c.Flags().Float64Var(&rate, "rate", 0, "requests per second over all VMs")
	c.Flags().IntVar(&burst, "burst", 0, "requests that may come at once")
	c.Flags().StringSliceVar(&programs, "programs", nil, "programs that its callers may run")
	c.Flags().StringSliceVar(&routes, "routes", nil, "keyed routes that its callers may use")
	addWaitFlag(c, &wait)
	return c
}
