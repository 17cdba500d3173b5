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

// engine is a fake that carries out orders as the users' engines do: one at a
// time, each only if its count of orders is the expected one.
type engine struct {
	version, orders int
	loading         int // version, 0 if none
	until           time.Time
	dead            bool
	fixed           int
}

// yard is a fleet of engines, a roller, and a network that loses answers and
// delays orders.
type yard struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Time
	roller  *roller.Roller
	engines map[string]*engine
	newest  int
	late    []late
	lose    float64
	mostOut int
	orders  int
}

type late struct {
	at time.Time
	o  roller.Order
}

func newYard(t *testing.T, seed uint64, n int) *yard {
	y := &yard{
		t: t, rnd: rand.New(rand.NewPCG(seed, 3)), now: start, roller: roller.New(), engines: map[string]*engine{}, newest: 1,
	}
	for i := range n {
		y.engines[fmt.Sprintf("e%02d", i)] = &engine{version: 1}
	}
	return y
}

// accept carries an order out, or says that it conflicts.
func (y *yard) accept(o roller.Order) roller.Result {
	e := y.engines[o.Incarnation]
	switch {
	case e.loading == 0 && e.version >= o.Version:
		return roller.Holds
	case e.loading != 0 || e.orders != o.Expected:
		return roller.Conflicting
	}
	if o.Version < e.version {
		y.t.Fatalf("%s is ordered back from %d to %d", o.Incarnation, e.version, o.Version)
	}
	e.orders++
	e.loading, e.until = o.Version, y.now.Add(1200*time.Millisecond)
	return roller.Accepted
}

func (y *yard) send(o roller.Order) {
	y.orders++
	e := y.engines[o.Incarnation]
	switch {
	case e.dead:
		y.roller.RecordResult(y.now, o, roller.Failed)
	case y.rnd.Float64() < y.lose: // carried out later, after others
		y.late = append(y.late, late{at: y.now.Add(time.Duration(2000+y.rnd.IntN(10000)) * time.Millisecond), o: o})
		y.roller.RecordResult(y.now, o, roller.Unanswered)
	case y.rnd.Float64() < y.lose: // accepted, the answer is lost
		y.accept(o)
		y.roller.RecordResult(y.now, o, roller.Unanswered)
	default:
		y.roller.RecordResult(y.now, o, y.accept(o))
	}
}

func (y *yard) step() {
	y.now = y.now.Add(50 * time.Millisecond)
	var rest []late
	for _, l := range y.late {
		if y.now.Before(l.at) {
			rest = append(rest, l)
			continue
		}
		y.accept(l.o)
	}
	y.late = rest
	loading := 0
	for _, e := range y.engines {
		if e.loading != 0 && !y.now.Before(e.until) {
			e.version, e.loading = e.loading, 0
		}
		if e.loading != 0 {
			loading++
		}
	}
	y.mostOut = max(y.mostOut, loading)
	var list []roller.Engine
	for inc, e := range y.engines {
		list = append(list, roller.Engine{
			Incarnation: inc, Service: "s", Models: map[string]int{model: e.version}, Fixed: e.fixed, Reachable: !e.dead,
		})
	}
	for _, a := range y.roller.Plan(y.now, list, map[string]int{model: y.newest}) {
		switch a := a.(type) {
		case roller.Order:
			y.send(a)
		case roller.Ask:
			e := y.engines[a.Incarnation]
			y.roller.ReceiveReport(y.now, a.Incarnation, roller.Report{
				Models: map[string]int{model: e.version}, Orders: e.orders, Busy: e.loading != 0,
			}, !e.dead)
		}
	}
}

// run steps until every living engine has the newest version and returns how
// long that took.
func (y *yard) run(most time.Duration) time.Duration {
	y.t.Helper()
	from := y.now
	for y.now.Sub(from) < most {
		y.step()
		done := true
		for _, e := range y.engines {
			done = done && (e.dead || e.version == y.newest)
		}
		if done {
			return y.now.Sub(from)
		}
	}
	y.t.Fatalf("after %v some engine has old weights", most)
	return 0
}

func TestAllEnginesGetNewWeightsInTime(t *testing.T) {
	y := newYard(t, 1, 18)
	y.newest = 2
	if took := y.run(12 * time.Second); took > 10500*time.Millisecond {
		t.Errorf("the roll-out took %v; requests begin on old weights for 12 s at most, less what waits at engines", took)
	}
	if y.mostOut > 3 {
		t.Errorf("%d engines loaded at once, the weight store bears 3", y.mostOut)
	}
	if y.orders != 18 {
		t.Errorf("%d orders for 18 engines", y.orders)
	}
}

// Orders without answer may be accepted, or be carried out seconds later, after
// newer ones.
func TestLostAnswersAndLateOrders(t *testing.T) {
	for seed := range uint64(40) {
		y := newYard(t, seed, 12)
		y.lose = 0.3
		for v := 2; v < 6; v++ {
			y.newest = v
			for range 60 + y.rnd.IntN(60) {
				y.step()
			}
		}
		y.lose = 0
		y.run(40 * time.Second)
	}
}

func TestVersionNamedMeanwhileIsLoadedAtOnce(t *testing.T) {
	y := newYard(t, 2, 12)
	y.newest = 2
	for range 60 {
		y.step()
	}
	y.newest = 3
	y.run(14 * time.Second)
	if y.orders >= 24 {
		t.Errorf("%d orders: no engine went straight to the newest version", y.orders)
	}
}

// Engines that can't be reached once held the places of the weight store for
// the time of their orders.
func TestUnreachableEnginesTakeNoPlace(t *testing.T) {
	y := newYard(t, 3, 18)
	for i := range 5 {
		y.engines[fmt.Sprintf("e%02d", i)].dead = true
	}
	y.newest = 2
	if took := y.run(14 * time.Second); took > 12*time.Second {
		t.Errorf("the roll-out over 13 engines took %v", took)
	}
}

func TestEngineIsDrainedOfWhatCannotGoOnElsewhere(t *testing.T) {
	y := newYard(t, 4, 2)
	for _, e := range y.engines {
		e.fixed = 1
	}
	y.newest = 2
	for range 10 {
		y.step()
	}
	if y.orders != 0 {
		t.Fatal("an engine was ordered while it ran what can't go on elsewhere")
	}
	for _, e := range y.engines {
		e.fixed = 0
	}
	y.run(5 * time.Second)
}

func TestOldestWeightsGoFirst(t *testing.T) {
	r := roller.New()
	engines := []roller.Engine{
		{Incarnation: "a", Service: "s", Models: map[string]int{model: 2}, Reachable: true},
		{Incarnation: "b", Service: "s", Models: map[string]int{model: 2}, Reachable: true},
		{Incarnation: "c", Service: "s", Models: map[string]int{model: 2}, Reachable: true},
		{Incarnation: "d", Service: "s", Models: map[string]int{model: 1}, Running: 9, Reachable: true},
	}
	actions := r.Plan(start, engines, map[string]int{model: 3})
	if d, ok := actions[0].(roller.Drain); !ok || d.Incarnation != "d" {
		t.Fatalf("the first action is %#v, want the engine with the oldest weights to drain", actions[0])
	}
}
