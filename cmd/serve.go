package cmd

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/linewriter"
	"github.com/auburnnotch/auburnnotch/internal/loader"
	"github.com/auburnnotch/auburnnotch/internal/logger"
	"github.com/auburnnotch/auburnnotch/internal/node"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

type serveCommand struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

// settings constrains a type parameter to the settings types of nodes. T is the
// type itself, which WithDefaults returns.
type settings[T any] interface {
	Check() []config.Problem
	WithDefaults() T
}

// loadSettings reads and checks the settings file of a node, and returns the
// settings with defaults for the values that it omits.
func loadSettings[T settings[T]](path string) (T, error) {
	var s T
	text, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Annotate(err, "read the settings")
	}
	l := loader.New(path, text)
	problems := l.Load(&s)
	if len(problems) == 0 {
		problems = s.Check()
	}
	if len(problems) > 0 {
		return s, loader.Join(l.Locate(problems))
	}
	return s.WithDefaults(), nil
}

func (c *serveCommand) run(ctx context.Context, streams ioStreams) error {
	ignoreSignals()
	s, err := loadSettings[config.Settings](c.Settings)
	if err != nil {
		return err
	}
	clk := systemclock.New()
	lines := linewriter.New(clk, streams.err)
	log, err := logger.New(lines, s.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	n, err := node.New(s, clk, log)
	if err != nil {
		return errors.Trace(err)
	}
	log.WithFields(logrus.Fields{"event": "listening", "node": s.Name, "callers": n.Addr(), "peers": n.PeerAddr()}).Info("serving")
	return lines.During(func() error { return n.Run(ctx) })
}
