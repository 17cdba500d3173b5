// Package drainer moves the engines to the models and versions that the
// configuration declares, and drains those on VMs that are about to leave. It
// performs the I/O of the issuer's state machine: it campaigns for the leader
// lease, fetches the engines' load reports and, while this node is the leader,
// sends orders.
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/queue"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/issuer"
	"github.com/auburnnotch/auburnnotch/pkg/planner"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

const (
	leaseKey         = "orders/lease"
	intentsKey       = "orders/intents"
	tickInterval     = 500 * time.Millisecond
	campaignInterval = 3 * time.Second // between two attempts to acquire the lease
	callTimeout      = time.Second
	loadTimeout      = 300 * time.Millisecond
	maxParallelCalls = 16
	queueLength      = 4096
	// observeIntervalPerEngine limits the load reports that the leader fetches to
	// 250 per second, regardless of the number of engines.
	observeIntervalPerEngine = 4 * time.Millisecond
	minObserveInterval       = 2 * time.Second
)

// Drainer campaigns for the leader lease and sends orders to engines. It
// implements supervisor.Service.
type Drainer struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	store     *platform.Client
	upstreams *upstreamer.Upstreamer
	current   func() *catalog.Catalog
	candidate func() bool
	timing    issuer.Timing
	events    *queue.Queue[issuer.Event]
	orders    *queue.Queue[issuer.Send]

	mu           sync.Mutex
	machine      *issuer.Issuer
	lease        platform.Lease
	lastCampaign time.Time
	lastObserved time.Time
}

// New returns a Drainer. current returns the configuration in force, or nil if
// there is none. candidate reports whether this node should campaign.
func New(clk clock.Clock, log logrus.FieldLogger, store *platform.Client, u *upstreamer.Upstreamer, current func() *catalog.Catalog, candidate func() bool) *Drainer {
	t := issuer.DefaultTiming()
	return &Drainer{
		clk: clk, log: log, store: store, upstreams: u, current: current, candidate: candidate, timing: t,
		events: queue.New[issuer.Event](queueLength), orders: queue.New[issuer.Send](queueLength), machine: issuer.New(t),
	}
}

// Name implements supervisor.Service.
func (d *Drainer) Name() string { return "drainer" }

// Run sends orders until ctx ends, and then revokes the lease if this node holds
// it.
func (d *Drainer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { d.eventLoop(ctx); return nil })
	g.Go(func() error { d.observeLoop(ctx); return nil })
	for range maxParallelCalls {
		g.Go(func() error { d.sendLoop(ctx); return nil })
	}
	err := g.Wait()
	if d.lease.ID != "" {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		_ = d.store.EndLease(ctx, platform.LineOrders, d.lease.ID)
	}
	return err
}

func (d *Drainer) eventLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events.Items():
			d.handle(ctx, e)
		case <-d.clk.After(tickInterval):
			d.setGoals(ctx)
			d.handle(ctx, issuer.Tick{})
		}
	}
}

func (d *Drainer) setGoals(ctx context.Context) {
	c := d.current()
	if c == nil || !d.candidate() {
		d.handle(ctx, issuer.Goals{})
		return
	}
	goals := issuer.Goals{MaxLoads: c.Declaration.WeightStore.Slots}
	for _, u := range c.Declaration.Upstreams {
		p, ok := c.PoolByName(u.Pool)
		if !ok {
			continue
		}
		g := issuer.Goal{Engine: u.Name, Model: p.Model, Version: p.Version}
		if v := c.VM(u.VM); v.DrainFrom != nil {
			g.DrainFrom = *v.DrainFrom
		}
		goals.Goals = append(goals.Goals, g)
	}
	d.handle(ctx, goals)
}

func (d *Drainer) handle(ctx context.Context, e issuer.Event) {
	d.mu.Lock()
	actions := append([]issuer.Action(nil), d.machine.Handle(d.clk.Now(), e)...)
	d.mu.Unlock()
	for _, a := range actions {
		d.perform(ctx, a)
	}
}

func (d *Drainer) perform(ctx context.Context, a issuer.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case issuer.Campaign:
		d.campaign(ctx)
	case issuer.Renew:
		d.renew(ctx)
	case issuer.ReadPage:
		d.readPage(ctx)
	case issuer.WritePage:
		d.writePage(ctx, a)
	case issuer.Send:
		d.orders.Offer(a) // a dropped order is issued again once it has expired
	}
}

// campaign tries to become the leader. The version of the lease's key is the
// fencing token. The lease time counts from before the call, so that this node
// never assumes a later end than the platform does.
func (d *Drainer) campaign(ctx context.Context) {
	now := d.clk.Now()
	if now.Sub(d.lastCampaign) < campaignInterval {
		return
	}
	d.lastCampaign = now
	e, err := d.store.Get(ctx, platform.LineOrders, leaseKey)
	if err != nil || e.Version != 0 {
		return
	}
	l, err := d.store.GrantLease(ctx, platform.LineOrders, d.timing.Lease)
	if err != nil {
		return
	}
	token, err := d.store.CompareAndSwap(ctx, platform.LineOrders, leaseKey, []byte("issuer"), 0, l.ID)
	if err != nil {
		_ = d.store.EndLease(ctx, platform.LineOrders, l.ID)
		return
	}
	d.lease = l
	d.log.WithFields(logrus.Fields{"event": "issuerElected", "token": token}).Info("this node is the leader and sends orders")
	d.events.Offer(issuer.Elected{Token: token, Until: now.Add(d.timing.Lease)})
}

func (d *Drainer) renew(ctx context.Context) {
	now := d.clk.Now()
	err := d.store.RenewLease(ctx, platform.LineOrders, d.lease.ID)
	switch {
	case err == nil:
		d.events.Offer(issuer.Renewed{Until: now.Add(d.timing.Lease)})
	case errors.Is(err, errors.NotFound):
		d.lease = platform.Lease{}
		d.events.Offer(issuer.LeadershipLost{})
	}
}

func (d *Drainer) readPage(ctx context.Context) {
	e, err := d.store.Get(ctx, platform.LineOrders, intentsKey)
	var p issuer.Page
	if err == nil && e.Version != 0 {
		err = packer.New(e.Value).Unpack(&p)
	}
	d.events.Offer(issuer.PageRead{Page: p, Version: e.Version, Failed: err != nil})
}

func (d *Drainer) writePage(ctx context.Context, a issuer.WritePage) {
	data, err := msgpack.Marshal(&a.Page)
	if err != nil {
		d.events.Offer(issuer.PageWritten{Failed: true})
		return
	}
	version, err := d.store.CompareAndSwap(ctx, platform.LineOrders, intentsKey, data, a.Version, "")
	d.events.Offer(issuer.PageWritten{Version: version, Failed: err != nil})
}

func (d *Drainer) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-d.orders.Items():
			d.send(ctx, s)
		}
	}
}

func (d *Drainer) send(ctx context.Context, s issuer.Send) {
	c := d.current()
	remaining := s.NotAfter.Sub(d.clk.Now())
	u, ok := c.Upstream(s.Engine)
	if !ok || remaining <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := d.upstreams.SendOrder(ctx, u.URL, s.Order)
	d.log.WithFields(logrus.Fields{
		"event": "orderSent", "order": s.Order.ID, "kind": s.Order.Kind, "upstream": u.Name, "token": s.Order.FencingToken,
	}).WithError(err).Info("order sent")
}

func (d *Drainer) observeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.clk.After(tickInterval):
		}
		c := d.current()
		if c == nil {
			continue
		}
		now := d.clk.Now()
		pause := max(minObserveInterval, observeIntervalPerEngine*time.Duration(len(c.Declaration.Upstreams)))
		d.mu.Lock()
		due := d.machine.IsLeader(now) && now.Sub(d.lastObserved) >= pause
		if due {
			d.lastObserved = now
		}
		d.mu.Unlock()
		if due {
			for _, o := range d.fetchLoads(ctx, c) {
				d.events.Offer(issuer.Observed{Engine: o.name, Model: o.load.Model, Version: o.load.Version, Leaving: o.load.Leaving})
			}
		}
	}
}

type engineLoad struct {
	name string
	load wire.Load
}

// fetchLoads requests the load report of every engine and returns those received
// in time.
func (d *Drainer) fetchLoads(ctx context.Context, c *catalog.Catalog) []engineLoad {
	var (
		g   errgroup.Group
		mu  sync.Mutex
		out []engineLoad
	)
	g.SetLimit(maxParallelCalls)
	for _, u := range c.Declaration.Upstreams {
		if u.Pool == "" {
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			if l, err := d.upstreams.FetchLoad(ctx, u.URL); err == nil {
				mu.Lock()
				out = append(out, engineLoad{name: u.Name, load: l})
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// Plan fetches the load reports of the engines and returns the plan for the VMs
// that are leaving. longestRequest is the duration of the longest request.
func (d *Drainer) Plan(ctx context.Context, longestRequest time.Duration) (planner.Plan, error) {
	c := d.current()
	if c == nil {
		return planner.Plan{}, errors.NotFoundf("configuration in force")
	}
	in := planner.Input{
		Declaration: c.Declaration, LongestRequest: longestRequest,
		Loaded: map[string]planner.Weights{}, Running: map[string]int{},
	}
	for _, o := range d.fetchLoads(ctx, c) {
		in.Loaded[o.name] = planner.Weights{Model: o.load.Model, Version: o.load.Version}
		in.Running[o.name] = o.load.Running + o.load.Waiting
	}
	return planner.New(in).Plan(d.clk.Now()), nil
}
