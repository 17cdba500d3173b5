package cmd

import (
	"context"
	"os"
	"strings"
	"time"
	"unicode"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/inspector"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/differ"
	"github.com/auburnnotch/auburnnotch/pkg/linter"
)

type configCommand struct {
	Check *configCheckCommand `arg:"subcommand:check" help:"report faults and differences of a file; exit code 1: findings, 2: unreadable"`
}

type configCheckCommand struct {
	File    string `arg:"positional,required" help:"declaration, or configuration of the platform"`
	Against string `arg:"--against" help:"compare with this file, the configuration in force"`
	Form    string `arg:"--form" help:"declaration or platform, if the content doesn't tell"`
	JSON    bool   `arg:"--json" help:"print findings and differences as JSON"`
}

// configReport is the output of a check.
type configReport struct {
	File     string           `json:"file"`
	Form     inspector.Form   `json:"form"`
	Version  uint64           `json:"version,omitempty"`
	Findings []linter.Finding `json:"findings"`
	// Against is absent without a comparison, and if the file can't be decoded.
	Against *configComparison `json:"against,omitempty"`
}

type configComparison struct {
	File    string           `json:"file"`
	Version uint64           `json:"version,omitempty"`
	Changes []differ.Changes `json:"changes"`
}

func (c *configCheckCommand) run(_ context.Context, streams ioStreams) error {
	r, err := c.report(systemclock.New().Now())
	if err != nil {
		return errors.WithType(err, errUnreadable)
	}
	if c.JSON {
		if err := streams.printJSON(r); err != nil {
			return err
		}
	} else {
		r.print(streams)
	}
	if n := len(r.Findings); n > 0 {
		return errors.Errorf("%s: %d findings", c.File, n)
	}
	return nil
}

// report checks the file. Its error is that of reading one of the files.
func (c *configCheckCommand) report(now time.Time) (*configReport, error) {
	form := inspector.Form(c.Form)
	var before *inspector.Configuration
	var err error
	if c.Against != "" {
		if before, err = inspectFile(now, c.Against, form, nil); err != nil {
			return nil, err
		}
		if !before.Decoded() {
			return nil, errors.NotValidf("%s", c.Against)
		}
		form = before.Form // only configurations of one form can be compared
	}
	after, err := inspectFile(now, c.File, form, before)
	if err != nil {
		return nil, err
	}
	r := &configReport{File: c.File, Form: after.Form, Version: after.View.Catalog.Version, Findings: append([]linter.Finding{}, after.Findings...)}
	if before != nil && after.Decoded() {
		r.Against = &configComparison{
			File: c.Against, Version: before.View.Catalog.Version, Changes: append([]differ.Changes{}, differ.Compare(before.View, after.View)...),
		}
	}
	return r, nil
}

func inspectFile(now time.Time, path string, form inspector.Form, prev *inspector.Configuration) (*inspector.Configuration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c, err := inspector.Inspect(now, text, form, prev)
	if errors.Is(err, inspector.Unclear) {
		return nil, errors.Annotatef(err, "%s: use --form declaration or --form platform", path)
	}
	return c, errors.Annotate(err, path)
}

// print prints the report for people.
func (r *configReport) print(streams ioStreams) {
	for i := range r.Findings {
		f := &r.Findings[i]
		place := f.Path
		if place != "" {
			place += ": "
		}
		streams.printf("%s:%d: %s%s %s: %s\n", r.File, f.Line, printable(place), f.Severity, f.Code, printable(f.Text))
	}
	if len(r.Findings) == 0 {
		streams.printf("%s: good\n", r.File)
	}
	if r.Against == nil {
		return
	}
	if r.Version > 0 {
		streams.printf("\nversion %d -> %d\n", r.Against.Version, r.Version)
	}
	if len(r.Against.Changes) == 0 {
		streams.printf("no differences from %s\n", r.Against.File)
	}
	for _, g := range r.Against.Changes {
		streams.printf("%s (%d)\n", g.Group, len(g.Changes))
		for _, change := range g.Changes {
			streams.printf("  %s: %s\n", change.Subject, printable(change.String()))
		}
	}
}

// printable replaces control characters, so that a name in a configuration can't add lines to
// the output.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return unicode.ReplacementChar
		}
		return r
	}, s)
}
