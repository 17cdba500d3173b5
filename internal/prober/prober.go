// Package prober detects whether the cache store is down. An engine that fetches
// cached parts from a store that is down loses some hundred milliseconds. Only some
// nodes call the store; they pass its state on to the others.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// callTimeout bounds a call. The cache store responds within a second.
	callTimeout = 1400 * time.Millisecond
	// idleInterval is the interval of checks for a cache store to watch, while
	// there is none or other nodes watch it.
	idleInterval = 500 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 300 * time.Millisecond
)

// Cache is the interface to the cache store.
type Cache interface {
	// Changes waits about a second for changes after since. It returns the
	// position to continue from.
	Changes(ctx context.Context, addr string, since uint64) (uint64, error)
}

// Prober watches the cache store. It implements supervisor.Service.
type Prober struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	cache Cache
	// storeAddr returns the cache store's address, or an empty string if there is
	// none. isWatcher reports whether this node watches the cache store for others.
	storeAddr func() string
	isWatcher func() bool

	mu   sync.Mutex
	down bool
}

// New returns a Prober. The cache store is assumed to be up until a call fails.
func New(clk clock.Clock, log logrus.FieldLogger, c Cache, storeAddr func() string, isWatcher func() bool) *Prober {
	return &Prober{clk: clk, log: log, cache: c, storeAddr: storeAddr, isWatcher: isWatcher}
}

// Name implements supervisor.Service.
func (p *Prober) Name() string { return "prober" }

// Down reports whether the latest call to the cache store failed, on this node or
// on the node that watches it.
func (p *Prober) Down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// ReceiveState sets the state that a node watching the cache store reports. It is
// ignored if this node watches the cache store itself.
func (p *Prober) ReceiveState(down bool) {
	if !p.isWatcher() {
		p.setDown(down, nil)
	}
}

// Run watches the cache store until ctx is canceled.
func (p *Prober) Run(ctx context.Context) error {
	var since uint64
	for ctx.Err() == nil {
		addr := p.storeAddr()
		if addr == "" || !p.isWatcher() {
			clock.Sleep(ctx, p.clk, idleInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		next, err := p.cache.Changes(callCtx, addr, since)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		p.setDown(err != nil, err)
		if err != nil {
			since = 0
			clock.Sleep(ctx, p.clk, retryDelay)
			continue
		}
		since = next
	}
	return nil
}

// setDown stores the state and logs a change. err is the cause, if known.
func (p *Prober) setDown(down bool, err error) {
	p.mu.Lock()
	changed := p.down != down
	p.down = down
	p.mu.Unlock()
	switch {
	case changed && down:
		p.log.WithError(err).WithField("event", "cacheLost").Warn("cache store does not respond")
	case changed:
		p.log.WithField("event", "cacheBack").Info("cache store responds again")
	}
}
