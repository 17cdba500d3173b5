package limiter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/limiter"
)

var start = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

const (
	tick        = 10 * time.Millisecond
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 8 // average long prompts, the smaller one of the two deployments
	longPrompt  = 9200
	// lossShare is the share of the datagrams that are lost.
	lossShare = 0.1
)

// tenant is a workspace whose callers send requests at random times.
type tenant struct {
	limiter.Limit
	mean, largest float64 // cost of a request
	// demand is what its callers send at a time after the start, as a multiple of the ordinary
	// demand. The rate is 1.8 times the ordinary demand.
	demand func(at time.Duration) float64
	// node returns the node that a request goes to.
	node func(at time.Duration, rnd *rand.Rand, nodes int) int

	next time.Time // of the next request
	runs []run
	// asked are the requests of the latest window, of the total cost windowed.
	asked    []run
	windowed float64
	// sent and refused count the requests while the workspace as a whole asks for less than
	// its rate within the window.
	sent, refused int
}

// belowRate adds a request and reports whether those of the window are below the rate.
func (w *tenant) belowRate(r run) bool {
	w.asked, w.windowed = append(w.asked, r), w.windowed+r.cost
	for r.at.Sub(w.asked[0].at) >= quotaWindow {
		w.windowed -= w.asked[0].cost
		w.asked = w.asked[1:]
	}
	return w.windowed <= w.Rate*quotaWindow.Seconds()
}

type run struct {
	at   time.Time
	cost float64
}

func (w *tenant) cost(rnd *rand.Rand) float64 {
	if w.mean == 1 {
		return 1
	}
	return math.Ceil(min(w.largest, w.mean*(0.2+0.8*rnd.ExpFloat64())))
}

// node is one node of a simulated fleet.
type node struct {
	*limiter.Limiter
	name    string
	bootID  uint64
	phase   int // tick of its rounds
	side    int // of a partition
	dead    bool
	flushed time.Time
	pending bool
	round   int
	knownAt time.Time // when the others have read its registration
}

// fleet is a simulated fleet. The first aggregators nodes receive all reports.
type fleet struct {
	rnd         *rand.Rand
	now         time.Time
	nodes       []*node
	aggregators []int
	tenants     []*tenant
	bootID      uint64
	// silent is set if aggregators answer no grant requests.
	silent bool
	// split is set if each second node asks the second aggregator.
	split bool
}

func newFleet(seed uint64, nodes int, tenants ...*tenant) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), now: start, tenants: tenants, aggregators: []int{0, 1}}
	for i := range nodes {
		f.nodes = append(f.nodes, &node{name: fmt.Sprint("n", i), phase: f.rnd.IntN(10)})
		f.restart(i)
	}
	for _, w := range tenants {
		w.next = start
	}
	return f
}

func (f *fleet) restart(i int) {
	f.bootID++
	n := f.nodes[i]
	n.Limiter, n.bootID, n.dead = limiter.New(f.now, rand.New(rand.NewPCG(f.rnd.Uint64(), 2))), f.bootID, false
	n.knownAt = f.now.Add(time.Duration(f.rnd.Int64N(int64(time.Second))))
	f.setLimits(n)
	f.setFleet(i)
}

func (f *fleet) setLimits(n *node) {
	var limits []limiter.Limit
	for _, w := range f.tenants {
		limits = append(limits, w.Limit)
	}
	n.SetLimits(f.now, limits)
}

func (f *fleet) receivesAll(i int) bool {
	return len(f.nodes) <= 16 || i == f.aggregators[0] || i == f.aggregators[1]
}

func (f *fleet) setFleet(i int) {
	f.nodes[i].SetFleet(f.now, limiter.Fleet{Nodes: len(f.nodes), ReceivesAll: f.receivesAll(i), Summarized: true})
}

// arrives reports whether a datagram between two nodes arrives.
func (f *fleet) arrives(from, to *node) bool {
	return from != to && !to.dead && !f.now.Before(to.knownAt) && from.side == to.side && f.rnd.Float64() >= lossShare
}

// exchange sends the messages of a node's round.
func (f *fleet) exchange(i int) {
	n := f.nodes[i]
	n.round++
	f.setFleet(i)
	usage := n.TakeUsage(f.now)
	summary, summarizes := n.Summary(f.now)
	n.pending = n.pending || summary.Urgent
	everyone := n.pending && f.now.Sub(n.flushed) >= 200*time.Millisecond
	if everyone {
		n.pending, n.flushed = false, f.now
	}
	for j, peer := range f.nodes {
		switch {
		case f.receivesAll(j):
			if f.arrives(n, peer) {
				peer.MergeUsage(f.now, n.name, n.bootID, usage)
				if summarizes && (len(f.nodes) > 16 || summary.NewPeer) {
					peer.Follow(f.now, summary.Shortages)
				}
			}
		case summarizes && (everyone || j%5 == n.round%5) && f.arrives(n, peer):
			peer.Follow(f.now, summary.Shortages)
		}
	}
}

// advance runs the fleet for a time.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for i, n := range f.nodes {
			if !n.dead && int(f.now.Sub(start)/tick)%10 == n.phase {
				f.exchange(i)
			}
		}
		for _, w := range f.tenants {
			f.send(w)
		}
	}
}

func (f *fleet) send(w *tenant) {
	for w.next.Before(f.now.Add(tick)) {
		at := w.next
		perSecond := w.Rate / 1.8 / w.mean * w.demand(at.Sub(start))
		w.next = at.Add(time.Duration(f.rnd.ExpFloat64() / max(0.01, perSecond) * float64(time.Second)))
		n := f.nodes[w.node(at.Sub(start), f.rnd, len(f.nodes))]
		if at.Before(start) || n.dead {
			continue
		}
		r := run{at, w.cost(f.rnd)}
		below := w.belowRate(r)
		ok := f.allow(n, at, w.Workspace, r.cost)
		if ok {
			w.runs = append(w.runs, r)
		}
		if below {
			w.sent++
		}
		if below && !ok {
			w.refused++
		}
	}
}

// allow decides about a request at a node, which asks the first aggregator if it has to.
func (f *fleet) allow(n *node, at time.Time, workspace string, cost float64) bool {
	if f.silent || !n.NeedsGrant(at, workspace) {
		return n.Allow(at, workspace, cost).OK
	}
	aggregator := f.nodes[f.aggregators[0]]
	if aggregator.dead || f.split && n.bootID%2 == 0 {
		aggregator = f.nodes[f.aggregators[1]]
	}
	if f.arrives(n, aggregator) {
		if d, ok := aggregator.Grant(at, workspace, cost); ok && f.arrives(aggregator, n) {
			return d.OK
		}
	}
	return n.Allow(at, workspace, cost).OK
}

// checkWindows checks the bound in every sliding window that begins after a time.
func (w *tenant) checkWindows(t *testing.T, after time.Time) {
	t.Helper()
	limit := w.Rate*quotaWindow.Seconds() + w.Burst
	slack := quotaSlack * w.mean
	worst, sum, first := -1.0, 0.0, 0
	for _, r := range w.runs {
		sum += r.cost
		for !r.at.Before(w.runs[first].at.Add(quotaWindow)) {
			sum -= w.runs[first].cost
			first++
		}
		if !w.runs[first].at.Before(after) {
			worst = max(worst, (sum-limit)/(limit*quotaOver+slack))
		}
	}
	t.Logf("%s: %.2f of the tolerance", w.Workspace, worst)
	if worst > 1 {
		t.Errorf("%s: the largest window exceeds rate and burst by %.2f of the tolerance", w.Workspace, worst)
	}
}

func anyNode(_ time.Duration, rnd *rand.Rand, nodes int) int { return rnd.IntN(nodes) }

// movingNode sends everything to a twentieth of the nodes, other ones every 3 s.
func movingNode(at time.Duration, rnd *rand.Rand, nodes int) int {
	width := max(1, nodes/20)
	return (int(at/(3*time.Second))*width*7 + rnd.IntN(width)) % nodes
}

func steady(time.Duration) float64 { return 1 }

const (
	// startTime is how long after a restart of all nodes refusals don't count.
	startTime = quotaWindow
	surgeTime = 7 * time.Second
)

func inSurge(at time.Duration) bool { return at >= 20*time.Second && at%(20*time.Second) < surgeTime }

// surges returns a demand of a multiple from 20 s on, for 7 of every 20 s.
func surges(times float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if inSurge(at) {
			return times
		}
		return 1
	}
}

func tenants(demand func(time.Duration) float64, node func(time.Duration, *rand.Rand, int) int) []*tenant {
	var out []*tenant
	for _, rate := range []float64{18_000, 60_000, 250_000, 900_000} {
		out = append(out, &tenant{Limit: limiter.Limit{Workspace: fmt.Sprint("tokens-", rate), Rate: rate, Burst: rate}, mean: longPrompt, largest: 36_000})
	}
	out = append(out, &tenant{Limit: limiter.Limit{Workspace: "requests", Rate: 40, Burst: 40}, mean: 1, largest: 1})
	for _, w := range out {
		w.demand, w.node = demand, node
	}
	return out
}

// seeds is the number of random runs of each test.
const seeds = 6

// Load: a workspace sends small and large requests at 9 times its ordinary demand. Guards against
// refusals of requests that the bucket has room for, and of others in their place: of what a bucket
// at a single node would admit, callers have to get nearly all.
func TestSurgeIsServedInTheOrderOfTheBucket(t *testing.T) {
	w := &tenant{
		Limit: limiter.Limit{Workspace: "w", Rate: 900_000, Burst: 900_000}, mean: longPrompt, largest: 36_000, demand: surges(9), node: anyNode,
	}
	f := newFleet(1, 90, w)
	f.advance(20 * time.Second)
	small, refused := 0, 0
	for end := f.now.Add(surgeTime); f.now.Before(end); {
		f.advance(tick)
		if f.now.Sub(start) < 21*time.Second {
			continue // until all nodes know
		}
		small++
		if !f.allow(f.nodes[2+f.rnd.IntN(88)], f.now, "w", 200) {
			refused++
		}
	}
	if refused*4 > small {
		t.Errorf("%d of %d requests of 200 tokens refused, though the bucket has room for them", refused, small)
	}
}

// Guards against admitting more than the limit until all nodes know of a surge: 9 times the
// ordinary demand, spread over the nodes or moving between them.
func TestSurgesStayWithinEveryWindow(t *testing.T) {
	for _, nodes := range []int{5, 90} {
		for seed := range uint64(seeds) {
			for _, place := range []func(time.Duration, *rand.Rand, int) int{anyNode, movingNode} {
				f := newFleet(seed, nodes, tenants(surges(9), place)...)
				f.silent = seed%2 == 1
				f.advance(60 * time.Second)
				for _, w := range f.tenants {
					w.checkWindows(t, start)
				}
			}
		}
	}
}

// Guards against a control that keeps refusing after a surge, or refuses much more than it has to.
func TestSurgeIsServedAtTheRate(t *testing.T) {
	for _, nodes := range []int{5, 90} {
		f := newFleet(1, nodes, tenants(surges(9), anyNode)...)
		f.advance(60 * time.Second)
		for _, w := range f.tenants {
			got := 0.0
			for _, r := range w.runs {
				if inSurge(r.at.Sub(start)) {
					got += r.cost
				}
			}
			if share := got / (2 * surgeTime.Seconds() * w.Rate); share < 0.9 {
				t.Errorf("%d nodes, %s: %.2f of the rate were served in the surges", nodes, w.Workspace, share)
			}
		}
	}
}

// Guards against refusals of ordinary demand that moves between nodes, as buckets of the nodes'
// own would refuse it.
func TestDemandBelowTheLimitIsAdmitted(t *testing.T) {
	for _, nodes := range []int{5, 90} {
		sent, refused := map[string]int{}, map[string]int{}
		for seed := range uint64(4 * seeds) { // for enough requests to the smallest limit
			f := newFleet(seed, nodes, tenants(steady, movingNode)...)
			f.advance(startTime)
			for _, w := range f.tenants {
				w.sent, w.refused = 0, 0
			}
			f.advance(90 * time.Second)
			for _, w := range f.tenants {
				sent[w.Workspace] += w.sent
				refused[w.Workspace] += w.refused
			}
		}
		for w := range sent {
			if refused[w]*100 >= sent[w] {
				t.Errorf("%d nodes, %s: %d of %d requests refused below the limit", nodes, w, refused[w], sent[w])
			}
		}
	}
}

// Guards against sides of a partition that each admit the whole rate.
func TestSidesOfAPartitionShareTheRate(t *testing.T) {
	for _, nodes := range []int{6, 90} {
		for seed := range uint64(seeds) {
			f := newFleet(seed, nodes, tenants(surges(9), anyNode)...)
			f.advance(10 * time.Second)
			for i, n := range f.nodes {
				n.side = i % 2 // one aggregator on each side
			}
			f.advance(30 * time.Second)
			for _, n := range f.nodes {
				n.side = 0
			}
			f.advance(20 * time.Second)
			for _, w := range f.tenants {
				w.checkWindows(t, start)
			}
		}
	}
}

// Guards against nodes without an aggregator that keep to an old summary, or that admit all.
func TestNodesCutOffFromTheAggregatorsKeepToTheirShare(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(seed, 90, tenants(surges(9), anyNode)...)
		f.advance(10 * time.Second)
		for i, n := range f.nodes[2:] {
			n.side = i % 3 // one side has both aggregators
		}
		f.advance(30 * time.Second)
		for _, w := range f.tenants {
			w.checkWindows(t, start)
		}
	}
}

// Guards against a new aggregator that begins with full buckets while a surge lasts, and against
// one that refuses ordinary demand.
func TestLossOfAggregators(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(seed, 90, tenants(surges(9), anyNode)...)
		f.advance(23 * time.Second) // within the surge
		f.nodes[0].dead = true
		f.advance(time.Second)
		f.nodes[1].dead = true
		f.advance(500 * time.Millisecond)
		f.aggregators = []int{2, 3}
		f.advance(10 * time.Second)
		f.restart(0)
		f.restart(1)
		f.advance(5 * time.Second)
		for _, w := range f.tenants {
			w.checkWindows(t, start)
		}
	}
}

// Guards against refusals of ordinary demand when a node that receives all reports starts anew, or
// another aggregator takes its place.
func TestNewAggregatorAdmitsOrdinaryDemand(t *testing.T) {
	for _, nodes := range []int{5, 90} {
		sent, refused := 0, 0
		for seed := range uint64(seeds) {
			f := newFleet(seed, nodes, tenants(steady, anyNode)...)
			f.advance(startTime)
			for _, w := range f.tenants {
				w.sent, w.refused = 0, 0
			}
			f.nodes[0].dead = true
			f.advance(5 * time.Second)
			f.restart(0)
			f.advance(5 * time.Second)
			f.aggregators = []int{1, 2}
			f.advance(5 * time.Second)
			for _, w := range f.tenants {
				sent, refused = sent+w.sent, refused+w.refused
			}
		}
		t.Logf("%d of %d requests refused", refused, sent)
		if refused*100 >= sent {
			t.Errorf("%d nodes: %d of %d requests refused below the limit", nodes, refused, sent)
		}
	}
}

// Guards against a burst that is spent twice: before and after all nodes restart.
func TestRestartOfAllNodesGrantsNoFurtherBurst(t *testing.T) {
	for _, nodes := range []int{5, 90} {
		for seed := range uint64(seeds) {
			f := newFleet(seed, nodes, tenants(surges(9), anyNode)...)
			f.advance(21 * time.Second)
			for i := range f.nodes {
				f.restart(i)
			}
			f.advance(10 * time.Second)
			for _, w := range f.tenants {
				w.checkWindows(t, start)
			}
		}
	}
}

// Guards against a level that keeps to the old burst, and against an asked rate that is forgotten.
func TestLowerLimitIsInForceAfterAWindow(t *testing.T) {
	for _, nodes := range []int{5, 90} {
		for seed := range uint64(seeds) {
			f := newFleet(seed, nodes, tenants(surges(9), anyNode)...)
			f.advance(22 * time.Second)
			for _, w := range f.tenants {
				w.Rate, w.Burst = w.Rate/2, w.Burst/2
			}
			for _, n := range f.nodes {
				f.advance(20 * time.Millisecond)
				f.setLimits(n)
			}
			lowered := f.now
			f.advance(25 * time.Second)
			for _, w := range f.tenants {
				w.checkWindows(t, lowered)
			}
		}
	}
}

// Guards against admitting more than the limit in the largest full mesh, in which all nodes decide
// by buckets that lag behind each other.
func TestSurgesStayWithinEveryWindowOfTheLargestMesh(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, place := range []func(time.Duration, *rand.Rand, int) int{anyNode, movingNode} {
			f := newFleet(seed, 16, tenants(surges(9), place)...)
			f.advance(60 * time.Second)
			for _, w := range f.tenants {
				w.checkWindows(t, start)
			}
		}
	}
}

// Load: a surge while a part of the nodes asks the second aggregator, since the first one didn't
// answer them. Guards against two aggregators that each admit the whole rate.
func TestTwoDecidingAggregatorsStayWithinEveryWindow(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(seed, 90, tenants(surges(9), anyNode)...)
		f.split = true
		f.advance(60 * time.Second)
		for _, w := range f.tenants {
			w.checkWindows(t, start)
		}
	}
}
