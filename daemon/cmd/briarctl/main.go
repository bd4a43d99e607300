// Command briarctl is the command-line tool for operators.
package main

import (
	"os"

	"briarproxy/daemon/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
