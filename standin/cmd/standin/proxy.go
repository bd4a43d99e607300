package main

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"briarproxy/core/fault"
	"briarproxy/standin/faultproxy"
	"briarproxy/standin/internal/httpjson"
)

func faultProxyCommand() *cobra.Command {
	var options faultproxy.Options
	var control string
	cmd := &cobra.Command{
		Use:   "faultproxy",
		Short: "Run a TCP proxy that injects faults",
		Long: "Passes TCP connections on to --target. Prints \"control ADDRESS\" and then\n" +
			"\"listening ADDRESS\".",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			listener, err := net.Listen("tcp", control)
			if err != nil {
				return fault.Wrap(err, fault.Unavailable, "choose a free address, or port 0", "listen on %s", control)
			}
			proxy, err := faultproxy.Listen(options)
			if err != nil {
				return err
			}
			defer proxy.Close()
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "control %s\n", listener.Addr())
			httpjson.Announce(cmd.OutOrStdout(), proxy.Address(), "")
			return httpjson.ServeOn(cmd.Context(), listener, proxy)
		},
	}
	listenFlag(cmd, &options.Listen)
	cmd.Flags().StringVar(&options.Target, "target", "", "IP:port that connections are passed on to")
	cmd.Flags().StringVar(&control, "control", "127.0.0.1:0", "IP:port for control calls")
	_ = cmd.MarkFlagRequired("target")
	return cmd
}
