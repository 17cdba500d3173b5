package orderer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/orderer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
)

// lateStore answers one call of a campaign only when the test lets it.
type lateStore struct {
	platform.Store
	mu       sync.Mutex
	call     string        // the call that is late, empty for none
	executed chan struct{} // closed once that call has been executed
	answer   chan struct{} // closed by the test
}

// delay makes the next call with the given name late.
func (s *lateStore) delay(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.call, s.executed, s.answer = call, make(chan struct{}), make(chan struct{})
}

// wait waits for the test if this call is the late one.
func (s *lateStore) wait(call string) {
	s.mu.Lock()
	if s.call != call {
		s.mu.Unlock()
		return
	}
	s.call = ""
	executed, answer := s.executed, s.answer
	s.mu.Unlock()
	close(executed)
	<-answer
}

func (s *lateStore) GrantLease(ctx context.Context, l platform.Line, ttl time.Duration) (uint64, error) {
	id, err := s.Store.GrantLease(ctx, l, ttl)
	s.wait(grantCall)
	return id, err
}

func (s *lateStore) Commit(ctx context.Context, l platform.Line, t platform.Txn) (uint64, error) {
	rev, err := s.Store.Commit(ctx, l, t)
	s.wait(commitCall)
	return rev, err
}

const (
	grantCall  = "GrantLease"
	commitCall = "Commit"
)

// stopInCampaign stops the campaigns of a node while a call of one is under way.
func (f *fleet) stopInCampaign(o *orderer.Orderer, st *lateStore) {
	f.t.Helper()
	f.until("the campaign", func() bool {
		select {
		case <-st.executed:
			return true
		default:
			return false
		}
	})
	o.StopCampaigning()
	close(st.answer)
}

// hasTaken reports whether a node has logged that it became the leader.
func (f *fleet) hasTaken(name string) bool {
	for _, e := range f.logs[name].AllEntries() {
		if e.Data["event"] == "officeTaken" {
			return true
		}
	}
	return false
}

// Guards against orders that no node sends: a node in graceful shutdown wins a campaign that it
// began before, and takes the office.
func TestCampaignUnderWayAtStopTakesNoOffice(t *testing.T) {
	for _, call := range []string{grantCall, commitCall} {
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSlowFleet(t)
				f.register("a", "b")
				st := &lateStore{Store: f.store}
				st.delay(call)
				_, a, _ := f.startOn("a's machine", "a", st)
				f.stopInCampaign(a, st)
				f.pass(time.Second)
				if it, _ := f.store.Item(orderer.LeaderKey); string(it.Value) != "" || f.hasTaken("a") {
					t.Errorf("leader record %q, a became the leader: %t; want a release without", it.Value, f.hasTaken("a"))
				}
				stopped := f.clk.Now()
				f.start("b")
				f.untilLeads("b")
				if d := f.clk.Now().Sub(stopped); d > lease {
					t.Errorf("b leads %v after its start, want at most %v", d, lease)
				}
				f.until("an order of b", func() bool { return len(f.ups.list()) > 0 })
				if first := f.ups.list()[0]; first.leader != "b" {
					t.Errorf("first order of %s, want b", first.leader)
				}
			})
		})
	}
}

// Guards against a handover gap that is forgotten or begins anew when a former leader wins its
// office back during its shutdown.
func TestOfficeWonBackAtStopPassesOnHistory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSlowFleet(t)
		f.register("a", "b")
		st := &lateStore{Store: f.store}
		_, a, stop := f.startOn("a's machine", "a", st)
		f.until("the orders of a", func() bool { return len(f.ups.list()) >= 12 })
		last := f.lastOrder()
		f.pass(time.Second) // a learns at which revision it became the leader
		f.logs["a"].Reset()
		st.delay(commitCall)
		f.store.ExpireLeases()
		f.stopInCampaign(a, st)
		f.pass(time.Second)
		if it, _ := f.store.Item(orderer.LeaderKey); string(it.Value) != "" || f.hasTaken("a") {
			t.Errorf("leader record %q, a became the leader: %t; want a release without", it.Value, f.hasTaken("a"))
		}
		stop()
		f.store.Set("weights", "3")
		f.start("b")
		f.until("an order of b", func() bool { return f.lastOrder().leader == "b" })
		if d := f.lastOrder().at.Sub(last.at); d < f.gap || d > f.gap+takeover {
			t.Errorf("first order of b %v after the last one of a, want %v to %v", d, f.gap, f.gap+takeover)
		}
	})
}

// Guards against an order within the handover gap after one that was in progress when its node won
// the office back during its shutdown.
func TestOfficeWonBackAtStopTellsOfOrderInProgress(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSlowFleet(t)
		f.register("a", "b")
		st := &lateStore{Store: f.store}
		_, a, stop := f.startOn("a's machine", "a", st)
		f.until("the orders of a", func() bool { return len(f.ups.list()) >= 12 })
		f.pass(longGap)
		answer := f.ups.hold()
		last := f.next("3")
		st.delay(commitCall)
		f.store.ExpireLeases()
		f.stopInCampaign(a, st)
		f.pass(40 * time.Millisecond)
		answer()
		f.pass(time.Second)
		stop()
		f.start("b")
		f.until("an order of b", func() bool { return f.lastOrder().leader == "b" })
		if d := f.lastOrder().at.Sub(last.at); d < f.gap || d > f.gap+takeover {
			t.Errorf("first order of b %v after the last one of a, want %v to %v", d, f.gap, f.gap+takeover)
		}
	})
}
