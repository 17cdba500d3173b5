package observer

import (
	"context"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// watch follows the operators' changes, so that they apply before the next
// poll.
func (o *Observer) watch(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		after = o.watchFrom(after)
		if !o.needsWatch() {
			clock.Sleep(ctx, o.clk, waitStep)
			continue
		}
		if after == 0 {
			clock.Sleep(ctx, o.clk, pollRetryDelay)
			continue
		}
		p, err := o.store.Watch(ctx, platform.LineConfig, o.layout.OperatorPrefix, after, watchTimeout)
		switch {
		case err == nil:
			o.applyWatch(p, after)
			after = max(after, p.Revision)
			if len(p.Items) > 0 && o.isStoreReader() && o.announce != nil {
				o.announce()
			}
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

// watchFrom returns the revision after which to watch, if the last watch ended at after. A read
// may be ahead of it, but doesn't show the configurations between.
func (o *Observer) watchFrom(after uint64) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if complete := o.isolated.CompleteTo(); o.isolated.Complete() && platform.Era(complete) == platform.Era(o.revision) {
		return max(after, complete)
	}
	if after == 0 {
		return o.revision
	}
	return after
}

// needsWatch reports whether this node watches the store. A node that receives
// digests learns from them that there is a new configuration.
func (o *Observer) needsWatch() bool {
	if o.isStoreReader() {
		return true
	}
	patience := o.pace().Patience
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clk.Now()
	return o.feed.silence(now) > patience && !o.feed.mayStillStart(now)
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
