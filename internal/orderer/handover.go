package orderer

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/successor"
)

// handover is the value of lastHolderKey once a leader has released the leadership. While it
// leads, and where its release doesn't write this, the value is that of holderValue, so that a
// leader of an earlier release leaves none. New fields are added at the end.
type handover struct {
	Office uint64
	// SinceArrivalMS and Machine are what successor.History tells.
	SinceArrivalMS int64
	Machine        string
}

// minSinceArrivalMS and maxSinceArrivalMS bound the times that are taken from a record.
const (
	minSinceArrivalMS = -math.MaxInt32
	maxSinceArrivalMS = math.MaxInt32
)

// EncodeHandover encodes what the leader in an office tells of the orders so far at now.
func EncodeHandover(office uint64, h successor.History, now time.Duration) ([]byte, error) {
	since, machine := h.Tell(now)
	// A millisecond less makes the last order later, wherever the division rounds to.
	return packer.Pack(handover{Office: office, SinceArrivalMS: (since - time.Millisecond).Milliseconds(), Machine: machine})
}

// DecodeHandover decodes what a leader told by seenAt, a boot time.
func DecodeHandover(value []byte, seenAt time.Duration) (successor.History, error) {
	var r handover
	if err := packer.New(value).Unpack(&r); err != nil {
		return successor.History{}, errors.Annotate(err, "decode the handover")
	}
	if r.Office == 0 {
		return successor.History{}, errors.NotValidf("handover without office")
	}
	since := min(max(r.SinceArrivalMS, minSinceArrivalMS), maxSinceArrivalMS)
	return successor.Told(seenAt, time.Duration(since)*time.Millisecond, r.Machine), nil
}

// decodeOffice returns the office in a value of lastHolderKey, 0 if it can't be decoded.
func decodeOffice(value []byte) uint64 {
	var r handover
	if packer.New(value).Unpack(&r) == nil {
		return r.Office
	}
	office, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0
	}
	return office
}

// readHandover returns a vacancy with what the leader told. Any later leader writes the same key,
// unless allWriteHolder is false, or the store lost that when it came back from an older copy.
func (o *Orderer) readHandover(ctx context.Context, v vacancy) vacancy {
	v = vacancy{revision: v.revision, seenAt: v.seenAt, read: true}
	s := o.obs.Snapshot()
	hasEras := platform.Era(s.AsOfRevision) > 0
	if v.revision == 0 && !hasEras || !allWriteHolder(s.Roster) {
		return v
	}
	p, err := o.store.Range(ctx, platform.LineOrders, lastHolderKey, "", false)
	if err != nil {
		v.pastEra = hasEras
		return v
	}
	for _, it := range p.Items {
		if it.Key != lastHolderKey {
			continue
		}
		if officeEra(decodeOffice(it.Value)) < platform.Era(it.Revision) {
			v.pastEra = true
		} else if h, err := DecodeHandover(it.Value, v.seenAt); err == nil && v.revision != 0 {
			v.told, v.history, v.toldAt = true, h, it.Revision
		}
	}
	return v
}

// leavesToFormerLeader reports whether this node doesn't campaign yet. While it would have to wait for the handover gap, the machine that sent the last order
// needn't, if it only restarts. Nodes then campaign in the same order as otherwise.
func (o *Orderer) leavesToFormerLeader(v vacancy) bool {
	if _, machine := v.history.Tell(0); !v.told || machine == "" || machine == o.set.Machine {
		return false
	}
	now := o.boot.Elapsed()
	due := v.history.FirstOrder(now, o.set.Machine, o.set.HandoverGap) - campaignTime
	return now < due+o.campaignDelay(o.obs.Snapshot().Roster, true)
}

// handOver releases the leadership before this node shuts down, if the next leader can go on at
// least as soon as this one: it sent no order itself, its last one was long ago, or none is due.
// During a roll-out, the next leader would have to wait for the handover gap.
func (o *Orderer) handOver(ctx context.Context) {
	newest := newestVersions(o.obs.Snapshot())
	o.mu.Lock()
	token, now := o.currentToken(), o.boot.Elapsed()
	if token == 0 || o.sending > 0 ||
		o.ordered && o.history.FirstOrder(now, "", o.set.HandoverGap) > now && !o.roller.Settled(newest) {
		o.mu.Unlock()
		return
	}
	o.token = 0
	o.mu.Unlock()
	o.releaseUntilDone(ctx, token)
}

// decline releases a leadership that was won after the campaigns were stopped. Orders of the last
// office may still be in progress: what the release tells has to include them.
func (o *Orderer) decline(ctx context.Context, token uint64) {
	o.log.WithFields(logrus.Fields{"event": "officeDeclined", "fence": token}).Info("won a campaign during the shutdown; releasing the leadership without orders")
	for o.isSending() {
		if ctx.Err() != nil {
			return // the record expires with its lease
		}
		clock.Sleep(ctx, o.clk, planInterval)
	}
	o.releaseUntilDone(ctx, token)
}

func (o *Orderer) isSending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sending > 0
}

// releaseUntilDone releases the leadership, and tries again until the lease has expired.
func (o *Orderer) releaseUntilDone(ctx context.Context, token uint64) {
	for end := o.clk.Now().Add(leaseTTL); ; clock.Sleep(ctx, o.clk, renewRetryDelay) {
		err := o.release(context.WithoutCancel(ctx), token)
		if err == nil || errors.Is(err, platform.Conflict) || ctx.Err() != nil || o.clk.Now().After(end) {
			return
		}
	}
}
