// Package logger makes the log of a process: one line of key=value pairs for
// each event.
package logger

import (
	"io"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to w from level on.
func New(w io.Writer, level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotate(err, "logLevel")
	}
	l.SetLevel(parsed)
	return l, nil
}
