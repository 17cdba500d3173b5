// Package cmd implements the command line of auburnnotch, with one file for each
// command.
package cmd
