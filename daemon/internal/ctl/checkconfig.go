package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"briarproxy/core/audit"
	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/platform"
)

// maxConfigurationBytes is the size of the largest record that the platform's log takes.
const maxConfigurationBytes = 256 << 10

// configurationReport is the result of checking one configuration.
type configurationReport struct {
	File     string          `json:"file"`
	Version  int64           `json:"version"` // 0 if the file can't be decoded
	Findings []audit.Finding `json:"findings"`
}

// checkConfiguration checks a configuration, and compares it with the one in force if that is named.
func checkConfiguration(out io.Writer, files []string, inForce string, asJSON bool) error {
	if len(files) != 1 {
		return fault.New(fault.Invalid, "name one file at a time", "%d configurations can't be checked together", len(files))
	}
	data, err := readConfigurationFile(files[0])
	if err != nil {
		return err
	}
	report := configurationReport{File: files[0], Findings: []audit.Finding{}}
	if len(data) > maxConfigurationBytes {
		report.Findings = append(report.Findings, audit.Finding{Kind: audit.Error, Field: "file", Text: fmt.Sprintf("%d bytes are more than the %d of a record", len(data), maxConfigurationBytes)})
	}
	config, err := platform.DecodeConfiguration(data)
	if err != nil {
		report.Findings = append(report.Findings, audit.Finding{Kind: audit.Error, Field: "file", Text: err.Error()})
		return printConfigurationReport(out, &report, asJSON)
	}
	report.Version = config.Version
	report.Findings = append(report.Findings, audit.Check(config)...)
	if inForce != "" {
		former, err := decodeConfigurationFile(inForce)
		if err != nil {
			return err
		}
		report.Findings = append(report.Findings, audit.Compare(former, config)...)
	}
	return printConfigurationReport(out, &report, asJSON)
}

func readConfigurationFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a readable file", "configuration %s can't be read", path)
	}
	return data, nil
}

func decodeConfigurationFile(path string) (*cluster.Configuration, error) {
	data, err := readConfigurationFile(path)
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfiguration(data)
}

// printConfigurationReport returns errProblems if there are findings other than changes.
func printConfigurationReport(out io.Writer, report *configurationReport, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return err
		}
	} else if err := printFindings(out, report); err != nil {
		return err
	}
	if slices.ContainsFunc(report.Findings, func(f audit.Finding) bool { return f.Kind != audit.Change }) {
		return errProblems
	}
	return nil
}

func printFindings(out io.Writer, report *configurationReport) error {
	if len(report.Findings) == 0 {
		_, err := fmt.Fprintf(out, "%s: version %d, no problems\n", report.File, report.Version)
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tFIELD\tFINDING") // errors of a tabwriter are returned by Flush
	for _, f := range report.Findings {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Kind, f.Field, f.Text)
	}
	return w.Flush()
}
