package observer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/prover"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// pollInterval is the time between two reads of the store. Two reads and one
	// lost answer fit into the 2 s in which a leaving upstream must be known.
	pollInterval = 800 * time.Millisecond
	// pollRetryDelay is the time after a failed read.
	pollRetryDelay = 200 * time.Millisecond
	// watchTimeout is how long a watch waits for a change; it is cut sooner now
	// and then.
	watchTimeout = 20 * time.Second
	// outageThreshold is how long reads must fail for upstreams to have been taken off
	// the list although they live: less than three of their heartbeats.
	outageThreshold = 2 * time.Second
	// recoveryGrace is how long after an outage upstreams that are missing are
	// kept: those that live are back within two seconds.
	recoveryGrace = 2200 * time.Millisecond
	// assumedAnnouncementAge is how long ago weights were named that this node finds when
	// it starts.
	assumedAnnouncementAge = 5 * time.Second
	// relaxedPollInterval is the time between two reads of a node that hears from a
	// reader what has changed.
	relaxedPollInterval = 10 * time.Second
	// maxDigestAge is the age of a look up to which a reader passes it on: one
	// read may fail.
	maxDigestAge = 1300 * time.Millisecond
	// digestTTL is how long a reader's word about the store counts.
	digestTTL = 700 * time.Millisecond
	// minTriggerDelay bounds how often a node reads on the word of others; in a large
	// fleet, where each change makes many nodes read, it is longer by kickPerNode
	// for each node, up to longestKick.
	minTriggerDelay     = 300 * time.Millisecond
	triggerDelayPerNode = 10 * time.Millisecond
	maxTriggerDelay     = 900 * time.Millisecond
	waitStep            = 100 * time.Millisecond
	maxPages            = 64
	// maxVersions bounds the versions of a model whose naming is remembered.
	maxVersions = 8
	// minAgeDifference is the difference between two nodes' ages that isn't worth a
	// change.
	minAgeDifference = 50 * time.Millisecond
)

// Layout tells where the store's facts are and reads them.
type Layout struct {
	// OperatorPrefix is the prefix of what operators write.
	OperatorPrefix string
	// Decode reads one key. A nil Fact without error is a key of no interest; a
	// Fact with an error is what could be read.
	Decode func(platform.Item) (traffic.Fact, error)
}

// Listener is told what has changed. Calls come one after the other.
type Listener interface {
	SetUpstreams(ups []traffic.Upstream, memory map[string]int)
}

// Snapshot is the outcome of a look at the store.
type Snapshot struct {
	Upstreams []traffic.Upstream
	Weights   []traffic.Weights
	Nodes     []traffic.Node
	// Leader is the node that gives orders; nil if there is none.
	Leader *traffic.Leader
	// Announcements has when weights were named, as written into the store.
	Announcements []traffic.Announcements
	// Roster has Nodes and those that work for the others.
	Roster *roster.Roster
	// Loaded says that the store was read at least once.
	Loaded bool
}

type knownItem struct {
	revision uint64
	fact     traffic.Fact
}

// Observer is a supervisor service.
type Observer struct {
	clk      clock.Clock
	boot     clock.Boot
	log      logrus.FieldLogger
	store    platform.Store
	layout   Layout
	listener Listener

	view     atomic.Pointer[relayer.View]
	snapshot atomic.Pointer[Snapshot]

	mu        sync.Mutex
	proof     prover.Prover
	items     map[string]knownItem
	catalog   *traffic.Catalog
	weights   map[string][]relayer.Weights
	revision  uint64    // of the store at the last read
	lastRead  time.Time // zero before the first
	recovered time.Time // end of the last outage
	// down is set while reads fail, since downSince.
	down           bool
	downSince      time.Time
	hash           uint64    // of the last look
	digestReceived time.Time // of the last digest of a reader
	// digestRevision is the store's revision in that digest.
	digestRevision uint64
	trigger        chan struct{}
	isStoreReader  func() bool
}

// New returns an Observer that knows nothing.
func New(clk clock.Clock, boot clock.Boot, log logrus.FieldLogger, s platform.Store, l Layout) *Observer {
	o := &Observer{
		clk: clk, boot: boot, log: log, store: s, layout: l, items: map[string]knownItem{}, weights: map[string][]relayer.Weights{},
		trigger: make(chan struct{}, 1), isStoreReader: func() bool { return true },
	}
	o.snapshot.Store(&Snapshot{Roster: roster.New(nil)})
	return o
}

// SetListener names who is told of changes. It is called before Run.
func (o *Observer) SetListener(l Listener) { o.listener = l }

// pollWait returns how long to wait for the next read.
func (o *Observer) pollWait() time.Duration {
	isReader := o.isStoreReader()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clk.Now()
	settled := o.recovered.IsZero() || now.Sub(o.recovered) > 2*recoveryGrace
	if isReader || o.down || !settled || now.Sub(o.digestReceived) > digestTTL {
		return pollInterval
	}
	return relaxedPollInterval
}

// View implements relayer.Fleet.
func (o *Observer) View() *relayer.View { return o.view.Load() }

// Proof implements relayer.Fleet.
func (o *Observer) Proof() prover.Prover {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proof
}

// Snapshot returns the last look at the store.
func (o *Observer) Snapshot() *Snapshot { return o.snapshot.Load() }

// Name implements supervisor.Service.
func (o *Observer) Name() string { return "observer" }

// Run reads and watches until ctx ends.
func (o *Observer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return o.poll(ctx) })
	g.Go(func() error { return o.watch(ctx) })
	return g.Wait()
}

func (o *Observer) poll(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := pollInterval
		if err := o.read(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			o.recordReadFailure(err)
			wait = pollRetryDelay
		}
		o.waitForNextRead(ctx, wait)
	}
	return nil
}

// waitForNextRead waits for the time of the next read, or for word that something has
// changed. Whether a reader is heard is asked again and again.
func (o *Observer) waitForNextRead(ctx context.Context, minWait time.Duration) {
	began := o.clk.Now()
	minDelay := min(maxTriggerDelay, max(minTriggerDelay, time.Duration(len(o.Snapshot().Nodes))*triggerDelayPerNode))
	if !clock.Sleep(ctx, o.clk, min(minWait, minDelay)) {
		return
	}
	for ctx.Err() == nil {
		elapsed := o.clk.Now().Sub(began)
		if elapsed >= minWait && elapsed >= o.pollWait() {
			return
		}
		select {
		case <-ctx.Done():
		case <-o.trigger:
			return
		case <-o.clk.After(waitStep):
		}
	}
}

// recordReadFailure says once that the store can't be reached.
func (o *Observer) recordReadFailure(err error) {
	o.mu.Lock()
	first := !o.down
	if first {
		o.down, o.downSince = true, o.clk.Now()
	}
	o.mu.Unlock()
	if first {
		o.log.WithError(err).WithField("event", "storeLost").Warn("the platform's store doesn't answer")
	}
}

// read reads the whole store and proves the configuration by that.
func (o *Observer) read(ctx context.Context) error {
	sent := o.boot.Elapsed()
	var items []platform.Item
	after := ""
	var revision uint64
	for range maxPages {
		p, err := o.store.Range(ctx, platform.LineFleet, "", after, false)
		if err != nil {
			return errors.Trace(err)
		}
		items = append(items, p.Items...)
		if revision == 0 {
			revision = p.Revision
		}
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	o.applyRead(items, revision, sent)
	return nil
}

func (o *Observer) applyRead(items []platform.Item, revision uint64, sent time.Duration) {
	o.mu.Lock()
	now := o.clk.Now()
	if o.down {
		away := now.Sub(o.downSince)
		// A store that others could read has dropped nobody who lives.
		othersRead := now.Sub(o.digestReceived) < outageThreshold && o.digestRevision > o.revision
		if away > outageThreshold && !othersRead {
			o.recovered = now
		}
		o.log.WithField("event", "storeBack").WithField("awayMs", away.Milliseconds()).Info("the platform's store answers")
	}
	first := o.lastRead.IsZero()
	o.down, o.lastRead, o.revision = false, now, revision
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		seen[it.Key] = true
		o.applyItem(it, first)
	}
	for key, k := range o.items {
		if !seen[key] && k.revision <= revision {
			o.removeMissing(key, k, now)
		}
	}
	if o.catalog != nil {
		o.proof = o.proof.WithProof(o.catalog.Version, sent)
	}
	o.publish()
	o.mu.Unlock()
}

// ReceiveProof takes a peer's proof about the configuration that is in force
// here too. at is a boot time of this node that the proof isn't older than.
func (o *Observer) ReceiveProof(version uint64, at time.Duration) {
	if now := o.boot.Elapsed(); at > now {
		o.log.WithFields(logrus.Fields{"event": "proofMisdated", "aheadMs": (at - now).Milliseconds()}).
			Warn("a peer's proof is dated by another clock")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.catalog != nil && o.catalog.Version == version {
		o.proof = o.proof.WithProof(version, at)
	}
}

// watch follows the operators' changes, so that they are in force before the
// next read.
func (o *Observer) watch(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		o.mu.Lock()
		after = max(after, o.revision)
		o.mu.Unlock()
		if after == 0 {
			clock.Sleep(ctx, o.clk, pollRetryDelay)
			continue
		}
		p, err := o.store.Watch(ctx, platform.LineConfig, o.layout.OperatorPrefix, after, watchTimeout)
		switch {
		case err == nil:
			after = max(after, p.Revision)
			o.applyChanges(p.Items)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, platform.Compacted):
			after = 0
			clock.Sleep(ctx, o.clk, pollRetryDelay)
		default:
			clock.Sleep(ctx, o.clk, pollInterval)
		}
	}
	return nil
}

func (o *Observer) applyChanges(items []platform.Item) {
	if len(items) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, it := range items {
		if !it.Removed {
			o.applyItem(it, false)
		}
	}
	o.publish()
}
