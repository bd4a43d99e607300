// Command load measures a cell of real processes on loopback.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"briarproxy/core/fault"
	"briarproxy/standin/load"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// flags holds the values of the command-line flags.
type flags struct {
	options  load.Options
	plan     load.Plan
	parts    []string
	json     string
	included []string
}

func command() *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use: "load", Short: "Measure waiting time, control cost, recovery and task starts", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	set := cmd.Flags()
	set.StringVar(&f.options.Bin, "bin", "bin", "directory of the built programs")
	set.IntVar(&f.options.Daemons, "daemons", 3, "number of daemons")
	set.IntVar(&f.options.Workers, "workers", 16, "number of workers, 8 to a rack and process")
	set.StringVar(&f.options.MemoryLimit, "memory-limit", "", "memory_limit of each daemon, such as 32MiB")
	set.StringVar(&f.options.LogLevel, "log-level", "", "log_level of each daemon")
	set.StringVar(&f.options.Keep, "keep", "", "directory to create for the logs and journals of the run; empty keeps none")
	set.StringSliceVar(&f.parts, "parts", []string{"idle", "waits", "starts", "recovery"}, "measurements to run")
	set.Float64SliceVar(&f.plan.Loads, "loads", []float64{0.5, 0.9, 1.2, 2}, "multiples of the slots' capacity, lowest first")
	set.Float64SliceVar(&f.plan.FailingLoads, "failing-loads", []float64{0.5, 2}, "the same with a tenth of the workers failing")
	set.DurationVar(&f.plan.Duration, "lasting", 5*time.Second, "time of each load and of the idle measurement")
	set.Float64SliceVar(&f.plan.TaskStartRates, "starts", []float64{500, 2200}, "task starts a second that are asked for")
	set.StringVar(&f.json, "json", "", "file for the report")
	set.StringArrayVar(&f.included, "include", nil, "JSON report of another benchmark to put into the report; may be repeated")
	return cmd
}

func (f *flags) run(cmd *cobra.Command) error {
	for _, name := range f.parts {
		part := load.Measurement(name)
		if !slices.Contains(load.Measurements, part) {
			return fault.New(fault.Invalid, "use idle, waits, starts or recovery", "unknown measurement %q", name)
		}
		f.plan.Measurements = append(f.plan.Measurements, part)
	}
	report := load.NewReport()
	if err := f.include(report); err != nil {
		return err
	}
	failure := load.Run(f.options, f.plan, report)
	if err := report.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	if f.json != "" {
		if err := report.Write(f.json); err != nil {
			return err
		}
	}
	return failure
}

func (f *flags) include(report *load.Report) error {
	for _, path := range f.included {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		report.Included[name] = json.RawMessage(data)
	}
	return nil
}
