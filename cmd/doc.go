// Package cmd is the command line of auburnnotch, one file for each command.
package cmd
