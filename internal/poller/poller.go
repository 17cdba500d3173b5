// Package poller asks engines for their load and the platform for its list of
// VMs, and tells the scheduler.
package poller

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/ring"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

const (
	period      = 500 * time.Millisecond
	pollTimeout = 300 * time.Millisecond
	// perRound bounds the engines asked in one period; the turn goes round.
	perRound = 32
	parallel = 8
	vmPeriod = 5 * time.Second
	// VMKey is where the platform lists its VMs.
	VMKey = "vms"
)

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// VM is one entry of the list. State is live, leaving or gone.
type VM struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Poller is a supervisor service.
type Poller struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	upstreams *upstreamer.Upstreamer
	sched     *scheduler.Scheduler
	store     *platform.Client
	current   func() *catalog.Catalog

	updated *ring.Queue[struct{}]

	mu   sync.Mutex
	gone map[string]bool
	next int
}

// New returns a Poller of the engines of the configuration in force.
func New(clk clock.Clock, log logrus.FieldLogger, u *upstreamer.Upstreamer, s *scheduler.Scheduler, store *platform.Client, current func() *catalog.Catalog) *Poller {
	return &Poller{clk: clk, log: log, upstreams: u, sched: s, store: store, current: current, gone: map[string]bool{}, updated: ring.New[struct{}](1)}
}

// Name implements supervisor.Service.
func (p *Poller) Name() string { return "poller" }

// Update gives the scheduler the engines of c.
func (p *Poller) Update(c *catalog.Catalog) {
	p.sched.SetEngines(c.Engines(p.live))
	p.updated.Offer(struct{}{})
}

func (p *Poller) live(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.gone[vm]
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { p.repeat(ctx, period, p.updated.Items(), p.pollEngines); return nil })
	g.Go(func() error { p.repeat(ctx, vmPeriod, nil, p.pollVMs); return nil })
	return g.Wait()
}

// repeat calls f each period, and at once when something arrives on early.
func (p *Poller) repeat(ctx context.Context, every time.Duration, early <-chan struct{}, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-early:
		case <-p.clk.After(every):
		}
	}
}

// round returns the engines whose turn it is.
func (p *Poller) round(c *catalog.Catalog) []config.Upstream {
	all := c.Declaration.Upstreams
	out := make([]config.Upstream, 0, perRound)
	for range min(perRound, len(all)) {
		p.next = (p.next + 1) % len(all)
		if u := all[p.next]; u.Pool != "" {
			out = append(out, u)
		}
	}
	return out
}

func (p *Poller) pollEngines(ctx context.Context) {
	c := p.current()
	if c == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(parallel)
	for _, u := range p.round(c) {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			taken := p.clk.Now()
			l, err := p.upstreams.FetchLoad(ctx, u.URL)
			if err != nil {
				return nil // the attempts themselves tell what is down
			}
			p.sched.RecordLoad(u.Name, l, taken)
			return nil
		})
	}
	_ = g.Wait()
}

func (p *Poller) pollVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmPeriod)
	defer cancel()
	e, err := p.store.Get(ctx, platform.LineVMs, VMKey)
	if err != nil || e.Version == 0 {
		return // the declared times stay in force
	}
	var list VMList
	if err := json.Unmarshal(e.Value, &list); err != nil {
		p.log.WithField("event", "vmListUnreadable").WithError(err).Warn("list of VMs can't be read")
		return
	}
	gone := map[string]bool{}
	for _, v := range list.VMs {
		if v.State != "live" {
			gone[v.Name] = true
		}
	}
	p.mu.Lock()
	same := maps.Equal(p.gone, gone)
	p.gone = gone
	p.mu.Unlock()
	if c := p.current(); c != nil && !same {
		p.Update(c) // builds every ring anew, so only for a change
	}
}
