// Command auburnnotch routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/auburnnotch/auburnnotch/cmd"
)

func main() { os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
