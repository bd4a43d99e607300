// Command demo sends the example users' work to running cells and compares the answers to
// callers with the workers' journals. scripts/demo.sh starts the cells.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"briarproxy/standin/demo"
)

const (
	defaultDuration  = 20 * time.Second
	defaultGangTasks = 24
	readyTimeout     = 15 * time.Second
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var cells []string
	options := demo.Options{Out: os.Stdout}
	cmd := &cobra.Command{
		Use:           "demo",
		Short:         "Run the users' work on running cells and compare answers with journals",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if options.Cells, err = demo.ParseCells(cells); err != nil {
				return err
			}
			return demo.RunCells(cmd.Context(), options)
		},
	}
	flags := cmd.Flags()
	addCellFlag(cmd, &cells)
	flags.DurationVar(&options.Duration, "duration", defaultDuration, "time for which requests are sent")
	flags.IntVar(&options.GangTasks, "gang-tasks", defaultGangTasks, "tasks of the gang job")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the times between requests and of the daemons chosen")
	cmd.AddCommand(waitCommand(), warmCommand(), platformCommand())
	return cmd
}

func addCellFlag(cmd *cobra.Command, cells *[]string) {
	cmd.Flags().StringArrayVar(cells, "cell", nil, "USER,JOURNAL,URL,URL...: user, workers' journal file and daemons of a cell; may be repeated")
	_ = cmd.MarkFlagRequired("cell")
}

func platformCommand() *cobra.Command {
	options := demo.PlatformOptions{Out: os.Stdout}
	cmd := &cobra.Command{
		Use:   "platform ADDRESS...",
		Short: "Send jobs to daemons on the users' platform and wait for their ends",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, addresses []string) error {
			options.Daemons = addresses
			return demo.RunPlatform(cmd.Context(), options)
		},
	}
	cmd.Flags().DurationVar(&options.Duration, "duration", defaultDuration, "time for which jobs are sent")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the ids and of the daemons chosen")
	cmd.Flags().StringVar(&options.Operator, "operator", "", "HOST:PORT of the stand-in's operator")
	cmd.Flags().DurationVar(&options.RevokeBound, "revoke-bound", 3*time.Second, "bounds.revoke_ms of the daemons")
	_ = cmd.MarkFlagRequired("operator")
	return cmd
}

func waitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "wait URL...",
		Short: "Wait until the daemons with these metrics listeners are ready",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, urls []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), readyTimeout)
			defer cancel()
			return demo.WaitReady(ctx, urls)
		},
	}
}

func warmCommand() *cobra.Command {
	var cellTexts []string
	cmd := &cobra.Command{
		Use:   "warm",
		Short: "Wait until each daemon of the cells answers requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cells, err := demo.ParseCells(cellTexts)
			if err != nil {
				return err
			}
			return demo.WaitServing(cmd.Context(), cells)
		},
	}
	addCellFlag(cmd, &cellTexts)
	return cmd
}
