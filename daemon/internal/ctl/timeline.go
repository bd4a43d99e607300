package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"briarproxy/core/fault"
	"briarproxy/daemon/internal/timeline"
)

func newTimeline() *cobra.Command {
	var filter timeline.Filter
	var pagePath string
	cmd := &cobra.Command{
		Use:   "timeline LOG...",
		Short: "Merge the logs of several daemons into one timeline",
		Long: "timeline prints the lines of several daemons' logs in order of time, for a job, for a\n" +
			"worker or for changes of the placer. Without a filter it prints all lines but summaries.\n\n" + exitCodes,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			lines, err := readLogs(files, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			selected := timeline.Select(lines, filter)
			if pagePath != "" {
				return writePage(pagePath, filter, selected)
			}
			return timeline.Write(cmd.OutOrStdout(), selected)
		},
	}
	cmd.Flags().StringVar(&filter.Job, "job", "", "lines of this job, and changes of the placer meanwhile")
	cmd.Flags().StringVar(&filter.Worker, "worker", "", "lines of this worker, and changes of the placer meanwhile")
	cmd.Flags().BoolVar(&filter.Ownership, "ownership", false, "changes of the placer, starts and stops of daemons, and losses of the log")
	cmd.Flags().StringVar(&pagePath, "html", "", "write one self-contained page to this file instead of text")
	return cmd
}

// readLogs reads all log files and prints a warning for each one with unreadable lines.
func readLogs(files []string, warnings io.Writer) ([]timeline.Line, error) {
	var all []timeline.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "name a readable log", "log %s", name)
		}
		lines, skipped, err := timeline.Read(f)
		_ = f.Close() // a file opened for reading has no writes to lose
		if err != nil {
			return nil, err
		}
		if skipped > 0 {
			fmt.Fprintf(warnings, "%s: %d lines are no log lines of briarproxyd and were passed over\n", name, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func writePage(name string, filter timeline.Filter, lines []timeline.Line) error {
	f, err := os.Create(name)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be written", "page %s", name)
	}
	title := "briarproxy timeline"
	switch {
	case filter.Job != "":
		title = "Job " + filter.Job
	case filter.Worker != "":
		title = "Worker " + filter.Worker
	case filter.Ownership:
		title = "Who placed"
	}
	if err := timeline.WritePage(f, title, timeline.Summary(lines, filter.Job), lines); err != nil {
		_ = f.Close() // the write error is reported instead
		return fault.Wrap(err, fault.Internal, "report this as a bug", "page %s", name)
	}
	return f.Close()
}

// explainFromLogs prints a summary of a job and its lines from saved logs.
func explainFromLogs(cmd *cobra.Command, job string, files []string) error {
	lines, err := readLogs(files, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	selected := timeline.Select(lines, timeline.Filter{Job: job})
	fmt.Fprintln(cmd.OutOrStdout(), timeline.Summary(selected, job))
	return timeline.Write(cmd.OutOrStdout(), selected)
}
