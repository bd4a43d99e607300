package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const publishedConfiguration = `{"Version": 7, "Services": [{"Name": "p"}], "Routes": [{"Name": "q", "Host": "a.example", "PathPrefix": "/q/",
	"Service": "p", "MaxAttempts": 3, "SlackFactor": 2, "TargetLatencyMs": 600}], "Tenants": [{"Name": "w", "Weight": 1, "ApiKeys": ["secret"]}]}`

// Guards against exit codes and output that a script can't rely on.
func TestCheckOfAConfigurationFile(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	valid := write("valid.json", publishedConfiguration)
	changed := write("changed.json", string(bytes.Replace([]byte(publishedConfiguration), []byte(`"Version": 7`), []byte(`"Version": 8, "Limits": {"IdleTimeoutMs": 9000}`), 1)))
	noPool := write("no-pool.json", string(bytes.Replace([]byte(publishedConfiguration), []byte(`"Service": "p"`), []byte(`"Service": "x"`), 1)))
	for _, c := range []struct {
		args []string
		exit int
		text string
	}{
		{[]string{valid}, ExitOK, "version 7, no problems"},
		{[]string{noPool}, ExitProblems, `there is no pool "x"`},
		{[]string{write("broken.json", `{"Version": `)}, ExitProblems, "can't decode"},
		{[]string{write("negative.json", `{"Version": 1, "Tenants": [{"Name": "w", "Maximum": {"Cpu": -1}}]}`)}, ExitProblems, "workspaces[0].maximum"},
		{[]string{changed, "--in-force", valid}, ExitOK, "IdleTimeout"},
		{[]string{valid, "--in-force", changed}, ExitProblems, "7 is not above 8"},
		{[]string{valid, "--in-force", filepath.Join(directory, "none.json")}, ExitUsage, ""},
		{[]string{valid, changed}, ExitUsage, ""},
	} {
		var out, errs bytes.Buffer
		require.Equal(t, c.exit, Run(append([]string{"check"}, c.args...), &out, &errs), "%v: %s%s", c.args, &out, &errs)
		require.Contains(t, out.String(), c.text)
		require.NotContains(t, out.String()+errs.String(), "secret")
	}
	var out bytes.Buffer
	require.Equal(t, ExitProblems, Run([]string{"check", noPool, "-o", "json"}, &out, &out))
	var report configurationReport
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	require.EqualValues(t, 7, report.Version)
	require.Len(t, report.Findings, 2)
}
