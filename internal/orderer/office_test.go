package orderer_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/orderer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// resumption bounds the time from the return of the store to the first order of a
	// leader that needs no handover gap.
	resumption = 1500 * time.Millisecond
	// lease is how long the office of a leader without the store lasts.
	lease = 3 * time.Second
	// orderRights is how long after a renewal a leader may send orders.
	orderRights = 1600 * time.Millisecond
	// orderFlight is how long an order may be on its way.
	orderFlight = 800 * time.Millisecond
)

// reach is one node's way to the store, which tests cut off.
type reach struct {
	platform.Store
	clk       *testlib.Clock // nil unless renewals are recorded
	mu        sync.Mutex
	cut       bool
	renewedAt time.Time
}

// lastRenewal returns when the last renewal of a lease succeeded.
func (r *reach) lastRenewal() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.renewedAt
}

func (r *reach) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *reach) err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return platform.Unavailable
	}
	return nil
}

func (r *reach) Range(ctx context.Context, l platform.Line, prefix, after string, stale bool) (platform.Page, error) {
	if err := r.err(); err != nil {
		return platform.Page{}, err
	}
	return r.Store.Range(ctx, l, prefix, after, stale)
}

func (r *reach) Commit(ctx context.Context, l platform.Line, t platform.Txn) (uint64, error) {
	if err := r.err(); err != nil {
		return 0, err
	}
	return r.Store.Commit(ctx, l, t)
}

func (r *reach) GrantLease(ctx context.Context, l platform.Line, ttl time.Duration) (uint64, error) {
	if err := r.err(); err != nil {
		return 0, err
	}
	return r.Store.GrantLease(ctx, l, ttl)
}

func (r *reach) RenewLease(ctx context.Context, l platform.Line, id uint64) error {
	if err := r.err(); err != nil {
		return err
	}
	err := r.Store.RenewLease(ctx, l, id)
	if err == nil && r.clk != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.renewedAt = r.clk.Now()
	}
	return err
}

// pass advances the clock by d.
func (f *fleet) pass(d time.Duration) {
	for end := f.clk.Now().Add(d); f.clk.Now().Before(end); {
		f.clk.Step(20 * time.Millisecond)
		time.Sleep(300 * time.Microsecond) // the nodes run meanwhile; in a bubble until all of them wait
	}
}

// next names new weights, waits for the first order after the ones so far, and returns it.
func (f *fleet) next(weights string) receivedOrder {
	f.t.Helper()
	n := len(f.ups.list())
	f.store.Set("weights", weights)
	f.until("an order", func() bool { return len(f.ups.list()) > n })
	return f.ups.list()[n]
}

// lead starts a node and waits until it has ordered all engines as the leader.
func (f *fleet) lead(name string) receivedOrder {
	f.t.Helper()
	f.start(name)
	f.until("the orders", func() bool { return len(f.ups.list()) >= 12 })
	return f.ups.list()[11]
}

// Guards against an outage of the store after which engines get no orders for seconds, though
// the leader's lease has not ended.
func TestLeaderGoesOnAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		before := f.lead("a")
		f.start("b")
		f.store.SetError(platform.Unavailable)
		f.pass(8 * time.Second)
		f.store.SetError(nil)
		back := f.clk.Now()
		order := f.next("3")
		if d := order.at.Sub(back); d > resumption {
			t.Errorf("first order %v after the outage, want at most %v", d, resumption)
		}
		if order.leader != "a" || order.token != before.token {
			t.Errorf("order of %s with token %d, want the office of a with token %d to go on", order.leader, order.token, before.token)
		}
	})
}

// Guards against an outage of the store, in which leases end, after which engines get no orders
// for seconds, though no other node has been the leader since.
func TestFormerLeaderNeedsNoHandoverGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		before := f.lead("a")
		f.start("b")
		f.pass(time.Second)
		f.store.SetError(platform.Unavailable)
		f.pass(4 * time.Second)
		f.store.ExpireLeases()
		f.store.SetError(nil)
		back := f.clk.Now()
		order := f.next("3")
		if d := order.at.Sub(back); d > resumption {
			t.Errorf("first order %v after the outage, want at most %v", d, resumption)
		}
		if order.leader != "a" || order.token <= before.token {
			t.Errorf("order of %s with token %d, want one of a with a token above %d", order.leader, order.token, before.token)
		}
	})
}

// Guards against an order of the last office that arrives after one of the next, if the lease
// ends early.
func TestFormerLeaderLetsItsOrdersArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		st := &reach{Store: f.store, clk: f.clk}
		f.startWith("a", st)
		for n := range 5 {
			last := f.next(strconv.Itoa(n + 3))
			f.pass(time.Duration(n) * 200 * time.Millisecond)
			renewedAt := st.lastRenewal()
			f.store.ExpireLeases()
			f.until("an order of the next office", func() bool { l := f.ups.list(); return l[len(l)-1].token > last.token })
			for _, g := range f.ups.list() {
				if d := g.at.Sub(renewedAt); g.token > last.token && d < orderRights+orderFlight {
					t.Errorf("order of the next office %v after the last renewal of the one before, want at least %v", d, orderRights+orderFlight)
				}
			}
		}
	})
}

// Guards against a former leader that skips the handover gap, though another node was the
// leader while it couldn't reach the store, whose orders may still arrive.
func TestOfficeThatAnotherNodeHeldNeedsHandoverGap(t *testing.T) {
	for _, released := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.gap = 2 * gap
			a, b := &reach{Store: f.store}, &reach{Store: f.store}
			f.startWith("a", a)
			f.until("the orders of a", func() bool { return len(f.ups.list()) >= 12 })
			f.pass(time.Second)
			a.setCut(true)
			f.pass(lease)
			f.store.ExpireLeases()
			_, stopB := f.startWith("b", b)
			f.store.Set("weights", "3")
			f.until("an order of b", func() bool { l := f.ups.list(); return l[len(l)-1].leader == "b" })
			if released {
				stopB()
			} else {
				b.setCut(true)
				f.pass(lease)
				f.store.ExpireLeases()
			}
			a.setCut(false)
			f.until("an order of a", func() bool { l := f.ups.list(); return l[len(l)-1].leader == "a" })
			var last receivedOrder
			for i, g := range f.ups.list() {
				if i > 0 && g.leader != last.leader {
					if d := g.at.Sub(last.at); d < f.gap {
						t.Errorf("released %t: %s sent an order %v after %s", released, g.leader, d, last.leader)
					}
					if g.token <= last.token {
						t.Errorf("released %t: token went from %d to %d", released, last.token, g.token)
					}
				}
				last = g
			}
		})
	}
}

// formerRelease is the way to the store of a node that doesn't tell who was the last leader.
type formerRelease struct{ *reach }

func (r formerRelease) Commit(ctx context.Context, l platform.Line, t platform.Txn) (uint64, error) {
	t.Put = slices.DeleteFunc(slices.Clone(t.Put), func(p platform.Put) bool { return p.Key != orderer.LeaderKey })
	return r.reach.Commit(ctx, l, t)
}

// Guards against a former leader that skips the handover gap, though a node of the release
// before was the leader while it couldn't reach the store.
func TestOfficeThatFormerReleaseHeldNeedsHandoverGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.gap = 2 * gap
		f.store.Set("node/a", strconv.Itoa(traffic.CurrentProtocol))
		f.store.Set("node/b", strconv.Itoa(traffic.ProtocolEvidence))
		a, b := &reach{Store: f.store}, &reach{Store: f.store}
		f.startWith("a", a)
		f.until("the orders of a", func() bool { return len(f.ups.list()) >= 12 })
		f.pass(time.Second)
		a.setCut(true)
		f.pass(lease)
		f.store.ExpireLeases()
		f.startWith("b", formerRelease{b})
		f.store.Set("weights", "3")
		f.until("an order of b", func() bool { l := f.ups.list(); return l[len(l)-1].leader == "b" })
		b.setCut(true)
		f.pass(lease)
		f.store.ExpireLeases()
		a.setCut(false)
		f.until("an order of a", func() bool { l := f.ups.list(); return l[len(l)-1].leader == "a" })
		l := f.ups.list()
		for i := 1; i < len(l); i++ {
			if d := l[i].at.Sub(l[i-1].at); l[i].leader != l[i-1].leader && d < f.gap {
				t.Errorf("%s sent an order %v after %s", l[i].leader, d, l[i-1].leader)
			}
		}
	})
}
