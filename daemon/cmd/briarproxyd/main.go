// Command briarproxyd is the daemon that every entry VM runs.
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
