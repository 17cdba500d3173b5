package observer

import (
	"context"
	"time"
)

// readScope is what the next read covers.
type readScope int

const (
	scopeNone readScope = iota
	// scopeAll covers the whole store.
	scopeAll
	// scopeAllStale covers the whole store; the response may be some seconds old,
	// which costs a tenth.
	scopeAllStale
	// scopeOperators covers what operators write.
	scopeOperators
)

func (o *Observer) readScope(ctx context.Context, scope readScope) error {
	switch scope {
	case scopeAll:
		return o.read(ctx, false)
	case scopeAllStale:
		return o.read(ctx, true)
	case scopeOperators:
		return o.readOperators(ctx)
	case scopeNone:
	}
	return nil
}

// waitForNextRead waits until the next read is due, at least for minWait, and
// returns its scope. It is evaluated repeatedly, since digests of store readers may
// stop arriving during the wait.
func (o *Observer) waitForNextRead(ctx context.Context, minWait time.Duration) readScope {
	began := o.clk.Now()
	for ctx.Err() == nil {
		if elapsed := o.clk.Now().Sub(began); elapsed >= minWait {
			if scope := o.dueRead(elapsed); scope != scopeNone {
				return scope
			}
		}
		select {
		case <-ctx.Done():
		case <-o.trigger:
		case <-o.clk.After(waitStep):
		}
	}
	return scopeNone
}

// dueRead returns the scope of the read that is due elapsed after the last one.
func (o *Observer) dueRead(elapsed time.Duration) readScope {
	isStoreReader, patience := o.isStoreReader(), o.pace().Patience
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clk.Now()
	// Without a full read, what store readers send can't be applied.
	if isStoreReader || o.feed.silence(now) > patience || o.lastRead.IsZero() {
		switch {
		case elapsed < pollInterval:
			return scopeNone
		case !isStoreReader && o.feed.fullReads == 1 && !o.down:
			// A node that has just started only needs to learn who reads the store
			// for it.
			return scopeAllStale
		}
		return scopeAll
	}
	if o.catalog == nil || o.feed.readsOperators(now, o.catalog.Version) {
		return scopeOperators
	}
	if !o.feed.needsRepair(now) || elapsed < minRepairDelay {
		return scopeNone
	}
	if o.feed.triedStale {
		return scopeAll
	}
	return scopeAllStale
}
