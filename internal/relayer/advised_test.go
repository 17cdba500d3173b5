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

// fakeAdviser returns one fixed upstream or verdict as its advice.
type fakeAdviser struct {
	mu      sync.Mutex
	key     uint32
	verdict placer.Verdict
	asked   []uint64
	output  int // expected by the last question
	onAsk   func()
}

func (g *fakeAdviser) Ask(_ context.Context, question uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked, g.output = append(g.asked, question), q.ExpectedOutput
	if g.onAsk != nil {
		g.onAsk()
	}
	return placer.Advice{Upstream: g.key, Misses: 10, Coordinator: "hub"}, g.verdict
}

func servePrompt(b *fixture) *reply { return servePromptWithin(b, 2*time.Second) }

func servePromptWithin(b *fixture, timeout time.Duration) *reply {
	r := &reply{}
	b.relay.Serve(context.Background(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/safe/", Path: "/safe/", Host: "h", Key: "key", Timeout: timeout, Arrived: time.Now(),
		ExpectedOutput: 35, Prompt: &traffic.Prompt{Model: "m", Tokens: 10, Parts: []traffic.Part{{ID: "a", Tokens: 10}}},
	}, r)
	return r
}

func TestAdviceIsFollowed(t *testing.T) {
	scripts := make([]testlib.Script, 6)
	for i := range scripts {
		scripts[i] = ok
	}
	b := newFixture(t, scripts...)
	g := &fakeAdviser{key: placer.Key("u4@1"), verdict: placer.Placed}
	b.relay.Adviser = g
	for i := range 8 {
		if r := servePrompt(b); r.status != 200 {
			t.Fatalf("status %d", r.status)
		}
		if g.output != 35 {
			t.Errorf("the question expects %d tokens of output, the caller 35", g.output)
		}
		if n := len(b.ups[4].Received()); n != i+1 {
			t.Fatalf("%d of %d requests reached the advised upstream", n, i+1)
		}
	}
	// Missing advice, or advice for an unknown upstream, must not fail the request.
	g.verdict = placer.Unanswered
	if r := servePrompt(b); r.status != 200 {
		t.Errorf("without advice: status %d", r.status)
	}
	g.verdict, g.key = placer.Placed, 1
	if r := servePrompt(b); r.status != 200 {
		t.Errorf("with advice for an unknown upstream: status %d", r.status)
	}
	if plain := b.serve(t.Context(), "/safe/"); plain.status != 200 || len(g.asked) != 10 {
		t.Errorf("plain request: status %d, %d questions in all", plain.status, len(g.asked))
	}
	for i := 1; i < len(g.asked); i++ {
		if g.asked[i] <= g.asked[i-1] {
			t.Errorf("question numbers %v don't increase", g.asked)
		}
	}
}

// The coordinator counts its advice as load until a report settles the question.
// A report that settles it before the loads include its outcome would hide the
// request.
func TestQuestionIsSettledOnceItsOutcomeIsReported(t *testing.T) {
	b := newFixture(t, ok)
	g := &fakeAdviser{key: placer.Key("u0@1"), verdict: placer.Placed}
	var during uint64
	g.onAsk = func() { during = b.relay.TakeReport().Settled }
	b.relay.Adviser = g
	servePrompt(b)
	if question := g.asked[0]; during >= question {
		t.Errorf("while question %d is open, %d is reported as settled", question, during)
	}
	if after := b.relay.TakeReport().Settled; after < g.asked[0] {
		t.Errorf("question %d has ended, but only %d is reported as settled", g.asked[0], after)
	}
}

// If the coordinator finds no capacity, the node must not place the request by its
// own state. The request waits for a limited time and is then refused as not run.
func TestRequestIsRefusedWhenCoordinatorFindsNoCapacity(t *testing.T) {
	b := newFixture(t, ok)
	b.relay.Adviser = &fakeAdviser{verdict: placer.NoCapacity}
	r := servePrompt(b)
	if r.kind != failure.NoUpstream || r.after <= 0 || b.sent() != 0 {
		t.Errorf("kind %s, retry after %v, %d sent", r.kind, r.after, b.sent())
	}
	if e := b.hook.LastEntry(); e.Data["event"] != "refused" || e.Data["adviser"] != "hub" {
		t.Errorf("the log line lacks the node that found no capacity: %v", e.Data)
	}
}

// Guards against load that is counted twice for good: a question whose asking panicked stayed
// open, so that no later one was reported as settled.
func TestQuestionOfPanickedRequestIsSettled(t *testing.T) {
	b := newFixture(t, ok)
	g := &fakeAdviser{key: placer.Key("u0@1"), verdict: placer.Placed, onAsk: func() { panic("broken adviser") }}
	b.relay.Adviser = g
	func() {
		defer func() { _ = recover() }()
		servePrompt(b)
	}()
	if after := b.relay.TakeReport().Settled; len(g.asked) != 1 || after < g.asked[0] {
		t.Errorf("questions %v, up to %d reported as settled", g.asked, after)
	}
}
