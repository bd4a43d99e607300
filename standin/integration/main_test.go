package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binEnv names the variable with the folder of built binaries.
const binEnv = "BRIARPROXY_BIN"

var binFolder string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	binFolder = os.Getenv(binEnv)
	if binFolder == "" {
		folder, err := os.MkdirTemp("", "briarproxy-bin-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(folder) }()
		if err := build(folder); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		binFolder = folder
	}
	return m.Run()
}

func build(folder string) error {
	args := []string{"build", "-o", folder + string(filepath.Separator), "briarproxy/daemon/cmd/briarproxyd", "briarproxy/daemon/cmd/briarctl", "briarproxy/standin/cmd/standin"}
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

func binary(name string) string { return filepath.Join(binFolder, name) }
