package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against LOST: a stopping node judged a request by the quick responses before,
// and sent it to an upstream with a long queue.
func TestDrainingNodeCountsQueueAtUpstream(t *testing.T) {
	const (
		queued   = 40 // requests that run before at the only slot, 40 ms each
		timeLeft = time.Second
	)
	release := make(chan struct{})
	b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
		if strings.HasPrefix(r.URL.Path, "/slow/") {
			<-release
		}
		return ok(conn, r)
	})
	b.relay.SetUpstreams([]traffic.Upstream{{ID: "u", StartedMS: 1, Service: "s", Address: b.ups[0].Addr, DataCentre: "a", Slots: 1}}, nil)
	if r := b.serve(context.Background(), "/safe/"); r.status != 200 {
		t.Fatalf("status %d, %v", r.status, r.kind)
	}
	var wg sync.WaitGroup
	for range queued {
		wg.Go(func() { b.serveWithin(context.Background(), "/slow/", unlimited) })
	}
	defer wg.Wait()
	defer close(release)
	for b.sent() < 1+queued {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	b.relay.BeginShutdown(finisher.New(now, now.Add(time.Hour), now.Add(timeLeft)))
	if r := b.serve(context.Background(), "/safe/"); r.kind != failure.Draining || b.sent() != 1+queued {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent()-queued-1)
	}
}

// slowly returns a script that pauses first.
func slowly(pause time.Duration, s testlib.Script) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		time.Sleep(pause)
		return s(conn, r)
	}
}

// Guards against requests that are sent once more, only to be cut off at the end of the
// node: the time that is left was compared at the first attempt alone.
func TestDrainingNodeMakesNoAttemptThatMayNotFinish(t *testing.T) {
	const (
		pause = 250 * time.Millisecond
		spare = 20 * time.Millisecond // by which the process may be late without changing the outcome
	)
	// The node expects the duration of the first request, in which the process may be paused.
	attempt := func() (*reply, int) {
		b := newFixture(t, slowly(pause, ok), slowly(pause, ok))
		if r := b.serve(context.Background(), "/safe/"); r.status != 200 {
			t.Fatalf("status %d, %v", r.status, r.kind)
		}
		for _, u := range b.ups {
			u.SetScript(slowly(pause, resetting))
		}
		sent := b.sent()
		now := time.Now()
		b.relay.BeginShutdown(finisher.New(now, now.Add(time.Hour), now.Add(pause+pause*9/10)))
		r := b.serve(context.Background(), "/safe/")
		return r, b.sent() - sent
	}
	pauses := testlib.WatchPauses(t)
	for {
		start := time.Now()
		r, sends := attempt()
		if r.kind == failure.UpstreamFailed && sends == 1 {
			return
		}
		if pauses.Since(start) < spare {
			t.Errorf("status %d, %v after %d sends", r.status, r.kind, sends)
			return
		}
		t.Logf("status %d, %v after %d sends, with the process paused for %v; measuring again", r.status, r.kind, sends, pauses.Since(start))
	}
}

// Guards against a server error that is passed on though a retry would end in time: its
// start was refused as that of a new request, once callers no longer had the address.
func TestDrainingNodeRetriesRequestsThatItHasStarted(t *testing.T) {
	const (
		pause    = 300 * time.Millisecond
		timeLeft = 2900 * time.Millisecond // less than the timeout of the route
	)
	b := newFixture(t, slowly(pause, ok), slowly(pause, ok))
	if r := b.serve(context.Background(), "/safe/"); r.status != 200 {
		t.Fatalf("status %d, %v", r.status, r.kind)
	}
	var once sync.Once
	for _, u := range b.ups {
		u.SetScript(func(conn net.Conn, r testlib.Received) bool {
			script := ok
			once.Do(func() { script = slowly(pause, failing) })
			return script(conn, r)
		})
	}
	now := time.Now()
	b.relay.BeginShutdown(finisher.New(now, now.Add(pause), now.Add(timeLeft)))
	if r := b.serveWithin(context.Background(), "/safe/", unlimited); r.status != 200 {
		t.Errorf("status %d, %v", r.status, r.kind)
	}
}

// Guards against LOST: during graceful shutdown, a node gave up a stream whose engine
// paused, for a resumption that it had no time for.
func TestDrainingNodeWaitsForPausingEngine(t *testing.T) {
	const (
		pause    = 1800 * time.Millisecond // after 1.5 s the stream may be resumed elsewhere
		timeLeft = 2500 * time.Millisecond
	)
	b := newFixture(t, nil, nil)
	script := func(conn net.Conn, r testlib.Received) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", r.Header.Get("Id"))
		if r.Header.Get("After") == "" {
			fmt.Fprint(conn, "id: 1\ndata: a\n\n")
			now := time.Now()
			b.relay.BeginShutdown(finisher.New(now, now, now.Add(timeLeft)))
			time.Sleep(pause)
		}
		fmt.Fprint(conn, "id: 2\ndata: b\n\n")
		return false
	}
	for _, u := range b.ups {
		u.SetScript(script)
	}
	r := b.serveWithin(context.Background(), "/stream/", unlimited)
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; r.aborted || r.body.String() != want || b.sent() != 1 {
		t.Errorf("aborted %v, body %q, %d sends", r.aborted, r.body.String(), b.sent())
	}
}

// Guards against LOST: a request that came in time waited for an upstream, and started
// when no caller may have had the node's address.
func TestDrainingNodeJudgesRequestAtItsStart(t *testing.T) {
	const (
		addressCachedFor = 100 * time.Millisecond // less than the pause after a refusal
		timeLeft         = 2900 * time.Millisecond
	)
	b := newFixture(t, ok)
	if r := b.serve(context.Background(), "/slow/"); r.status != 200 {
		t.Fatalf("status %d, %v", r.status, r.kind)
	}
	var once sync.Once
	b.ups[0].SetScript(func(conn net.Conn, r testlib.Received) bool {
		script := ok
		once.Do(func() { script = refusing })
		return script(conn, r)
	})
	sent := b.sent()
	now := time.Now()
	b.relay.BeginShutdown(finisher.New(now, now.Add(addressCachedFor), now.Add(timeLeft)))
	if r := b.serveWithin(context.Background(), "/slow/", unlimited); r.kind != failure.Draining || b.sent() > sent+1 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent()-sent)
	}
}

// outcomeLog records the IDs of the requests that upstreams ran, and of those that were
// refused as not run.
type outcomeLog struct {
	mu      sync.Mutex
	ran     map[string]int
	refused map[string]failure.Kind
}

func (l *outcomeLog) record(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
}

func (l *outcomeLog) recordRefusal(id string, k failure.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = k
}

// randomScript returns a script with a random outcome for each request, after a random
// pause, and records the requests that it runs.
func (l *outcomeLog) randomScript(seed uint64) testlib.Script {
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(seed, 34))
	outcomes := []testlib.Script{refusing, resetting, failing, unstamped, streaming(2), streaming(0), ok, ok}
	return func(conn net.Conn, r testlib.Received) bool {
		mu.Lock()
		n, pause := rnd.IntN(len(outcomes)), time.Duration(rnd.IntN(30))*time.Millisecond
		mu.Unlock()
		time.Sleep(pause)
		if n > 0 {
			l.record(r.Header.Get("Id"))
		}
		return outcomes[n](conn, r)
	}
}

// Guards against LOST: a stop, a change of the routes and a retry at once left a request
// without an answer, or with an untrue refusal.
func TestRequestsAreAnsweredWhileRoutesChangeDuringShutdown(t *testing.T) {
	const (
		rounds   = 25
		callers  = 16
		requests = 4 // of each caller in each round
	)
	rnd := rand.New(rand.NewPCG(34, 1))
	log := &outcomeLog{ran: map[string]int{}, refused: map[string]failure.Kind{}}
	b := newFixture(t, log.randomScript(1), log.randomScript(2), log.randomScript(3))
	for round := range rounds {
		ctx, cutOff := context.WithCancelCause(context.Background())
		b.relay.BeginShutdown(finisher.Finisher{})
		b.fleet.set(catalog(uint64(round+1), "key"), b.boot.Elapsed())
		var asks, changes sync.WaitGroup
		for caller := range callers {
			rnd := rand.New(rand.NewPCG(uint64(round), uint64(100+caller)))
			asks.Go(func() {
				for i := range requests {
					path := []string{"/safe/", "/unsafe/", "/stream/", "/once/"}[rnd.IntN(4)]
					time.Sleep(time.Duration(rnd.IntN(15)) * time.Millisecond)
					r := &reply{}
					id := fmt.Sprint(round, "-", caller, "-", i)
					b.relay.Serve(ctx, &relayer.Request{
						ID: id, Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"),
						Timeout: time.Duration(20+rnd.IntN(400)) * time.Millisecond, Arrived: time.Now(),
					}, r)
					switch {
					case r.starts != 1:
						t.Errorf("%s %s: %d responses were started", path, id, r.starts)
					case r.kind == failure.CallerGone:
						t.Errorf("%s %s: the caller was taken for gone", path, id)
					case r.aborted && r.status == 0:
						t.Errorf("%s %s: the connection was closed without an answer", path, id)
					case r.status == 0 && r.kind.Response().Verdict == failure.NotRun:
						log.recordRefusal(id, r.kind)
					}
				}
			})
		}
		changes.Go(func() {
			begin, left := time.Duration(rnd.IntN(30))*time.Millisecond, time.Duration(20+rnd.IntN(50))*time.Millisecond
			time.Sleep(begin)
			now := time.Now()
			b.relay.BeginShutdown(finisher.New(now, now.Add(left/2), now.Add(left)).WithMargin(left / 10))
			for version := uint64(1); time.Since(now) < left; version++ {
				b.fleet.set(randomCatalog(rnd, version), b.boot.Elapsed())
				time.Sleep(2 * time.Millisecond)
			}
			cutOff(relayer.ErrShutdownDeadline)
		})
		asks.Wait()
		changes.Wait()
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	for id, k := range log.refused {
		if n := log.ran[id]; n > 0 {
			t.Errorf("%s: refused as not run (%v), ran %d times", id, k, n)
		}
	}
}
