package ctl

import (
	"fmt"

	"github.com/spf13/cobra"

	"briarproxy/daemon/settings"
)

func newSettings() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Check a daemon's settings or print the defaults",
		Long:  "settings checks a daemon's settings or prints the defaults.\n\n" + exitCodes,
	}
	cmd.AddCommand(
		&cobra.Command{
			Use:   "check FILE",
			Short: "Check a settings file and list every problem",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := settings.Load(args[0]); err != nil {
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					return errProblems
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: no problems\n", args[0])
				return nil
			},
		},
		&cobra.Command{
			Use:   "defaults",
			Short: "Print every setting with its default and meaning",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := cmd.OutOrStdout().Write(settings.Defaults().Encode())
				return err
			},
		},
	)
	return cmd
}
