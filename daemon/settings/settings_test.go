package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
)

const minimalSettings = `{
"name": "e1", "region": "doto", "data_centre": "kushiro-1", // place
"advertise": {"caller": "10.0.0.1:8080", "peer": "10.0.0.1:8081"},
"log_url": "http://10.0.0.9:9000", "vm_list_url": "http://10.0.0.9:9001",
}`

// Guards against printed defaults that Parse rejects or reads as different values, and
// against a field that is missing from the table.
func TestDefaultsPrintAndReadBack(t *testing.T) {
	s, issues := Parse([]byte(minimalSettings))
	require.Empty(t, issues)
	want := Defaults()
	want.Name, want.Region, want.DataCentre = "e1", "doto", "kushiro-1"
	want.Advertise = Advertise{Caller: "10.0.0.1:8080", Peer: "10.0.0.1:8081"}
	want.LogURL, want.VMListURL = "http://10.0.0.9:9000", "http://10.0.0.9:9001"
	assert.Equal(t, want, s)
	back, issues := Parse(s.Encode())
	require.Empty(t, issues, "%s", s.Encode())
	assert.Equal(t, s, back)
	var missing []string
	_, issues = Parse(Defaults().Encode())
	for _, issue := range issues {
		missing = append(missing, issue.Path)
	}
	assert.Equal(t, []string{"name", "region", "data_centre", "log_url", "vm_list_url", "advertise.caller", "advertise.peer"}, missing)
	assert.Contains(t, string(Defaults().Encode()), "\"drain_delay\": \"5s\",")
}

// Guards against invalid settings that are accepted or that mask a second issue. Each
// case lists the exact issues.
func TestParseReportsExactIssues(t *testing.T) {
	cases := []struct {
		name, extra string
		want        []string // "rule line path"
	}{
		{"unknown keys", `"drain_dealy": "1s", "limits": {"bodies": 1}`, []string{"unknown-field 5 drain_dealy", "unknown-field 5 limits.bodies"}},
		{"number as duration", `"drain_delay": 2`, []string{"wrong-type 5 drain_delay"}},
		{"wrong unit", `"limits": {"body": "1MB"}`, []string{"wrong-unit 5 limits.body"}},
		{"out of range", `"log_appends_per_second": 0, "memory_limit": "1KiB"`, []string{"out-of-range 5 log_appends_per_second", "out-of-range 5 memory_limit"}},
		{"host name", `"listen": {"peer": "localhost:1"}`, []string{"wrong-unit 5 listen.peer"}},
		{"seed without port", `"seed_peers": ["10.0.0.2:8081", "10.0.0.3:0"]`, []string{"out-of-range 5 seed_peers[1]"}},
		{"one port twice", `"listen": {"peer": "10.0.0.1:8080"}`, []string{"out-of-range 5 listen.peer"}},
		{"slow heartbeat", `"lease": {"heartbeat": "3s"}`, []string{"out-of-range 5 lease.heartbeat"}},
		{"token in clear", `"listen": {"admin": "10.0.0.1:8082"}, "admin": {"token_file": "t"}`, []string{"out-of-range 5 admin.tls_cert"}},
		{"half a key pair", `"admin": {"tls_cert": "c"}`, []string{"out-of-range 5 admin.tls_key"}},
		{"level", `"log_level": "inof"`, []string{"unknown-value 5 log_level"}},
		{"repeated", `"name": "e2"`, []string{"repeated-field 5 name"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, issues := Parse([]byte(strings.TrimSuffix(minimalSettings, "}") + c.extra + "}"))
			assert.Nil(t, s)
			var got []string
			for _, issue := range issues {
				assert.NotEmpty(t, issue.Remedy)
				got = append(got, fmt.Sprintf("%s %d %s", issue.Rule, issue.Line, issue.Path))
			}
			assert.Equal(t, c.want, got, "%v", issues)
		})
	}
}

// Guards against an error that reports only the first issue or omits the file and line.
func TestLoadListsAllIssues(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(`{"nmae": "x"}`), 0o600))
	_, err := Load(path)
	require.True(t, fault.Is(err, fault.Invalid))
	for _, part := range []string{
		path + `:1: nmae: is not a known field (did you mean "name"?)`,
		": region: is required", ": log_url: is required", ": advertise.peer: is required",
	} {
		assert.Contains(t, err.Error(), part)
	}
	_, err = Load(path + "x")
	assert.True(t, fault.Is(err, fault.Invalid))
}

// Guards against a reload that applies a field that must not change without a restart,
// such as the lease duration.
func TestCheckReload(t *testing.T) {
	current, updated := Defaults(), Defaults()
	updated.LogLevel, updated.DrainDelay, updated.SeedPeers = "debug", time.Second, []string{"10.0.0.1:1"}
	assert.NoError(t, CheckReload(current, updated))
	updated.Lease.Duration, updated.Listen.Peer = time.Minute, "10.0.0.1:1"
	err := CheckReload(current, updated)
	require.True(t, fault.Is(err, fault.Refused))
	assert.Contains(t, err.Error(), "listen.peer, lease.duration")
}

// Guards against panics and against accepted settings that change when encoded and
// parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	seeds, err := filepath.Glob("testdata/seeds/*.jsonc")
	require.NoError(f, err)
	for _, name := range seeds {
		data, err := os.ReadFile(name)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, issues := Parse(data)
		require.Equal(t, len(issues) == 0, s != nil)
		if s == nil {
			return
		}
		back, issues := Parse(s.Encode())
		require.Empty(t, issues)
		require.Equal(t, s, back)
	})
}
