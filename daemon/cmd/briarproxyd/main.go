// Command briarproxyd is the daemon of the cluster scheduler. It runs on every VM that
// accepts requests from callers.
package main

import (
	"fmt"
	"os"

	"briarproxy/daemon/internal/daemoncmd"
)

func main() {
	if err := daemoncmd.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "briarproxyd:", err)
		os.Exit(1)
	}
}
