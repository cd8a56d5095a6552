package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

func (a *app) targetCommand() *cobra.Command {
	c := &cobra.Command{Use: "target", Short: "List, drain and order targets"}
	c.AddCommand(a.targetList(), a.targetDrain(), a.targetOrder())
	return commandGroup(c)
}

// targetEntry is one line of the output of "target list".
type targetEntry struct {
	ID      structs.TargetID  `json:"target"`
	Service structs.ServiceID `json:"service"`
	config.Target
}

func targetsOf(doc config.Document) []targetEntry {
	entries := []targetEntry{}
	for _, service := range slices.Sorted(maps.Keys(doc.Services)) {
		targets := doc.Services[service].Targets
		for _, id := range slices.Sorted(maps.Keys(targets)) {
			entries = append(entries, targetEntry{ID: id, Service: service, Target: targets[id]})
		}
	}
	return entries
}

func (a *app) targetList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the targets of all services",
		Example: "  endivectl target list",
		Args:    argCount(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			_, current, err := a.current(c.Context())
			if err != nil {
				return err
			}
			entries := targetsOf(current.doc)
			return a.print(entries, func(w io.Writer) {
				fmt.Fprintln(w, "TARGET\tSERVICE\tDOMAIN\tPROTOCOL\tURL\tSTATE")
				for _, e := range entries {
					state := "in use"
					if e.IsDraining {
						state = "drained"
					}
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.ID, e.Service, e.Domain, e.Protocol, e.URL, state)
				}
			})
		},
	}
}

func (a *app) targetDrain() *cobra.Command {
	var isUndo bool
	var wait time.Duration
	c := &cobra.Command{
		Use:   "drain TARGET",
		Short: "Stop sending new work to a target; --undo resumes it",
		Example: `  endivectl target drain rake-llm-3
  endivectl target drain rake-llm-3 --undo`,
		Args: argCount(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.publishEdit(c.Context(), wait, -1, func(doc config.Document) (config.Document, error) {
				return setDrain(doc, structs.TargetID(args[0]), !isUndo)
			})
		},
	}
	c.Flags().BoolVar(&isUndo, "undo", false, "send new work to the target again")
	addWaitFlag(c, &wait)
	return c
}

func setDrain(doc config.Document, id structs.TargetID, isDrained bool) (config.Document, error) {
	for name, service := range doc.Services {
		target, exists := service.Targets[id]
		if !exists {
			continue
		}
		target.IsDraining = isDrained
		service.Targets = maps.Clone(service.Targets)
		service.Targets[id] = target
		doc.Services = maps.Clone(doc.Services)
		doc.Services[name] = service
		return doc, nil
	}
	return doc, &UnknownNameError{Kind: "target", Name: string(id)}
}
