// Package logger creates the logger of a process, which writes one line of key=value
// pairs for each event.
package logger

import (
	"io"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// New returns a logger that writes events of the given level or above to w.
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
