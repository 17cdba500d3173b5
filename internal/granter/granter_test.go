package granter

import (
	"context"
	"math"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// link delivers datagrams between the granters of a test, unless the receiver is silent.
type link struct {
	mu       sync.Mutex
	handlers map[string]map[broadcaster.Kind]broadcaster.Handler
	silent   map[string]bool
	sent     map[string]int // by receiver
}

type port struct {
	*link
	name string
}

func (p port) Send(address string, kind broadcaster.Kind, v any) error {
	b, err := packer.Pack(v)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.sent[address]++
	handler, silent := p.handlers[address][kind], p.silent[address]
	p.mu.Unlock()
	if silent || handler == nil {
		return nil
	}
	return handler(p.name, b)
}

func (p port) Handle(kind broadcaster.Kind, handler broadcaster.Handler) {
	if p.handlers[p.name] == nil {
		p.handlers[p.name] = map[broadcaster.Kind]broadcaster.Handler{}
	}
	p.handlers[p.name][kind] = handler
}

// decider admits requests of up to 10 units.
type decider struct{ knows bool }

func (d decider) Grant(_ string, cost float64) (limiter.Decision, bool) {
	return limiter.Decision{OK: cost <= 10, RetryAfter: time.Second, Level: 5, Fraction: 0.5}, d.knows
}

// GrantUpstream admits requests to upstreams that take at least one a second.
func (d decider) GrantUpstream(s ratetracker.Statement) (limiter.Decision, bool) {
	return limiter.Decision{OK: s.Rate >= 1, RetryAfter: time.Second, Level: 5, Fraction: 0.5}, d.knows
}

func newLink(nodes []traffic.Node, knows bool) (*Granter, *link) {
	l := &link{handlers: map[string]map[broadcaster.Kind]broadcaster.Handler{}, silent: map[string]bool{}, sent: map[string]int{}}
	fleet := roster.New(nodes)
	var asking *Granter
	for _, n := range nodes {
		g := New(systemclock.New(), n.Name, func() *roster.Roster { return fleet })
		g.Attach(port{l, n.Name}, decider{knows})
		if n.Name == "c" {
			asking = g
		}
	}
	return asking, l
}

// threeNodes has the aggregators a and b.
func threeNodes(protocol int) []traffic.Node {
	return []traffic.Node{
		{Name: "a", Peer: "a", MilliCores: 3, Protocol: protocol},
		{Name: "b", Peer: "b", MilliCores: 2, Protocol: protocol},
		{Name: "c", Peer: "c", MilliCores: 1, Protocol: protocol},
	}
}

// Guards against decisions that don't reach the node that asks.
func TestAggregatorDecides(t *testing.T) {
	g, _ := newLink(threeNodes(traffic.CurrentProtocol), true)
	for cost, admitted := range map[float64]bool{10: true, 11: false} {
		d, ok := g.Ask(t.Context(), "w", cost)
		if want := (limiter.Decision{OK: admitted, RetryAfter: time.Second, Level: 5, Fraction: 0.5}); !ok || d != want {
			t.Errorf("cost %v: got %+v, decided %v", cost, d, ok)
		}
	}
}

// Guards against requests that wait for a dead or cut off aggregator, again and again.
func TestSilentAggregatorIsSkipped(t *testing.T) {
	g, l := newLink(threeNodes(traffic.CurrentProtocol), true)
	l.silent["a"] = true
	if _, ok := g.Ask(t.Context(), "w", 1); ok {
		t.Error("a silent aggregator has decided")
	}
	if d, ok := g.Ask(t.Context(), "w", 1); !ok || !d.OK || l.sent["a"] != 1 {
		t.Errorf("decision %+v, %v, after %d requests to the silent aggregator", d, ok, l.sent["a"])
	}
	l.silent["b"] = true
	g.Ask(t.Context(), "w", 1)
	if _, ok := g.Ask(t.Context(), "w", 1); ok || l.sent["b"] != 2 {
		t.Errorf("decided %v after %d requests to b", ok, l.sent["b"])
	}
}

// Guards against questions to nodes that can't decide: those of an earlier release, those that
// don't know the use of limits, and this node itself.
func TestNobodyDecides(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	g, l := newLink(threeNodes(traffic.ProtocolUsage-1), true)
	if _, ok := g.Ask(ctx, "w", 1); ok || len(l.sent) > 0 {
		t.Errorf("decided %v, sent %v", ok, l.sent)
	}
	if g, _ = newLink(threeNodes(traffic.CurrentProtocol), false); g != nil {
		if _, ok := g.Ask(ctx, "w", 1); ok {
			t.Error("a node without knowledge has decided")
		}
	}
}

// Guards against requests that wait in vain for an aggregator that has just started, while the other
// one could decide.
func TestAggregatorWithoutKnowledgeIsSkipped(t *testing.T) {
	g, l := newLink(threeNodes(traffic.CurrentProtocol), true)
	l.handlers["a"][broadcaster.GrantRequest] = func(_ string, body []byte) error {
		var r request
		if err := packer.New(body).Unpack(&r); err != nil {
			return err
		}
		return port{l, "a"}.Send("c", broadcaster.GrantResponse, &response{Number: r.Number})
	}
	if _, ok := g.Ask(t.Context(), "w", 1); ok {
		t.Error("a node without knowledge has decided")
	}
	if d, ok := g.Ask(t.Context(), "w", 1); !ok || !d.OK || l.sent["a"] != 1 {
		t.Errorf("decision %+v, %v, after %d requests to the node without knowledge", d, ok, l.sent["a"])
	}
}

// Guards against requests that are decided, and answered with a time to return, by a malformed
// response.
func TestMalformedResponseDoesNotDecide(t *testing.T) {
	for name, r := range map[string]response{
		"fraction not a number": {Decided: true, Fraction: math.NaN()},
		"negative fraction":     {Decided: true, Fraction: -0.5},
		"fraction above 1":      {Decided: true, OK: true, Fraction: 2},
		"level not a number":    {Decided: true, OK: true, Level: math.NaN()},
		"infinite level":        {Decided: true, OK: true, Level: math.Inf(1)},
		"negative time":         {Decided: true, RetryAfterMS: -1},
		"time of years":         {Decided: true, RetryAfterMS: math.MaxInt64},
	} {
		g, l := newLink(threeNodes(traffic.CurrentProtocol), true)
		var handleErr error
		l.handlers["a"][broadcaster.GrantRequest] = func(string, []byte) error {
			r.Number = 1
			handleErr = port{l, "a"}.Send("c", broadcaster.GrantResponse, &r)
			return nil
		}
		if d, ok := g.Ask(t.Context(), "w", 1); ok || handleErr == nil {
			t.Errorf("%s: decided %+v, error %v", name, d, handleErr)
		}
	}
}

// Guards against decisions about, and charges for, requests of a malformed cost.
func TestMalformedRequestGetsNoAnswer(t *testing.T) {
	for _, cost := range []float64{math.NaN(), math.Inf(1), -1} {
		_, l := newLink(threeNodes(traffic.CurrentProtocol), true)
		if err := (port{l, "c"}).Send("a", broadcaster.GrantRequest, &request{Number: 1, Workspace: "w", Cost: cost}); err == nil || l.sent["c"] > 0 {
			t.Errorf("cost %v: error %v, %d responses", cost, err, l.sent["c"])
		}
	}
}

// requestOfSix has the fields of protocols six and seven, in their order.
type requestOfSix struct {
	Number    uint64
	Workspace string
	Cost      float64
}

// Nodes of two releases run side by side during each upgrade.
func TestMessagesOfProtocolSix(t *testing.T) {
	q, a := requestOfSix{1, "w", 2.5}, response{3, true, true, 4, 5.5, 0.5}
	for name, m := range map[string]any{"protocol-6-grant-request": &q, "protocol-6-grant-response": &a} {
		b, err := packer.Pack(m)
		if err != nil {
			t.Fatal(err)
		}
		got := reflect.New(reflect.TypeOf(m).Elem())
		if err := packer.New(testlib.Golden(t, name, b)).Unpack(got.Interface()); err != nil || !reflect.DeepEqual(got.Interface(), m) {
			t.Errorf("%s: got %+v, error %v", name, got.Interface(), err)
		}
	}
}

func TestMessagesOfProtocolEight(t *testing.T) {
	q := request{Number: 1, Statement: ratetracker.Statement{Upstream: 2, Rate: 3.5, AgeMS: 4}}
	b, err := packer.Pack(&q)
	if err != nil {
		t.Fatal(err)
	}
	var got request
	if err := packer.New(testlib.Golden(t, "protocol-8-grant-request", b)).Unpack(&got); err != nil || got != q {
		t.Errorf("got %+v, error %v", got, err)
	}
	var old requestOfSix
	if err := packer.New(b).Unpack(&old); err != nil || old != (requestOfSix{Number: 1}) {
		t.Errorf("an earlier release reads %+v, error %v", old, err)
	}
	q = request{}
	if b, err = packer.Pack(&requestOfSix{1, "w", 2.5}); err != nil {
		t.Fatal(err)
	}
	if err := packer.New(b).Unpack(&q); err != nil || q != (request{Number: 1, Workspace: "w", Cost: 2.5}) {
		t.Errorf("this release reads %+v of an earlier one, error %v", q, err)
	}
}

// Guards against LIMIT: two nodes decide about the rate of one upstream.
func TestFirstAggregatorDecidesAboutUpstreams(t *testing.T) {
	g, l := newLink(threeNodes(traffic.CurrentProtocol), true)
	for rate, admitted := range map[float64]bool{1: true, 0.5: false} {
		d, ok := g.AskUpstream(t.Context(), ratetracker.Statement{Upstream: 1, Rate: rate})
		if !ok || d.OK != admitted {
			t.Errorf("rate %v: decision %+v, %v", rate, d, ok)
		}
	}
	if l.sent["a"] != 2 || l.sent["b"] != 0 {
		t.Errorf("asked %v", l.sent)
	}
	fleet := roster.New(threeNodes(traffic.CurrentProtocol))
	first := New(systemclock.New(), "a", func() *roster.Roster { return fleet })
	first.Attach(port{l, "a"}, decider{true})
	if d, ok := first.AskUpstream(t.Context(), ratetracker.Statement{Upstream: 1, Rate: 1}); !ok || !d.OK || l.sent["b"] != 0 {
		t.Errorf("decision %+v, %v of the first aggregator itself; asked %v", d, ok, l.sent)
	}
	g, l = newLink(threeNodes(traffic.ProtocolUpstreamRates-1), true)
	if _, ok := g.AskUpstream(t.Context(), ratetracker.Statement{Upstream: 1, Rate: 1}); ok || len(l.sent) > 0 {
		t.Errorf("nodes of an earlier release were asked: %v", l.sent)
	}
}
