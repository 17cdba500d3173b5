package orderer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roller"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// LeaderKey is where the holder of the office is written.
const LeaderKey = "auburnnotch/issuer"

const (
	planInterval = 50 * time.Millisecond
	// leaseTTL is how long the office stays with a node that is gone.
	leaseTTL = 3 * time.Second
	// renewInterval leaves a second try before sendWithin is over.
	renewInterval = 700 * time.Millisecond
	// maxRenewalAge is how long after the last renewal that was answered orders
	// are sent. It ends well before the lease.
	maxRenewalAge = 1600 * time.Millisecond
	// orderTimeout bounds an order on its way.
	orderTimeout  = 800 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// campaignInterval keeps nodes from writing the office all at once again and
	// again.
	campaignInterval = 400 * time.Millisecond
	// campaignDelayPerRank is how much later than the one before it in the roster a node campaigns:
	// some 90 nodes that do so at once make 270 priced calls. Within a look at the
	// store, some 15 do.
	campaignDelayPerRank = 50 * time.Millisecond
	maxCampaignDelay     = 1500 * time.Millisecond
	// announcementWriteInterval lets the store be read between two writes of namings.
	announcementWriteInterval = 2 * time.Second
	// suspendDuration is how long an engine with an order gets no work, unless it is
	// reported to be done.
	suspendDuration = 4 * time.Second
)

// SignedOrder is an order with the right to give it.
type SignedOrder struct {
	roller.Order
	Upstream traffic.Upstream
	Leader   string
	// FencingToken rises from one holder to the next.
	FencingToken uint64
}

// Upstreams carries orders and questions to engines.
type Upstreams interface {
	Order(ctx context.Context, i SignedOrder) (roller.Result, error)
	Report(ctx context.Context, u traffic.Upstream) (roller.Report, error)
}

// Traffic is told which engines are to get no work.
type Traffic interface {
	Suspend(incarnation string, until time.Time)
	RecordUpgrade(incarnation, model string, version int)
	Status(incarnation string) placer.UpstreamStatus
}

// Settings of the office.
type Settings struct {
	Node string
	// HandoverGap is the time without orders between two holders.
	HandoverGap time.Duration
}

// Orderer is a supervisor service.
type Orderer struct {
	set             Settings
	clk             clock.Clock
	boot            clock.Boot
	log             logrus.FieldLogger
	store           platform.Store
	obs             *observer.Observer
	ups             Upstreams
	traffic         Traffic
	campaignStopped atomic.Bool

	mu         sync.Mutex
	roller     *roller.Roller
	lease      uint64
	token      uint64        // 0 if the office isn't held
	renewedAt  time.Duration // boot time at which the last answered renewal was sent
	ordersFrom time.Duration // boot time of the first order
	// nextAnnouncementWrite is when namings may be written again; of the issuing goroutine.
	nextAnnouncementWrite time.Time
}

// New returns an Orderer without the office.
func New(s Settings, clk clock.Clock, boot clock.Boot, log logrus.FieldLogger, st platform.Store, obs *observer.Observer, ups Upstreams, t Traffic) *Orderer {
	return &Orderer{
		set: s, clk: clk, boot: boot, log: log, store: st, obs: obs, ups: ups, traffic: t, roller: roller.New(),
	}
}

// Name implements supervisor.Service.
func (o *Orderer) Name() string { return "orderer" }

// Run campaigns, renews and orders until ctx ends. It gives the office back
// then.
func (o *Orderer) Run(ctx context.Context) error {
	g, work := errgroup.WithContext(ctx)
	g.Go(func() error { return o.lead(work) })
	g.Go(func() error { return o.sendOrders(work, g) })
	err := g.Wait()
	o.mu.Lock()
	token := o.currentToken()
	o.mu.Unlock()
	if token != 0 {
		o.release(context.WithoutCancel(ctx), token)
	}
	return err
}

// StopCampaigning keeps the node, which is about to stop, from taking the office. An office
// that it holds stays its own until Run ends.
func (o *Orderer) StopCampaigning() { o.campaignStopped.Store(true) }

// release writes that nobody holds the office, so that the next holder needn't
// wait for the lease.
func (o *Orderer) release(ctx context.Context, token uint64) {
	_, err := o.store.Commit(ctx, platform.LineOrders, platform.Txn{
		Expect: []platform.Expectation{{Key: LeaderKey, Revision: token}}, Put: []platform.Put{{Key: LeaderKey}},
	})
	e := o.log.WithFields(logrus.Fields{"event": "officeReleased", "fence": token})
	if err != nil {
		e = e.WithError(err) // it lapses with its lease
	}
	e.Info("this node doesn't issue orders any more")
}

// lead keeps the office or campaigns for it.
func (o *Orderer) lead(ctx context.Context) error {
	vacant := false // the office was free at the last look
	for ctx.Err() == nil {
		if o.isLeader() {
			o.renew(ctx)
			clock.Sleep(ctx, o.clk, renewInterval)
			continue
		}
		snapshot := o.obs.Snapshot()
		switch {
		case o.campaignStopped.Load():
		case !snapshot.Loaded || snapshot.Leader != nil && snapshot.Leader.Node != "":
			vacant = false
		case !vacant:
			vacant = true
			clock.Sleep(ctx, o.clk, min(maxCampaignDelay, time.Duration(snapshot.Roster.Rank(o.set.Node))*campaignDelayPerRank))
			continue
		default:
			o.campaign(ctx, snapshot.Leader)
		}
		clock.Sleep(ctx, o.clk, campaignInterval)
	}
	return nil
}

func (o *Orderer) isLeader() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.token != 0
}

// campaign writes the office under a fresh lease. A lost answer is as good as a
// lost campaign: the key goes with its lease. released is the record of a
// holder that has given the office back, nil if there is none.
func (o *Orderer) campaign(ctx context.Context, released *traffic.Leader) {
	sent := o.boot.Elapsed() // the lease runs from the arrival of the call
	lease, err := o.store.GrantLease(ctx, platform.LineOrders, leaseTTL)
	if err != nil {
		return
	}
	expect := platform.Expectation{Key: LeaderKey}
	// The last holder's lease has run out, but for the time after its last
	// renewal in which it sent orders.
	delay := o.set.HandoverGap + maxRenewalAge + orderTimeout - leaseTTL
	if released != nil {
		expect.Revision = released.Revision
		delay = o.set.HandoverGap + orderTimeout
	}
	rev, err := o.store.Commit(ctx, platform.LineOrders, platform.Txn{
		Expect: []platform.Expectation{expect}, Put: []platform.Put{{Key: LeaderKey, Value: []byte(o.set.Node), Lease: lease}},
	})
	if err != nil {
		if !errors.Is(err, platform.Conflict) {
			o.log.WithError(err).WithField("event", "campaignUnclear").Info("the office may stay empty for a lease")
		}
		return
	}
	o.mu.Lock()
	o.lease, o.token, o.renewedAt = lease, rev, sent
	o.ordersFrom = o.boot.Elapsed() + delay
	o.roller.Reset()
	o.mu.Unlock()
	o.log.WithFields(logrus.Fields{"event": "officeTaken", "fence": rev}).Info("this node issues the orders")
}

func (o *Orderer) renew(ctx context.Context) {
	sent := o.boot.Elapsed()
	err := o.store.RenewLease(ctx, platform.LineOrders, o.lease)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.renewedAt = max(o.renewedAt, sent)
	case errors.Is(err, platform.LeaseEnded), o.boot.Elapsed()-o.renewedAt > leaseTTL:
		o.log.WithError(err).WithFields(logrus.Fields{
			"event": "officeLost", "fence": o.token, "sinceRenewalMs": (o.boot.Elapsed() - o.renewedAt).Milliseconds(),
		}).Warn("this node doesn't issue orders any more")
		o.token = 0
	}
}

// orderToken returns the fencing token, 0 if no order may be sent now.
func (o *Orderer) orderToken() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.boot.Elapsed() < o.ordersFrom {
		return 0
	}
	return o.currentToken()
}

// currentToken returns the fencing token of an office whose lease surely still runs, 0 for
// none. o.mu must be held.
func (o *Orderer) currentToken() uint64 {
	if o.boot.Elapsed()-o.renewedAt > maxRenewalAge {
		return 0
	}
	return o.token
}

// sendOrders carries out what the roller decides.
func (o *Orderer) sendOrders(ctx context.Context, g *errgroup.Group) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, o.clk, planInterval)
		if ctx.Err() != nil || o.orderToken() == 0 {
			continue
		}
		o.writeAnnouncements(ctx)
		ups, actions := o.plan()
		for _, a := range actions {
			switch a := a.(type) {
			case roller.Drain:
				o.traffic.Suspend(a.Incarnation, o.clk.Now().Add(suspendDuration))
			case roller.Order:
				g.Go(func() error { o.sendOrder(ctx, ups[a.Incarnation], a); return nil })
			case roller.RequestReport:
				g.Go(func() error { o.requestReport(ctx, ups[a.Incarnation]); return nil })
			case roller.Done:
				o.log.WithFields(logrus.Fields{
					"event": "weightsInPlace", "upstream": a.Incarnation, "model": a.Model, "version": a.Version,
				}).Info("an engine has new weights")
				o.traffic.RecordUpgrade(a.Incarnation, a.Model, a.Version)
			}
		}
	}
	return nil
}

func (o *Orderer) plan() (map[string]traffic.Upstream, []roller.Action) {
	snapshot := o.obs.Snapshot()
	newest := map[string]int{}
	for _, w := range snapshot.Weights {
		newest[w.Model] = w.Version
	}
	ups := map[string]traffic.Upstream{}
	var engines []roller.Engine
	for _, u := range snapshot.Upstreams {
		if u.Draining || len(u.Models) == 0 {
			continue
		}
		inc := u.Incarnation()
		ups[inc] = u
		l := o.traffic.Status(inc)
		engines = append(engines, roller.Engine{
			Incarnation: inc, Service: u.Service, Models: u.Models, Running: l.Running, Pinned: l.Pinned, Reachable: l.Reachable,
		})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return ups, o.roller.Plan(o.clk.Now(), engines, newest)
}

func (o *Orderer) sendOrder(ctx context.Context, u traffic.Upstream, ord roller.Order) {
	o.traffic.Suspend(ord.Incarnation, o.clk.Now().Add(suspendDuration))
	token := o.orderToken()
	if token == 0 {
		o.recordResult(ord, roller.Failed, errors.New("the office may have passed on"), 0)
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := o.ups.Order(call, SignedOrder{Order: ord, Upstream: u, Leader: o.set.Node, FencingToken: token})
	o.recordResult(ord, res, err, token)
}

func (o *Orderer) recordResult(ord roller.Order, res roller.Result, err error, token uint64) {
	e := o.log.WithFields(logrus.Fields{
		"event": "ordered", "upstream": ord.Incarnation, "model": ord.Model, "version": ord.Version,
		"expected": ord.Expected, "cut": ord.Interrupt, "fence": token, "result": res,
	})
	if err != nil {
		e = e.WithError(err)
	}
	e.Info("an order was sent")
	if res == roller.Failed {
		o.traffic.Suspend(ord.Incarnation, o.clk.Now())
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.roller.Answered(o.clk.Now(), ord, res)
}

func (o *Orderer) requestReport(ctx context.Context, u traffic.Upstream) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rep, err := o.ups.Report(call, u)
	if err != nil {
		o.log.WithError(err).WithFields(logrus.Fields{"event": "reportMissing", "upstream": u.Incarnation()}).Info("the engine didn't report")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.roller.Reported(o.clk.Now(), u.Incarnation(), rep, err == nil)
}
