// Package daemoncmd implements the commands of briarproxyd.
package daemoncmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"briarproxy/daemon/event"
	"briarproxy/daemon/node"
	"briarproxy/daemon/settings"
)

// New returns the root command of briarproxyd.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "briarproxyd",
		Short:         "Daemon of the briarproxy cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), serveCommand(), validateCommand(), defaultsCommand(), eventsCommand())
	return root
}

func runCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run the daemon until SIGTERM or SIGINT, then make a planned stop",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			n, err := node.New(s, os.Stderr)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "listening", n.Addresses())
			ctx := contextUntilStopSignal()
			go reloadOnHangup(ctx, n, path)
			return n.Run(ctx)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// contextUntilStopSignal returns a context that is cancelled by the first SIGTERM or SIGINT.
// Later signals are ignored, so that the planned stop completes and its last log lines are
// written.
func contextUntilStopSignal() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

// reloadOnHangup rereads the settings on each SIGHUP and passes them to the daemon.
func reloadOnHangup(ctx context.Context, n *node.Node, path string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			n.Reload(settings.Load(path))
		}
	}
}

func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a settings file and list every problem",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no problems\n", args[0])
			return nil
		},
	}
}

func defaultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "defaults",
		Short: "Print every setting with its default and meaning",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := cmd.OutOrStdout().Write(settings.Defaults().Encode())
			return err
		},
	}
}

func eventsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "events",
		Short: "Print the catalogue of log events as a Markdown page",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := cmd.OutOrStdout().Write(event.Page())
			return err
		},
	}
}
