package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"briarproxy/core/object"
)

func newDiff() *cobra.Command {
	var output outputFlag
	cmd := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Compare two directories of objects",
		Long: "diff checks the sets of objects in two directories and lists the objects that are\n" +
			"added, removed and changed. It contacts no service.\n\n" + exitCodes,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			asJSON, err := output.isJSON()
			if err != nil {
				return err
			}
			return runDiff(cmd, dirs, asJSON)
		},
	}
	output.register(cmd)
	return cmd
}

func runDiff(cmd *cobra.Command, dirs []string, asJSON bool) error {
	sets := make([]*object.Set, 0, len(dirs))
	var allProblems []object.Problem
	for _, dir := range dirs {
		files, err := readObjectFiles(dir)
		if err != nil {
			return err
		}
		set, problems := object.Load(files)
		sets = append(sets, set)
		allProblems = append(allProblems, problems...)
	}
	if len(allProblems) > 0 {
		if err := printProblems(cmd.ErrOrStderr(), allProblems); err != nil {
			return err
		}
		return errProblems
	}
	difference := object.Diff(sets[0], sets[1])
	if asJSON {
		return printJSON(cmd.OutOrStdout(), difference)
	}
	return printDifference(cmd.OutOrStdout(), difference)
}

func printDifference(w io.Writer, d object.Difference) error {
	if d.Empty() {
		_, err := fmt.Fprintln(w, "no difference")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CHANGE\tOBJECT\tFIELD\tOLD\tNEW")
	for _, ref := range d.Added {
		fmt.Fprintf(table, "added\t%s/%s\t\t\t\n", ref.Kind, ref.Name)
	}
	for _, ref := range d.Removed {
		fmt.Fprintf(table, "removed\t%s/%s\t\t\t\n", ref.Kind, ref.Name)
	}
	for _, change := range d.Changed {
		for _, field := range change.Fields {
			fmt.Fprintf(table, "changed\t%s/%s\t%s\t%s\t%s\n", change.Kind, change.Name, field.Path, field.Old, field.New)
		}
	}
	return table.Flush()
}
