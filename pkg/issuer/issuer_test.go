package issuer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/issuer"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// simulation runs several issuers against engines with and without fencing token
// checks. Processes pause, leases expire, responses are lost, and some of these writes
// are executed late if their condition still holds. A paused issuer performs its
// pending actions when it continues.
type simulation struct {
	rnd            *rand.Rand
	now            time.Time
	issuers        []*issuer.Issuer
	paused         []time.Time
	delayedActions [][]issuer.Action
	leaseHolder    int
	token          uint64
	leaseUntil     time.Time
	page           issuer.Page
	version        uint64
	engines        map[string]*engine
	inFlight       []delivery
	lateWrites     []lateWrite
	maxLoads       int
	problems       []string
	peakLoads      int
}

type engine struct {
	checksToken  bool
	model        string
	leaving      bool
	token        uint64
	loadedAt     time.Time
	loadingModel string
}

type delivery struct {
	at   time.Time
	send issuer.Send
}

// lateWrite is a write without a response that the platform executes later.
type lateWrite struct {
	at      time.Time
	execute func()
}

var timing = issuer.Timing{Order: 2 * time.Second, Load: 10 * time.Second, Lease: 10 * time.Second}

func newSimulation(seed uint64, engines, maxLoads int) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_800_000_000, 0), leaseHolder: -1, engines: map[string]*engine{}, maxLoads: maxLoads}
	var goals []issuer.Goal
	for i := range engines {
		name := fmt.Sprint("e", i)
		sim.engines[name] = &engine{checksToken: i%2 == 0, model: "old"}
		g := issuer.Goal{Engine: name, Model: "m", Version: "v2"}
		if i%5 == 0 {
			g.DrainFrom = sim.now.Add(40 * time.Second)
		}
		goals = append(goals, g)
	}
	for range 3 {
		s := issuer.New(timing)
		s.Handle(sim.now, issuer.Goals{Goals: goals, MaxLoads: maxLoads})
		sim.issuers = append(sim.issuers, s)
	}
	sim.paused = make([]time.Time, 3)
	sim.delayedActions = make([][]issuer.Action, 3)
	return sim
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(100 * time.Millisecond) {
		sim.deliver()
		sim.executeLateWrites()
		for i := range sim.issuers {
			if sim.now.Before(sim.paused[i]) {
				continue
			}
			for _, a := range sim.delayedActions[i] {
				sim.perform(i, a)
			}
			sim.delayedActions[i] = nil
			for name, e := range sim.engines {
				sim.issuers[i].Handle(sim.now, issuer.Observed{Engine: name, Model: e.model, Version: "v2", Leaving: e.leaving})
			}
			sim.handle(i, issuer.Tick{})
		}
	}
}

func (sim *simulation) handle(i int, e issuer.Event) {
	for _, a := range append([]issuer.Action(nil), sim.issuers[i].Handle(sim.now, e)...) {
		if sim.rnd.IntN(200) == 0 { // the process pauses before it performs the action
			sim.paused[i] = sim.now.Add(time.Duration(sim.rnd.IntN(20)) * time.Second)
		}
		if sim.now.Before(sim.paused[i]) {
			sim.delayedActions[i] = append(sim.delayedActions[i], a)
			continue
		}
		sim.perform(i, a)
	}
}

func (sim *simulation) executeLateWrites() {
	pending := sim.lateWrites[:0]
	for _, w := range sim.lateWrites {
		if sim.now.Before(w.at) {
			pending = append(pending, w)
		} else {
			w.execute()
		}
	}
	sim.lateWrites = pending
}

// performLate reports whether a write gets no response and is executed late.
func (sim *simulation) performLate(i int, a issuer.Action) bool {
	if sim.rnd.IntN(40) != 0 {
		return false
	}
	sent := sim.now
	var execute func()
	switch a := a.(type) {
	case issuer.Campaign:
		execute = func() {
			until := sent.Add(timing.Lease) // the lease was granted before
			if sim.leaseHolder >= 0 && sim.now.Before(sim.leaseUntil) || !sim.now.Before(until) {
				return
			}
			sim.leaseHolder, sim.leaseUntil = i, until
			sim.token++
		}
	case issuer.Renew:
		execute = func() {
			if sim.leaseHolder == i && sim.now.Before(sim.leaseUntil) {
				sim.leaseUntil = sim.now.Add(timing.Lease)
			}
		}
	case issuer.WritePage:
		sim.handle(i, issuer.PageWritten{Failed: true})
		execute = func() {
			if a.Version == sim.version {
				sim.version++
				sim.page = a.Page
			}
		}
	default:
		return false
	}
	at := sent.Add(time.Second + time.Duration(sim.rnd.Int64N(int64(5*time.Second))))
	sim.lateWrites = append(sim.lateWrites, lateWrite{at: at, execute: execute})
	return true
}

func (sim *simulation) perform(i int, a issuer.Action) {
	if sim.performLate(i, a) {
		return
	}
	lost := sim.rnd.IntN(20) == 0
	switch a := a.(type) {
	case issuer.Campaign:
		if sim.leaseHolder >= 0 && sim.now.Before(sim.leaseUntil) {
			return
		}
		sim.leaseHolder, sim.leaseUntil = i, sim.now.Add(timing.Lease)
		sim.token++
		if !lost {
			sim.handle(i, issuer.Elected{Token: sim.token, Until: sim.leaseUntil})
		}
	case issuer.Renew:
		if sim.leaseHolder != i || !sim.now.Before(sim.leaseUntil) {
			sim.handle(i, issuer.LeadershipLost{})
			return
		}
		sim.leaseUntil = sim.now.Add(timing.Lease)
		if !lost {
			sim.handle(i, issuer.Renewed{Until: sim.leaseUntil})
		}
	case issuer.ReadPage:
		sim.handle(i, issuer.PageRead{Page: sim.page, Version: sim.version, Failed: lost})
	case issuer.WritePage:
		if a.Version != sim.version {
			sim.handle(i, issuer.PageWritten{Failed: true})
			return
		}
		sim.version++
		sim.page = a.Page
		sim.handle(i, issuer.PageWritten{Version: sim.version, Failed: lost})
	case issuer.Send:
		if !sim.now.Before(a.NotAfter) {
			return // the caller abandons an expired order
		}
		at := sim.now.Add(time.Duration(sim.rnd.Int64N(int64(a.NotAfter.Sub(sim.now)))))
		sim.inFlight = append(sim.inFlight, delivery{at: at, send: a})
	}
}

func (sim *simulation) deliver() {
	var rest []delivery
	for _, d := range sim.inFlight {
		if sim.now.Before(d.at) {
			rest = append(rest, d)
			continue
		}
		sim.receive(sim.engines[d.send.Engine], d.send.Order)
	}
	sim.inFlight = rest
	loading := 0
	for _, e := range sim.engines {
		if e.loadingModel != "" && !sim.now.Before(e.loadedAt) {
			e.model, e.loadingModel = e.loadingModel, ""
		}
		if e.loadingModel != "" {
			loading++
		}
	}
	sim.peakLoads = max(sim.peakLoads, loading)
	if loading > sim.maxLoads {
		sim.problems = append(sim.problems, fmt.Sprintf("%d concurrent loads", loading))
	}
}

func (sim *simulation) receive(e *engine, o wire.Order) {
	if o.FencingToken < e.token {
		if !e.checksToken {
			sim.problems = append(sim.problems, fmt.Sprintf("order with fencing token %d arrived after one with %d", o.FencingToken, e.token))
		}
		return
	}
	e.token = o.FencingToken
	switch {
	case o.Kind == wire.OrderDrain:
		e.leaving = true
	case e.model != o.Model:
		e.loadingModel, e.loadedAt = o.Model, sim.now.Add(time.Duration(1+sim.rnd.IntN(4))*time.Second)
	}
}

// Guards against orders of a former leader that arrive after newer ones, and
// against more concurrent loads than allowed, when leaders pause or lose responses,
// also those of writes that are executed late.
func TestConcurrentIssuers(t *testing.T) {
	for _, c := range []struct{ engines, loads int }{{18, 3}, {12, 2}} {
		peak := 0
		for seed := range uint64(60) {
			sim := newSimulation(seed, c.engines, c.loads)
			sim.run(4 * time.Minute)
			if len(sim.problems) > 0 {
				t.Fatalf("%d engines, seed %d: %v", c.engines, seed, sim.problems[0])
			}
			peak = max(peak, sim.peakLoads)
			for name, e := range sim.engines {
				if e.model != "m" && !e.leaving {
					t.Fatalf("%d engines, seed %d: %s did not reach its goal", c.engines, seed, name)
				}
			}
		}
		if peak != c.loads {
			t.Errorf("%d engines: at most %d concurrent loads, want the limit %d to be reached", c.engines, peak, c.loads)
		}
	}
}
