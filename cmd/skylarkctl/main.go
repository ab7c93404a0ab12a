// Command skylarkctl is the command-line tool for operators of skylarkloom.
package main

import (
	"os"

	"github.com/skylarkloom/skylarkloom/pkg/command"
)

func main() { os.Exit(command.RunControl(os.Args[1:], os.Stdout, os.Stderr)) }
