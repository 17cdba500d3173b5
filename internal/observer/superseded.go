package observer

import (
	"context"
	"strings"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Reads and the messages of peers show only the newest configuration. A workspace that was isolated in
// one between it and the one that the node had before must not be forgotten, so the store's
// history is read as well.

// configRevision returns the revision of the configuration in force, 0 without one. o.mu must
// be held.
func (o *Observer) configRevision() uint64 {
	_, k := o.configItem()
	return k.revision
}

func (o *Observer) configItem() (key string, k knownItem) {
	for key, k := range o.items {
		if _, ok := k.record.(*traffic.Catalog); ok {
			return key, k
		}
	}
	return "", knownItem{}
}

// readSuperseded reads the configurations that were superseded before the node has seen them, if items
// has a newer one. An error is no problem: the node then doesn't know all names, which the next
// read may change.
func (o *Observer) readSuperseded(ctx context.Context, items []platform.Item) {
	since, missing := o.supersededSince(items)
	if !missing {
		return
	}
	p, err := o.store.Watch(ctx, platform.LineFleet, o.layout.OperatorPrefix, since, 0)
	if err != nil {
		o.log.WithError(err).WithField("event", "historyUnread").Info("failed to read which configurations were superseded")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyHistory(p, since)
}

// supersededSince returns the revision up to which the node has seen all configurations, and whether
// some after it may be missing.
func (o *Observer) supersededSince(items []platform.Item) (since uint64, missing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if since = o.isolated.CompleteTo(); since == 0 {
		return 0, false
	}
	config, _ := o.configItem()
	for _, it := range items {
		if it.Key == config && it.Revision > since {
			return since, true
		}
	}
	return since, false
}

// applyHistory records the workspaces that the configurations in p isolated. p has all changes
// since a revision. o.mu must be held.
func (o *Observer) applyHistory(p platform.Page, since uint64) {
	if p.More {
		return
	}
	for _, it := range p.Items {
		if it.Removed || !strings.HasPrefix(it.Key, o.layout.OperatorPrefix) {
			continue
		}
		f, err := o.layout.Decode(it)
		if err != nil && f == nil {
			return // a configuration, perhaps
		}
		if c, ok := f.(*traffic.Catalog); ok {
			o.isolated = o.isolated.WithSuperseded(c.Workspaces)
		}
	}
	o.isolated = o.isolated.WithHistory(since, p.Revision)
}

// applyWatch applies the result of a watch after a revision.
func (o *Observer) applyWatch(p platform.Page, after uint64) {
	o.mu.Lock()
	complete := o.isolated.Complete()
	o.applyHistory(p, after)
	changed := o.isolated.Complete() != complete
	if changed && len(p.Items) == 0 {
		o.publish()
	}
	o.mu.Unlock()
	o.applyChanges(p.Items)
}

// applyCompleteness applies that the sender of changes knows all names up to c.CompleteTo, and
// that it has sent all that the store doesn't hold. o.mu must be held.
func (o *Observer) applyCompleteness(c Changes) {
	epoch := uint64(0)
	for _, k := range o.items {
		if e, ok := k.record.(*traffic.CacheEpoch); ok {
			epoch = e.Revision
		}
	}
	// The sender has the same configuration and the same epoch.
	if c.CompleteTo > 0 && o.configRevision() <= c.CompleteTo && epoch <= c.To {
		o.isolated = o.isolated.WithCompleteTo(c.CompleteTo)
	}
}
