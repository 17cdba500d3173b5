package relayer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against an answer that isn't delivered whole and once, a second attempt at the
// same upstream, and a canceled attempt that stays connected or counts as a failure.
func TestSecondAttemptWinsAgainstSilentUpstream(t *testing.T) {
	for path, first := range map[string]func(*hedgeFixture) testlib.Script{
		"/safe/":   func(b *hedgeFixture) testlib.Script { return b.silent },
		"/stream/": func(b *hedgeFixture) testlib.Script { return b.begun },
	} {
		want := map[string]string{"/safe/": "ok", "/stream/": wholeStream}[path]
		t.Run(path, func(t *testing.T) {
			b := newHedgeFixture(t, systemclock.New(), 0.2, path, 2)
			t.Parallel()
			for range 4 { // a circuit breaker opens after three failures
				b.armed.Store(false)
				b.arm(first(b), responding)
				r := b.serveWithin(t.Context(), path, unlimited)
				if r.status != 200 || r.body.String() != want || r.starts != 1 || r.aborted {
					t.Fatalf("status %d, %v, %d starts, body %q", r.status, r.kind, r.starts, r.body.String())
				}
				b.awaitClosed(t, 1)
				b.check(t, 2, "won")
				b.warmed = b.sent()
			}
			for _, e := range b.hook.AllEntries() {
				if event := e.Data["event"]; event == "attemptBroken" || event == "hedged" && e.Data["first"] == e.Data["upstream"] {
					t.Errorf("unexpected line %v", e.Data)
				}
			}
			for i := range b.ups {
				if s := b.relay.Status(fmt.Sprintf("u%d@1", i)); !s.Reachable || s.Running != 0 {
					t.Errorf("upstream %d: %+v", i, s)
				}
			}
		})
	}
}

// Guards against a lost or doubled answer when the first attempt responds while the second
// one is on its way, or fails.
func TestOutcomesOfHedgedRequests(t *testing.T) {
	const late = 100 * time.Millisecond
	for name, c := range map[string]struct {
		path        string
		first, next func(*hedgeFixture) testlib.Script
		attempts    int
		status      int
		kind        failure.Kind
		body        string
		aborted     bool
		sends       int
		hedge       any
	}{
		"first responds": {path: "/safe/", first: afterSecond(late, ok), next: (*hedgeFixture).silence, status: 200, body: "ok", sends: 2, hedge: "lost"},
		"first stream responds": {
			path: "/stream/", first: afterSecond(late, streaming(0)), next: (*hedgeFixture).silence,
			status: 200, body: wholeStream, sends: 2, hedge: "lost",
		},
		"first is reset, second responds later": {
			path: "/safe/", first: afterSecond(late, resetting), next: script(after(late, ok)), status: 200, body: "ok", sends: 2, hedge: "won",
		},
		"first has a server error, second responds later": {
			path: "/safe/", first: afterSecond(late, failing), next: script(after(late, ok)), status: 200, body: "ok", sends: 2, hedge: "won",
		},
		"second is reset, first responds later": {
			path: "/safe/", first: afterSecond(late, ok), next: script(resetting), status: 200, body: "ok", sends: 2, hedge: "lost",
		},
		"second is refused, first responds later": {
			path: "/safe/", first: afterSecond(late, ok), next: script(refusing), status: 200, body: "ok", sends: 2, hedge: "lost",
		},
		"both are reset": {
			path: "/safe/", first: afterSecond(late, resetting), next: script(resetting), kind: failure.UpstreamFailed, sends: 2, hedge: "lost",
		},
		"both streams break": {
			path: "/stream/", first: afterSecond(late, resetting), next: script(after(late, unstamped)), kind: failure.UpstreamFailed, sends: 2, hedge: "lost",
		},
		"both have server errors": {
			path: "/safe/", first: afterSecond(late, failing), next: script(failing), status: 500, body: "bad", sends: 2, hedge: "lost",
		},
		"first is reset, second has a server error": {
			path: "/safe/", first: afterSecond(late, resetting), next: script(failing), status: 500, body: "bad", sends: 2, hedge: "lost",
		},
		"both are reset, and a third attempt is allowed": {
			path: "/safe/", first: afterSecond(late, resetting), next: onceThen(resetting, ok), attempts: 3, status: 200, body: "ok", sends: 3, hedge: "lost",
		},
		"winner breaks off": {
			path: "/stream/", first: (*hedgeFixture).silence, next: script(streaming(3)), status: 200, body: wholeStream[:len(wholeStream)/2], aborted: true, sends: 2, hedge: "won",
		},
		"winner breaks off, and a third attempt is allowed": {
			path: "/stream/", first: (*hedgeFixture).silence, next: onceThen(streaming(3), streaming(0)), attempts: 3, status: 200, body: wholeStream, sends: 3, hedge: "won",
		},
		"first responds and stalls, and a third attempt is allowed": {
			path: "/stream/", first: stalling(late), next: (*hedgeFixture).silenceOnce, attempts: 3, status: 200, body: wholeStream, sends: 3, hedge: "lost",
		},
		"first responds after more than its patience": {
			path: "/safe/", first: afterSecond(1100*time.Millisecond, ok), next: (*hedgeFixture).silence, status: 200, body: "ok", sends: 2, hedge: "lost",
		},
		"second stream arrives in pieces": {path: "/stream/", first: (*hedgeFixture).silence, next: script(inPieces), status: 200, body: wholeStream, sends: 2, hedge: "won"},
		"unsafe request":                  {path: "/unsafe/", first: script(after(hedgeObjective, ok)), next: script(ok), status: 200, body: "ok", sends: 1},
		"stream that can't be resumed":    {path: "/once/", first: script(after(hedgeObjective, streaming(0))), next: script(ok), status: 200, body: wholeStream, sends: 1},
		"one attempt":                     {path: "/safe/", first: script(after(hedgeObjective, ok)), next: script(ok), attempts: 1, status: 200, body: "ok", sends: 1},
		"reset before the delay":          {path: "/safe/", first: script(resetting), next: script(ok), status: 200, body: "ok", sends: 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHedgeFixture(t, systemclock.New(), 0.2, c.path, max(c.attempts, 2))
			t.Parallel()
			if c.attempts > 0 {
				b.fleet.set(hedgeCatalog(c.attempts), b.boot.Elapsed())
			}
			b.arm(c.first(b), c.next(b))
			r := b.serveWithin(t.Context(), c.path, unlimited)
			if r.status != c.status || r.kind != c.kind || r.body.String() != c.body || r.starts != 1 || r.aborted != c.aborted {
				t.Errorf("status %d, %v, %d starts, aborted %t, body %q", r.status, r.kind, r.starts, r.aborted, r.body.String())
			}
			b.check(t, c.sends, c.hedge)
		})
	}
}

// Guards against two answers, or a mix of them, when both upstreams respond at the same
// moment.
func TestResponsesAtTheSameMomentAreNotMixed(t *testing.T) {
	for path, want := range map[string]string{"/safe/": "ok", "/stream/": wholeStream} {
		t.Run(path, func(t *testing.T) {
			b := newHedgeFixture(t, systemclock.New(), 0.2, path, 2)
			t.Parallel()
			for range 4 {
				second := make(chan struct{})
				b.armed.Store(false)
				b.arm(func(conn net.Conn, r testlib.Received) bool {
					<-second
					return responding(conn, r)
				}, func(conn net.Conn, r testlib.Received) bool {
					close(second)
					return responding(conn, r)
				})
				r := b.serveWithin(t.Context(), path, unlimited)
				if r.status != 200 || r.body.String() != want || r.starts != 1 || r.aborted {
					t.Errorf("status %d, %v, %d starts, body %q", r.status, r.kind, r.starts, r.body.String())
				}
			}
			if n := b.sent() - b.warmed; n != 8 {
				t.Errorf("%d sends, want 8", n)
			}
		})
	}
}

// Guards against extra attempts without the setting, in a shutdown, and while the
// coordinator finds no capacity.
func TestSlowRequestIsNotHedged(t *testing.T) {
	for name, c := range map[string]struct {
		share   float64
		prepare func(b *hedgeFixture)
	}{
		"no share":    {0, func(*hedgeFixture) {}},
		"spent share": {0.001, func(*hedgeFixture) {}},
		"shutdown": {0.2, func(b *hedgeFixture) {
			now := time.Now()
			b.relay.BeginShutdown(finisher.New(now, now.Add(unlimited), now.Add(2*unlimited)))
		}},
		"no other upstream": {0.2, func(b *hedgeFixture) {
			b.relay.SetUpstreams([]traffic.Upstream{{ID: "u0", StartedMS: 1, Service: "s", Address: b.ups[0].Addr, DataCentre: "a", Slots: 8}}, nil)
		}},
		"upstream started anew": {0.2, func(b *hedgeFixture) {
			same := traffic.Upstream{ID: "u0", StartedMS: 1, Service: "s", Address: b.ups[0].Addr, DataCentre: "a", Slots: 8}
			again := same
			again.StartedMS = 2
			b.relay.SetUpstreams([]traffic.Upstream{same, again}, nil)
		}},
		"recent refusal": {0.2, func(b *hedgeFixture) {
			b.arm(refusing, ok)
			b.serveWithin(context.Background(), "/safe/", unlimited)
			b.armed.Store(false)
			b.warmed = b.sent()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHedgeFixture(t, systemclock.New(), c.share, "/safe/", 2)
			t.Parallel()
			c.prepare(b)
			b.arm(after(hedgeObjective, ok), ok)
			if r := b.serveWithin(t.Context(), "/safe/", unlimited); r.status != 200 {
				t.Errorf("status %d, %v", r.status, r.kind)
			}
			b.check(t, 1, nil)
		})
	}
}

// Guards against more load on engines that have no room: the coordinator has placed the
// first attempt, and has no capacity for another.
func TestRequestIsNotHedgedWhenCoordinatorFindsNoCapacity(t *testing.T) {
	b := newHedgeFixture(t, systemclock.New(), 0.2, "/safe/", 2)
	g := &fakeAdviser{verdict: placer.Unanswered}
	b.relay.Adviser = g
	b.arm(func(conn net.Conn, r testlib.Received) bool {
		g.mu.Lock()
		g.verdict = placer.NoCapacity
		g.mu.Unlock()
		time.Sleep(hedgeObjective)
		return ok(conn, r)
	}, ok)
	if r := servePrompt(b.fixture); r.status != 200 || len(g.asked) != 2 {
		t.Errorf("status %d, %v, %d questions", r.status, r.kind, len(g.asked))
	}
	b.check(t, 1, nil)
}

// Guards against attempts that outlast their caller.
func TestBothAttemptsEndWithTheirCaller(t *testing.T) {
	for name, begin := range map[string]func(*hedgeFixture) testlib.Script{
		"/safe/":   func(b *hedgeFixture) testlib.Script { return b.silent },
		"/stream/": func(b *hedgeFixture) testlib.Script { return b.begun },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHedgeFixture(t, systemclock.New(), 0.2, name, 2)
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			b.arm(begin(b), func(conn net.Conn, r testlib.Received) bool {
				cancel()
				return begin(b)(conn, r)
			})
			r := b.serveWithin(ctx, name, unlimited)
			if r.kind != failure.CallerGone || r.starts != 1 {
				t.Errorf("kind %v, status %d, %d starts", r.kind, r.status, r.starts)
			}
			b.awaitClosed(t, 2)
			b.check(t, 2, "lost")
		})
	}
}

// Guards against a hedged request that its node's shutdown deadline doesn't end, and
// against one that a begun shutdown interrupts.
func TestHedgedRequestInShutdown(t *testing.T) {
	b := newHedgeFixture(t, systemclock.New(), 0.2, "/safe/", 2)
	shutDown := func() {
		now := time.Now()
		b.relay.BeginShutdown(finisher.New(now, now.Add(unlimited), now.Add(2*unlimited)))
	}
	b.arm(b.silent, func(conn net.Conn, r testlib.Received) bool {
		shutDown()
		return ok(conn, r)
	})
	if r := b.serveWithin(t.Context(), "/safe/", unlimited); r.status != 200 {
		t.Errorf("status %d, %v", r.status, r.kind)
	}
	b.check(t, 2, "won")

	b = newHedgeFixture(t, systemclock.New(), 0.2, "/safe/", 2)
	ctx, cancel := context.WithCancelCause(t.Context())
	b.arm(b.silent, func(conn net.Conn, r testlib.Received) bool {
		cancel(relayer.ErrShutdownDeadline)
		return b.silent(conn, r)
	})
	if r := b.serveWithin(ctx, "/safe/", unlimited); r.kind != failure.UpstreamFailed && r.kind != failure.Draining || r.starts != 1 {
		t.Errorf("kind %v, status %d", r.kind, r.status)
	}
	b.awaitClosed(t, 2)
	b.check(t, 2, "lost")
}

// Guards against a panic in one of two attempts that ends the process, blocks the node, or
// leaves an attempt running. The clock panics at each step of a hedged request once.
func TestPanicInHedgedRequestHarmsNoOther(t *testing.T) {
	for name, winner := range map[string]int{"first": 1, "second": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logged, panicked := 0, 0
			for n := int64(1); ; n++ {
				clk := &panickingClock{}
				b := newHedgeFixture(t, clk, 0.2, "/safe/", 2)
				next := testlib.Script(b.silent)
				if winner == 2 {
					next = ok
				}
				c := hedgeCatalog(2)
				for i := range c.Routes {
					c.Routes[i].LatencyObjective /= 4 // there are many steps
				}
				b.fleet.set(c, b.boot.Elapsed())
				b.arm(after(200*time.Millisecond, ok), next)
				clk.left.Store(n)
				var wg sync.WaitGroup
				r, failed := &reply{}, false
				wg.Go(func() {
					defer func() { failed = recover() != nil }()
					r = b.serveWithin(t.Context(), "/safe/", 10*time.Second)
				})
				wg.Wait()
				happened := clk.left.Swap(0) <= 0
				if loads := b.relay.TakeReport().Loads; len(loads) > 0 {
					t.Errorf("panic %d: loads %v", n, loads)
				}
				if !failed && r.starts != 1 {
					t.Errorf("panic %d: %d starts", n, r.starts)
				}
				for _, e := range b.hook.AllEntries() {
					if e.Data["event"] == "hedgePanic" {
						logged++
					}
				}
				if failed {
					panicked++
				}
				if !happened {
					break
				}
			}
			if logged == 0 || panicked == 0 {
				t.Errorf("%d panics in the second attempt, %d in the first", logged, panicked)
			}
		})
	}
}
