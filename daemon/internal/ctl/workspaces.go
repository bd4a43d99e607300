package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/spf13/cobra"

	"briarproxy/core/fault"
)

// maxMetricsBytes limits the metrics page of one daemon: about 3 KB for each of 10,000 workspaces.
const maxMetricsBytes = 32 << 20

// workspaceRow is what the daemons' metrics say about one workspace.
type workspaceRow struct {
	Workspace     string  `json:"workspace"`
	Share         float64 `json:"share"` // of the cell while it is full
	CoresUsed     float64 `json:"cores_used"`
	CoresMaximum  float64 `json:"cores_maximum"` // 0 is no limit
	Runs          float64 `json:"runs"`
	Waiting       float64 `json:"waiting_steps"`
	HeldByMaximum float64 `json:"waiting_steps_at_maximum"`
	OldestSeconds float64 `json:"oldest_wait_seconds"`
	Accepted      float64 `json:"accepted"`
	Refused       float64 `json:"refused"`
}

// workspaceReport is the output of the command.
type workspaceReport struct {
	Daemons     int                `json:"daemons"`
	Unreachable []string           `json:"unreachable"`
	AcceptKeys  int                `json:"daemons_that_accept_keys"`
	PlacerFound bool               `json:"placer_found"`
	KeyRefusals map[string]float64 `json:"key_refusals"`
	Workspaces  []*workspaceRow    `json:"workspaces"`
	rows        map[string]*workspaceRow
}

func newWorkspaces() *cobra.Command {
	var timeout time.Duration
	var output outputFlag
	cmd := &cobra.Command{
		Use:   "workspaces METRICS_URL...",
		Short: "List workspaces with their share, use, waiting work and refusals",
		Long: "workspaces reads the metrics of the given daemons, such as http://10.0.0.1:9100/metrics. What runs and\n" +
			"waits is told by the daemon that places; submissions and refused keys are summed over all daemons\n" +
			"since their starts. The workspace whose work has waited longest comes first.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, urls []string) error {
			asJSON, err := output.isJSON()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			report := readWorkspaces(ctx, urls)
			if report.Daemons == 0 {
				return fault.New(fault.Unavailable, "check the URLs and whether the daemons run", "none of %d daemons answered", len(urls))
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			}
			return report.write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", 5*time.Second, "time after which daemons that have not answered are left out")
	output.register(cmd)
	return cmd
}

// readWorkspaces reads the metrics of all daemons at a time.
func readWorkspaces(ctx context.Context, urls []string) *workspaceReport {
	type answer struct {
		url      string
		families map[string]*dto.MetricFamily
		err      error
	}
	answers := make(chan answer)
	for _, url := range urls {
		go func() {
			families, err := readMetrics(ctx, url)
			answers <- answer{url, families, err}
		}()
	}
	report := &workspaceReport{KeyRefusals: map[string]float64{}, rows: map[string]*workspaceRow{}}
	for range urls {
		a := <-answers
		if a.err != nil {
			report.Unreachable = append(report.Unreachable, a.url)
			continue
		}
		report.add(a.families)
	}
	slices.Sort(report.Unreachable)
	for _, row := range report.rows {
		report.Workspaces = append(report.Workspaces, row)
	}
	slices.SortFunc(report.Workspaces, func(a, b *workspaceRow) int {
		return cmp.Or(cmp.Compare(b.OldestSeconds, a.OldestSeconds), strings.Compare(a.Workspace, b.Workspace))
	})
	return report
}

func readMetrics(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close() //nolint:errcheck // the body is read to its end
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "name the metrics page", "%s answered %s", url, response.Status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
}

// add adds the metrics of one daemon.
func (r *workspaceReport) add(families map[string]*dto.MetricFamily) {
	r.Daemons++
	each := func(name string, take func(labels map[string]string, value float64)) {
		family := families["briarproxy_"+name]
		for _, m := range family.GetMetric() {
			labels := map[string]string{}
			for _, label := range m.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			take(labels, m.GetGauge().GetValue()+m.GetCounter().GetValue())
		}
	}
	each("placing", func(_ map[string]string, value float64) { r.PlacerFound = r.PlacerFound || value == 1 })
	each("key_lease_held", func(_ map[string]string, value float64) { r.AcceptKeys += int(value) })
	each("key_refusals_total", func(labels map[string]string, value float64) { r.KeyRefusals[labels["reason"]] += value })
	for name, field := range map[string]func(row *workspaceRow, labels map[string]string) *float64{
		"workspace_share": func(row *workspaceRow, _ map[string]string) *float64 { return &row.Share },
		"workspace_runs":  func(row *workspaceRow, _ map[string]string) *float64 { return &row.Runs },
		"workspace_cores": func(row *workspaceRow, labels map[string]string) *float64 {
			return choose(labels["kind"], map[string]*float64{"used": &row.CoresUsed, "maximum": &row.CoresMaximum})
		},
		"workspace_steps": func(row *workspaceRow, labels map[string]string) *float64 {
			return choose(labels["state"], map[string]*float64{"waiting": &row.Waiting, "held by maximum": &row.HeldByMaximum})
		},
		"workspace_waiting_oldest_seconds": func(row *workspaceRow, _ map[string]string) *float64 { return &row.OldestSeconds },
		"workspace_submissions_total": func(row *workspaceRow, labels map[string]string) *float64 {
			return choose(labels["outcome"], map[string]*float64{"accepted": &row.Accepted, "refused": &row.Refused})
		},
	} {
		each(name, func(labels map[string]string, value float64) {
			row := r.rows[labels["workspace"]]
			if row == nil {
				row = &workspaceRow{Workspace: labels["workspace"]}
				r.rows[row.Workspace] = row
			}
			*field(row, labels) += value
		})
	}
}

// choose returns the field for a label's value, or one that is not shown.
func choose(value string, fields map[string]*float64) *float64 {
	if field, known := fields[value]; known {
		return field
	}
	return new(float64)
}

func (r *workspaceReport) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WORKSPACE\tSHARE\tCORES\tMAXIMUM\tRUNS\tWAITING\tAT MAXIMUM\tOLDEST\tACCEPTED\tREFUSED")
	for _, w := range r.Workspaces {
		maximum := "-"
		if w.CoresMaximum > 0 {
			maximum = fmt.Sprintf("%.1f", w.CoresMaximum)
		}
		fmt.Fprintf(table, "%s\t%.1f%%\t%.1f\t%s\t%.0f\t%.0f\t%.0f\t%.1fs\t%.0f\t%.0f\n",
			w.Workspace, 100*w.Share, w.CoresUsed, maximum, w.Runs, w.Waiting, w.HeldByMaximum, w.OldestSeconds, w.Accepted, w.Refused)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d daemons answered, %d of them accept keys\n", r.Daemons, r.AcceptKeys)
	if !r.PlacerFound {
		fmt.Fprintln(out, "none of them places: what runs and waits is not known")
	}
	if len(r.Unreachable) > 0 {
		fmt.Fprintf(out, "no answer: %s\n", strings.Join(r.Unreachable, ", "))
	}
	for _, reason := range slices.Sorted(maps.Keys(r.KeyRefusals)) {
		fmt.Fprintf(out, "calls refused, %s: %.0f\n", reason, r.KeyRefusals[reason])
	}
	return nil
}
