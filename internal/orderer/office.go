package orderer

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/successor"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// lastHolderKey is the key that each leader writes together with the leader record, and that
// stays when the record expires. If it hasn't changed since, no other node has been the leader.
const lastHolderKey = LeaderKey + "-last"

// vacancy is a leader record that was cleared, zero if there is none.
type vacancy struct {
	revision uint64
	seenAt   time.Duration // boot time by which this node had seen it
	read     bool          // told and what follows is known
	told     bool          // the leader told of its orders
	history  successor.History
	toldAt   uint64 // revision of lastHolderKey
	// pastEra is set if another node may have been the leader since, in an era of the store that
	// has ended.
	pastEra bool
}

// next returns the vacancy in a newer snapshot, of which l is the leader record.
func (v vacancy) next(l *traffic.Leader, now time.Duration) vacancy {
	switch {
	case l == nil || l.Node != "":
		return vacancy{}
	case l.Revision == v.revision:
		return v
	}
	return vacancy{revision: l.Revision, seenAt: now}
}

// release clears the leader record, so that the next leader needn't wait for the lease to
// expire, and tells when the last order was sent. No order may be in progress.
func (o *Orderer) release(ctx context.Context, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	o.mu.Lock()
	office, history := o.office, o.history
	o.mu.Unlock()
	now := o.boot.Elapsed()
	since, machine := history.Tell(now)
	value, err := EncodeHandover(office, history, now)
	if err == nil {
		_, err = o.store.Commit(ctx, platform.LineOrders, platform.Txn{
			Expect: []platform.Expectation{{Key: LeaderKey, Revision: token}}, Put: []platform.Put{{Key: LeaderKey}, {Key: lastHolderKey, Value: value}},
		})
	}
	e := o.log.WithFields(logrus.Fields{
		"event": "officeReleased", "fence": token, "sinceLastOrderMs": since.Milliseconds(), "lastOrderBy": machine,
	})
	if err != nil {
		e = e.WithError(err) // the record expires with its lease
	}
	e.Info("released the leadership; this node sends no more orders")
	return err
}

// lead renews the lease while this node is the leader, and campaigns otherwise.
func (o *Orderer) lead(ctx context.Context) error {
	var vacantSince time.Time // when a snapshot first had no leader, zero if the last one has
	var released vacancy      // in the last snapshot
	for ctx.Err() == nil {
		if o.isLeader() {
			o.goOn(ctx)
			continue
		}
		snapshot := o.obs.Snapshot()
		released = released.next(snapshot.Leader, o.boot.Elapsed())
		switch {
		case o.campaignStopped.Load():
		case o.mayRetake(snapshot):
			o.campaign(ctx, vacancy{})
		case !snapshot.Loaded || snapshot.Leader != nil && snapshot.Leader.Node != "":
			vacantSince = time.Time{}
		case vacantSince.IsZero():
			vacantSince = o.clk.Now()
			continue
		case o.clk.Now().Sub(vacantSince) < o.campaignDelay(snapshot.Roster, released.revision != 0):
			clock.Sleep(ctx, o.clk, campaignCheckInterval)
			continue
		default:
			if !released.read {
				released = o.readHandover(ctx, released)
			}
			if o.leavesToFormerLeader(released) {
				clock.Sleep(ctx, o.clk, campaignCheckInterval)
				continue
			}
			if !o.campaign(ctx, released) {
				clock.Sleep(ctx, o.clk, lostCampaignDelay)
			}
			released.read = false
		}
		clock.Sleep(ctx, o.clk, campaignInterval)
	}
	return nil
}

// goOn renews the lease of the office, and waits if the node is still the leader.
func (o *Orderer) goOn(ctx context.Context) {
	switch err := o.renew(ctx); {
	case errors.Is(err, platform.LeaseEnded):
	case err != nil:
		clock.Sleep(ctx, o.clk, renewRetryDelay)
	default:
		o.findHolderRevision(ctx)
		clock.Sleep(ctx, o.clk, renewInterval)
	}
}

// mayRetake reports whether this node has been the last leader, as far as it knows. s is the
// last snapshot.
func (o *Orderer) mayRetake(s *observer.Snapshot) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.Leader != nil && s.Leader.Node != o.set.Node || !allWriteHolder(s.Roster) {
		o.holderRevision = 0
	}
	return o.holderRevision != 0
}

// allWriteHolder reports whether all nodes would write lastHolderKey as leaders.
func allWriteHolder(r *roster.Roster) bool {
	return !slices.ContainsFunc(r.Nodes(), func(n traffic.Node) bool { return n.Protocol < traffic.ProtocolOutage })
}

// findHolderRevision reads at which revision this node wrote lastHolderKey, unless it is known.
// It forgets it while there are nodes that don't write the key.
func (o *Orderer) findHolderRevision(ctx context.Context) {
	all := allWriteHolder(o.obs.Snapshot().Roster)
	o.mu.Lock()
	if !all {
		o.holderRevision = 0
		o.mu.Unlock()
		return
	}
	office, known := o.office, o.holderRevision != 0
	o.mu.Unlock()
	if known {
		return
	}
	p, err := o.store.Range(ctx, platform.LineOrders, lastHolderKey, "", false)
	if err != nil {
		return // the next renewal tries again
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, it := range p.Items {
		if it.Key == lastHolderKey && string(it.Value) == holderValue(office) {
			o.holderRevision = it.Revision
		}
	}
}

// leaseBits is the number of lower bits of an office that hold the ID of its lease, or a part.
const leaseBits = 48

// newOffice returns an identifier of the office that is held under a lease of an era of the store. No
// other office has it. An era of 0 leaves the ID of the lease, as far as it has leaseBits.
func newOffice(era, lease uint64) uint64 { return era<<leaseBits | lease&(1<<leaseBits-1) }

// officeEra returns the era of an office.
func officeEra(office uint64) uint64 { return office >> leaseBits }

// holderValue returns the value of lastHolderKey in an office.
func holderValue(office uint64) string { return strconv.FormatUint(office, 10) }

// campaignDelay returns the delay of this node's campaign. Its rank isn't known if it isn't
// registered yet.
func (o *Orderer) campaignDelay(r *roster.Roster, released bool) time.Duration {
	if _, registered := r.Find(o.set.Node); !registered {
		return maxCampaignDelay
	}
	rank := r.Rank(o.set.Node)
	if released {
		rank = r.SuccessionRank(o.set.Node)
	}
	delay := time.Duration(rank) * campaignDelayPerRank
	if o.clk.Now().Sub(o.obs.StoreInReachSince()) < outageEnd {
		delay += formerLeaderTurn
	}
	return min(maxCampaignDelay, delay)
}

func (o *Orderer) isLeader() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.token != 0
}

// campaign writes the leader record under a new lease. If the response is lost,
// the campaign counts as failed, since the record expires with its lease.
// released is the record that a former leader has cleared, zero if there is
// none. The result is false if another node has won.
//
// If this node was the last leader, the write is on condition that it still is. Then there is
// no handover, and the first order only waits until those of the last office have arrived. If the
// last leader told of its orders, the write is on condition that no other leader came after it.
//
// A node that is told to stop campaigning in between releases what it has won, and sends no order.
func (o *Orderer) campaign(ctx context.Context, released vacancy) bool {
	era := platform.Era(o.obs.Snapshot().AsOfRevision)
	sent := o.boot.Elapsed() // the lease runs from the arrival of the call, not from the response
	lease, err := o.store.GrantLease(ctx, platform.LineOrders, leaseTTL)
	if err != nil {
		return true
	}
	o.mu.Lock()
	held, lastRenewedAt := o.holderRevision, o.renewedAt
	o.holderRevision = 0 // the write changes it
	o.mu.Unlock()
	expect := []platform.Expectation{{Key: LeaderKey}}
	// The last leader's lease has expired, so its last renewal is at least
	// leaseTTL ago. Its last order may have been on its way until maxRenewalAge
	// and orderTimeout after that renewal.
	inFlight := maxRenewalAge + orderTimeout - leaseTTL
	if held != 0 {
		expect = append(expect, platform.Expectation{Key: lastHolderKey, Revision: held})
	} else if released.revision != 0 {
		expect[0].Revision = released.revision
		inFlight = orderTimeout
	}
	if released.pastEra {
		inFlight = maxRenewalAge + orderTimeout // its lease is lost, but hasn't expired
	}
	if held == 0 && released.told {
		expect = append(expect, platform.Expectation{Key: lastHolderKey, Revision: released.toldAt})
	}
	if o.campaignStopped.Load() {
		return true
	}
	rev, err := o.store.Commit(ctx, platform.LineOrders, platform.Txn{
		// The revision that is returned is that of the last write.
		Expect: expect, Put: []platform.Put{
			{Key: lastHolderKey, Value: []byte(holderValue(newOffice(era, lease)))}, {Key: LeaderKey, Value: []byte(o.set.Node), Lease: lease},
		},
	})
	if errors.Is(err, platform.Conflict) {
		return false
	}
	if err != nil {
		o.log.WithError(err).WithField("event", "campaignUnclear").Info("campaign failed; there may be no leader until a lease expires")
		return true
	}
	o.mu.Lock()
	now := o.boot.Elapsed()
	o.lease, o.office = lease, newOffice(era, lease)
	if held == 0 {
		o.history = successor.New(now + inFlight)
		if released.told {
			o.history = released.history
		}
	}
	if o.campaignStopped.Load() {
		o.mu.Unlock()
		o.decline(ctx, rev)
		return true
	}
	defer o.mu.Unlock()
	o.token, o.renewedAt = rev, sent
	o.suspended = false
	if held != 0 {
		o.ordersFrom = max(o.ordersFrom, lastRenewedAt+maxRenewalAge+orderTimeout)
	} else {
		o.ordered = false
		o.ordersFrom = o.history.FirstOrder(now, o.set.Machine, o.set.HandoverGap)
		o.roller.Reset()
	}
	o.log.WithFields(logrus.Fields{
		"event": "officeTaken", "fence": rev, "again": held != 0, "told": released.told, "waitMs": max(0, o.ordersFrom-now).Milliseconds(),
	}).Info("became the leader; this node sends the orders")
	return true
}

// renew renews the lease. While the store is out of reach, the office is kept without orders:
// the lease may go on afterwards, and then no other node has been the leader.
func (o *Orderer) renew(ctx context.Context) error {
	sent := o.boot.Elapsed()
	err := o.store.RenewLease(ctx, platform.LineOrders, o.lease)
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.log.WithFields(logrus.Fields{"fence": o.token, "sinceRenewalMs": (o.boot.Elapsed() - o.renewedAt).Milliseconds()})
	switch {
	case err == nil:
		o.renewedAt = max(o.renewedAt, sent)
		if o.suspended {
			o.suspended = false
			e.WithField("event", "officeResumed").Info("the lease goes on; this node sends orders again")
		}
	case errors.Is(err, platform.LeaseEnded):
		o.token = 0
		e.WithError(err).WithField("event", "officeLost").Warn("lost the leadership; this node sends no more orders")
	case !o.suspended && o.boot.Elapsed()-o.renewedAt > leaseTTL:
		o.suspended = true
		e.WithError(err).WithField("event", "officeSuspended").Warn("failed to renew the lease; this node sends no orders until it succeeds")
	}
	return err
}

// beginOrder returns the fencing token of an order whose result will be recorded, or 0 if none
// may be sent now.
func (o *Orderer) beginOrder() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.boot.Elapsed() < o.ordersFrom || o.currentToken() == 0 {
		return 0
	}
	o.ordered = true
	o.sending++
	return o.token
}

// orderToken returns the fencing token, or 0 if no order may be sent now.
func (o *Orderer) orderToken() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.boot.Elapsed() < o.ordersFrom {
		return 0
	}
	return o.currentToken()
}

// currentToken returns the fencing token if the lease has certainly not expired,
// and 0 otherwise. o.mu must be held.
func (o *Orderer) currentToken() uint64 {
	if o.boot.Elapsed()-o.renewedAt > maxRenewalAge {
		return 0
	}
	return o.token
}
