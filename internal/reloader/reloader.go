// Package reloader handles the signal that asks a process to reload its settings.
package reloader

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// Reloader is a supervisor service that handles SIGHUP, which would end the process
// otherwise. The settings of a node are those of its VM and apply when a new process
// starts. What operators change at run time comes through the platform.
type Reloader struct{ log logrus.FieldLogger }

// New returns a Reloader.
func New(log logrus.FieldLogger) *Reloader { return &Reloader{log: log} }

// Name implements supervisor.Service.
func (*Reloader) Name() string { return "reloader" }

// Run handles signals until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			r.log.WithField("event", "reloadAsked").Info("settings are not reloaded; changes apply at the next start")
		}
	}
}
