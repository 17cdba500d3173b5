// Package drainer runs the orders machine: it campaigns for the lease, asks
// the engines what they serve, and sends the orders that bring them to what is
// declared.
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
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/ring"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/issuer"
	"github.com/auburnnotch/auburnnotch/pkg/planner"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

const (
	leaseKey    = "orders/lease"
	pageKey     = "orders/intents"
	tick        = 500 * time.Millisecond
	campaign    = 3 * time.Second // between two tries for the lease
	callTimeout = time.Second
	loadTimeout = 300 * time.Millisecond
	parallel    = 16
	queue       = 4096
	// observePause bounds the load reports that the leader asks for to 250 a
	// second, however many engines there are.
	observePause = 4 * time.Millisecond
	minObserve   = 2 * time.Second
)

// Drainer is a supervisor service.
type Drainer struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	store     *platform.Client
	upstreams *upstreamer.Upstreamer
	current   func() *catalog.Catalog
	candidate func() bool
	timing    issuer.Timing
	events    *ring.Queue[issuer.Event]
	orders    *ring.Queue[issuer.Send]

	mu       sync.Mutex
	machine  *issuer.Issuer
	lease    platform.Lease
	tried    time.Time
	observed time.Time
}

// New returns a Drainer. candidate says whether this node should campaign.
func New(clk clock.Clock, log logrus.FieldLogger, store *platform.Client, u *upstreamer.Upstreamer, current func() *catalog.Catalog, candidate func() bool) *Drainer {
	t := issuer.DefaultTiming()
	return &Drainer{
		clk: clk, log: log, store: store, upstreams: u, current: current, candidate: candidate, timing: t,
		events: ring.New[issuer.Event](queue), orders: ring.New[issuer.Send](queue), machine: issuer.New(t),
	}
}

// Name implements supervisor.Service.
func (d *Drainer) Name() string { return "drainer" }

// Run works until ctx ends, and then gives the lease back.
func (d *Drainer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { d.loop(ctx); return nil })
	g.Go(func() error { d.observeLoop(ctx); return nil })
	for range parallel {
		g.Go(func() error { d.sendLoop(ctx); return nil })
	}
	err := g.Wait()
	if d.lease.ID != "" {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		_ = d.store.Revoke(ctx, platform.LineOrders, d.lease.ID)
	}
	return err
}

func (d *Drainer) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events.Items():
			d.handle(ctx, e)
		case <-d.clk.After(tick):
			d.setGoals(ctx)
			d.handle(ctx, issuer.Ticked{})
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
		d.orders.Offer(a) // a dropped order is issued again after its time
	}
}

// campaign tries to become the issuer: the version of the lease's key is the
// fencing token. The lease is counted from before the call.
func (d *Drainer) campaign(ctx context.Context) {
	now := d.clk.Now()
	if now.Sub(d.tried) < campaign {
		return
	}
	d.tried = now
	e, err := d.store.Get(ctx, platform.LineOrders, leaseKey)
	if err != nil || e.Version != 0 {
		return
	}
	l, err := d.store.Grant(ctx, platform.LineOrders, d.timing.Lease)
	if err != nil {
		return
	}
	token, err := d.store.CompareAndSwap(ctx, platform.LineOrders, leaseKey, []byte("issuer"), 0, l.ID)
	if err != nil {
		_ = d.store.Revoke(ctx, platform.LineOrders, l.ID)
		return
	}
	d.lease = l
	d.log.WithFields(logrus.Fields{"event": "issuerElected", "token": token}).Info("this node issues orders")
	d.events.Offer(issuer.Elected{Token: token, Until: now.Add(d.timing.Lease)})
}

func (d *Drainer) renew(ctx context.Context) {
	now := d.clk.Now()
	err := d.store.KeepAlive(ctx, platform.LineOrders, d.lease.ID)
	switch {
	case err == nil:
		d.events.Offer(issuer.Renewed{Until: now.Add(d.timing.Lease)})
	case errors.Is(err, errors.NotFound):
		d.lease = platform.Lease{}
		d.events.Offer(issuer.LeadershipLost{})
	}
}

func (d *Drainer) readPage(ctx context.Context) {
	e, err := d.store.Get(ctx, platform.LineOrders, pageKey)
	var p issuer.Page
	if err == nil && e.Version != 0 {
		err = msgpack.Unmarshal(e.Value, &p)
	}
	d.events.Offer(issuer.PageRead{Page: p, Version: e.Version, Failed: err != nil})
}

func (d *Drainer) writePage(ctx context.Context, a issuer.WritePage) {
	data, err := msgpack.Marshal(&a.Page)
	if err != nil {
		d.events.Offer(issuer.PageWritten{Failed: true})
		return
	}
	version, err := d.store.CompareAndSwap(ctx, platform.LineOrders, pageKey, data, a.Version, "")
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
	left := s.NotAfter.Sub(d.clk.Now())
	u, ok := c.Upstream(s.Engine)
	if !ok || left <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left)
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
		case <-d.clk.After(tick):
		}
		c := d.current()
		if c == nil {
			continue
		}
		now := d.clk.Now()
		pause := max(minObserve, observePause*time.Duration(len(c.Declaration.Upstreams)))
		d.mu.Lock()
		due := d.machine.IsLeader(now) && now.Sub(d.observed) >= pause
		if due {
			d.observed = now
		}
		d.mu.Unlock()
		if due {
			for _, o := range d.observe(ctx, c) {
				d.events.Offer(issuer.Observed{Engine: o.name, Model: o.load.Model, Version: o.load.Version, Leaving: o.load.Leaving})
			}
		}
	}
}

type observation struct {
	name string
	load wire.Load
}

// observe asks every engine for its load report and returns those that came.
func (d *Drainer) observe(ctx context.Context, c *catalog.Catalog) []observation {
	var (
		g   errgroup.Group
		mu  sync.Mutex
		out []observation
	)
	g.SetLimit(parallel)
	for _, u := range c.Declaration.Upstreams {
		if u.Pool == "" {
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			if l, err := d.upstreams.FetchLoad(ctx, u.URL); err == nil {
				mu.Lock()
				out = append(out, observation{name: u.Name, load: l})
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// Plan asks the engines what they serve and returns the plan of the leaving
// VMs.
func (d *Drainer) Plan(ctx context.Context, longest time.Duration) (planner.Plan, error) {
	c := d.current()
	if c == nil {
		return planner.Plan{}, errors.NotFoundf("configuration in force")
	}
	in := planner.Input{
		Declaration: c.Declaration, LongestRequest: longest,
		Loaded: map[string]planner.Weights{}, Running: map[string]int{},
	}
	for _, o := range d.observe(ctx, c) {
		in.Loaded[o.name] = planner.Weights{Model: o.load.Model, Version: o.load.Version}
		in.Running[o.name] = o.load.Running + o.load.Waiting
	}
	return planner.New(in).Plan(d.clk.Now()), nil
}
