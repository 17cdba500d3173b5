// Package prober watches the store of cached parts for the fleet: an engine
// that fetches from a dead one loses some hundred milliseconds.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// callTime bounds a call, which the store answers within a second.
	callTime = 1400 * time.Millisecond
	// idlePause is the time between two looks whether there is something to do.
	idlePause = 500 * time.Millisecond
	// retryPause is the time after a call without answer.
	retryPause = 300 * time.Millisecond
)

// Cache is the store of cached parts.
type Cache interface {
	// Changes waits about a second for changes after since, and returns where
	// to go on.
	Changes(ctx context.Context, addr string, since uint64) (uint64, error)
}

// Prober is a supervisor service.
type Prober struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	cache Cache
	// addr returns the store's address, empty if there is none; duty whether
	// this node watches it for others.
	addr func() string
	duty func() bool

	mu   sync.Mutex
	down bool
}

// New returns a Prober of a store that is taken to be up.
func New(clk clock.Clock, log logrus.FieldLogger, c Cache, addr func() string, duty func() bool) *Prober {
	return &Prober{clk: clk, log: log, cache: c, addr: addr, duty: duty}
}

// Name implements supervisor.Service.
func (p *Prober) Name() string { return "prober" }

// Down reports whether the store gave no answer last.
func (p *Prober) Down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// ReceiveState takes the word of the node that watches the store.
func (p *Prober) ReceiveState(down bool) {
	if !p.duty() {
		p.set(down, nil)
	}
}

// Run watches until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var since uint64
	for ctx.Err() == nil {
		addr := p.addr()
		if addr == "" || !p.duty() {
			clock.Sleep(ctx, p.clk, idlePause)
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTime)
		next, err := p.cache.Changes(call, addr, since)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		p.set(err != nil, err)
		if err != nil {
			since = 0
			clock.Sleep(ctx, p.clk, retryPause)
			continue
		}
		since = next
	}
	return nil
}

func (p *Prober) set(down bool, err error) {
	p.mu.Lock()
	changed := p.down != down
	p.down = down
	p.mu.Unlock()
	switch {
	case changed && down:
		p.log.WithError(err).WithField("event", "cacheLost").Warn("the store of cached parts doesn't answer")
	case changed:
		p.log.WithField("event", "cacheBack").Info("the store of cached parts answers")
	}
}
