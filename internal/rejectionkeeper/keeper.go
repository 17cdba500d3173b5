// Package rejectionkeeper keeps the fleet's rejections in the platform's store. Nodes tell
// each other what they reject, but forget it if all of them restart at once.
package rejectionkeeper

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/retainer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Key is the key under which the rejections are stored.
const Key = "auburnnotch/rejections"

const (
	checkInterval = 200 * time.Millisecond
	// writeInterval lets the node read what it has written before it writes again.
	writeInterval = time.Second
	// maxStoredFeatures bounds the features of one rejection that is read.
	maxStoredFeatures = 64
)

// storedRejection is a rejection as it is encoded. Later releases add fields at the end.
type storedRejection struct {
	Features []uint64
	UntilMS  int64 // Unix time
}

func encode(rejections []traffic.Rejection) ([]byte, error) {
	list := make([]storedRejection, len(rejections))
	for i, p := range rejections {
		list[i] = storedRejection{Features: p.Features, UntilMS: p.Until.UnixMilli()}
	}
	return packer.Pack(list)
}

// Decode decodes the stored rejections. With an error, it returns none of them but their
// revision, so that they can be replaced.
func Decode(it platform.Item) (*traffic.Rejections, error) {
	r := &traffic.Rejections{Revision: it.Revision}
	var list []storedRejection
	if err := packer.New(it.Value).Unpack(&list); err != nil {
		return r, errors.Annotate(err, "decode rejections")
	}
	out := make([]traffic.Rejection, 0, len(list))
	for _, p := range list {
		if len(p.Features) == 0 || len(p.Features) > maxStoredFeatures {
			return r, errors.NotValidf("rejection with %d features", len(p.Features))
		}
		out = append(out, traffic.Rejection{Features: p.Features, Until: time.UnixMilli(p.UntilMS)})
	}
	r.Rejections = out
	return r, nil
}

// Fleet provides what the store holds.
type Fleet interface {
	Snapshot() *observer.Snapshot
}

// Relayer provides what this node rejects.
type Relayer interface {
	Rejections() []traffic.Rejection
}

// Keeper writes the rejections of this node to the store. It implements
// supervisor.Service.
type Keeper struct {
	clk      clock.Clock
	log      logrus.FieldLogger
	store    platform.Store
	fleet    Fleet
	relayer  Relayer
	isWriter func() bool
	retainer *retainer.Retainer
}

// New returns a Keeper. Only nodes for which isWriter returns true write: what they reject
// is what all nodes do.
func New(clk clock.Clock, log logrus.FieldLogger, s platform.Store, fleet Fleet, r Relayer, isWriter func() bool) *Keeper {
	return &Keeper{clk: clk, log: log, store: s, fleet: fleet, relayer: r, isWriter: isWriter, retainer: retainer.New()}
}

// Name implements supervisor.Service.
func (k *Keeper) Name() string { return "rejectionkeeper" }

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

// write writes the rejections if they have changed, and reports whether it has tried to.
func (k *Keeper) write(ctx context.Context) bool {
	s := k.fleet.Snapshot()
	next, changed := k.retainer.Next(k.clk.Now(), s.Rejections.Rejections, k.relayer.Rejections())
	if !changed || !s.Loaded || !k.isWriter() {
		return false
	}
	value, err := encode(next)
	if err == nil {
		_, err = k.store.Commit(ctx, platform.LineFleet, platform.Txn{
			Expect: []platform.Expectation{{Key: Key, Revision: s.Rejections.Revision}}, Put: []platform.Put{{Key: Key, Value: value}},
		})
	}
	log := k.log.WithField("rejections", len(next))
	switch {
	case err == nil:
		log.WithField("event", "rejectionsStored").Info("stored what the fleet rejects")
	case errors.Is(err, platform.Conflict): // another node has written first
	case ctx.Err() == nil:
		log.WithError(err).WithField("event", "rejectionsUnwritten").Info("failed to store what the fleet rejects; will retry")
	}
	return true
}
