// Package prober detects which cache stores are down. An engine that fetches cached
// parts from a store that is down loses some hundred milliseconds. Only some nodes call
// the stores; they leave such a store out of their placement advice, and tell the other
// nodes when all are down.
package prober

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// callTimeout bounds a call. The cache store responds within a second.
	callTimeout = 1400 * time.Millisecond
	// idleInterval is the interval of checks which cache stores to watch.
	idleInterval = 500 * time.Millisecond
	// retryDelay is the delay after a call. Stores with many changes respond at once.
	retryDelay = 300 * time.Millisecond
)

// Cache is the interface to the cache stores.
type Cache interface {
	// Changes waits about a second for changes after since. It returns the
	// position to continue from.
	Changes(ctx context.Context, addr string, since uint64) (uint64, error)
}

// Prober watches the cache stores. It implements supervisor.Service.
type Prober struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	cache Cache
	// addresses returns the addresses of the cache stores. isWatcher reports whether
	// this node watches them for others.
	addresses func() []string
	isWatcher func() bool

	mu      sync.Mutex
	watched map[string]bool // the stores that this node watches
	down    map[string]bool // those that are down
	// allDown is set if a watcher has reported that all stores are down.
	allDown bool
}

// New returns a Prober. A cache store is assumed to be up until a call fails.
func New(clk clock.Clock, log logrus.FieldLogger, c Cache, addresses func() []string, isWatcher func() bool) *Prober {
	return &Prober{clk: clk, log: log, cache: c, addresses: addresses, isWatcher: isWatcher, watched: map[string]bool{}, down: map[string]bool{}}
}

// Name implements supervisor.Service.
func (p *Prober) Name() string { return "prober" }

// Down reports whether the latest call to a cache store failed, or whether a watcher has
// reported that all are down.
func (p *Prober) Down(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allDown || p.down[address]
}

// AllDown reports whether all cache stores are down, as far as this node knows.
func (p *Prober) AllDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allDown || len(p.watched) > 0 && len(p.down) == len(p.watched)
}

// ReceiveState sets the state that a node watching the cache stores reports. It is
// ignored if this node watches them itself.
func (p *Prober) ReceiveState(allDown bool) {
	if p.isWatcher() {
		allDown = false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allDown = allDown
}

// Run watches the cache stores until ctx is canceled.
func (p *Prober) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		for _, addr := range p.addresses() {
			if p.startWatching(addr) {
				g.Go(func() error { p.watch(ctx, addr); return nil })
			}
		}
		clock.Sleep(ctx, p.clk, idleInterval)
	}
	return g.Wait()
}

// startWatching reports whether this node begins to watch a store.
func (p *Prober) startWatching(addr string) bool {
	if !p.isWatcher() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched[addr] {
		return false
	}
	p.watched[addr], p.allDown = true, false
	return true
}

// watch watches a store as long as it is configured and this node is a watcher.
func (p *Prober) watch(ctx context.Context, addr string) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watched, addr)
		delete(p.down, addr)
	}()
	var since uint64
	for ctx.Err() == nil && p.isWatcher() && slices.Contains(p.addresses(), addr) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		next, err := p.cache.Changes(callCtx, addr, since)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if since = next; err != nil {
			since = 0
		}
		p.setDown(addr, err)
		clock.Sleep(ctx, p.clk, retryDelay)
	}
}

// setDown stores the result of a call and logs a change.
func (p *Prober) setDown(addr string, err error) {
	p.mu.Lock()
	was := p.down[addr]
	if err != nil {
		p.down[addr] = true
	} else {
		delete(p.down, addr)
	}
	p.mu.Unlock()
	switch {
	case err != nil && !was:
		p.log.WithError(err).WithFields(logrus.Fields{"event": "cacheLost", "store": addr}).Warn("cache store does not respond")
	case err == nil && was:
		p.log.WithFields(logrus.Fields{"event": "cacheBack", "store": addr}).Info("cache store responds again")
	}
}
