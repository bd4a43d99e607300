// Command standin runs the test stand-ins for the platform's services and for workers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	cmd := &cobra.Command{Use: "standin", SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(logServiceCommand(), vmListCommand(), workerCommand(), workersCommand(), faultProxyCommand(), platformCommand())
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// listenFlag adds the flag for the address of a stand-in.
func listenFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "listen", "127.0.0.1:0", "IP:port to listen on; port 0 chooses a free one")
}
