package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"briarproxy/core/fault"
	"briarproxy/standin/platform"
)

// maxLease is the longest lease of the workers, and the default of the daemons' setting.
const maxLease = 6 * time.Second

// platformCommand runs the stand-in of the users' platform: its store, workers with the
// advice service, an operator, and one queue of two workspaces.
func platformCommand() *cobra.Command {
	var workers int
	var size platform.Size
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the users' platform: store, workers, advice, operator and one queue",
		Long:  "platform runs until SIGTERM and fails if a worker saw a broken promise.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store := platform.NewStore()
			operator := publishQueue(store)
			fleet, err := platform.NewFleet(store, "pool", workers, size, maxLease)
			if err != nil {
				return err
			}
			defer fleet.Close()
			for _, w := range platform.DemoWorkspaces() {
				fleet.SetMaximum(w.Name, w.Maximum)
			}
			storeAddress, err := serveOn(store)
			if err != nil {
				return err
			}
			adviceAddress, err := serveOn(fleet)
			if err != nil {
				return err
			}
			operatorAddress, err := serveOn(operator)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "listening store=%s advice=%s operator=%s\n", storeAddress, adviceAddress, operatorAddress)
			<-cmd.Context().Done()
			problems := fleet.Violations()
			fmt.Fprintf(cmd.OutOrStdout(), "ended starts=%d problems=%d\n", fleet.Starts(), len(problems))
			if len(problems) > 0 {
				return fault.New(fault.Internal, "read the daemons' logs", "%d promises were broken, first: %s", len(problems), problems[0])
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&workers, "workers", 18, "number of workers")
	flags.Int64Var(&size.Cpu, "milli-cores", 64000, "of a worker")
	flags.Int64Var(&size.MemMb, "memory-mib", 262144, "of a worker")
	return cmd
}

func publishQueue(store *platform.Store) *platform.Operator {
	return platform.NewOperator(store, map[string]any{
		"Services": []any{map[string]any{"Name": "pool"}},
		"Routes": []any{map[string]any{
			"Name": "jobs", "Host": platform.DemoHost, "PathPrefix": platform.DemoPath, "Type": "non_idempotent", "TimeoutMs": 3000,
			"TargetLatencyMs": 1200, "Priority": 1, "Service": "pool", "MaxAttempts": 3, "SlackFactor": 2.0,
			"Advice": map[string]any{"DecideMs": 5.0, "EachMs": 0.2, "ValidMs": 1500},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}, platform.DemoWorkspaces()...)
}

func serveOn(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, fault.Unavailable, "free a port on loopback", "a stand-in can't listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = server.Serve(l) }() // ends with the process
	return l.Addr().String(), nil
}
