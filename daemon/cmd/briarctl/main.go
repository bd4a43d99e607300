// Command briarctl is the operator's command line.
package main

import (
	"os"

	"briarproxy/daemon/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
