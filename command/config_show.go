package command

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/config"
)

func (a *app) configShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show [VERSION]",
		Short: "Print a stored document, the latest by default, as a base file",
		Example: `  endivectl config show > base.jsonc
  endivectl config show 41`,
		Args: argCount(0, 1),
		RunE: func(c *cobra.Command, args []string) error {
			store, current, err := a.current(c.Context())
			if err != nil {
				return err
			}
			if len(args) == 0 {
				if current.version == 0 {
					return &config.VersionNotFoundError{}
				}
				return a.printJSON(current.doc)
			}
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageErrorf("VERSION must be a whole number, not %q", args[0])
			}
			snapshot, err := store.Version(c.Context(), version)
			if err != nil {
				return err
			}
			return a.printJSON(snapshot.Document())
		},
	}
}
