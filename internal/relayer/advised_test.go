package relayer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// guide advises one upstream, or nothing.
type guide struct {
	mu      sync.Mutex
	key     uint32
	verdict placer.Verdict
	asked   []uint64
	during  func()
}

func (g *guide) Ask(_ context.Context, question uint64, _ *placer.Query) (placer.Advice, placer.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = append(g.asked, question)
	if g.during != nil {
		g.during()
	}
	return placer.Advice{Upstream: g.key, Misses: 10, By: "hub"}, g.verdict
}

func ask(b *bench) *reply {
	r := &reply{}
	b.relay.Serve(context.Background(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/safe/", Path: "/safe/", Host: "h", Key: "key", Timeout: 2 * time.Second, Arrived: time.Now(),
		Prompt: &traffic.Prompt{Model: "m", Tokens: 10, Parts: []traffic.Part{{ID: "a", Tokens: 10}}},
	}, r)
	return r
}

func TestAdviceIsFollowed(t *testing.T) {
	scripts := make([]testlib.Script, 6)
	for i := range scripts {
		scripts[i] = ok
	}
	b := newBench(t, scripts...)
	g := &guide{key: placer.Key("u4@1"), verdict: placer.Placed}
	b.relay.Adviser = g
	for i := range 8 {
		if r := ask(b); r.status != 200 {
			t.Fatalf("status %d", r.status)
		}
		if n := len(b.ups[4].Received()); n != i+1 {
			t.Fatalf("%d of %d requests reached the advised upstream", n, i+1)
		}
	}
	// Advice that isn't there, or that names nobody, costs the caller nothing.
	g.verdict = placer.Unanswered
	if r := ask(b); r.status != 200 {
		t.Errorf("without advice: status %d", r.status)
	}
	g.verdict, g.key = placer.Placed, 1
	if r := ask(b); r.status != 200 {
		t.Errorf("with advice for an unknown upstream: status %d", r.status)
	}
	if plain := b.serve(t.Context(), "/safe/"); plain.status != 200 || len(g.asked) != 10 {
		t.Errorf("plain request: status %d, %d questions in all", plain.status, len(g.asked))
	}
	for i := 1; i < len(g.asked); i++ {
		if g.asked[i] <= g.asked[i-1] {
			t.Errorf("numbers of questions %v don't rise", g.asked)
		}
	}
}

// The node in charge counts its advice until a report covers the question; a
// report that covers it too soon would make the request vanish.
func TestQuestionIsSettledOnceItsOutcomeShows(t *testing.T) {
	b := newBench(t, ok)
	g := &guide{key: placer.Key("u0@1"), verdict: placer.Placed}
	var during uint64
	g.during = func() { during = b.relay.TakeReport().Settled }
	b.relay.Adviser = g
	ask(b)
	if question := g.asked[0]; during >= question {
		t.Errorf("while question %d is open, %d is told as settled", question, during)
	}
	if after := b.relay.TakeReport().Settled; after < g.asked[0] {
		t.Errorf("question %d isn't settled after its end, but %d", g.asked[0], after)
	}
}

// Where the node in charge knows of no room, the request isn't sent on what this
// node believes. It waits a little, and then it is told truly that it hasn't run.
func TestWithoutRoomARequestWaitsAndIsRefused(t *testing.T) {
	b := newBench(t, ok)
	b.relay.Adviser = &guide{verdict: placer.Wait}
	r := ask(b)
	if r.kind != failure.NoUpstream || r.after <= 0 || b.sent() != 0 {
		t.Errorf("kind %s, back after %v, %d sent", r.kind, r.after, b.sent())
	}
	if e := b.hook.LastEntry(); e.Data["event"] != "refused" || e.Data["adviser"] != "hub" {
		t.Errorf("the log doesn't tell who knew of no room: %v", e.Data)
	}
}
