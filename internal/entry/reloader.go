package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// reloader is a supervisor service that handles SIGHUP. The settings of a node
// are those of its VM and apply when a new process starts. What operators
// change at run time comes through the platform's store.
type reloader struct{ log logrus.FieldLogger }

// Name implements supervisor.Service.
func (reloader) Name() string { return "reloader" }

// Run handles signals until ctx ends.
func (r reloader) Run(ctx context.Context) error {
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
