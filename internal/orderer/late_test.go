package orderer_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/orderer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/store"
)

// Guards against two leaders, orders of two leaders within the handover gap, a fleet that
// stays without a leader, and announcements that are lost: whichever responses of the store
// are lost at the start, at an election and at a stop, and whenever these writes are executed.
func TestLostResponsesLeaveOneLeader(t *testing.T) {
	choices := map[string]func(n int) bool{
		"first": func(n int) bool { return n == 1 }, "second": func(n int) bool { return n == 2 },
		"first four": func(n int) bool { return n <= 4 }, "each fifth": func(n int) bool { return n%5 == 2 }, "all": func(int) bool { return true },
	}
	for seed := range uint64(4) {
		choices[fmt.Sprintf("seed %d", seed)] = func(n int) bool { return rand.New(rand.NewPCG(seed, uint64(n))).Float64() < 0.35 }
	}
	for name, loses := range choices {
		for _, late := range []time.Duration{0, 1500 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint(name, " ", late), func(t *testing.T) {
				t.Parallel()
				loseWrites(t, metastore.Faults{Losses: metastore.Losses{Loses: loses, Late: late}})
			})
		}
	}
}

// lossyFleet is a fleet on a store that loses responses.
type lossyFleet struct {
	*fleet
	meta *metastore.Store
}

func newLossyFleet(t *testing.T) *lossyFleet {
	t.Helper()
	f := &lossyFleet{fleet: newFleet(t)}
	f.meta = metastore.New(f.clk)
	f.meta.Put("config", []byte("1"))
	for i := range 12 {
		f.meta.Put("up/"+strconv.Itoa(i), nil)
	}
	return f
}

func (f *lossyFleet) client(node string) platform.Store {
	f.t.Helper()
	srv := httptest.NewServer(f.meta.Handler(node))
	f.t.Cleanup(srv.Close)
	return store.New(strings.TrimPrefix(srv.URL, "http://"), tally.NoopScope)
}

func (f *lossyFleet) name(weights int) { f.meta.Put("weights", []byte(strconv.Itoa(weights))) }

// untilInPlace waits until all engines have loaded weights.
func (f *lossyFleet) untilInPlace(weights int) {
	f.t.Helper()
	f.until(fmt.Sprintf("weights %d on all engines", weights), func() bool {
		n := 0
		for _, v := range f.ups.versions() {
			if v == weights {
				n++
			}
		}
		return n == 12
	})
}

// Guards against a leader whose record is cleared by the late release of the one before.
func TestLateReleaseLeavesNextLeader(t *testing.T) {
	t.Parallel()
	f := newLossyFleet(t)
	f.name(2)
	_, stop := f.startWith("a", f.client("a"))
	f.untilInPlace(2)
	f.startWith("b", f.client("b"))
	f.startWith("c", f.client("c"))
	f.pass(time.Second)
	const late = 15 * time.Second // the next leader has sent its first order by then
	f.meta.SetFaults("a", metastore.Faults{Losses: metastore.Losses{Loses: func(int) bool { return true }, Late: late}})
	stop()
	released := f.clk.Now()
	f.name(3)
	f.until("an order of the next leader", func() bool { l := f.ups.list(); return l[len(l)-1].leader != "a" })
	if d := f.clk.Now().Sub(released); d > late {
		t.Fatalf("the next leader sent its first order only %v after the release", d)
	}
	l := f.ups.list()
	f.pass(late + time.Second)
	f.name(4)
	f.untilInPlace(4)
	for _, g := range f.ups.list()[len(l):] {
		if next := l[len(l)-1]; g.leader != next.leader || g.token != next.token {
			t.Errorf("order of %s with token %d, want the office of %s with token %d to go on", g.leader, g.token, next.leader, next.token)
		}
	}
}

// Guards against orders of two leaders within the handover gap, and roll-outs that never end, where
// nodes restart in turn while responses of the store are lost: each leader tells of its
// orders, and what it told may be written late, twice or never.
func TestRollingRestartWithLostResponses(t *testing.T) {
	for seed := range uint64(4) {
		for _, late := range []time.Duration{0, 1500 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint("seed ", seed, " ", late), func(t *testing.T) {
				t.Parallel()
				loses := func(n int) bool { return rand.New(rand.NewPCG(seed, uint64(n))).Float64() < 0.3 }
				restartInTurn(t, metastore.Faults{Losses: metastore.Losses{Loses: loses, Late: late}})
			})
		}
	}
}

func restartInTurn(t *testing.T, faults metastore.Faults) {
	t.Helper()
	f := newLossyFleet(t)
	f.name(2)
	nodes := []string{"a", "b", "c"}
	orderers, stops := map[string]*orderer.Orderer{}, map[string]func(){}
	start := func(node string) {
		_, orderers[node], stops[node] = f.startOn(node+"'s machine", node, f.client(node))
	}
	for i, node := range nodes {
		f.meta.Put("node/"+node, fmt.Appendf(nil, "%d %d", traffic.CurrentProtocol, i))
		start(node)
	}
	f.untilInPlace(2)
	for i, node := range nodes {
		f.meta.SetFaults(node, faults)
		orderers[node].StopCampaigning()
		f.name(3 + i)
		f.pass(2500 * time.Millisecond)
		stops[node]()
		f.pass(time.Second)
		f.meta.Put("node/"+node, fmt.Appendf(nil, "%d %d", traffic.CurrentProtocol, 10+i))
		start(node)
	}
	f.pass(7 * time.Second) // the last late writes are done
	for _, node := range nodes {
		f.meta.SetFaults(node, metastore.Faults{})
	}
	f.name(9)
	f.untilInPlace(9)
	f.checkGaps()
}

func loseWrites(t *testing.T, faults metastore.Faults) {
	t.Helper()
	f := newLossyFleet(t)
	const fault = 4500 * time.Millisecond
	f.name(2)
	stops := map[string]func(){}
	for _, node := range []string{"a", "b", "c"} {
		f.meta.SetFaults(node, faults)
		_, stops[node] = f.startWith(node, f.client(node))
	}
	f.pass(fault)
	for node := range stops {
		f.meta.SetFaults(node, metastore.Faults{})
	}
	f.untilInPlace(2)
	// The leader stops while the store loses responses once more.
	for node := range stops {
		f.meta.SetFaults(node, faults)
	}
	l := f.ups.list()
	former := l[len(l)-1].leader
	stops[former]()
	f.name(3)
	f.pass(fault)
	for node := range stops {
		f.meta.SetFaults(node, metastore.Faults{})
	}
	f.untilInPlace(3)
	f.pass(8 * time.Second) // the last late writes are done
	f.name(4)
	f.untilInPlace(4)
	var last receivedOrder
	for i, g := range f.ups.list() {
		if i > 0 && g.leader != last.leader {
			if d := g.at.Sub(last.at); d < gap {
				t.Errorf("%s sent an order %v after %s, within the handover gap", g.leader, d, last.leader)
			}
		}
		if g.token < last.token {
			t.Errorf("fencing token went from %d to %d", last.token, g.token)
		}
		last = g
	}
	reader := f.client("reader")
	f.until("the announcements in the store", func() bool {
		p, err := reader.Range(t.Context(), platform.LineFleet, orderer.AnnouncementsPrefix+"m", "", false)
		if err != nil || len(p.Items) == 0 {
			return false
		}
		n, err := orderer.DecodeAnnouncements(p.Items[0])
		k := len(n.Announcements)
		return err == nil && k > 2 && n.Announcements[k-3].Version == 2 && n.Announcements[k-2].Version == 3 && n.Announcements[k-1].Version == 4
	})
}

// Guards against orders of two leaders within the handover gap, and roll-outs that stand still,
// after the store came back from a copy in which the last leader had not been elected yet: its
// lease is lost but may not have expired, and the copy holds what the one before it told.
func TestLeaderOfLostEraKeepsHandoverGap(t *testing.T) {
	for name, released := range map[string]bool{"copy of a released leadership": true, "copy without a leader": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLossyFleet(t)
			for i, node := range []string{"a", "b", "c"} {
				f.meta.Put("node/"+node, fmt.Appendf(nil, "%d %d", traffic.CurrentProtocol, i))
			}
			f.name(2)
			_, stop := f.startWith("a", f.client("a"))
			f.untilInPlace(2)
			f.pass(2 * f.gap)
			if !released {
				f.meta.SetFaults("a", metastore.Faults{Down: true})
			}
			stop()
			f.pass(lease + time.Second) // the leadership of a has ended
			backup := f.meta.Backup()
			f.startWith("b", f.client("b"))
			f.name(3)
			f.until("an order of b", func() bool { return f.lastOrder().leader == "b" })
			f.meta.SetFaults("b", metastore.Faults{Down: true}) // b doesn't learn of the new era
			f.meta.Restore(backup)
			f.startWith("c", f.client("c"))
			f.name(3)
			f.untilInPlace(3)
			f.pass(2 * f.gap)
			f.name(4)
			f.untilInPlace(4)
			if got := f.lastOrder().leader; got != "c" {
				t.Errorf("the last order was one of %s, want c", got)
			}
			f.checkGaps()
		})
	}
}
