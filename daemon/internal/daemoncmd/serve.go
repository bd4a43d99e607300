package daemoncmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"briarproxy/core/fault"
	"briarproxy/daemon/cell"
	"briarproxy/daemon/event"
	"briarproxy/platform"
)

// settingsPathEnv is the environment variable that holds the path of the settings file.
const settingsPathEnv = "BRIARPROXY_CONFIG"

// serveCommand returns the command that runs a daemon of a cell against the platform's
// services.
func serveCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve [--settings FILE]",
		Short: "Run a daemon on the platform's log until SIGTERM, then make a planned stop",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				path = os.Getenv(settingsPathEnv)
			}
			if path == "" {
				return fault.New(fault.Invalid, "set "+settingsPathEnv+" or give --settings", "no settings file is named")
			}
			return serve(path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments; the default is the path in "+settingsPathEnv)
	return cmd
}

// serve runs a daemon of a cell with the settings of a file until the planned stop ends.
func serve(path string) error {
	s, err := cell.Load(path)
	if err != nil {
		return err
	}
	out := event.NewStdout()
	defer out.Flush()
	logger := event.NewLogger(out, log.InfoLevel, s.Name)
	ctx := contextUntilStopSignal()
	go checkSettingsOnHangup(ctx, path, logger)
	adapter := platform.New(platform.Addresses{Store: s.Platform.Store, Advice: s.Platform.Advice, Cloud: s.Platform.Cloud},
		cell.NewDialer(cell.PlatformDialTimeout, cell.PlatformUnackedTimeout))
	adapter.LimitIdleWorkerConnections(s.Limits.IdleWorkerConnections())
	return cell.Run(ctx, s, adapter, logger)
}

// checkSettingsOnHangup rereads the settings on each SIGHUP and logs whether they are valid.
func checkSettingsOnHangup(ctx context.Context, path string, logger *event.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			_, err := cell.Load(path)
			cell.LogReload(logger, err)
		}
	}
}
