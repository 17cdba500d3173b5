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
	// pollInterval is the time between two reads of the store. Two reads and
	// one lost response fit into the 2 s within which a leaving upstream must
	// be noticed.
	pollInterval = 800 * time.Millisecond
	// pollRetryDelay is the delay after a failed read.
	pollRetryDelay = 200 * time.Millisecond
	// watchTimeout is how long a watch waits for a change. The store sometimes
	// ends a watch earlier.
	watchTimeout = 20 * time.Second
	// outageThreshold is how long reads must fail before the store is assumed
	// to have dropped registrations of running upstreams. It is shorter than
	// three of their heartbeats.
	outageThreshold = 2 * time.Second
	// recoveryGrace is how long after an outage missing upstreams are kept.
	// Running upstreams register again within two seconds.
	recoveryGrace = 2200 * time.Millisecond
	// assumedAnnouncementAge is the assumed age of the announcement of weights
	// that a node finds in the store when it starts.
	assumedAnnouncementAge = 5 * time.Second
	// relaxedPollInterval is the time between two reads on a node that receives
	// digests from a store reader.
	relaxedPollInterval = 10 * time.Second
	// maxDigestAge is the age of a snapshot up to which a store reader sends
	// its digest. It allows for one failed read.
	maxDigestAge = 1300 * time.Millisecond
	// digestTTL is how long a digest received from a store reader is valid.
	digestTTL = 700 * time.Millisecond
	// minTriggerDelay is the minimum time between two reads that are triggered
	// by digests. In a large fleet, where each change makes many nodes read,
	// the minimum grows by triggerDelayPerNode for each node, up to
	// maxTriggerDelay.
	minTriggerDelay     = 300 * time.Millisecond
	triggerDelayPerNode = 10 * time.Millisecond
	maxTriggerDelay     = 900 * time.Millisecond
	waitStep            = 100 * time.Millisecond
	maxPages            = 64
	// maxVersions bounds the number of announced versions kept per model.
	maxVersions = 8
	// minAgeDifference is the smallest difference between the ages reported by
	// two nodes that causes an update.
	minAgeDifference = 50 * time.Millisecond
)

// Layout describes the keys of the store and decodes their values.
type Layout struct {
	// OperatorPrefix is the prefix of the keys that operators write.
	OperatorPrefix string
	// Decode decodes one key. It returns a nil record and no error for keys to
	// be ignored. A record that is returned with an error holds the part that
	// could be decoded.
	Decode func(platform.Item) (traffic.StoreRecord, error)
}

// Listener is notified of changes. Calls are not concurrent.
type Listener interface {
	SetUpstreams(ups []traffic.Upstream, memory map[string]int)
}

// Snapshot is the result of one read of the whole store.
type Snapshot struct {
	Upstreams []traffic.Upstream
	Weights   []traffic.Weights
	Nodes     []traffic.Node
	// Leader is the node that may send orders; nil if there is none.
	Leader *traffic.Leader
	// Announcements holds the announcement times of weights, as stored.
	Announcements []traffic.Announcements
	// Roster assigns the fleet-wide roles to Nodes.
	Roster *roster.Roster
	// Loaded is true once the store has been read.
	Loaded bool
}

type knownItem struct {
	revision uint64
	record   traffic.StoreRecord
}

// Observer is a supervisor service that reads and watches the store.
type Observer struct {
	clk      clock.Clock
	boot     clock.BootClock
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
	weights   map[string][]relayer.ModelVersion
	revision  uint64    // store revision at the last read
	lastRead  time.Time // zero before the first read
	recovered time.Time // end of the last outage
	// down is set while reads fail, since downSince.
	down           bool
	downSince      time.Time
	hash           uint64    // of the last snapshot
	digestReceived time.Time // when the last digest of a store reader arrived
	// digestRevision is the store's revision in that digest.
	digestRevision uint64
	trigger        chan struct{}
	isStoreReader  func() bool
}

// New returns an Observer with an empty snapshot.
func New(clk clock.Clock, boot clock.BootClock, log logrus.FieldLogger, s platform.Store, l Layout) *Observer {
	o := &Observer{
		clk: clk, boot: boot, log: log, store: s, layout: l, items: map[string]knownItem{}, weights: map[string][]relayer.ModelVersion{},
		trigger: make(chan struct{}, 1), isStoreReader: func() bool { return true },
	}
	o.snapshot.Store(&Snapshot{Roster: roster.New(nil)})
	return o
}

// SetListener sets the listener for changes. It must be called before Run.
func (o *Observer) SetListener(l Listener) { o.listener = l }

// pollWait returns the current time between two reads.
func (o *Observer) pollWait() time.Duration {
	isStoreReader := o.isStoreReader()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clk.Now()
	settled := o.recovered.IsZero() || now.Sub(o.recovered) > 2*recoveryGrace
	if isStoreReader || o.down || !settled || now.Sub(o.digestReceived) > digestTTL {
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

// Snapshot returns the latest snapshot of the store.
func (o *Observer) Snapshot() *Snapshot { return o.snapshot.Load() }

// Name implements supervisor.Service.
func (o *Observer) Name() string { return "observer" }

// Run polls and watches the store until ctx ends.
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

// waitForNextRead waits until the next read is due or a digest triggers it. The
// interval is evaluated repeatedly, since digests of store readers may stop
// arriving during the wait.
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

// recordReadFailure marks the start of an outage and logs it once.
func (o *Observer) recordReadFailure(err error) {
	o.mu.Lock()
	first := !o.down
	if first {
		o.down, o.downSince = true, o.clk.Now()
	}
	o.mu.Unlock()
	if first {
		o.log.WithError(err).WithField("event", "storeLost").Warn("platform store is unavailable")
	}
}

// read reads the whole store, which also proves the configuration fresh.
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
		// If other nodes could read the store, no running upstream was dropped.
		othersRead := now.Sub(o.digestReceived) < outageThreshold && o.digestRevision > o.revision
		if away > outageThreshold && !othersRead {
			o.recovered = now
		}
		o.log.WithField("event", "storeBack").WithField("awayMs", away.Milliseconds()).Info("platform store is available again")
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

// ReceiveProof applies a peer's freshness proof if the peer has the same
// configuration version. at is a boot time of this node; the proof is at least
// as recent.
func (o *Observer) ReceiveProof(version uint64, at time.Duration) {
	if now := o.boot.Elapsed(); at > now {
		o.log.WithFields(logrus.Fields{"event": "proofMisdated", "aheadMs": (at - now).Milliseconds()}).
			Warn("ignoring a peer's freshness proof with a time in the future")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.catalog != nil && o.catalog.Version == version {
		o.proof = o.proof.WithProof(version, at)
	}
}

// watch follows the operators' changes, so that they apply before the next
// poll.
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
