// Command skylarkloomd is the entry daemon of skylarkloom.
package main

import (
	"os"

	"github.com/skylarkloom/skylarkloom/pkg/command"
)

func main() { os.Exit(command.RunDaemon(os.Args[1:], os.Stdout, os.Stderr)) }
