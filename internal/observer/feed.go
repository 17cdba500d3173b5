package observer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// requestInterval is the minimum time between two requests for changes. It is
	// longer than a round trip between data centres.
	requestInterval = 60 * time.Millisecond
	// repairDelay is how long a node disagrees with the digests, in spite of its
	// requests for changes, until it reads the store itself.
	repairDelay = 1200 * time.Millisecond
	// configDelay is how long a node waits for a store reader to send a new
	// configuration until it reads the store. Several requests fit into it.
	configDelay = 700 * time.Millisecond
	// completionInterval is the time after which a node requests changes if it doesn't know
	// all isolated workspaces.
	completionInterval = time.Second
	// routineInterval is the time after which a node requests changes that the hash
	// doesn't cover, such as the weights that an engine reports.
	routineInterval = 5 * time.Second
	// maxChangesBytes is the size of the items from which on a list of changes is
	// cut off, so that it fits into a datagram.
	maxChangesBytes = 12 << 10
	// itemOverheadBytes is the size of an item besides its key and its value.
	itemOverheadBytes = 24
	// startTime is how long the store readers may take to notice a new node.
	startTime = 1500 * time.Millisecond
	// maxRemovals bounds the memory of removed keys.
	maxRemovals = 4096
)

// ChangeSource requests the changes after a revision from a store reader. The
// response arrives in ReceiveChanges. It returns false if the node can't be asked.
type ChangeSource func(reader string, since uint64) bool

// Changes lists the changes of the store after a revision, as far as a store reader
// knows them. They are in the order of their revisions.
type Changes struct {
	// Since and To are the revisions between which the list is complete.
	Since, To uint64
	// Hash is the hash of the sender's snapshot, 0 if the list has been cut off at
	// To.
	Hash uint64
	// Gap is set if the sender no longer knows which keys were removed after Since.
	Gap bool
	// OperatorsOmitted is set if what operators wrote was too large to be sent.
	OperatorsOmitted bool
	// Items are the changed and the removed keys.
	Items []platform.Item
	// CompleteTo is the revision up to which all names of workspaces that configurations have
	// isolated are in the store's list or isolated in the sender's configuration; 0 if that
	// isn't so at any. Since ProtocolCompleteness.
	CompleteTo uint64
}

// feed is a node's state of following the store by way of a store reader.
type feed struct {
	receivedAt     time.Time // when the last digest was received
	firstReadAt    time.Time
	latestRevision uint64 // the highest revision in a digest
	wantedConfig   uint64 // the highest configuration version in a digest
	// configBehindSince is when the first digest with that version was received.
	configBehindSince time.Time
	// operatorsOmitted is set if the store reader couldn't send what operators wrote.
	operatorsOmitted bool
	requestedAt      time.Time
	syncedAt         time.Time // when the last changes were received
	agreedAt         time.Time // when the snapshot last had the hash of a digest
	gap              bool
	disagrees        bool
	triedStale       bool // the last read was a stale one
	fullReads        int
	// removals has the revisions of removed keys. All removals after horizon are in
	// it.
	removals map[string]uint64
	horizon  uint64
}

func newFeed() feed { return feed{removals: map[string]uint64{}} }

// silence returns how long no store reader has sent a digest.
func (f *feed) silence(now time.Time) time.Duration {
	if f.receivedAt.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(f.receivedAt)
}

// readsOperators reports whether the node must read from the store what operators
// wrote, given its configuration version.
func (f *feed) readsOperators(now time.Time, version uint64) bool {
	return f.wantedConfig > version && (f.operatorsOmitted || now.Sub(f.configBehindSince) > configDelay)
}

// needsRepair reports whether the node must read the store itself.
func (f *feed) needsRepair(now time.Time) bool {
	return f.gap || f.disagrees && now.Sub(f.agreedAt) > repairDelay
}

// mayStillStart reports whether the node has started so recently that store readers
// may not know it yet.
func (f *feed) mayStillStart(now time.Time) bool {
	return f.firstReadAt.IsZero() || now.Sub(f.firstReadAt) <= startTime
}

func (f *feed) recordRead(now time.Time, revision uint64) {
	if f.fullReads == 0 {
		f.horizon, f.firstReadAt = revision, now
	}
	f.fullReads++
	f.agreedAt, f.syncedAt = now, now
	f.gap, f.disagrees = false, false
}

// recordRemoval records a removed key. If there are too many, the older half is
// forgotten.
func (f *feed) recordRemoval(key string, revision uint64) {
	f.removals[key] = max(f.removals[key], revision)
	if len(f.removals) <= maxRemovals {
		return
	}
	revisions := make([]uint64, 0, len(f.removals))
	for _, r := range f.removals {
		revisions = append(revisions, r)
	}
	slices.Sort(revisions)
	f.horizon = max(f.horizon, revisions[len(revisions)/2])
	for key, r := range f.removals {
		if r <= f.horizon {
			delete(f.removals, key)
		}
	}
}

// SetChangeSource sets the source of changes. Without it, nodes read the store when
// a digest differs. It must be called before Run.
func (o *Observer) SetChangeSource(request ChangeSource) { o.changeSource = request }

// ReceiveDigest handles the digest of a store reader. If it differs from the local
// snapshot, the changes are requested from the reader, or the store is read.
func (o *Observer) ReceiveDigest(reader string, d Digest) {
	node, _ := o.snapshot.Load().Roster.Find(reader)
	since, request := o.checkDigest(d, node.Protocol >= traffic.ProtocolCompleteness)
	if request && (o.changeSource == nil || !o.changeSource(reader, since)) {
		o.mu.Lock()
		o.feed.gap = true
		o.mu.Unlock()
		o.wake()
	}
}

// checkDigest records a digest and reports whether to request the changes after the
// revision since. tellsCompleteness is set if the sender can tell up to where it knows all
// isolated workspaces.
func (o *Observer) checkDigest(d Digest, tellsCompleteness bool) (since uint64, request bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clk.Now()
	f := &o.feed
	othersRead := f.silence(now) < outageThreshold
	f.receivedAt = now
	f.latestRevision = max(f.latestRevision, d.Revision)
	if o.lastRead.IsZero() {
		return 0, false
	}
	o.endOutage(now, othersRead)
	configBehind := o.catalog == nil || d.ConfigVersion > o.catalog.Version
	if configBehind && d.ConfigVersion > f.wantedConfig {
		f.wantedConfig, f.configBehindSince = d.ConfigVersion, now
	}
	behind := configBehind || o.lacksWeights(d.Weights)
	if d.Revision < o.revision && !behind {
		return 0, false // the reader will follow
	}
	if d.Hash == o.hash && !behind {
		f.agreedAt, f.disagrees = now, false
		incomplete := tellsCompleteness && !o.isolated.Complete() && now.Sub(f.requestedAt) >= completionInterval
		if !incomplete && (d.Revision == o.revision || now.Sub(f.syncedAt) < routineInterval) {
			return 0, false
		}
	} else if d.Hash != o.hash {
		f.disagrees = true
	}
	if now.Sub(f.requestedAt) < requestInterval {
		return 0, false
	}
	f.requestedAt = now
	return o.revision, true
}

// lacksWeights reports whether newer weights were announced than this node knows.
func (o *Observer) lacksWeights(announced []traffic.Weights) bool {
	for _, w := range announced {
		known := o.weights[w.Model]
		if len(known) == 0 || w.Version > known[len(known)-1].Version {
			return true
		}
	}
	return false
}

// wake makes poll check at once whether a read is due.
func (o *Observer) wake() {
	select {
	case o.trigger <- struct{}{}:
	default:
	}
}

// SetAnnouncer sets a function that sends the digest to all nodes at once. It must be
// called before Run.
func (o *Observer) SetAnnouncer(announce func()) { o.announce = announce }

// Generation returns a number that changes with each published snapshot.
func (o *Observer) Generation() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.generation
}

// ChangesSince returns the changes after a revision, for a peer.
func (o *Observer) ChangesSince(since uint64) Changes {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := Changes{Since: since, To: o.revision, Hash: o.hash, CompleteTo: o.isolated.RecordedTo()}
	if o.lastRead.IsZero() || since < o.feed.horizon {
		c.Gap = true
		return c
	}
	for _, k := range o.items {
		if k.revision > since {
			c.Items = append(c.Items, k.item)
		}
	}
	for key, revision := range o.feed.removals {
		if _, back := o.items[key]; revision > since && !back {
			c.Items = append(c.Items, platform.Item{Key: key, Revision: revision, Removed: true})
		}
	}
	slices.SortFunc(c.Items, func(a, b platform.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	size := 0
	for i, it := range c.Items {
		if size > maxChangesBytes && it.Revision != c.Items[i-1].Revision {
			c.Items, c.To, c.Hash, c.CompleteTo = c.Items[:i], c.Items[i-1].Revision, 0, 0
			break
		}
		size += len(it.Key) + len(it.Value) + itemOverheadBytes
	}
	return c
}

// WithoutOperators returns c without what operators wrote.
func (c Changes) WithoutOperators(prefix string) Changes {
	items := make([]platform.Item, 0, len(c.Items))
	for _, it := range c.Items {
		if !strings.HasPrefix(it.Key, prefix) {
			items = append(items, it)
		}
	}
	if c.OperatorsOmitted = len(items) < len(c.Items); c.OperatorsOmitted {
		c.CompleteTo = 0
	}
	c.Items = items
	return c
}

// OperatorPrefix returns the prefix of the keys that operators write.
func (o *Observer) OperatorPrefix() string { return o.layout.OperatorPrefix }

// ReceiveChanges applies the changes that a store reader has sent.
func (o *Observer) ReceiveChanges(reader string, c Changes) {
	if !o.applyFeed(c) || o.changeSource == nil {
		return
	}
	o.mu.Lock()
	since := o.revision
	o.feed.requestedAt = o.clk.Now()
	o.mu.Unlock()
	o.changeSource(reader, since)
}

// applyFeed applies changes and reports whether there are more.
func (o *Observer) applyFeed(c Changes) (more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.lastRead.IsZero() || c.Since > o.revision:
		return false
	case c.Gap:
		o.feed.gap = true
		o.wake()
		return false
	}
	for _, it := range c.Items {
		if !it.Removed {
			o.applyItem(it, false)
		} else if k, ok := o.items[it.Key]; ok && k.revision <= it.Revision {
			o.remove(it.Key, k, it.Revision)
		}
	}
	now := o.clk.Now()
	if c.OperatorsOmitted {
		o.feed.operatorsOmitted = true
		o.wake()
	}
	o.revision = max(o.revision, c.To)
	o.feed.syncedAt = now
	o.applyCompleteness(c)
	o.publish()
	if c.Hash == o.hash {
		o.feed.agreedAt, o.feed.disagrees = now, false
	}
	return c.Hash == 0
}
