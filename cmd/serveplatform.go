package cmd

import (
	"context"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/entry"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/platform"
)

type servePlatformCommand struct {
	Settings string `arg:"positional" help:"settings file, JSON with comments (default: the one that the platform names)"`
}

func (c *servePlatformCommand) run(ctx context.Context, streams ioStreams) error {
	ignoreSignals()
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return errors.Annotate(errUsage, "no settings file: name one, or start under the platform, which names one")
	}
	s, err := loadSettings[config.EntrySettings](path)
	if err != nil {
		return err
	}
	e, err := entry.New(s, streams.out)
	if err != nil {
		return errors.Trace(err)
	}
	return e.Run(ctx)
}
