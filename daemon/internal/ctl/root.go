package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"briarproxy/core/fault"
)

// Exit codes of briarctl.
const (
	ExitOK          = 0
	ExitProblems    = 1
	ExitUsage       = 2
	ExitUnreachable = 3
	ExitConflict    = 4
)

const exitCodes = `Exit codes:
  0  fine
  1  problems were found
  2  wrong usage, or a file that cannot be read
  3  a service could not be reached, or its answer leaves the outcome open
  4  another operator has published since the base version`

// errProblems is returned by a command that has already printed the problems it found.
var errProblems = errors.New("problems were found")

// Run runs briarctl with the given arguments and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	cmd := newRoot()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.Execute()
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errProblems):
		return ExitProblems
	}
	fmt.Fprintln(stderr, "briarctl:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error that is not errProblems.
func exitCode(err error) int {
	switch {
	case fault.Is(err, fault.Conflict):
		return ExitConflict
	case fault.Is(err, fault.Unavailable), fault.Is(err, fault.Unknown), fault.Is(err, fault.Refused):
		return ExitUnreachable
	}
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "briarctl",
		Short:         "Check, compare and publish the configuration of a cell",
		Long:          "briarctl checks, compares and publishes the configuration of a cell.\n\n" + exitCodes,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newCheck(), newDiff(), newPublish(), newRollback(), newHistory(), newStatus(), newTop(), newExplain(), newTimeline(), newWorkspaces(), newSettings())
	return root
}

// outputFlag is the flag that selects the format of a command's output.
type outputFlag struct{ format string }

func (o *outputFlag) register(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.format, "output", "o", "table", "output format: table or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

// isJSON reports whether the output format is JSON, and fails for unknown formats.
func (o *outputFlag) isJSON() (bool, error) {
	switch o.format {
	case "json":
		return true, nil
	case "table":
		return false, nil
	}
	return false, fmt.Errorf("output format %q does not exist; use table or json", o.format)
}
