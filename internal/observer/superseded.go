package observer

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Reads and the messages of peers show only the newest configuration. A workspace that was isolated in
// one between it and the one that the node had before must not be forgotten, so the store's
// history is read as well.

// historyRetryDelay is the delay after a failed read of the history.
const historyRetryDelay = 500 * time.Millisecond

// configRevision returns the revision of the configuration in force, 0 without one. o.mu must
// be held.
func (o *Observer) configRevision() uint64 {
	for _, k := range o.items {
		if _, ok := k.record.(*traffic.Catalog); ok {
			return k.revision
		}
	}
	return 0
}

// recordRestoredConfig records that the store came back from an older copy, as read at a revision.
// Operators write again what it lacks: configurations up to the version in force are known, and a
// node that knew all names before still does. o.mu must be held.
func (o *Observer) recordRestoredConfig(revision uint64) {
	for _, k := range o.items {
		if c, ok := k.record.(*traffic.Catalog); ok && o.isolated.Complete() && c.Version <= o.catalog.Version {
			o.isolated = o.isolated.WithCompleteTo(revision)
		}
	}
}

// catchUp reads the store's history whenever configurations may have been superseded before the node
// has seen them, until ctx ends. It holds up no other read.
func (o *Observer) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.missed:
		}
		for ctx.Err() == nil && !o.readHistory(ctx) {
			clock.Sleep(ctx, o.clk, historyRetryDelay)
		}
	}
}

// readHistory reads the changes since the node last knew all isolated workspaces. It returns false
// if another try may tell them.
func (o *Observer) readHistory(ctx context.Context) bool {
	since, missing := o.missedSince()
	if !missing {
		return true
	}
	p, err := o.store.Watch(ctx, platform.LineFleet, o.layout.OperatorPrefix, since, 0)
	if err != nil {
		o.log.WithError(err).WithField("event", "historyUnread").Info("failed to read which configurations were superseded")
		return errors.Is(err, platform.Compacted)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyHistory(p, since)
	o.publish()
	return true
}

// missedSince returns the revision up to which the node has seen all configurations, and whether
// some after it may be missing.
func (o *Observer) missedSince() (since uint64, missing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since = o.isolated.CompleteTo()
	return since, since > 0 && !o.isolated.Complete()
}

// noticeMissed wakes catchUp if a read may have missed configurations. Nodes that follow a store reader
// learn from it what they have missed. o.mu must be held.
func (o *Observer) noticeMissed() {
	if o.isolated.CompleteTo() == 0 || o.isolated.Complete() {
		return
	}
	select {
	case o.missed <- struct{}{}:
	default:
	}
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
	o.applyHistory(p, after)
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
	// The sender has the same configuration, unless it was too large to be sent, and the same epoch.
	if c.CompleteTo > 0 && !o.feed.operatorsOmitted && o.configRevision() <= c.CompleteTo && epoch <= c.To {
		o.isolated = o.isolated.WithCompleteTo(c.CompleteTo)
	}
}
