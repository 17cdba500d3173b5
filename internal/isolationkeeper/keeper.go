// Package isolationkeeper keeps the names of isolated workspaces in the platform's store.
// What they shared before their isolation stays in caches after the configuration no
// longer lists them, and nodes that start later don't know the earlier configurations. If no
// node knows all names, it begins a new cache epoch, in which they aren't needed.
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
	"github.com/auburnnotch/auburnnotch/pkg/recorder"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Key is the key under which the names are stored, and EpochKey that of the cache epoch.
const (
	Key      = "auburnnotch/isolated"
	EpochKey = "auburnnotch/cacheEpoch"
)

const (
	checkInterval = 200 * time.Millisecond
	// writeInterval lets the node read what it has written before it writes again.
	writeInterval = time.Second
	// standbyDelay is how much later than the writer that ranks before it a node writes.
	standbyDelay = 1200 * time.Millisecond
	// epochDelay is how long a writer doesn't know all names until it begins a new epoch. In
	// that time, a node that does can write them.
	epochDelay = 2 * time.Second
)

// storedEpoch is a cache epoch as it is encoded. Later releases add fields at the end.
type storedEpoch struct {
	ID, Config, NamesHash uint64
	Members               string
}

// DecodeEpoch decodes the stored cache epoch. With an error, it returns only its revision, so that
// it can be replaced.
func DecodeEpoch(it platform.Item) (*traffic.CacheEpoch, error) {
	var e storedEpoch
	unreadable := &traffic.CacheEpoch{Revision: it.Revision}
	if err := packer.New(it.Value).Unpack(&e); err != nil {
		return unreadable, errors.Annotate(err, "decode cache epoch")
	}
	if e.ID == 0 || e.Config == 0 {
		return unreadable, errors.NotValidf("cache epoch %d of configuration %d", e.ID, e.Config)
	}
	return &traffic.CacheEpoch{ID: e.ID, Config: e.Config, NamesHash: e.NamesHash, Members: e.Members, Revision: it.Revision}, nil
}

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

// Keeper writes what the store lacks. It implements supervisor.Service.
type Keeper struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	store platform.Store
	fleet Fleet
	rank  func() (rank int, isWriter bool)
	// dueSince is since when the store lacks something, and incompleteSince since when the
	// node doesn't know all names; zero if that isn't so.
	dueSince, incompleteSince time.Time
}

// New returns a Keeper. Only nodes for which rank reports true write, since all nodes
// receive the same configurations; those with a higher rank later.
func New(clk clock.Clock, log logrus.FieldLogger, s platform.Store, fleet Fleet, rank func() (rank int, isWriter bool)) *Keeper {
	return &Keeper{clk: clk, log: log, store: s, fleet: fleet, rank: rank}
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

// write writes what the store lacks, and reports whether it has tried to.
func (k *Keeper) write(ctx context.Context) bool {
	s := k.fleet.Snapshot()
	rank, isWriter := k.rank()
	newID := max(s.AsOfRevision, s.EpochRevision) // greater than the ID of the epoch that it replaces
	next, due := k.due(s, rank, newID)
	if !due || !isWriter {
		return false
	}
	err := k.commit(ctx, s, &next)
	log := k.log.WithFields(logrus.Fields{"names": len(next.Names), "epoch": next.Epoch.ID, "config": next.Epoch.Config})
	switch {
	case err == nil && next.Epoch.ID == newID:
		log.WithField("event", "cacheEpochBegun").Warn("began a new cache epoch, since it isn't known which workspaces were isolated, or they are too many to keep")
	case err == nil:
		log.WithField("event", "isolationsStored").Info("stored the names of isolated workspaces")
	case errors.Is(err, platform.Conflict): // another node has written first
	case ctx.Err() == nil:
		log.WithError(err).WithField("event", "isolationsUnwritten").Info("failed to store the names of isolated workspaces; will retry")
	}
	return true
}

// due returns what the store should hold, and whether it is time for a node with a rank to
// write that. newID is the ID of a new epoch.
func (k *Keeper) due(s *observer.Snapshot, rank int, newID uint64) (recorder.Stored, bool) {
	now := k.clk.Now()
	if !s.Loaded || !s.Isolations.HasConfig() {
		k.dueSince, k.incompleteSince = time.Time{}, time.Time{}
		return recorder.Stored{}, false
	}
	delay := time.Duration(rank) * standbyDelay
	if !s.Isolations.Complete() {
		k.dueSince = time.Time{}
		if k.incompleteSince.IsZero() {
			k.incompleteSince = now
		}
		return s.Isolations.NextEpoch(newID), now.Sub(k.incompleteSince) >= epochDelay+delay
	}
	k.incompleteSince = time.Time{}
	next, changed := s.Isolations.Next(newID)
	if !changed {
		k.dueSince = time.Time{}
		return next, false
	}
	if k.dueSince.IsZero() {
		k.dueSince = now
	}
	return next, now.Sub(k.dueSince) >= delay
}

// commit writes the list of names and the epoch unless one of them has changed.
func (k *Keeper) commit(ctx context.Context, s *observer.Snapshot, next *recorder.Stored) error {
	e := next.Epoch
	epoch, err := packer.Pack(&storedEpoch{ID: e.ID, Config: e.Config, NamesHash: e.NamesHash, Members: e.Members})
	if err != nil {
		return errors.Trace(err)
	}
	t := platform.Txn{
		Expect: []platform.Expectation{{Key: Key, Revision: s.IsolationsRevision}, {Key: EpochKey, Revision: s.EpochRevision}},
		Put:    []platform.Put{{Key: EpochKey, Value: epoch}},
	}
	switch {
	case s.Isolations.Stores(next.Names): // the list may be long
	case len(next.Names) == 0:
		t.Remove = append(t.Remove, Key)
	default:
		names, err := encode(next.Names)
		if err != nil {
			return errors.Trace(err)
		}
		t.Put = append(t.Put, platform.Put{Key: Key, Value: names})
	}
	_, err = k.store.Commit(ctx, platform.LineFleet, t)
	return err
}
