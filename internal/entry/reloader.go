package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// reloader is a supervisor service that takes the signal for changed settings. All
// settings of a node are those of its VM, which a new process takes up; what
// operators change while it runs comes through the platform's store.
type reloader struct{ log logrus.FieldLogger }

// Name implements supervisor.Service.
func (reloader) Name() string { return "reloader" }

// Run takes signals until ctx ends.
func (r reloader) Run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			r.log.WithField("event", "reloadAsked").Info("the settings in force stay; new ones take effect with the next start")
		}
	}
}
