package adviser_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/adviser"
	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// network delivers datagrams between the advisers of a test.
type network struct {
	mu           sync.Mutex
	handlers     map[string]map[broadcaster.Kind]broadcaster.Handler
	unresponsive map[string]bool
	asked        chan string // addresses to which questions were sent
}

type transport struct {
	n    *network
	addr string
}

func (p transport) Handle(kind broadcaster.Kind, handler broadcaster.Handler) {
	if p.n.handlers[p.addr] == nil {
		p.n.handlers[p.addr] = map[broadcaster.Kind]broadcaster.Handler{}
	}
	p.n.handlers[p.addr][kind] = handler
}

func (p transport) Send(address string, kind broadcaster.Kind, v any) error {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	p.n.mu.Lock()
	drop := p.n.unresponsive[address]
	p.n.mu.Unlock()
	if kind == broadcaster.Question {
		p.n.asked <- address
	}
	if drop {
		return nil
	}
	return p.n.handlers[address][kind](p.addr, b)
}

// fakeCoordinator returns its version as advice, which identifies the node.
type fakeCoordinator struct {
	version      int
	withoutStore *string // a node that doesn't read the store
}

func (p fakeCoordinator) ReadsStore(node string) bool { return node != *p.withoutStore }

func (p fakeCoordinator) Advise(_ string, _ uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	return placer.Advice{Version: p.version, Misses: q.Prompt.Tokens}, placer.Placed
}

type cluster struct {
	network     *network
	clk         *testlib.Clock
	nodes       []*adviser.Adviser
	aggregators []string // addresses, the coordinator first
	hook        *logtest.Hook
	// withoutStore is a node that doesn't read the store.
	withoutStore string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	var nodes []traffic.Node
	for i := range 3 {
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: fmt.Sprint("a", i), MilliCores: 100 - i})
	}
	fleet := roster.New(nodes)
	w := &cluster{
		network: &network{handlers: map[string]map[broadcaster.Kind]broadcaster.Handler{}, unresponsive: map[string]bool{}, asked: make(chan string, 10)},
		clk:     testlib.NewClock(time.Unix(100, 0)), aggregators: []string{"a0", "a1"},
	}
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	w.hook = hook
	for i := range nodes {
		a := adviser.New(w.clk, log, nodes[i].Name, func() *roster.Roster { return fleet })
		a.Attach(transport{n: w.network, addr: nodes[i].Peer}, fakeCoordinator{version: i + 1, withoutStore: &w.withoutStore})
		w.nodes = append(w.nodes, a)
	}
	return w
}

var query = &placer.Query{Prompt: &traffic.Prompt{Tokens: 70, Parts: []traffic.Part{{ID: "x", Tokens: 70}}}}

// ask returns the version in the advice, 0 for none, and the addresses that were asked.
// It advances the clock until an answer or a timeout.
func (w *cluster) ask(t *testing.T, node int, number uint64) (version int, asked string) {
	t.Helper()
	done := make(chan int, 1)
	go func() {
		a, verdict := w.nodes[node].Ask(context.Background(), number, query)
		if verdict == placer.Placed && a.Misses != 70 {
			t.Errorf("the query arrived at the other node as %+v", a)
		}
		if verdict != placer.Placed {
			a.Version = 0
		}
		done <- a.Version
	}()
	for {
		select {
		case version = <-done:
			var all []string
			for len(w.network.asked) > 0 {
				all = append(all, <-w.network.asked)
			}
			return version, strings.Join(all, " ")
		case <-time.After(5 * time.Millisecond):
			w.clk.Step(5 * time.Millisecond)
		}
	}
}

func TestCoordinatorIsAsked(t *testing.T) {
	w := newCluster(t)
	if v, asked := w.ask(t, 2, 1); v != 1 || asked != "a0" {
		t.Errorf("advice %d of %s", v, asked)
	}
	if v, asked := w.ask(t, 0, 1); v != 0 || asked != "" {
		t.Errorf("the coordinator asks %q", asked)
	}
}

func TestNextAggregatorIsAskedAfterMisses(t *testing.T) {
	w := newCluster(t)
	w.network.unresponsive["a0"] = true
	for i := range 2 {
		if v, asked := w.ask(t, 2, uint64(i)); v != 2 || asked != "a0 a1" {
			t.Fatalf("question %d: advice %d of %s, want that of a1 after the timeout of a0", i, v, asked)
		}
	}
	if v, asked := w.ask(t, 2, 3); v != 2 || asked != "a1" {
		t.Errorf("after two misses: advice %d of %s", v, asked)
	}
	if e := w.hook.LastEntry(); e == nil || e.Data["event"] != "adviserLost" || e.Data["peer"] != "n0" {
		t.Errorf("log line %v", e)
	}
	w.network.mu.Lock()
	w.network.unresponsive["a0"] = false
	w.network.mu.Unlock()
	w.clk.Step(time.Second)
	if v, asked := w.ask(t, 2, 4); v != 1 || asked != "a0" {
		t.Errorf("after the skip duration: advice %d of %s", v, asked)
	}
	if e := w.hook.LastEntry(); e.Data["event"] != "adviserBack" {
		t.Errorf("log line %v", e.Data)
	}
}

func TestLateAnswerIsIgnored(t *testing.T) {
	w := newCluster(t)
	b, err := msgpack.Marshal(&struct{ Number uint64 }{99})
	if err != nil {
		t.Fatal(err)
	}
	if err := w.network.handlers["a2"][broadcaster.Answer]("a0", b); err != nil {
		t.Errorf("late answer: %v", err)
	}
	if err := w.network.handlers["a2"][broadcaster.Answer]("a0", []byte("x")); errors.Cause(err) == nil {
		t.Error("an unreadable answer is accepted")
	}
}

// An aggregator that can't read the store doesn't learn of new engines and weights.
func TestAggregatorThatReadsStoreIsPreferred(t *testing.T) {
	w := newCluster(t)
	w.withoutStore = "n0"
	if v, asked := w.ask(t, 2, 1); v != 2 || asked != "a1" {
		t.Errorf("advice %d of %s", v, asked)
	}
	// If the other one does not answer, its advice is better than none.
	w.network.mu.Lock()
	w.network.unresponsive["a1"] = true
	w.network.mu.Unlock()
	w.ask(t, 2, 2)
	w.ask(t, 2, 3)
	if v, asked := w.ask(t, 2, 4); v != 1 || asked != "a0" {
		t.Errorf("with the other aggregator unresponsive: advice %d of %s", v, asked)
	}
}
