// Package poller periodically fetches the load of engines and the platform's list
// of VMs, and passes both to the scheduler.
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
	"github.com/auburnnotch/auburnnotch/internal/queue"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

const (
	enginePollInterval = 500 * time.Millisecond
	enginePollTimeout  = 300 * time.Millisecond
	// upstreamsPerRound bounds the upstreams visited per enginePollInterval. Each
	// round continues after the last upstream of the round before.
	upstreamsPerRound = 32
	maxParallelPolls  = 8
	vmPollInterval    = 5 * time.Second
	// VMKey is the key of the platform's list of VMs.
	VMKey = "vms"
)

// VMList is the platform's list of VMs, the value of VMKey.
type VMList struct {
	VMs []VM `json:"vms"`
}

// VM is one entry of a VMList. State is live, leaving or gone.
type VM struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Poller polls engines and the platform. It implements supervisor.Service.
type Poller struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	upstreams *upstreamer.Upstreamer
	sched     *scheduler.Scheduler
	store     *platform.Client

	updated *queue.Queue[struct{}]

	mu      sync.Mutex // held while engines are passed on, so that the last ones stay
	catalog *catalog.Catalog
	notLive map[string]bool
	cursor  int
}

// UnmarshalJSON implements json.Unmarshaler. An entry with a field of another type is left
// empty, since an error would hide the rest of the list.
func (v *VM) UnmarshalJSON(b []byte) error {
	type plain VM // without this method
	var p plain
	if json.Unmarshal(b, &p) == nil {
		*v = VM(p)
	}
	return nil
}

// New returns a Poller that polls no engines before the first Update.
func New(clk clock.Clock, log logrus.FieldLogger, u *upstreamer.Upstreamer, s *scheduler.Scheduler, store *platform.Client) *Poller {
	return &Poller{clk: clk, log: log, upstreams: u, sched: s, store: store, notLive: map[string]bool{}, updated: queue.New[struct{}](1)}
}

// Name implements supervisor.Service.
func (p *Poller) Name() string { return "poller" }

// Update passes the engines of c to the scheduler and starts a poll of the engines
// at once.
func (p *Poller) Update(c *catalog.Catalog) {
	p.mu.Lock()
	p.catalog = c
	p.setEngines()
	p.mu.Unlock()
	p.updated.Offer(struct{}{})
}

// setEngines passes the engines to the scheduler, but for those whose VM the platform's
// list marks as leaving or gone. p.mu must be held.
func (p *Poller) setEngines() {
	p.sched.SetEngines(p.catalog.Engines(func(vm string) bool { return !p.notLive[vm] }))
}

// Run polls until ctx is canceled.
func (p *Poller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { p.pollEvery(ctx, enginePollInterval, p.updated.Items(), p.pollEngines); return nil })
	g.Go(func() error { p.pollEvery(ctx, vmPollInterval, nil, p.pollVMs); return nil })
	return g.Wait()
}

// pollEvery calls poll once per interval, and early when trigger receives a value.
func (p *Poller) pollEvery(ctx context.Context, interval time.Duration, trigger <-chan struct{}, poll func(context.Context)) {
	for ctx.Err() == nil {
		poll(ctx)
		select {
		case <-ctx.Done():
		case <-trigger:
		case <-p.clk.After(interval):
		}
	}
}

// nextEngines returns the engines to poll in this round.
func (p *Poller) nextEngines(c *catalog.Catalog) []config.Upstream {
	all := c.Declaration.Upstreams
	out := make([]config.Upstream, 0, upstreamsPerRound)
	for range min(upstreamsPerRound, len(all)) {
		p.cursor = (p.cursor + 1) % len(all)
		if u := all[p.cursor]; u.Pool != "" {
			out = append(out, u)
		}
	}
	return out
}

func (p *Poller) pollEngines(ctx context.Context) {
	p.mu.Lock()
	c := p.catalog
	p.mu.Unlock()
	if c == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(maxParallelPolls)
	for _, u := range p.nextEngines(c) {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, enginePollTimeout)
			defer cancel()
			takenAt := p.clk.Now()
			l, err := p.upstreams.FetchLoad(ctx, u.URL)
			if err != nil {
				return nil // attempts detect engines that are down
			}
			p.sched.ReceiveLoad(u.Name, l, takenAt)
			return nil
		})
	}
	_ = g.Wait()
}

func (p *Poller) pollVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmPollInterval)
	defer cancel()
	e, err := p.store.Get(ctx, platform.LineVMs, VMKey)
	if err != nil || e.Version == 0 {
		return // the last known states and the declared drain times stay in force
	}
	var list VMList
	if err := json.Unmarshal(e.Value, &list); err != nil {
		p.log.WithField("event", "vmListUnreadable").WithError(err).Warn("failed to decode the platform's list of VMs")
		return
	}
	notLive := map[string]bool{}
	for _, v := range list.VMs {
		if v.Name != "" && v.State != "live" {
			notLive[v.Name] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if maps.Equal(p.notLive, notLive) {
		return // setEngines rebuilds every hash ring
	}
	p.notLive = notLive
	if p.catalog != nil {
		p.setEngines()
		p.updated.Offer(struct{}{})
	}
}
