package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/spf13/cobra"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
	"briarproxy/daemon/adminapi"
)

// adminFlags are the flags that select a daemon's admin API and the output format.
type adminFlags struct {
	url       string
	tokenFile string
	caFile    string
	timeout   time.Duration
	output    outputFlag
}

// register adds the flags and requires the URL and the token file.
func (f *adminFlags) register(cmd *cobra.Command) {
	f.registerOptional(cmd)
	_ = cmd.MarkFlagRequired("admin")
	_ = cmd.MarkFlagRequired("token-file")
}

// registerOptional adds the flags without requiring them.
func (f *adminFlags) registerOptional(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.url, "admin", "", "URL of a daemon's admin API")
	cmd.Flags().StringVar(&f.tokenFile, "token-file", "", "file with the admin token")
	cmd.Flags().StringVar(&f.caFile, "ca-file", "", "PEM file of the authority that signed the admin API's certificate")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 15*time.Second, "time after which the command gives up")
	f.output.register(cmd)
}

// client returns an HTTP client that authenticates with the admin token and trusts the
// given CA file, or the system's CAs if none is given.
func (f *adminFlags) client() (*resty.Client, error) {
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable file", "the token file can't be read")
	}
	client := resty.New().SetBaseURL(f.url).SetAuthToken(strings.TrimSpace(string(token))).SetTimeout(f.timeout)
	if f.caFile == "" {
		return client, nil
	}
	pem, err := os.ReadFile(f.caFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable file", "the CA file can't be read")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.Invalid, "name a PEM file", "%s holds no certificate", f.caFile)
	}
	return client.SetTLSClientConfig(&tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}), nil
}

// get reads a resource of the admin API into result.
func (f *adminFlags) get(ctx context.Context, path string, result any) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	var problem wire.Problem
	response, err := client.R().SetContext(ctx).SetResult(result).SetError(&problem).ForceContentType("application/json").Get(path)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "check the URL and whether the daemon runs", "the admin API can't be reached")
	}
	if response.IsError() {
		return fault.New(fault.Refused, problem.Remedy, "the admin API answered %s: %s", response.Status(), problem.Detail)
	}
	return nil
}

func newStatus() *cobra.Command {
	var flags adminFlags
	var wait int64
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show daemons, versions and units; wait until a version is in force everywhere",
		Long:  "status shows the cell as one daemon sees it.\n\n" + exitCodes,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			asJSON, err := flags.output.isJSON()
			if err != nil {
				return err
			}
			status, err := waitForVersion(cmd.Context(), &flags, wait)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), status)
			}
			return printStatus(cmd, status)
		},
	}
	flags.register(cmd)
	cmd.Flags().Int64Var(&wait, "wait", 0, "wait until every live daemon has this version in force")
	return cmd
}

// waitForVersion polls the status until every live daemon has the version in force.
func waitForVersion(ctx context.Context, flags *adminFlags, version int64) (*adminapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	for {
		status := &adminapi.Status{}
		if err := flags.get(ctx, "/v1/status", status); err != nil {
			return nil, err
		}
		lagging := 0
		for _, d := range status.Daemons {
			if d.Live && d.ConfigVersion < version {
				lagging++
			}
		}
		if lagging == 0 {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.Unavailable, "look at the daemons' logs", "%d live daemons do not have version %d in force yet", lagging, version)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func printStatus(cmd *cobra.Command, status *adminapi.Status) error {
	unitsByOwner := map[string]int{}
	unowned := 0
	for _, u := range status.Units {
		if u.Owner == "" {
			unowned++
		}
		unitsByOwner[u.Owner]++
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "configuration version %d, log service healthy: %t, VMs %d, leaving: %s\n\n",
		status.ConfigVersion, status.LogHealthy, status.Workers, strings.Join(status.Leaving, " "))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tREGION\tDATA CENTRE\tLIVE\tDRAINING\tVERSION\tUNITS")
	for _, d := range status.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\t%d\n", d.Name, d.Region, d.DataCentre, d.Live, d.Draining, d.ConfigVersion, unitsByOwner[d.Name])
	}
	return table.Flush()
}

func newTop() *cobra.Command {
	var flags adminFlags
	cmd := &cobra.Command{
		Use:   "top",
		Short: "Show queues, slots and free capacity of one daemon",
		Long:  "top shows queues, slots and free capacity of one daemon.\n\n" + exitCodes,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			asJSON, err := flags.output.isJSON()
			if err != nil {
				return err
			}
			var top adminapi.Top
			if err := flags.get(cmd.Context(), "/v1/top", &top); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), top)
			}
			return printTop(cmd, &top)
		},
	}
	flags.register(cmd)
	return cmd
}

func printTop(cmd *cobra.Command, top *adminapi.Top) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "POOL\tSLOTS BORROWED\tBUSY\tUNSETTLED\tQUEUED BY CLASS")
	for _, q := range top.Queues {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\n", q.Pool, q.Slots, q.Busy, q.Unsettled, q.Queued)
	}
	fmt.Fprintln(table, "\nPOOL\tWORKERS\tUSABLE\tCAPACITY\tFREE")
	for _, p := range top.Pools {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", p.Pool, p.Workers, p.Usable, p.Capacity, p.Free)
	}
	return table.Flush()
}

func newExplain() *cobra.Command {
	var flags adminFlags
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain TASK|JOB|REQUEST",
		Short: "Say why something was placed where it is, or why it waits",
		Long: "explain says why something was placed where it is, or why it waits. With --log it\n" +
			"reads saved logs of daemons instead of asking one.\n\n" + exitCodes,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			asJSON, err := flags.output.isJSON()
			if err != nil {
				return err
			}
			if len(logs) > 0 {
				return explainFromLogs(cmd, args[0], logs)
			}
			var e wire.Explanation
			if err := flags.get(cmd.Context(), "/v1/explain/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), e)
			}
			return printExplanation(cmd, &e)
		},
	}
	flags.registerOptional(cmd)
	cmd.Flags().StringSliceVar(&logs, "log", nil, "saved log of a daemon; may be given several times")
	cmd.MarkFlagsOneRequired("admin", "log")
	cmd.MarkFlagsRequiredTogether("admin", "token-file")
	return cmd
}

func printExplanation(cmd *cobra.Command, e *wire.Explanation) error {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "%s: %s\n", e.ID, e.Summary)
	for _, r := range e.Refused {
		fmt.Fprintf(out, "  refused %d: %s\n", r.Count, r.Reason)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range e.History {
		fmt.Fprintf(table, "  %s\t%s\t%s\n", time.UnixMilli(row.AtMS).UTC().Format(time.RFC3339), row.Event, row.Detail)
	}
	return table.Flush()
}
