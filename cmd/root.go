package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// ioStreams holds the streams that a command writes to: its output, and its
// log and errors.
type ioStreams struct {
	out, err io.Writer
}

// printJSON writes v to the output as indented JSON.
func (s ioStreams) printJSON(v any) error {
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(v))
}

func (s ioStreams) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

// command is one subcommand.
type command interface {
	run(ctx context.Context, streams ioStreams) error
}

type arguments struct {
	Serve         *serveCommand         `arg:"subcommand:serve" help:"run the daemon of an entry VM"`
	ServePlatform *servePlatformCommand `arg:"subcommand:serve-platform" help:"run the daemon of an entry VM on the users' platform"`
	Check         *checkCommand         `arg:"subcommand:check" help:"check a declaration or settings file"`
	Config        *configCommand        `arg:"subcommand:config" help:"check a configuration before rollout"`
	Apply         *applyCommand         `arg:"subcommand:apply" help:"submit a declaration"`
	Status        *statusCommand        `arg:"subcommand:status" help:"show nodes, the revision in force and leaving VMs"`
	Entries       *entriesCommand       `arg:"subcommand:entries" help:"show the addresses that callers are told"`
	Drain         *drainCommand         `arg:"subcommand:drain" help:"declare when a VM leaves"`
	Plan          *planCommand          `arg:"subcommand:plan" help:"show how the leaving VMs are emptied"`
	Version       *versionCommand       `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "auburnnotch routes language-model traffic with long shared prompts.\nExit codes: 0 done, 1 failed, 2 wrong use."
}

// errUsage is the type of the errors that report wrong use of the command line.
// For these, Execute returns exitUsage.
const errUsage = errors.ConstError("wrong use")

// errUnreadable is the type of the errors that report input that can't be read, of commands for
// which exitFailure has a meaning of its own. For these, Execute returns exitUsage.
const errUnreadable = errors.ConstError("unreadable input")

// Execute runs the command that args name and returns the exit code of the
// process.
func Execute(args []string, out, errOut io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "auburnnotch", Out: out, Exit: func(int) {}}, &a)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailure
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintf(errOut, "auburnnotch: %v\n", err)
		_ = p.WriteUsageForSubcommand(errOut, p.SubcommandNames()...)
		return exitUsage
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(errOut)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = c.run(ctx, ioStreams{out: out, err: errOut})
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage), errors.Is(err, errUnreadable):
		fmt.Fprintf(errOut, "auburnnotch: %v\n", err)
		return exitUsage
	default:
		fmt.Fprintf(errOut, "auburnnotch: %v\n", err)
		return exitFailure
	}
}
