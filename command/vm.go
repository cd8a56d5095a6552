package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

func (a *app) vmCommand() *cobra.Command {
	c := &cobra.Command{Use: "vm", Short: "List VMs"}
	c.AddCommand(a.vmList())
	return commandGroup(c)
}

func (a *app) vmList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the VMs that the platform knows; the list may be out of date",
		Example: "  endivectl vm list",
		Args:    argCount(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			services, err := a.platform()
			if err != nil {
				return err
			}
			vms, err := services.VMs.VMs(c.Context())
			if err != nil {
				return err
			}
			return a.print(vms, func(w io.Writer) {
				fmt.Fprintln(w, "VM\tDOMAIN\tSTATE\tSCHEDULER\tGATEWAY\tTARGET")
				for _, vm := range vms {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", vm.ID, vm.Domain, vm.State, vm.Scheduler, vm.Gateway, vm.Target)
				}
			})
		},
	}
}
