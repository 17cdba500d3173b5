package roller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/roller"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const model = "m"

// engine is a fake that executes orders like the users' engines: one at a time,
// and only if its order count equals the expected one.
type engine struct {
	version, orderCount int
	loadingVersion      int // version, 0 if none
	loadedAt            time.Time
	versionAt           time.Time // when the version was last changed
	unreachable         bool
	pinned              int
}

// simulation runs a roller against a fleet of engines over a network that loses
// responses and delays orders.
type simulation struct {
	t          *testing.T
	rnd        *rand.Rand
	now        time.Time
	roller     *roller.Roller
	engines    map[string]*engine
	newest     int
	delayed    []delayedOrder
	lossRate   float64
	peakLoads  int
	orderCount int
	// reportDelay is how old reports are. utilization is that of each engine, as long
	// as all get work.
	reportDelay time.Duration
	utilization float64
	away        map[string]bool
	peakAway    int
}

type delayedOrder struct {
	at time.Time
	o  roller.Order
}

func newSimulation(t *testing.T, seed uint64, n int) *simulation {
	sim := &simulation{
		t: t, rnd: rand.New(rand.NewPCG(seed, 3)), now: start, roller: roller.New(), engines: map[string]*engine{}, newest: 1, away: map[string]bool{},
	}
	for i := range n {
		sim.engines[fmt.Sprintf("e%02d", i)] = &engine{version: 1}
	}
	return sim
}

// accept executes an order at its engine and returns the result.
func (sim *simulation) accept(o roller.Order) roller.Result {
	e := sim.engines[o.Incarnation]
	switch {
	case e.loadingVersion == 0 && e.version >= o.Version:
		return roller.AlreadyLoaded
	case e.loadingVersion != 0 || e.orderCount != o.Expected:
		return roller.Conflicting
	}
	if o.Version < e.version {
		sim.t.Fatalf("%s was ordered to downgrade from %d to %d", o.Incarnation, e.version, o.Version)
	}
	e.orderCount++
	e.loadingVersion, e.loadedAt = o.Version, sim.now.Add(1200*time.Millisecond)
	return roller.Accepted
}

func (sim *simulation) send(o roller.Order) {
	sim.orderCount++
	e := sim.engines[o.Incarnation]
	switch {
	case e.unreachable:
		sim.roller.RecordResult(sim.now, o, roller.Failed)
	case sim.rnd.Float64() < sim.lossRate: // executed later, after other orders
		sim.delayed = append(sim.delayed, delayedOrder{at: sim.now.Add(time.Duration(2000+sim.rnd.IntN(10000)) * time.Millisecond), o: o})
		sim.roller.RecordResult(sim.now, o, roller.Unanswered)
	case sim.rnd.Float64() < sim.lossRate: // accepted, but the response is lost
		sim.accept(o)
		sim.roller.RecordResult(sim.now, o, roller.Unanswered)
	default:
		sim.roller.RecordResult(sim.now, o, sim.accept(o))
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(50 * time.Millisecond)
	var rest []delayedOrder
	for _, l := range sim.delayed {
		if sim.now.Before(l.at) {
			rest = append(rest, l)
			continue
		}
		sim.accept(l.o)
	}
	sim.delayed = rest
	loading := 0
	for _, e := range sim.engines {
		if e.loadingVersion != 0 && !sim.now.Before(e.loadedAt) {
			e.version, e.loadingVersion, e.versionAt = e.loadingVersion, 0, sim.now
		}
		if e.loadingVersion != 0 {
			loading++
		}
	}
	sim.peakLoads = max(sim.peakLoads, loading)
	var list []roller.Engine
	for inc, e := range sim.engines {
		list = append(list, roller.Engine{
			Incarnation: inc, Service: "s", Models: map[string]int{model: 1}, Pinned: e.pinned, Reachable: !e.unreachable,
			Utilization: sim.utilization,
		})
	}
	for _, a := range sim.roller.Plan(sim.now, list, map[string]int{model: sim.newest}) {
		switch a := a.(type) {
		case roller.Order:
			sim.send(a)
		case roller.Drain:
			sim.away[a.Incarnation] = true
			sim.peakAway = max(sim.peakAway, len(sim.away))
		case roller.Done:
			delete(sim.away, a.Incarnation)
		case roller.RequestReport:
			sim.report(a.Incarnation)
		}
	}
}

// report sends a report as of some time ago.
func (sim *simulation) report(incarnation string) {
	e := sim.engines[incarnation]
	version, busy := e.version, e.loadingVersion != 0
	if busy = busy || sim.now.Sub(e.versionAt) < sim.reportDelay; busy {
		version = min(version, sim.newest-1)
	}
	sim.roller.ReceiveReport(sim.now, incarnation, roller.Report{Models: map[string]int{model: version}, Orders: e.orderCount, Busy: busy}, !e.unreachable)
}

// run steps until every reachable engine has the newest version, and returns how
// long that took.
func (sim *simulation) run(limit time.Duration) time.Duration {
	sim.t.Helper()
	from := sim.now
	for sim.now.Sub(from) < limit {
		sim.step()
		done := true
		for _, e := range sim.engines {
			done = done && (e.unreachable || e.version == sim.newest)
		}
		if done {
			return sim.now.Sub(from)
		}
	}
	sim.t.Fatalf("after %v a reachable engine still has old weights", limit)
	return 0
}

func TestRollingUpdateCompletesInTime(t *testing.T) {
	sim := newSimulation(t, 1, 18)
	sim.newest = 2
	if took := sim.run(12 * time.Second); took > 10500*time.Millisecond {
		t.Errorf("the rolling update took %v; requests may start on old weights for at most 12 s, less the queueing delay at engines", took)
	}
	if sim.peakLoads > 3 {
		t.Errorf("%d concurrent loads, the weight store supports 3", sim.peakLoads)
	}
	if sim.orderCount != 18 {
		t.Errorf("%d orders for 18 engines, want 18", sim.orderCount)
	}
}

// A roll-out over hundreds of engines takes as long as the weight store needs, though
// reports are old, if the other engines have room for the requests meanwhile. If they
// haven't, no more engines than may load are taken away, and one that drains.
func TestRolloutOfHundredsOfEnginesFillsTheWeightStore(t *testing.T) {
	const n, parallel = 240, 48
	for _, tc := range []struct {
		utilization float64
		most        time.Duration
		away        int
	}{
		// 5 loads of 1.2 s one after the other, and a drain and a report of 0.3 s.
		{0.2, 7500 * time.Millisecond, parallel * 4 / 3},
		{0.9, 11 * time.Second, parallel + 1},
	} {
		sim := newSimulation(t, 5, n)
		sim.reportDelay, sim.utilization = 250*time.Millisecond, tc.utilization
		sim.newest = 2
		if took := sim.run(30 * time.Second); took > tc.most {
			t.Errorf("with a utilization of %.1f the roll-out took %v, want at most %v", tc.utilization, took, tc.most)
		}
		if sim.peakLoads > parallel+1 { // a load may take a step longer than its slot
			t.Errorf("%d concurrent loads, the weight store supports %d", sim.peakLoads, parallel)
		}
		if sim.peakAway > tc.away {
			t.Errorf("with a utilization of %.1f %d engines were away at once, want at most %d", tc.utilization, sim.peakAway, tc.away)
		}
	}
}

// Guards against stuck or downgraded engines when responses are lost: an unanswered
// order may have been accepted, or may be executed seconds later, after newer ones.
func TestLostResponsesAndDelayedOrders(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 12)
		sim.lossRate = 0.3
		for v := 2; v < 6; v++ {
			sim.newest = v
			for range 60 + sim.rnd.IntN(60) {
				sim.step()
			}
		}
		sim.lossRate = 0
		sim.run(40 * time.Second)
	}
}

func TestVersionAnnouncedDuringUpdateIsLoadedDirectly(t *testing.T) {
	sim := newSimulation(t, 2, 12)
	sim.newest = 2
	for range 60 {
		sim.step()
	}
	sim.newest = 3
	sim.run(14 * time.Second)
	if sim.orderCount >= 24 {
		t.Errorf("%d orders: no engine skipped the intermediate version", sim.orderCount)
	}
}

// Guards against unreachable engines that occupy slots of the weight store until
// their orders time out.
func TestUnreachableEnginesTakeNoLoadSlot(t *testing.T) {
	sim := newSimulation(t, 3, 18)
	for i := range 5 {
		sim.engines[fmt.Sprintf("e%02d", i)].unreachable = true
	}
	sim.newest = 2
	if took := sim.run(14 * time.Second); took > 12*time.Second {
		t.Errorf("the rolling update of 13 engines took %v, want at most 12 s", took)
	}
}

func TestOrderWaitsForPinnedRequests(t *testing.T) {
	sim := newSimulation(t, 4, 2)
	for _, e := range sim.engines {
		e.pinned = 1
	}
	sim.newest = 2
	for range 10 {
		sim.step()
	}
	if sim.orderCount != 0 {
		t.Fatal("an engine with pinned requests got an order")
	}
	for _, e := range sim.engines {
		e.pinned = 0
	}
	sim.run(5 * time.Second)
}

func TestOldestWeightsAreReplacedFirst(t *testing.T) {
	r := roller.New()
	engines := []roller.Engine{
		{Incarnation: "a", Service: "s", Models: map[string]int{model: 2}, Reachable: true},
		{Incarnation: "b", Service: "s", Models: map[string]int{model: 2}, Reachable: true},
		{Incarnation: "c", Service: "s", Models: map[string]int{model: 2}, Reachable: true},
		{Incarnation: "d", Service: "s", Models: map[string]int{model: 1}, Running: 9, Reachable: true},
	}
	actions := r.Plan(start, engines, map[string]int{model: 3})
	if d, ok := actions[0].(roller.Drain); !ok || d.Incarnation != "d" {
		t.Fatalf("the first action is %#v, want a drain of the engine with the oldest weights", actions[0])
	}
}

// Guards against a roll-out that takes a third of a small service away at once, although
// little of its memory is in use: its engines read long prompts.
func TestRolloutOfSmallServiceKeepsItsCapacity(t *testing.T) {
	for _, n := range []int{12, 18} {
		sim := newSimulation(t, 6, n)
		sim.reportDelay, sim.utilization = 250*time.Millisecond, 0.1
		sim.newest = 2
		sim.run(14 * time.Second)
		if most := n/4 + 1; sim.peakAway > most {
			t.Errorf("%d of %d engines were away at once, want at most %d", sim.peakAway, n, most)
		}
	}
}

// pause lets time pass in which no order can be sent, and the engines go on.
func (sim *simulation) pause(d time.Duration) { sim.now = sim.now.Add(d) }

// Guards against an order right after a pause to an engine whose drain began before it: the
// other nodes have sent it work again since.
func TestDrainBeginsAnewAfterPause(t *testing.T) {
	sim := newSimulation(t, 7, 4)
	for _, e := range sim.engines {
		e.pinned = 1
	}
	sim.newest = 2
	for range 3 {
		sim.step()
	}
	drained := len(sim.away)
	if drained == 0 || sim.orderCount > 0 {
		t.Fatalf("%d engines drained, %d orders before the pause", drained, sim.orderCount)
	}
	clear(sim.away)
	sim.pause(8 * time.Second)
	sim.step()
	if len(sim.away) == 0 || sim.orderCount > 0 {
		t.Errorf("%d engines drained, %d orders right after the pause, want drains only", len(sim.away), sim.orderCount)
	}
	for _, e := range sim.engines {
		e.pinned = 0
	}
	sim.run(6 * time.Second)
}

// Guards against engines whose order counts as failed after a pause, though they have the new
// weights: they would be drained again.
func TestOrderCompletedDuringPauseIsDone(t *testing.T) {
	sim := newSimulation(t, 8, 2)
	sim.newest = 2
	for sim.orderCount < 2 {
		sim.step()
	}
	sim.pause(15 * time.Second)
	clear(sim.away)
	for range 40 {
		sim.step()
	}
	if sim.orderCount > 2 || sim.peakAway > 2 {
		t.Errorf("%d orders for 2 engines", sim.orderCount)
	}
	if len(sim.away) > 0 {
		t.Errorf("engines %v were drained again", sim.away)
	}
}

// Guards against an order for no model and version 0 to a drained engine, whose report shows
// that it has the newest weights.
func TestDrainedEngineWithNewestWeightsGetsNoOrder(t *testing.T) {
	r := roller.New()
	engines := []roller.Engine{{Incarnation: "a", Service: "s", Models: map[string]int{model: 1}, Reachable: true}}
	newest := map[string]int{model: 2}
	r.Plan(start, engines, newest)
	r.ReceiveReport(start, "a", roller.Report{Models: map[string]int{model: 2}, Orders: 1}, true)
	var done bool
	for i := range 20 {
		for _, a := range r.Plan(start.Add(time.Duration(i)*100*time.Millisecond), engines, newest) {
			switch a := a.(type) {
			case roller.Order:
				t.Errorf("engine with the newest weights got the order %+v", a)
			case roller.Done:
				done = a == roller.Done{Incarnation: "a", Model: model, Version: 2}
			}
		}
	}
	if !done {
		t.Error("the drain wasn't ended")
	}
}

// Guards against a leader in graceful shutdown that releases the leadership in the midst of a
// roll-out, which then stands still, and against one that waits for an engine out of reach.
func TestSettledOnlyWithoutOrdersInProgressOrDue(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	newest := map[string]int{model: 2}
	if !sim.roller.Settled(newest) {
		t.Error("not settled without engines")
	}
	sim.step()
	if !sim.roller.Settled(map[string]int{model: 1}) || sim.roller.Settled(newest) {
		t.Error("settled is not whether an order is due")
	}
	sim.newest = 2
	sim.step()
	sim.engines["e03"].unreachable = true
	for last := false; !last; sim.step() {
		last = true
		for _, e := range sim.engines {
			last = last && (e.unreachable || e.version == 2)
		}
		if !last && sim.roller.Settled(newest) {
			t.Fatal("settled during the roll-out")
		}
	}
	sim.run(time.Second)
	for range 100 {
		sim.step()
	}
	if !sim.roller.Settled(newest) {
		t.Error("not settled after the roll-out, with one engine out of reach")
	}
}
