package cmd

import (
	"context"
	"os"

	"github.com/invopop/jsonschema"
	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/configkeeper"
	"github.com/auburnnotch/auburnnotch/internal/loader"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

type checkCommand struct {
	File     string `arg:"positional" help:"declaration, or settings with --settings"`
	Settings bool   `arg:"--settings" help:"the file holds the settings of a node"`
	Schema   bool   `arg:"--schema" help:"print the JSON Schema instead"`
	JSON     bool   `arg:"--json" help:"print the problems as JSON"`
}

func (c *checkCommand) run(_ context.Context, streams ioStreams) error {
	if c.Schema {
		return c.schema(streams)
	}
	if c.File == "" {
		return errors.WithType(errors.New("no file given: name a file, or use --schema"), errUsage)
	}
	problems, err := c.problems()
	if err != nil {
		return err
	}
	if c.JSON {
		if err := streams.printJSON(append([]config.Problem{}, problems...)); err != nil {
			return err
		}
	}
	if err := loader.Join(problems); err != nil {
		return err
	}
	if !c.JSON {
		streams.printf("%s: good\n", c.File)
	}
	return nil
}

// problems returns the problems of the file. Its error is that of reading it.
func (c *checkCommand) problems() ([]config.Problem, error) {
	if c.Settings {
		var s config.Settings
		text, err := os.ReadFile(c.File)
		if err != nil {
			return nil, errors.Trace(err)
		}
		l := loader.New(c.File, text)
		if problems := l.Load(&s); len(problems) > 0 {
			return l.Locate(problems), nil
		}
		return l.Locate(s.Check()), nil
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, errors.Trace(err)
	}
	_, problems := configkeeper.CheckText(c.File, text, systemclock.New().Now(), nil)
	return problems, nil
}

func (c *checkCommand) schema(streams ioStreams) error {
	r := &jsonschema.Reflector{DoNotReference: false}
	if c.Settings {
		return streams.printJSON(r.Reflect(&config.Settings{}))
	}
	return streams.printJSON(r.Reflect(&config.Declaration{}))
}
