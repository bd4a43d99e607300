package cell

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
)

const completeSettings = `// one daemon
{"name": "a", "region": "r", "data_centre": "z",
 "listen": {"callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3", "metrics": ""},
 "platform": {"store": "127.0.0.1:4", "advice": null, "machines": null},
 "limits": {"memory_mib": 284, "descriptors": 4100},
 "bounds": {"max_lease_ms": 10000, "failover_ms": 3000, "early_ms": 250, "stop_ms": 900, "grace_s": 6, "status_s": 120, "keep_s": null, "revoke_ms": 5000}}`

func loadSettings(t *testing.T, text string) (*Settings, error) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return Load(file)
}

// Guards against a daemon that does not start because a deployment leaves out a bound, and
// against a missing bound that is silently taken as 0.
func TestAbsentBoundsHaveDefaults(t *testing.T) {
	s, err := loadSettings(t, completeSettings)
	require.NoError(t, err)
	require.EqualValues(t, defaultKeepS, s.Bounds.KeepS)
	require.Equal(t, []string{"bounds.keep_s"}, s.defaultedFields)
}

// Guards against a factor that would make every place look better than the data's own, and against deployments without
// it that fail to start.
func TestRemoteFactorIsOptionalButNotBelowOne(t *testing.T) {
	for value, valid := range map[string]bool{"null": true, "0": true, "1": true, "3": true, "0.5": false, "-2": false} {
		_, err := loadSettings(t, strings.Replace(completeSettings, `"keep_s": null`, `"remote_factor": `+value, 1))
		require.Equal(t, valid, err == nil, "%s: %v", value, err)
	}
}

// Guards against errors that do not name the invalid setting.
func TestSettingsErrorsNameTheField(t *testing.T) {
	for original, field := range map[string]string{
		`"name": "a"`: "name", `"127.0.0.1:4"`: "platform.store", `"memory_mib": 284`: "limits.memory_mib",
		`"max_lease_ms": 10000`: "bounds.max_lease_ms", `"revoke_ms": 5000`: "bounds.revoke_ms",
	} {
		replacement := strings.NewReplacer(`"a"`, `""`, "284", "1", "10000", "7", "5000", "7", `"127.0.0.1:4"`, `""`).Replace(original)
		_, err := loadSettings(t, strings.Replace(completeSettings, original, replacement, 1))
		require.True(t, fault.Is(err, fault.Invalid), "%v", err)
		require.ErrorContains(t, err, field)
	}
	_, err := loadSettings(t, strings.Replace(completeSettings, `"region"`, `"regoin"`, 1))
	require.ErrorContains(t, err, "regoin")
}

// Guards against limits for strangers that no request passes or that the machine doesn't have, and
// against errors that do not name the field.
func TestLimitsForStrangersAreChecked(t *testing.T) {
	for _, field := range []string{"caller_connections", "caller_mib", "peer_connections", "peer_mib"} {
		for value, valid := range map[string]bool{"0": false, "-1": false, "100000": false, "64": true, "null": true} {
			_, err := loadSettings(t, strings.Replace(completeSettings, `"memory_mib"`, `"`+field+`": `+value+`, "memory_mib"`, 1))
			if valid {
				require.NoError(t, err, "%s: %s", field, value)
				continue
			}
			require.True(t, fault.Is(err, fault.Invalid), "%s: %s: %v", field, value, err)
			require.ErrorContains(t, err, "limits."+field)
		}
	}
	s, err := loadSettings(t, strings.Replace(completeSettings, `"memory_mib"`, `"caller_connections": 50, "caller_mib": 2, "memory_mib"`, 1))
	require.NoError(t, err)
	ports := s.Limits.ports()
	require.Equal(t, 50, ports.Callers.Connections)
	require.EqualValues(t, 2<<20, ports.Callers.Bytes)
}
