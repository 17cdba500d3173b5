package observer

import (
	"sort"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/pkg/matcher"
	"github.com/auburnnotch/auburnnotch/pkg/recorder"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// removeMissing removes a key that a read didn't return. An upstream that isn't
// draining stays for recoveryGrace after an outage, since the store may have
// dropped its registration during the outage.
func (o *Observer) removeMissing(key string, k knownItem, revision uint64, now time.Time) {
	u, ok := k.record.(*traffic.Upstream)
	if ok && !u.Draining && !o.recovered.IsZero() && now.Sub(o.recovered) < recoveryGrace {
		return
	}
	o.remove(key, k, revision)
}

// remove removes a key, which the store no longer had at revision.
func (o *Observer) remove(key string, k knownItem, revision uint64) {
	delete(o.items, key)
	o.feed.recordRemoval(key, revision)
	if u, ok := k.record.(*traffic.Upstream); ok {
		o.log.WithFields(logrus.Fields{"event": "upstreamGone", "upstream": u.Incarnation()}).Info("upstream is no longer registered")
	}
}

// applyItem applies the state of one key. initial is set during the first read
// of the store.
func (o *Observer) applyItem(it platform.Item, initial bool) {
	it = o.withoutLongValue(it)
	old, ok := o.items[it.Key]
	if ok && old.revision >= it.Revision || o.feed.removals[it.Key] >= it.Revision {
		return
	}
	f, err := o.layout.Decode(it)
	if err != nil {
		o.log.WithError(err).WithFields(logrus.Fields{"event": "itemUnreadable", "key": it.Key, "revision": it.Revision}).
			Warn("failed to decode a key of the store")
		if before, isConfig := old.record.(*traffic.Catalog); isConfig && f == nil {
			f = before
		}
	}
	if u, ok := f.(*traffic.Upstream); ok {
		if before, ok := old.record.(*traffic.Upstream); ok && u.StartedMS < before.StartedMS {
			o.log.WithFields(logrus.Fields{"event": "registrationStale", "upstream": u.Incarnation(), "known": before.StartedMS}).
				Info("ignoring a registration of an earlier incarnation")
			f = before
		} else if ok && drainingIsLost(before, u) && platform.Era(it.Revision) > platform.Era(old.revision) {
			f = before // it writes again that it drains
		}
	}
	o.items[it.Key] = knownItem{revision: it.Revision, record: f, item: it}
	switch f := f.(type) {
	case *traffic.Catalog:
		o.setCatalog(f, it)
	case *traffic.Weights:
		o.setWeights(f, initial)
	case *traffic.Announcements:
		o.addAnnouncements(f)
	case *traffic.Upstream:
		o.logUpstreamChange(old.record, f)
	}
}

// drainingIsLost reports whether an upstream that drains doesn't any more.
func drainingIsLost(before, now *traffic.Upstream) bool {
	return before.Incarnation() == now.Incarnation() && before.Draining && !now.Draining
}

// withoutLongValue returns the item without its value if that is too long to be one of
// the fleet. All nodes then decode the same, also those that get it from a peer.
func (o *Observer) withoutLongValue(it platform.Item) platform.Item {
	if len(it.Value) > maxRecordBytes && !strings.HasPrefix(it.Key, o.layout.OperatorPrefix) {
		it.Value = nil
	}
	return it
}

func (o *Observer) setCatalog(c *traffic.Catalog, it platform.Item) {
	if o.catalog != nil && c.Version <= o.catalog.Version {
		o.isolated = o.isolated.WithSuperseded(c.Workspaces)
		if c.Version == o.catalog.Version && platform.Era(it.Revision) > platform.Era(o.isolated.Config()) {
			o.isolated = o.isolated.WithConfigAt(it.Revision) // operators have written it again
		}
		return
	}
	o.catalog = c
	o.isolated = o.isolated.WithWorkspaces(it.Revision, c.Workspaces)
	o.log.WithFields(logrus.Fields{
		"event": "configTaken", "config": c.Version, "routes": len(c.Routes), "workspaces": len(c.Workspaces),
	}).Info("applied a new configuration")
	o.queueCheck(queuedConfig{item: it, version: c.Version})
}

func (o *Observer) logUpstreamChange(before traffic.StoreRecord, u *traffic.Upstream) {
	old, ok := before.(*traffic.Upstream)
	if ok && old.Incarnation() == u.Incarnation() && old.Draining == u.Draining {
		return
	}
	o.log.WithFields(logrus.Fields{
		"event": "upstreamSeen", "upstream": u.Incarnation(), "service": u.Service, "address": u.Address, "draining": u.Draining,
	}).Info("upstream registered or started draining")
}

// publish makes the current state available to the other services.
func (o *Observer) publish() {
	s := &Snapshot{Loaded: !o.lastRead.IsZero()}
	record, epoch := &traffic.Isolations{Unreadable: true}, &traffic.CacheEpoch{}
	for _, k := range o.items {
		switch f := k.record.(type) {
		case *traffic.Upstream:
			s.Upstreams = append(s.Upstreams, *f)
		case *traffic.Node:
			s.Nodes = append(s.Nodes, *f)
		case *traffic.Leader:
			s.Leader = f
		case *traffic.Announcements:
			s.Announcements = append(s.Announcements, *f)
		case *traffic.Rejections:
			s.Rejections = *f
		case *traffic.Isolations:
			record = f
		case *traffic.CacheEpoch:
			epoch = f
		}
	}
	o.isolated = o.isolated.WithStored(recorder.Stored{Names: record.Names, Readable: !record.Unreadable, Epoch: *epoch})
	s.Isolations, s.IsolationsRevision, s.EpochRevision, s.AsOfRevision = o.isolated, record.Revision, epoch.Revision, o.revision
	for model, versions := range o.weights {
		s.Weights = append(s.Weights, traffic.Weights{Model: model, Version: newestVersion(versions)})
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].ID < s.Upstreams[j].ID })
	sort.Slice(s.Nodes, func(i, j int) bool { return s.Nodes[i].Name < s.Nodes[j].Name })
	sort.Slice(s.Weights, func(i, j int) bool { return s.Weights[i].Model < s.Weights[j].Model })
	sort.Slice(s.Announcements, func(i, j int) bool { return s.Announcements[i].Model < s.Announcements[j].Model })
	s.Roster = roster.New(s.Nodes)
	o.snapshot.Store(s)
	o.hash = s.hash()
	o.generation++
	if o.catalog == nil {
		return
	}
	if s.Loaded && !o.restored {
		o.restored = true
		o.listener.RestoreRejections(s.Rejections.Rejections)
	}
	v := &relayer.View{Nodes: len(s.Nodes), Versions: make(map[string][]relayer.ModelVersion, len(o.weights))}
	for model, w := range o.weights {
		v.Versions[model] = w
	}
	v.Matcher = o.matcher()
	memory := map[string]int{}
	for i := range o.catalog.Services {
		if s := &o.catalog.Services[i]; s.Engine != nil {
			memory[s.Name] = s.Engine.MemoryTokens
		}
	}
	o.listener.SetUpstreams(s.Upstreams, memory) // requests under v find them
	o.view.Store(v)
}

// matcher returns the index of the configuration, which is that of the latest view if
// nothing has changed.
func (o *Observer) matcher() *matcher.Matcher {
	h := o.isolated.History()
	old := o.view.Load()
	var m *matcher.Matcher
	switch {
	case old == nil || old.Matcher.Catalog() != o.catalog:
		m = matcher.New(o.catalog)
	case h.Equal(o.history):
		return old.Matcher
	default:
		m = old.Matcher
	}
	o.history = h
	m = m.WithHistory(h)
	if scope := m.CacheScope(nil); old == nil || scope != old.Matcher.CacheScope(nil) {
		o.log.WithFields(logrus.Fields{
			"event": "cacheScopeChanged", "scope": scope, "config": o.catalog.Version, "epoch": h.Epoch, "namesKnown": h.Complete,
		}).Info("workspaces that aren't isolated share cached parts in another scope")
	}
	return m
}
