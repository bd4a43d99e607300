// Command bench runs the benchmarks of placement.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"briarproxy/standin/bench"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var seed uint64
	var jsonPath string
	root := &cobra.Command{Use: "bench", Short: "Measure placement", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().Uint64Var(&seed, "seed", 1, "seed of the random sequences")
	root.PersistentFlags().StringVar(&jsonPath, "json", "", "file for the rows; empty writes none")
	for kind, short := range map[bench.Kind]string{
		bench.KindDecisions:    "time and allocations per placement against the full scan",
		bench.KindPacking:      "share of capacity placed when the first task does not fit",
		bench.KindOppositeEnds: "conflicts of daemons that reserve from the same list",
	} {
		root.AddCommand(&cobra.Command{Use: string(kind), Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return bench.Run(kind, seed, cmd.OutOrStdout(), jsonPath)
		}})
	}
	return root
}
