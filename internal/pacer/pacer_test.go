package pacer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/pacer"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

const (
	upstream = "u"
	window   = 4 * time.Second
	step     = 10 * time.Millisecond
	// noticeTime is how long nodes take to notice that another one doesn't answer, or does again.
	noticeTime = 2500 * time.Millisecond
)

// fleet is a number of nodes, of which some may not reach each other.
type fleet struct {
	clk   *testlib.Clock
	log   *logtest.Hook
	nodes []*node
}

// node implements pacer.Members and pacer.Exchanger.
type node struct {
	f      *fleet
	info   member.Info
	pacer  *pacer.Pacer
	side   int  // nodes reach those on the same side
	seen   int  // the side that the members know of
	down   bool // it doesn't run
	gone   bool // the members know that
	silent bool // it answers nobody
}

func newFleet(nodes int, seed uint64) *fleet {
	f := &fleet{clk: testlib.NewClock(time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC))}
	for i := range nodes {
		f.nodes = append(f.nodes, &node{f: f})
		f.start(i, seed)
	}
	return f
}

func (f *fleet) start(i int, seed uint64) {
	log, hook := logtest.NewNullLogger()
	f.log = hook
	n := f.nodes[i]
	name := fmt.Sprint("n", i)
	n.info = member.Info{Name: name, Address: name, BootID: uint64(f.clk.Now().UnixNano()), State: member.Alive}
	n.pacer = pacer.New(f.clk, log, rand.New(rand.NewPCG(seed, uint64(i))), n, n)
	n.down, n.gone = false, false
}

func (n *node) Self() member.Info { return n.info }
func (n *node) Known() int        { return len(n.f.nodes) }

func (n *node) Live() []member.Info {
	var out []member.Info
	for _, o := range n.f.nodes {
		if o == n || o.seen == n.seen && !o.gone {
			out = append(out, o.info)
		}
	}
	return out
}

func (n *node) ExchangeWithin(_ context.Context, addr string, m *peerlink.Message, _ time.Duration) (*peerlink.Message, error) {
	for _, o := range n.f.nodes {
		if o.info.Address == addr && o.side == n.side && !o.down && !o.silent {
			return o.pacer.HandleMessage(m), nil
		}
	}
	return nil, errors.New("no answer")
}

func header(rate string) http.Header {
	h := http.Header{}
	if rate != "" {
		h.Set(wire.HeaderRate, rate)
	}
	return h
}

// Guards against LIMIT: nodes that together send an upstream more than it has said that it takes,
// while they are partitioned, restart, or don't answer; and a rate that isn't used.
func TestNodesTogetherKeepToTheRate(t *testing.T) {
	const (
		length = 40 * time.Second
		from   = 12 * time.Second
	)
	for name, c := range map[string]struct {
		nodes  int
		happen func(f *fleet, at time.Duration, seed uint64)
		least  float64 // of the rate
	}{
		"one node":    {1, func(*fleet, time.Duration, uint64) {}, 0.85},
		"three nodes": {3, func(*fleet, time.Duration, uint64) {}, 0.85},
		"many nodes":  {24, func(*fleet, time.Duration, uint64) {}, 0.85},
		"partition": {12, func(f *fleet, at time.Duration, _ uint64) {
			for i, n := range f.nodes {
				switch {
				case i%3 > 0:
				case at == from:
					n.side = 1
				case at == from+noticeTime:
					n.seen = 1
				case at == 2*from:
					n.side = 0
				case at == 2*from+noticeTime:
					n.seen = 0
				}
			}
		}, 0.6},
		"restarts in turn": {6, func(f *fleet, at time.Duration, seed uint64) {
			for i, n := range f.nodes {
				switch down := from + time.Duration(i)*noticeTime; at {
				case down:
					n.down, n.gone = true, true // as planned
				case down + time.Second:
					f.start(i, seed+100)
				}
			}
		}, 0.6},
		"crashes": {6, func(f *fleet, at time.Duration, _ uint64) {
			for i, n := range f.nodes[:3] {
				switch down := from + time.Duration(i)*2*noticeTime; at {
				case down:
					n.down = true
				case down + noticeTime:
					n.gone = true
				}
			}
		}, 0.4},
		"no answers": {6, func(f *fleet, at time.Duration, _ uint64) {
			for _, n := range f.nodes {
				n.silent = at >= from && at < 2*from
				n.gone = at >= from+noticeTime && at < 2*from+noticeTime
			}
		}, 0.5},
	} {
		for _, rate := range []float64{0.5, 2, 10, 40} {
			for seed := range uint64(4) {
				f := newFleet(c.nodes, seed)
				order := rand.New(rand.NewPCG(seed, 99))
				var sent []time.Duration
				for at := time.Duration(0); at < length; at += step {
					c.happen(f, at, seed)
					for _, i := range order.Perm(len(f.nodes)) {
						n := f.nodes[i]
						if n.down {
							continue
						}
						if len(n.pacer.Unavailable()) == 0 && n.pacer.Allow(t.Context(), upstream) {
							sent = append(sent, at)
							n.pacer.Record(upstream, http.StatusOK, header(fmt.Sprint(rate)))
						}
					}
					f.clk.Step(step)
				}
				sent = sent[c.nodes:] // by which the nodes learn of the rate
				first := 0
				for i, at := range sent {
					for at-sent[first] >= window {
						first++
					}
					if most := 1.5*rate*window.Seconds() + 5; float64(i-first+1) > most {
						t.Errorf("%s, rate %v, seed %d: %d requests in the 4 s to %v, want at most %v", name, rate, seed, i-first+1, at, most)
						break
					}
				}
				if least := c.least * rate * length.Seconds(); float64(len(sent)) < least-2 {
					t.Errorf("%s, rate %v, seed %d: %d requests, want at least %v", name, rate, seed, len(sent), least)
				}
			}
		}
	}
}

// Guards against a limit that stays after the upstream has stopped naming one, and against a value
// that is no rate and stops an upstream.
func TestRateHoldsUntilResponseWithoutOne(t *testing.T) {
	f := newFleet(1, 1)
	p := f.nodes[0].pacer
	allowed := func() int {
		n := 0
		for range 100 {
			if p.Allow(t.Context(), upstream) {
				n++
			}
		}
		return n
	}
	for _, odd := range []string{"", "-1", "NaN", "Inf", "many"} {
		if p.Record(upstream, http.StatusOK, header(odd)); allowed() != 100 {
			t.Errorf("rate %q limits an upstream", odd)
		}
	}
	p.Record(upstream, http.StatusOK, header("1.5"))
	if n := allowed(); n > 5 || len(p.Unavailable()) != 1 || !p.Allow(t.Context(), "other") {
		t.Errorf("%d of 100 allowed at once, unavailable: %v", n, p.Unavailable())
	}
	if p.Record(upstream, http.StatusOK, header("")); allowed() != 100 || len(p.Unavailable()) != 0 {
		t.Errorf("the rate holds on; unavailable: %v", p.Unavailable())
	}
	p.Record(upstream, http.StatusOK, header("0"))
	f.clk.Step(time.Minute)
	if n := allowed(); n > 5 || n == 0 {
		t.Errorf("%d requests at a rate of 0 in a moment, want some, which ask for the rate, and at most five", n)
	}
}
