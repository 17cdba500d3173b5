package issuer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/issuer"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// yard is several issuers before engines of both kinds, with pauses, lapses
// and lost replies. A paused issuer sends what it had decided when it wakes.
type yard struct {
	rnd      *rand.Rand
	now      time.Time
	issuers  []*issuer.Issuer
	paused   []time.Time
	stash    [][]issuer.Action
	holder   int
	token    uint64
	until    time.Time
	page     issuer.Page
	version  uint64
	engines  map[string]*engine
	flying   []delivery
	loads    int
	problems []string
	most     int
}

type engine struct {
	checks  bool
	model   string
	leaving bool
	token   uint64
	loading time.Time
	target  string
}

type delivery struct {
	at   time.Time
	send issuer.Send
}

var timing = issuer.Timing{Order: 2 * time.Second, Load: 10 * time.Second, Lease: 10 * time.Second}

func newYard(seed uint64, engines, loads int) *yard {
	y := &yard{rnd: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_800_000_000, 0), holder: -1, engines: map[string]*engine{}, loads: loads}
	var goals []issuer.Goal
	for i := range engines {
		name := fmt.Sprint("e", i)
		y.engines[name] = &engine{checks: i%2 == 0, model: "old"}
		g := issuer.Goal{Engine: name, Model: "m", Version: "v2"}
		if i%5 == 0 {
			g.DrainFrom = y.now.Add(40 * time.Second)
		}
		goals = append(goals, g)
	}
	for range 3 {
		s := issuer.New(timing)
		s.Handle(y.now, issuer.Goals{Goals: goals, MaxLoads: loads})
		y.issuers = append(y.issuers, s)
	}
	y.paused = make([]time.Time, 3)
	y.stash = make([][]issuer.Action, 3)
	return y
}

func (y *yard) run(d time.Duration) {
	for end := y.now.Add(d); y.now.Before(end); y.now = y.now.Add(100 * time.Millisecond) {
		y.deliver()
		for i := range y.issuers {
			if y.now.Before(y.paused[i]) {
				continue
			}
			for _, a := range y.stash[i] {
				y.perform(i, a)
			}
			y.stash[i] = nil
			for name, e := range y.engines {
				y.issuers[i].Handle(y.now, issuer.Observed{Engine: name, Model: e.model, Version: "v2", Leaving: e.leaving})
			}
			y.handle(i, issuer.Ticked{})
		}
	}
}

func (y *yard) handle(i int, e issuer.Event) {
	for _, a := range append([]issuer.Action(nil), y.issuers[i].Handle(y.now, e)...) {
		if y.rnd.IntN(200) == 0 { // the process stops before it acts
			y.paused[i] = y.now.Add(time.Duration(y.rnd.IntN(20)) * time.Second)
		}
		if y.now.Before(y.paused[i]) {
			y.stash[i] = append(y.stash[i], a)
			continue
		}
		y.perform(i, a)
	}
}

func (y *yard) perform(i int, a issuer.Action) {
	lost := y.rnd.IntN(20) == 0
	switch a := a.(type) {
	case issuer.Campaign:
		if y.holder >= 0 && y.now.Before(y.until) {
			return
		}
		y.holder, y.until = i, y.now.Add(timing.Lease)
		y.token++
		if !lost {
			y.handle(i, issuer.Elected{Token: y.token, Until: y.until})
		}
	case issuer.Renew:
		if y.holder != i || !y.now.Before(y.until) {
			y.handle(i, issuer.LeadershipLost{})
			return
		}
		y.until = y.now.Add(timing.Lease)
		if !lost {
			y.handle(i, issuer.Renewed{Until: y.until})
		}
	case issuer.ReadPage:
		y.handle(i, issuer.PageRead{Page: y.page, Version: y.version, Failed: lost})
	case issuer.WritePage:
		if a.Version != y.version {
			y.handle(i, issuer.PageWritten{Failed: true})
			return
		}
		y.version++
		y.page = a.Page
		y.handle(i, issuer.PageWritten{Version: y.version, Failed: lost})
	case issuer.Send:
		if !y.now.Before(a.NotAfter) {
			return // the shell gives up an order whose time has passed
		}
		at := y.now.Add(time.Duration(y.rnd.Int64N(int64(a.NotAfter.Sub(y.now)))))
		y.flying = append(y.flying, delivery{at: at, send: a})
	}
}

func (y *yard) deliver() {
	var rest []delivery
	for _, d := range y.flying {
		if y.now.Before(d.at) {
			rest = append(rest, d)
			continue
		}
		y.receive(y.engines[d.send.Engine], d.send.Order)
	}
	y.flying = rest
	loading := 0
	for _, e := range y.engines {
		if e.target != "" && !y.now.Before(e.loading) {
			e.model, e.target = e.target, ""
		}
		if e.target != "" {
			loading++
		}
	}
	y.most = max(y.most, loading)
	if loading > y.loads {
		y.problems = append(y.problems, fmt.Sprintf("%d loads at once", loading))
	}
}

func (y *yard) receive(e *engine, o wire.Order) {
	if o.FencingToken < e.token {
		if !e.checks {
			y.problems = append(y.problems, fmt.Sprintf("order of token %d after one of %d", o.FencingToken, e.token))
		}
		return
	}
	e.token = o.FencingToken
	switch {
	case o.Kind == wire.OrderDrain:
		e.leaving = true
	case e.model != o.Model:
		e.target, e.loading = o.Model, y.now.Add(time.Duration(1+y.rnd.IntN(4))*time.Second)
	}
}

func TestOrdersOfRivalIssuers(t *testing.T) {
	for _, c := range []struct{ engines, loads int }{{18, 3}, {12, 2}} {
		most := 0
		for seed := range uint64(60) {
			y := newYard(seed, c.engines, c.loads)
			y.run(4 * time.Minute)
			if len(y.problems) > 0 {
				t.Fatalf("%d engines, seed %d: %v", c.engines, seed, y.problems[0])
			}
			most = max(most, y.most)
			for name, e := range y.engines {
				if e.model != "m" && !e.leaving {
					t.Fatalf("%d engines, seed %d: %s never reached its goal", c.engines, seed, name)
				}
			}
		}
		if most != c.loads {
			t.Errorf("%d engines: at most %d loads at once, the limit %d is never used", c.engines, most, c.loads)
		}
	}
}
