package main

import (
	"time"

	"github.com/spf13/cobra"

	"briarproxy/standin/internal/httpjson"
	"briarproxy/standin/logservice"
	"briarproxy/standin/vmlist"
)

func logServiceCommand() *cobra.Command {
	var address string
	var options logservice.Options
	cmd := &cobra.Command{
		Use:   "logservice",
		Short: "Run the log service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return httpjson.Serve(cmd.Context(), address, "", logservice.New(options), cmd.OutOrStdout())
		},
	}
	listenFlag(cmd, &address)
	flags := cmd.Flags()
	flags.Float64Var(&options.AppendsPerSecond, "appends-per-second", logservice.DefaultAppendsPerSecond, "cap over all streams; negative: none")
	flags.DurationVar(&options.RetainFor, "retain-for", 0, "age at which records are dropped; 0: never")
	flags.IntVar(&options.RetainCount, "retain-count", 0, "records kept of each stream; 0: all")
	return cmd
}

func vmListCommand() *cobra.Command {
	var address, file string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "vmlist",
		Short: "Run the VM list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options := vmlist.Options{Lag: lag}
			if file != "" {
				vms, err := vmlist.LoadFile(file)
				if err != nil {
					return err
				}
				options.VMs = vms
			}
			return httpjson.Serve(cmd.Context(), address, "", vmlist.New(options), cmd.OutOrStdout())
		},
	}
	listenFlag(cmd, &address)
	cmd.Flags().StringVar(&file, "file", "", "JSON file with the VM list at the start")
	cmd.Flags().DurationVar(&lag, "lag", 0, "time after which a change is seen")
	return cmd
}
