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
	"github.com/auburnnotch/auburnnotch/pkg/linter"
	"github.com/auburnnotch/auburnnotch/pkg/outage"
	"github.com/auburnnotch/auburnnotch/pkg/prover"
	"github.com/auburnnotch/auburnnotch/pkg/recorder"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// pollInterval is the time between two reads of the store. Two reads and
	// one lost response fit into the 2 s within which a leaving upstream must
	// be noticed.
	pollInterval = 800 * time.Millisecond
	// pollRetryDelay is the delay after a failed read of a store reader, which notices
	// the end of an outage for all nodes.
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
	// maxDigestAge is the age of a snapshot up to which a store reader sends
	// its digest. It allows for a slow read.
	maxDigestAge = 1100 * time.Millisecond
	// minRepairDelay is the minimum time between two reads of a node that can't
	// get the changes that it missed from a store reader.
	minRepairDelay = 300 * time.Millisecond
	waitStep       = 50 * time.Millisecond
	maxPages       = 64
	// maxRecordBytes bounds the values other than those of operators. Together with
	// other changes, a value of this size fits into a datagram.
	maxRecordBytes = 16 << 10
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
	// Check returns the findings on a configuration, at most limit of each severity, and the
	// number of those omitted. It may be nil.
	Check func(it platform.Item, limit int) (findings []linter.Finding, omitted int)
}

// Listener is notified of changes. Calls are not concurrent.
type Listener interface {
	SetUpstreams(ups []traffic.Upstream, memory map[string]int)
	// RestoreRejections is called once, with what the store held when the node started.
	RestoreRejections(rejections []traffic.Rejection)
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
	// Rejections is what the fleet rejects, as stored.
	Rejections traffic.Rejections
	// Isolations are the names of isolated workspaces that the node knows. The revisions are
	// those of their list and of the cache epoch in the store, and of the store as last read.
	Isolations                                      recorder.Recorder
	IsolationsRevision, EpochRevision, AsOfRevision uint64
	// Roster assigns the fleet-wide roles to Nodes.
	Roster *roster.Roster
	// Loaded is true once the store has been read.
	Loaded bool
}

type knownItem struct {
	revision uint64
	record   traffic.StoreRecord
	item     platform.Item // as read, for peers
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
	isolated  recorder.Recorder
	history   scoper.History // that the latest view takes into account
	weights   map[string][]relayer.ModelVersion
	revision  uint64    // store revision at the last read
	lastRead  time.Time // zero before the first read
	recovered time.Time // end of the last outage
	// down is set while reads fail, since downSince.
	down          bool
	downSince     time.Time
	outage        outage.Outage
	hash          uint64 // of the last snapshot
	generation    uint64 // number of snapshots published
	restored      bool   // the listener has the rejections of the first read
	feed          feed
	trigger       chan struct{}
	unchecked     chan queuedConfig // the latest configuration, until it is checked
	missed        chan struct{}     // configurations may have been superseded unseen
	isStoreReader func() bool
	pace          func() roster.Pace
	changeSource  ChangeSource
	announce      func()
}

// New returns an Observer with an empty snapshot.
func New(clk clock.Clock, boot clock.BootClock, log logrus.FieldLogger, s platform.Store, l Layout) *Observer {
	o := &Observer{
		clk: clk, boot: boot, log: log, store: s, layout: l, items: map[string]knownItem{}, weights: map[string][]relayer.ModelVersion{},
		feed: newFeed(), trigger: make(chan struct{}, 1), unchecked: make(chan queuedConfig, 1), missed: make(chan struct{}, 1), isStoreReader: func() bool { return true },
		pace: func() roster.Pace { return roster.New(nil).Pace("") },
	}
	o.snapshot.Store(&Snapshot{Roster: roster.New(nil)})
	return o
}

// SetListener sets the listener for changes. It must be called before Run.
func (o *Observer) SetListener(l Listener) { o.listener = l }

// View implements relayer.Fleet.
func (o *Observer) View() *relayer.View { return o.view.Load() }

// Proof implements relayer.Fleet.
func (o *Observer) Proof() prover.Prover {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proof
}

// StoreInReachSince implements relayer.Fleet.
func (o *Observer) StoreInReachSince() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outage.InReachSince(o.clk.Now())
}

// ReceiveOutage handles a peer's report of how long ago the last outage of the store ended.
func (o *Observer) ReceiveOutage(age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outage = o.outage.WithReport(o.clk.Now().Add(-age))
}

// Snapshot returns the latest snapshot of the store.
func (o *Observer) Snapshot() *Snapshot { return o.snapshot.Load() }

// KeyRevision returns the revision of a key in the latest snapshot, 0 if it is absent, and
// the revision of the store that the snapshot covers, 0 before the first read.
func (o *Observer) KeyRevision(key string) (revision, asOf uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.items[key].revision, o.revision
}

// Name implements supervisor.Service.
func (o *Observer) Name() string { return "observer" }

// Run polls and watches the store, and checks configurations, until ctx ends.
func (o *Observer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return o.poll(ctx) })
	g.Go(func() error { return o.watch(ctx) })
	g.Go(func() error { o.checkConfigs(ctx); return nil })
	g.Go(func() error { o.catchUp(ctx); return nil })
	return g.Wait()
}

func (o *Observer) poll(ctx context.Context) error {
	scope := scopeAll
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if err := o.readScope(ctx, scope); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			o.recordReadFailure(err)
			if wait = o.pace().RetryDelay; o.isStoreReader() {
				wait = pollRetryDelay
			}
		}
		scope = o.waitForNextRead(ctx, wait)
	}
	return nil
}

// recordReadFailure marks the start of an outage and logs it once.
func (o *Observer) recordReadFailure(err error) {
	o.mu.Lock()
	if !errors.Is(err, platform.Throttled) { // the leader has a budget of its own
		o.outage = o.outage.WithFailure(o.clk.Now())
	}
	first := !o.down
	if first {
		o.down, o.downSince = true, o.clk.Now()
	}
	o.mu.Unlock()
	if first {
		o.log.WithError(err).WithField("event", "storeLost").Warn("platform store is unavailable")
	}
}

// read reads the whole store. Unless stale is set, it also proves the configuration
// fresh.
func (o *Observer) read(ctx context.Context, stale bool) error {
	sent := o.boot.Elapsed()
	r, err := o.readRange(ctx, "", stale)
	if err != nil {
		return err
	}
	o.applyRead(r, sent, stale)
	return nil
}

// readOperators reads what operators write, because the store reader hasn't sent a
// configuration that its digest announced. The read isn't a stale one, which would
// rarely have a configuration that is so recent.
func (o *Observer) readOperators(ctx context.Context) error {
	sent := o.boot.Elapsed()
	r, err := o.readRange(ctx, o.layout.OperatorPrefix, false)
	if err != nil {
		return err
	}
	o.applyChanges(r.items)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.feed.operatorsOmitted = false
	if o.catalog == nil {
		return nil
	}
	o.noticeMissed()
	o.proof = o.proof.WithProof(o.catalog.Version, sent)
	o.feed.wantedConfig = min(o.feed.wantedConfig, o.catalog.Version)
	return nil
}

// rangeRead is the result of reading all pages of a range. The pages are no
// snapshot: the store was read at revisions between first and last.
type rangeRead struct {
	items       []platform.Item
	first, last uint64
}

func (o *Observer) readRange(ctx context.Context, prefix string, stale bool) (rangeRead, error) {
	var r rangeRead
	after := ""
	for range maxPages {
		p, err := o.store.Range(ctx, platform.LineFleet, prefix, after, stale)
		if err != nil {
			return r, errors.Trace(err)
		}
		for _, it := range p.Items {
			r.items = append(r.items, o.withoutLongValue(it))
		}
		if r.first == 0 || p.Revision < r.first {
			r.first = p.Revision
		}
		r.last = max(r.last, p.Revision)
		if !p.More || len(p.Items) == 0 {
			break
		}
		after = p.Items[len(p.Items)-1].Key
	}
	return r, nil
}

func (o *Observer) applyRead(r rangeRead, sent time.Duration, stale bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clk.Now()
	o.feed.triedStale = stale
	if stale && r.first < o.revision {
		return
	}
	// If other nodes could read the store, no running upstream was dropped.
	othersRead := now.Sub(o.feed.receivedAt) < outageThreshold && o.feed.latestRevision > o.revision
	o.endOutage(now, othersRead)
	initial := o.lastRead.IsZero()
	restored := !initial && platform.Era(r.first) > platform.Era(o.revision)
	o.lastRead, o.revision = now, max(o.revision, r.first)
	if restored {
		o.recovered = now // upstreams write again what the copy lacks
		o.log.WithFields(logrus.Fields{"event": "storeRestored", "era": platform.Era(r.first)}).Warn("the platform store came back from an older copy")
	}
	o.feed.recordRead(now, r.first)
	seen := make(map[string]bool, len(r.items))
	for _, it := range r.items {
		seen[it.Key] = true
		o.applyItem(it, initial)
	}
	for key, k := range o.items {
		if !seen[key] && k.revision <= r.first {
			o.removeMissing(key, k, r.last, now)
		}
	}
	if o.catalog != nil && !stale {
		o.proof = o.proof.WithProof(o.catalog.Version, sent)
	}
	if restored {
		o.recordRestoredConfig(r.first)
	}
	o.publish()
	o.isolated = o.isolated.WithHistory(o.configRevision(), r.first) // no configuration came after it
	o.noticeMissed()
}

// endOutage ends an outage of the store, if there was one. Upstreams that are missing
// then are kept for a while, unless others could read the store all the time.
func (o *Observer) endOutage(now time.Time, othersRead bool) {
	o.outage = o.outage.WithSuccess(now)
	if !o.down {
		return
	}
	o.down = false
	away := now.Sub(o.downSince)
	if away > outageThreshold && !othersRead {
		o.recovered = now
	}
	o.log.WithField("event", "storeBack").WithField("awayMs", away.Milliseconds()).Info("platform store is available again")
	if o.announce != nil && o.isStoreReader() {
		o.announce() // all nodes wait for the digest of a store reader
	}
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
