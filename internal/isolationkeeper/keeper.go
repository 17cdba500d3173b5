// Package isolationkeeper keeps the names of isolated workspaces in the platform's store.
// What they shared before their isolation stays in caches after the configuration no
// longer lists them, and nodes that start later don't know the earlier configurations.
package isolationkeeper

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Key is the key under which the names are stored.
const Key = "auburnnotch/isolated"

const (
	checkInterval = 200 * time.Millisecond
	// writeInterval lets the node read what it has written before it writes again.
	writeInterval = time.Second
)

// storedWorkspace is a name as it is encoded. Later releases add fields at the end.
type storedWorkspace struct{ Name string }

func encode(names []string) ([]byte, error) {
	list := make([]storedWorkspace, len(names))
	for i, name := range names {
		list[i].Name = name
	}
	return packer.Pack(list)
}

// Decode decodes the stored names. With an error, it returns none of them but their
// revision, so that they can be replaced.
func Decode(it platform.Item) (*traffic.Isolations, error) {
	var list []storedWorkspace
	unreadable := &traffic.Isolations{Revision: it.Revision, Unreadable: true}
	if err := packer.New(it.Value).Unpack(&list); err != nil {
		return unreadable, errors.Annotate(err, "decode isolated workspaces")
	}
	names := make([]string, len(list))
	for i := range list {
		if names[i] = list[i].Name; names[i] == "" {
			return unreadable, errors.NotValidf("isolated workspace without a name")
		}
	}
	if len(names) == 0 {
		return unreadable, errors.NotValidf("list without isolated workspaces")
	}
	return &traffic.Isolations{Revision: it.Revision, Names: names}, nil
}

// Fleet provides what the store holds and what the node knows.
type Fleet interface {
	Snapshot() *observer.Snapshot
}

// Keeper writes the names that the store lacks. It implements supervisor.Service.
type Keeper struct {
	clk      clock.Clock
	log      logrus.FieldLogger
	store    platform.Store
	fleet    Fleet
	isWriter func() bool
}

// New returns a Keeper. Only nodes for which isWriter returns true write, since all nodes
// receive the same configurations.
func New(clk clock.Clock, log logrus.FieldLogger, s platform.Store, fleet Fleet, isWriter func() bool) *Keeper {
	return &Keeper{clk: clk, log: log, store: s, fleet: fleet, isWriter: isWriter}
}

// Name implements supervisor.Service.
func (k *Keeper) Name() string { return "isolationkeeper" }

// Run writes changes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := checkInterval
		if k.write(ctx) {
			wait = writeInterval
		}
		clock.Sleep(ctx, k.clk, wait)
	}
	return nil
}

// write writes the names if some are missing, and reports whether it has tried to.
func (k *Keeper) write(ctx context.Context) bool {
	s := k.fleet.Snapshot()
	if !s.Loaded || !k.isWriter() {
		return false
	}
	names, dropped, changed := s.Isolations.Next()
	if !changed {
		return false
	}
	value, err := encode(names)
	if err == nil {
		_, err = k.store.Commit(ctx, platform.LineFleet, platform.Txn{
			Expect: []platform.Expectation{{Key: Key, Revision: s.IsolationsRevision}}, Put: []platform.Put{{Key: Key, Value: value}},
		})
	}
	log := k.log.WithField("names", len(names))
	switch {
	case err == nil:
		log.WithField("event", "isolationsStored").Info("stored the names of isolated workspaces")
		if len(dropped) > 0 {
			log.WithFields(logrus.Fields{"event": "isolationsDropped", "workspaces": dropped}).
				Warn("dropped the oldest names of isolated workspaces; others may use what these had shared before their isolation")
		}
	case errors.Is(err, platform.Conflict): // another node has written first
	case ctx.Err() == nil:
		log.WithError(err).WithField("event", "isolationsUnwritten").Info("failed to store the names of isolated workspaces; will retry")
	}
	return true
}
