package command

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/structs"
)

func (a *app) programCommand() *cobra.Command {
	c := &cobra.Command{Use: "program", Short: "List, show and end running programs"}
	c.AddCommand(a.programList(), a.programShow(), a.programEnd())
	return commandGroup(c)
}

func (a *app) programList() *cobra.Command {
	var account string
	c := &cobra.Command{
		Use:   "list",
		Short: "List the programs of all reachable schedulers",
		Example: `  endivectl program list
  endivectl program list --account council-dundee`,
		Args: argCount(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := a.listPrograms(c.Context(), structs.AccountID(account))
			if err != nil {
				return err
			}
			return a.print(list, func(w io.Writer) { printPrograms(w, list) })
		},
	}
	c.Flags().StringVar(&account, "account", "", "only programs of this client account")
	return c
}

// programList is what "program list" prints. Unreachable holds the addresses of schedulers
// that did not answer, so that their programs are missing.
type programList struct {
	Programs    []structs.ProgramInfo `json:"programs"`
	Unreachable []string              `json:"unreachable,omitempty"`
}

func (a *app) listPrograms(ctx context.Context, account structs.AccountID) (programList, error) {
	list := programList{Programs: []structs.ProgramInfo{}}
	client, err := a.wireClient()
	if err != nil {
		return list, err
	}
	defer client.Close()
	addresses, err := a.schedulerAddresses(ctx, "")
	if err != nil {
		return list, err
	}
	seen := make(map[structs.ProgramID]bool)
	for _, addr := range addresses {
		var page structs.ProgramList
		err = a.call(ctx, client, addr, structs.MethodListPrograms, structs.ListPrograms{Account: account}, &page)
		if err != nil {
			list.Unreachable = append(list.Unreachable, addr)
			continue
		}
		for _, p := range page.Programs {
			if !seen[p.ID] {
				list.Programs = append(list.Programs, p)
			}
			seen[p.ID] = true
		}
	}
	if len(list.Unreachable) == len(addresses) {
		return list, &NoSchedulerError{Cause: err}
	}
	sort.Slice(list.Programs, func(i, j int) bool { return list.Programs[i].ID < list.Programs[j].ID })
	return list, nil
}

func printPrograms(w io.Writer, list programList) {
	fmt.Fprintln(w, "PROGRAM\tACCOUNT\tKIND\tSPENT\tBUDGET\tNEXT CALL\tSTATE")
	for _, p := range list.Programs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", p.ID, p.Account, p.Kind, p.Spent, p.Budget, p.NextNumber, programState(p))
	}
	for _, addr := range list.Unreachable {
		fmt.Fprintf(w, "scheduler %s did not answer\n", addr)
	}
}

func programState(p structs.ProgramInfo) string {
	if !p.Ended {
		return "running"
	}
	return "ended: " + p.EndedReason
}

func (a *app) programShow() *cobra.Command {
	return a.programSubcommand("show PROGRAM", "Show one program", "  endivectl program show dundee-a/9f86d081", structs.MethodGetProgram)
}

func (a *app) programEnd() *cobra.Command {
	return a.programSubcommand("end PROGRAM", "End a program and release what engines hold for it", "  endivectl program end dundee-a/9f86d081", structs.MethodEndProgram)
}

func (a *app) programSubcommand(use, short, example, method string) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    argCount(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			var info structs.ProgramInfo
			id := parseProgramID(args[0])
			if id.HomeDomain() == "" {
				return usageErrorf("PROGRAM must be DOMAIN/ID, not %q", args[0])
			}
			if err := a.callOwner(c.Context(), id, method, structs.ProgramRef{ID: id}, &info); err != nil {
				return err
			}
			return a.print(info, func(w io.Writer) {
				printPrograms(w, programList{Programs: []structs.ProgramInfo{info}})
			})
		},
	}
}

// parseProgramID accepts an ID in the form that endivectl prints (DOMAIN/ID) and in the
// form that callers use (DOMAIN~ID).
func parseProgramID(text string) structs.ProgramID {
	return structs.ProgramID(strings.Replace(text, "~", "/", 1))
}
