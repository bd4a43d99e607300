package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/object"
)

const (
	inspectorsDir  = "../../../examples/inspectors"
	cooperativeDir = "../../../examples/cooperative"
)

func run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against changes of the validation rules that make the example objects invalid.
func TestExamplesHaveNoProblems(t *testing.T) {
	code, out, errs := run("check", inspectorsDir, cooperativeDir)
	assert.Equal(t, ExitOK, code, out+errs)
	assert.Equal(t, inspectorsDir+": 10 objects in 4 files, no problems\n"+cooperativeDir+": 9 objects in 4 files, no problems\n", out)
}

// Guards against a wrong exit code, and against an output format that omits problems.
func TestCheckReportsProblems(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "a.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"kind": "team", "name": "a", "spec": {"wieght": 1}}`), 0o600))
	code, out, _ := run("check", dir)
	assert.Equal(t, ExitProblems, code)
	assert.Contains(t, out, `did you mean "weight"?`)

	code, out, _ = run("check", "--output", "json", dir)
	assert.Equal(t, ExitProblems, code)
	var results []checkResult
	require.NoError(t, json.Unmarshal([]byte(out), &results))
	require.Len(t, results, 1)
	assert.Equal(t, []object.Problem{{
		File: file, Line: 1, Kind: object.KindTeam, Object: "a", Field: "spec.wieght", Rule: "unknown-field",
		Message: "is not a known field", Remedy: `did you mean "weight"?`,
	}}, results[0].Problems)

	code, out, errs := run("diff", dir, inspectorsDir)
	assert.Equal(t, ExitProblems, code)
	assert.Empty(t, out)
	assert.Contains(t, errs, "spec.wieght")
}

// Guards against usage errors with the exit code for problems found, which scripts would
// misinterpret.
func TestUsageErrors(t *testing.T) {
	empty := t.TempDir()
	for _, args := range [][]string{
		{"check"}, {"chek"}, {"check", "--nothing", inspectorsDir}, {"check", "-o", "xml", inspectorsDir},
		{"check", filepath.Join(empty, "absent")}, {"check", empty}, {"diff", inspectorsDir},
	} {
		code, out, errs := run(args...)
		assert.Equal(t, ExitUsage, code, args)
		assert.Empty(t, out, args)
		assert.NotEmpty(t, errs, args)
	}
}

// Guards against help texts that omit the exit codes and against a missing completion
// command.
func TestHelpAndCompletion(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"check", "--help"}, {"diff", "--help"}} {
		code, out, _ := run(args...)
		assert.Equal(t, ExitOK, code)
		assert.Contains(t, out, exitCodes)
	}
	code, out, _ := run("completion", "bash")
	assert.Equal(t, ExitOK, code)
	assert.Contains(t, out, "briarctl")
}

// Guards against a diff that omits a changed field.
func TestDiff(t *testing.T) {
	dir := t.TempDir()
	files, err := readObjectFiles(cooperativeDir)
	require.NoError(t, err)
	for name, data := range files {
		data = bytes.Replace(data, []byte(`"deadline": "3s"`), []byte(`"deadline": "2500ms"`), 1)
		require.NoError(t, os.WriteFile(filepath.Join(dir, filepath.Base(name)), data, 0o600))
	}
	code, out, _ := run("diff", cooperativeDir, dir)
	assert.Equal(t, ExitOK, code)
	assert.Regexp(t, `changed +policy/quotes +deadline +3s +2.5s`, out)
	code, out, _ = run("diff", dir, dir)
	assert.Equal(t, ExitOK, code)
	assert.Equal(t, "no difference\n", out)
	code, out, _ = run("diff", "-o", "json", cooperativeDir, inspectorsDir)
	assert.Equal(t, ExitOK, code)
	assert.True(t, json.Valid([]byte(out)))
}

// Guards against settings commands that accept an invalid file or print defaults with
// unknown fields.
func TestSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.jsonc")
	_, out, _ := run("settings", "defaults")
	require.NoError(t, os.WriteFile(file, []byte(out), 0o600))
	code, _, errs := run("settings", "check", file)
	assert.Equal(t, ExitProblems, code)
	assert.NotContains(t, errs, "not a known field")
	assert.Contains(t, errs, "log_url")
}

// Guards against explain and timeline commands that cannot work from saved logs alone.
func TestExplainAndTimelineReadSavedLogs(t *testing.T) {
	log := filepath.Join(t.TempDir(), "a.log")
	require.NoError(t, os.WriteFile(log, []byte(`{"time":"2026-05-25T23:03:12.900Z","level":"info","daemon":"b-1","event":941,"job":"j3","reason":"the log does not answer","message":"job-rejected"}`+"\n"), 0o600))
	code, out, errs := run("explain", "j3", "--log", log)
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, out, "job j3 was not accepted here: job-rejected (the log does not answer) at b-1")

	page := filepath.Join(t.TempDir(), "a.html")
	code, _, errs = run("timeline", log, "--job", "j3", "--html", page)
	require.Equal(t, ExitOK, code, errs)
	require.FileExists(t, page)
	code, _, _ = run("timeline", filepath.Join(t.TempDir(), "none"))
	require.Equal(t, ExitUsage, code)
}
