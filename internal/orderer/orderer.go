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
	"github.com/auburnnotch/auburnnotch/pkg/successor"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// LeaderKey is the key of the record that names the leader.
const LeaderKey = "auburnnotch/issuer"

const (
	planInterval = 50 * time.Millisecond
	// leaseTTL is how long the leadership of a failed node lasts.
	leaseTTL = 3 * time.Second
	// renewInterval leaves time for a second try within maxRenewalAge.
	renewInterval = 700 * time.Millisecond
	// renewRetryDelay is the delay after a failed renewal. At the end of an outage of the
	// store, the office goes on with the first one that succeeds.
	renewRetryDelay = 300 * time.Millisecond
	// maxRenewalAge is how long after its last confirmed renewal a leader sends
	// orders. It ends well before the lease.
	maxRenewalAge = 1600 * time.Millisecond
	// orderTimeout bounds the sending of an order.
	orderTimeout  = 800 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// lastResponseTimeout bounds how long a node that stops waits for responses to its last
	// orders. Together with releaseTimeout, it fits into what is left of the grace period.
	lastResponseTimeout = 150 * time.Millisecond
	// releaseTimeout bounds the release of the leadership, which comes last in the
	// grace period, when the requests have ended. The node may exit sooner.
	releaseTimeout = 300 * time.Millisecond
	// campaignInterval is the time between two campaigns of a node. It keeps
	// nodes from writing the leader record all at once repeatedly.
	campaignInterval = 400 * time.Millisecond
	// campaignDelayPerRank is the delay of a node's campaign per rank in the
	// roster, so that few nodes campaign until all have learned who has won.
	campaignDelayPerRank = 200 * time.Millisecond
	maxCampaignDelay     = 4 * time.Second
	// campaignCheckInterval is the time between two checks whether a campaign is due.
	// The rank of a node changes when it is registered.
	campaignCheckInterval = 50 * time.Millisecond
	// formerLeaderTurn is how long after an outage of the store other nodes leave the office
	// to the last leader, which needs no handover gap.
	formerLeaderTurn = 800 * time.Millisecond
	// outageEnd is how long after an outage the former leader may still take its turn.
	outageEnd = 2 * time.Second
	// campaignTime is how long before its first order a node campaigns, so that it is the leader
	// by then.
	campaignTime = 500 * time.Millisecond
	// lostCampaignDelay is the delay after another node has won a campaign, within
	// which all nodes learn of it.
	lostCampaignDelay = 2 * time.Second
	// announcementWriteInterval is the time between two writes of
	// announcements, within which the store is read.
	announcementWriteInterval = 2 * time.Second
	// suspendDuration is how long an engine with an order gets no new work,
	// unless its completion is reported earlier.
	suspendDuration = 4 * time.Second
)

// FencedOrder is an order with the fencing token that authorizes it.
type FencedOrder struct {
	roller.Order
	Upstream traffic.Upstream
	Leader   string
	// FencingToken rises from one leader to the next.
	FencingToken uint64
	// Permit returns an error once the order must not be sent any more.
	Permit func() error
}

// errLeadershipExpired reports an order that was not sent.
const errLeadershipExpired = errors.ConstError("leadership may have expired")

// Upstreams sends orders and report requests to engines.
type Upstreams interface {
	Order(ctx context.Context, order FencedOrder) (roller.Result, error)
	Report(ctx context.Context, u traffic.Upstream) (roller.Report, error)
}

// Traffic suspends engines and reports their state.
type Traffic interface {
	Suspend(incarnation string, until time.Time)
	RecordUpgrade(incarnation, model string, version int)
	Status(incarnation string) placer.UpstreamStatus
}

// Settings configure an Orderer.
type Settings struct {
	Node string
	// Machine tells the machine of the node from others, also under the same name. It is empty
	// if it isn't known.
	Machine string
	// HandoverGap is the time without orders between two leaders.
	HandoverGap time.Duration
}

// Orderer is a supervisor service that sends orders while its node is the
// leader.
type Orderer struct {
	set             Settings
	clk             clock.Clock
	boot            clock.BootClock
	log             logrus.FieldLogger
	store           platform.Store
	obs             *observer.Observer
	ups             Upstreams
	traffic         Traffic
	campaignStopped atomic.Bool

	mu         sync.Mutex
	roller     *roller.Roller
	lease      uint64
	office     uint64        // see newOffice
	token      uint64        // 0 if this node isn't the leader
	renewedAt  time.Duration // boot time at which the last confirmed renewal was sent
	ordersFrom time.Duration // boot time from which on orders may be sent
	history    successor.History
	ordered    bool // an order was sent since this node became the leader
	sending    int  // orders in progress
	// holderRevision is the revision at which this node wrote lastHolderKey for its present
	// or its last office, 0 if it isn't known or another node has held the office since.
	holderRevision uint64
	suspended      bool // no renewal has been confirmed for as long as the lease lasts
	// nextAnnouncementWrite is the earliest time of the next write of
	// announcements. Only the goroutine of sendOrders uses it.
	nextAnnouncementWrite time.Time
}

// New returns an Orderer that isn't the leader.
func New(s Settings, clk clock.Clock, boot clock.BootClock, log logrus.FieldLogger, st platform.Store, obs *observer.Observer, ups Upstreams, t Traffic) *Orderer {
	return &Orderer{
		set: s, clk: clk, boot: boot, log: log, store: st, obs: obs, ups: ups, traffic: t, roller: roller.New(),
	}
}

// Name implements supervisor.Service.
func (o *Orderer) Name() string { return "orderer" }

// Run campaigns, renews the lease and sends orders until ctx ends. Then it
// releases the leadership.
func (o *Orderer) Run(ctx context.Context) error {
	g, work := errgroup.WithContext(ctx)
	g.Go(func() error { return o.lead(work) })
	g.Go(func() error { return o.sendOrders(work, g) })
	err := g.Wait()
	o.mu.Lock()
	token := o.currentToken()
	o.mu.Unlock()
	if token != 0 {
		_ = o.release(context.WithoutCancel(ctx), token) // logged
	}
	return err
}

// StopCampaigning keeps a node that is about to shut down from becoming the
// leader. A node that is the leader stays so while a roll-out is in progress, until Run ends at most.
func (o *Orderer) StopCampaigning() {
	o.mu.Lock() // a campaign that ends takes the office before this or not at all
	defer o.mu.Unlock()
	o.campaignStopped.Store(true)
}

// sendOrders carries out the actions that the roller plans.
func (o *Orderer) sendOrders(ctx context.Context, g *errgroup.Group) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, o.clk, planInterval)
		if o.campaignStopped.Load() {
			o.handOver(ctx)
		}
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
				}).Info("engine has loaded new weights")
				o.traffic.RecordUpgrade(a.Incarnation, a.Model, a.Version)
			}
		}
	}
	return nil
}

// newestVersions returns the newest version of each model in a snapshot.
func newestVersions(s *observer.Snapshot) map[string]int {
	newest := map[string]int{}
	for _, w := range s.Weights {
		newest[w.Model] = w.Version
	}
	return newest
}

func (o *Orderer) plan() (map[string]traffic.Upstream, []roller.Action) {
	snapshot := o.obs.Snapshot()
	newest := newestVersions(snapshot)
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
			Incarnation: inc, Service: u.Service, Models: u.Models, Running: l.Running, Pinned: l.Pinned, Utilization: l.Utilization, Reachable: l.Reachable,
		})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return ups, o.roller.Plan(o.clk.Now(), engines, newest)
}

func (o *Orderer) sendOrder(ctx context.Context, u traffic.Upstream, ord roller.Order) {
	o.traffic.Suspend(ord.Incarnation, o.clk.Now().Add(suspendDuration))
	token := o.beginOrder()
	if token == 0 {
		o.recordResult(ord, roller.Failed, errLeadershipExpired, 0)
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	// At a stop, a response that is on its way still comes: the next leader waits for long if
	// it is told of an order without one.
	stop := context.AfterFunc(ctx, func() { clock.Sleep(call, o.clk, lastResponseTimeout); cancel() })
	defer stop()
	permit := func() error {
		if o.orderToken() != token {
			return errLeadershipExpired
		}
		return nil
	}
	res, err := o.ups.Order(call, FencedOrder{Order: ord, Upstream: u, Leader: o.set.Node, FencingToken: token, Permit: permit})
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
	e.Info("order attempt ended")
	if res == roller.Failed {
		o.traffic.Suspend(ord.Incarnation, o.clk.Now())
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if token != 0 {
		o.sending--
		o.history = o.history.WithOrder(o.set.Machine, o.boot.Elapsed(), res != roller.Unanswered)
	}
	o.roller.RecordResult(o.clk.Now(), ord, res)
}

func (o *Orderer) requestReport(ctx context.Context, u traffic.Upstream) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rep, err := o.ups.Report(call, u)
	if err != nil {
		o.log.WithError(err).WithFields(logrus.Fields{"event": "reportMissing", "upstream": u.Incarnation()}).Info("failed to get a report from the engine")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.roller.ReceiveReport(o.clk.Now(), u.Incarnation(), rep, err == nil)
}
