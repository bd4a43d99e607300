package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binEnv is the environment variable that names the directory with prebuilt binaries.
const binEnv = "BRIARPROXY_BIN"

var binDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	binDir = os.Getenv(binEnv)
	if binDir == "" {
		dir, err := os.MkdirTemp("", "briarproxy-bin-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if err := buildBinaries(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		binDir = dir
	}
	return m.Run()
}

func buildBinaries(dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator), "briarproxy/daemon/cmd/briarproxyd", "briarproxy/daemon/cmd/briarctl", "briarproxy/standin/cmd/standin"}
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

func binaryPath(name string) string { return filepath.Join(binDir, name) }
