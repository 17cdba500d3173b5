package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/prover"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
)

const (
	ratedUpstream = uint32(7)
	rateStep      = 10 * time.Millisecond
	reportPeriod  = 100 * time.Millisecond
	rateWindow    = 4 * time.Second
	skipTime      = 500 * time.Millisecond
)

// rateNode is a node of a simulated fleet that sends as many requests as it may to one upstream.
type rateNode struct {
	fleet       *rateFleet
	index       int
	relay       *Relayer
	bootID      uint64
	group       int           // nodes of different groups don't reach each other
	downUntil   time.Duration // 0 while it runs
	pausedUntil time.Duration
	skipUntil   []time.Duration // by aggregator
	toldAt      time.Duration   // when it has passed on the first response that names the rate, 0 for never
}

// rateFleet simulates nodes that share the rate of one upstream. The first two nodes are its
// aggregators, and all receive each other's reports, a tenth of which is lost.
type rateFleet struct {
	clk      *testlib.Clock
	rnd      *rand.Rand
	nodes    []*rateNode
	at       time.Duration
	rate     float64 // negative for none
	arrivals []time.Duration
	counted  []time.Duration // arrivals from nodes that had told for half a second
}

type noFleet struct{}

func (noFleet) View() *View                  { return nil }
func (noFleet) Proof() prover.Prover         { return prover.New() }
func (noFleet) StoreInReachSince() time.Time { return time.Time{} }

func newRateFleet(t *testing.T, nodes int, seed uint64) *rateFleet {
	t.Helper()
	f := &rateFleet{clk: testlib.NewClock(time.Unix(1000, 0)), rnd: rand.New(rand.NewPCG(seed, 1)), rate: ratetracker.Unlimited}
	for range nodes {
		f.join(t)
	}
	return f
}

func (f *rateFleet) join(t *testing.T) {
	t.Helper()
	n := &rateNode{fleet: f, index: len(f.nodes), skipUntil: make([]time.Duration, 2)}
	f.nodes = append(f.nodes, n)
	n.start(t)
}

func (n *rateNode) start(t *testing.T) {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	metrics := meter.New()
	t.Cleanup(func() { _ = metrics.Close() })
	n.bootID++
	n.relay = New(Settings{}, Dependencies{Clock: n.fleet.clk, Boot: n.fleet.clk, Log: log, Fleet: noFleet{}, Granter: n, Meter: metrics, Rand: n.fleet.rnd})
	n.downUntil, n.pausedUntil, n.toldAt = 0, 0, 0
	n.relay.SetFleet(limiter.Fleet{Nodes: len(n.fleet.nodes), ReceivesAll: true, Summarized: true})
}

func (n *rateNode) reaches(o *rateNode) bool { return n.group == o.group && o.downUntil == 0 }

// Ask implements Granter.
func (*rateNode) Ask(context.Context, string, float64) (d limiter.Decision, ok bool) { return d, false }

// AskUpstream implements Granter like granter.Granter, without the time that messages take.
func (n *rateNode) AskUpstream(_ context.Context, s ratetracker.Statement) (d limiter.Decision, ok bool) {
	for i, a := range n.fleet.nodes[:2] {
		switch {
		case a == n:
			if d, ok = n.relay.GrantUpstream(s); ok {
				return d, true
			}
		case n.fleet.at >= n.skipUntil[i]:
			if n.reaches(a) {
				d, ok = a.relay.GrantUpstream(s)
			}
			if !ok {
				n.skipUntil[i] = n.fleet.at + skipTime
			}
			return d, ok
		}
	}
	return d, false
}

// step lets all nodes send, and report every 100 ms.
func (f *rateFleet) step(t *testing.T) {
	t.Helper()
	f.clk.Step(rateStep)
	f.at += rateStep
	for _, n := range f.nodes {
		if n.downUntil > 0 && f.at >= n.downUntil {
			n.start(t)
		}
		if n.downUntil > 0 || f.at < n.pausedUntil || f.rnd.Float64() > 0.1 {
			continue
		}
		if d := n.relay.allowUpstream(t.Context(), ratedUpstream); !d.OK {
			n.pausedUntil = f.at + max(refusalPause, d.RetryAfter)
			continue
		}
		f.arrivals = append(f.arrivals, f.at)
		if n.toldAt > 0 && f.at >= n.toldAt+500*time.Millisecond {
			f.counted = append(f.counted, f.at)
		}
		if n.relay.upstreamRates.Record(f.clk.Now(), ratedUpstream, f.rate) {
			n.relay.updateUpstreamLimits(f.clk.Now())
		}
		if f.rate >= 0 && n.toldAt == 0 {
			n.toldAt = f.at
		}
	}
	if f.at%reportPeriod == 0 {
		f.report()
	}
}

func (f *rateFleet) report() {
	for _, n := range f.nodes {
		if n.downUntil > 0 {
			continue
		}
		n.relay.SetFleet(limiter.Fleet{Nodes: len(f.nodes), ReceivesAll: true, Summarized: true})
		r := n.relay.TakeReport()
		for _, o := range f.nodes {
			if o != n && n.reaches(o) && f.rnd.Float64() > 0.1 {
				o.relay.MergeUpstreamUsage(fmt.Sprint(n.index), n.bootID, r.UpstreamUsage)
				o.relay.MergeUpstreamRates(r.UpstreamRates)
			}
		}
	}
}

// most returns the most requests in one window that begins at from or later.
func most(arrivals []time.Duration, from time.Duration) int {
	largest := 0
	for i, end := range arrivals {
		n := 0
		for _, at := range arrivals[:i+1] {
			if at >= from && at > end-rateWindow {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// Guards against LIMIT: the requests of all nodes together exceed the rate that an upstream names,
// though each node keeps to it, also while nodes restart, join, or don't reach each other.
func TestNodesTogetherKeepToTheRateOfAnUpstream(t *testing.T) {
	const (
		named  = 2 * time.Second // when the upstream names its rate
		bound  = 3 * time.Second // from then on, until the rule binds
		length = 30 * time.Second
	)
	restart := func(n *rateNode) { n.downUntil = n.fleet.at + time.Second }
	for name, c := range map[string]struct {
		nodes  int
		events map[time.Duration]func(t *testing.T, f *rateFleet)
	}{
		"calm":        {9, nil},
		"many nodes":  {91, nil},
		"single node": {2, nil},
		"aggregator restarts": {9, map[time.Duration]func(*testing.T, *rateFleet){
			8 * time.Second: func(_ *testing.T, f *rateFleet) { restart(f.nodes[0]) },
		}},
		"both aggregators restart": {9, map[time.Duration]func(*testing.T, *rateFleet){
			8 * time.Second: func(_ *testing.T, f *rateFleet) { restart(f.nodes[0]); restart(f.nodes[1]) },
		}},
		"all nodes restart": {9, map[time.Duration]func(*testing.T, *rateFleet){
			8 * time.Second: func(_ *testing.T, f *rateFleet) {
				for _, n := range f.nodes {
					restart(n)
				}
			},
		}},
		"rolling restart": {9, func() map[time.Duration]func(*testing.T, *rateFleet) {
			m := map[time.Duration]func(*testing.T, *rateFleet){}
			for i := range 9 {
				m[time.Duration(6+2*i)*time.Second] = func(_ *testing.T, f *rateFleet) { restart(f.nodes[i]) }
			}
			return m
		}()},
		"nodes join": {9, map[time.Duration]func(*testing.T, *rateFleet){
			8 * time.Second: func(t *testing.T, f *rateFleet) {
				for range 9 {
					f.join(t)
				}
			},
		}},
		"partition between the aggregators": {9, map[time.Duration]func(*testing.T, *rateFleet){
			8 * time.Second: func(_ *testing.T, f *rateFleet) {
				for i, n := range f.nodes {
					n.group = i % 2
				}
			},
			16 * time.Second: func(_ *testing.T, f *rateFleet) {
				for _, n := range f.nodes {
					n.group = 0
				}
			},
		}},
		"nodes cut off": {9, map[time.Duration]func(*testing.T, *rateFleet){
			8 * time.Second: func(_ *testing.T, f *rateFleet) {
				for i, n := range f.nodes[2:7] {
					n.group = 1 + i
				}
			},
			16 * time.Second: func(_ *testing.T, f *rateFleet) {
				for _, n := range f.nodes {
					n.group = 0
				}
			},
		}},
		"both aggregators cut off": {9, map[time.Duration]func(*testing.T, *rateFleet){
			8 * time.Second: func(_ *testing.T, f *rateFleet) { f.nodes[0].group, f.nodes[1].group = 1, 2 },
			16 * time.Second: func(_ *testing.T, f *rateFleet) {
				f.nodes[0].group, f.nodes[1].group = 0, 0
			},
		}},
	} {
		for _, rate := range []float64{0, 0.5, 1, 1.4, 3, 12, 60} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprint(name, "/", rate, "/", seed), func(t *testing.T) {
					t.Parallel()
					f := newRateFleet(t, c.nodes, seed)
					for f.at < length {
						if f.at == named {
							f.rate = rate
						}
						if event := c.events[f.at]; event != nil {
							event(t, f)
						}
						f.step(t)
					}
					if got, allowed := most(f.counted, named+bound), 1.5*rate*rateWindow.Seconds()+5; float64(got) > allowed {
						t.Errorf("%d requests in %v, allowed %v", got, rateWindow, allowed)
					}
					// Ten seconds after the last event, the nodes use most of the rate.
					used := 0
					for _, at := range f.arrivals {
						if at >= length-5*time.Second {
							used++
						}
					}
					demand := float64(c.nodes) * 10
					if want := 0.5 * min(rate, demand) * 5; float64(used) < want-1 {
						t.Errorf("%d requests in the last 5 s, want %v or more", used, want)
					}
				})
			}
		}
	}
}

// Guards against an upstream that gets few requests though it doesn't limit them any more.
func TestEndOfARateIsKnownEverywhere(t *testing.T) {
	f := newRateFleet(t, 9, 1)
	f.rate = 1
	for f.at < 10*time.Second {
		f.step(t)
	}
	f.rate = ratetracker.Unlimited
	for f.at < 20*time.Second {
		f.step(t)
	}
	for _, n := range f.nodes {
		if _, limited := n.relay.findRate(ratedUpstream); limited {
			t.Errorf("node %d still limits its requests", n.index)
		}
	}
}
