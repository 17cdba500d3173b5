package adviser_test

import (
	"context"
	"fmt"
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

// network carries datagrams between the advisers of a test.
type network struct {
	mu    sync.Mutex
	takes map[string]map[broadcaster.Kind]broadcaster.Handler
	dead  map[string]bool
	sent  chan string // addresses that were written to
}

type port struct {
	n    *network
	addr string
}

func (p port) Handle(kind broadcaster.Kind, take broadcaster.Handler) {
	if p.n.takes[p.addr] == nil {
		p.n.takes[p.addr] = map[broadcaster.Kind]broadcaster.Handler{}
	}
	p.n.takes[p.addr][kind] = take
}

func (p port) Send(address string, kind broadcaster.Kind, v any) error {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	p.n.mu.Lock()
	dead := p.n.dead[address]
	p.n.mu.Unlock()
	if kind == broadcaster.Question {
		p.n.sent <- address
	}
	if dead {
		return nil
	}
	return p.n.takes[address][kind](p.addr, b)
}

// place gives the node's own number as advice.
type place struct {
	version    int
	uninformed *string // a node that doesn't read the store
}

func (p place) ReadsStore(node string) bool { return node != *p.uninformed }

func (p place) Advise(_ string, _ uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	return placer.Advice{Version: p.version, Misses: q.Prompt.Tokens}, placer.Placed
}

type world struct {
	net   *network
	clk   *testlib.Clock
	nodes []*adviser.Adviser
	hubs  []string // addresses, the one in charge first
	hook  *logtest.Hook
	// uninformed is a node that doesn't read the store.
	uninformed string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	var nodes []traffic.Node
	for i := range 3 {
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: fmt.Sprint("a", i), MilliCores: 100 - i})
	}
	fleet := roster.New(nodes)
	w := &world{
		net: &network{takes: map[string]map[broadcaster.Kind]broadcaster.Handler{}, dead: map[string]bool{}, sent: make(chan string, 10)},
		clk: testlib.NewClock(time.Unix(100, 0)), hubs: []string{"a0", "a1"},
	}
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	w.hook = hook
	for i := range nodes {
		a := adviser.New(w.clk, log, nodes[i].Name, func() *roster.Roster { return fleet })
		a.Attach(port{n: w.net, addr: nodes[i].Peer}, place{version: i + 1, uninformed: &w.uninformed})
		w.nodes = append(w.nodes, a)
	}
	return w
}

var query = &placer.Query{Prompt: &traffic.Prompt{Tokens: 70, Parts: []traffic.Part{{ID: "x", Tokens: 70}}}}

// ask returns the version in the advice, 0 for none, and who was asked. Time
// passes if nobody answers.
func (w *world) ask(t *testing.T, node int, number uint64) (version int, asked string) {
	t.Helper()
	done := make(chan int, 1)
	go func() {
		a, verdict := w.nodes[node].Ask(context.Background(), number, query)
		if verdict == placer.Placed && a.Misses != 70 {
			t.Errorf("the query reached the other node as %+v", a)
		}
		if verdict != placer.Placed {
			a.Version = 0
		}
		done <- a.Version
	}()
	for {
		select {
		case version = <-done:
			select {
			case asked = <-w.net.sent:
			default:
			}
			return version, asked
		case <-time.After(5 * time.Millisecond):
			w.clk.Step(5 * time.Millisecond)
		}
	}
}

func TestTheNodeInChargeIsAsked(t *testing.T) {
	w := newWorld(t)
	if v, asked := w.ask(t, 2, 1); v != 1 || asked != "a0" {
		t.Errorf("advice %d of %s", v, asked)
	}
	if v, asked := w.ask(t, 0, 1); v != 0 || asked != "" {
		t.Errorf("the node in charge asks %q", asked)
	}
}

func TestTheNextNodeIsAskedWhereTheFirstIsSilent(t *testing.T) {
	w := newWorld(t)
	w.net.dead["a0"] = true
	for i := range 2 {
		if v, asked := w.ask(t, 2, uint64(i)); v != 0 || asked != "a0" {
			t.Fatalf("question %d: advice %d of %s", i, v, asked)
		}
	}
	if v, asked := w.ask(t, 2, 3); v != 2 || asked != "a1" {
		t.Errorf("after two misses: advice %d of %s", v, asked)
	}
	if e := w.hook.LastEntry(); e == nil || e.Data["event"] != "adviserLost" || e.Data["peer"] != "n0" {
		t.Errorf("log line %v", e)
	}
	w.net.mu.Lock()
	w.net.dead["a0"] = false
	w.net.mu.Unlock()
	w.clk.Step(time.Second)
	if v, asked := w.ask(t, 2, 4); v != 1 || asked != "a0" {
		t.Errorf("after a rest: advice %d of %s", v, asked)
	}
	if e := w.hook.LastEntry(); e.Data["event"] != "adviserBack" {
		t.Errorf("log line %v", e.Data)
	}
}

func TestLateAnswerIsNobodys(t *testing.T) {
	w := newWorld(t)
	b, err := msgpack.Marshal(&struct{ Number uint64 }{99})
	if err != nil {
		t.Fatal(err)
	}
	if err := w.net.takes["a2"][broadcaster.Answer]("a0", b); err != nil {
		t.Errorf("late answer: %v", err)
	}
	if err := w.net.takes["a2"][broadcaster.Answer]("a0", []byte("x")); errors.Cause(err) == nil {
		t.Error("an unreadable answer passes")
	}
}

// A hub that is cut off from the store doesn't hear of new engines and weights.
func TestTheHubThatReadsTheStoreIsAsked(t *testing.T) {
	w := newWorld(t)
	w.uninformed = "n0"
	if v, asked := w.ask(t, 2, 1); v != 2 || asked != "a1" {
		t.Errorf("advice %d of %s", v, asked)
	}
	// Where the other one is silent, its word is better than none.
	w.net.mu.Lock()
	w.net.dead["a1"] = true
	w.net.mu.Unlock()
	w.ask(t, 2, 2)
	w.ask(t, 2, 3)
	if v, asked := w.ask(t, 2, 4); v != 1 || asked != "a0" {
		t.Errorf("with the other hub silent: advice %d of %s", v, asked)
	}
}
