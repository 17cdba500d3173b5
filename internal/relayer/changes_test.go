package relayer_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// randomCatalog returns a configuration in which anything may differ from the one before:
// routes and keys are missing, and numbers are zero, negative or large.
func randomCatalog(rnd *rand.Rand, version uint64) *traffic.Catalog {
	c := &traffic.Catalog{Version: version}
	if rnd.IntN(4) > 0 {
		c.Workspaces = []traffic.Workspace{{Name: "w", Keys: []string{[]string{"key", "other"}[rnd.IntN(12)/11]}, Isolated: rnd.IntN(2) == 0, HasPriority: rnd.IntN(2) == 0, Priority: rnd.IntN(30) - 10}}
	}
	if rnd.IntN(8) > 0 {
		c.Services = []traffic.Service{{Name: "s", CacheAddress: []string{"", "127.0.0.1:1"}[rnd.IntN(2)], CacheTokens: rnd.IntN(10) - 2}, {Name: "s"}}
	}
	duration := func() time.Duration {
		if rnd.IntN(6) > 0 {
			return 400 * time.Millisecond
		}
		return []time.Duration{-time.Second, 0, time.Nanosecond, 5 * time.Millisecond, time.Hour}[rnd.IntN(5)]
	}
	for _, prefix := range []string{"/", "/safe/", "/unsafe/", "/stream/"} {
		if rnd.IntN(8) == 0 {
			continue
		}
		r := traffic.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: []traffic.Kind{traffic.Safe, traffic.Unsafe, traffic.Streaming}[rnd.IntN(3)],
			MaxAttempts: rnd.IntN(5) - 1, Resumable: rnd.IntN(2) == 0, Public: rnd.IntN(6) == 0, Priority: rnd.IntN(30) - 10,
			Timeout: duration(), LatencyObjective: duration(), PauseObjective: duration(),
		}
		for range rnd.IntN(8) {
			r.Targets = append(r.Targets, traffic.Target{Service: []string{"s", "s", "s", "s", "s", "s", "gone", ""}[rnd.IntN(8)], Weight: rnd.IntN(6) - 1})
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

// randomScript answers requests at random, in one of the ways of an upstream.
func randomScript(seed uint64) testlib.Script {
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(seed, 2))
	return func(conn net.Conn, r testlib.Received) bool {
		mu.Lock()
		n, pause := rnd.IntN(9), time.Duration(rnd.IntN(15))*time.Millisecond
		mu.Unlock()
		time.Sleep(pause)
		switch n {
		case 0:
			return resetting(conn, r)
		case 1:
			return refusing(conn, r)
		case 2:
			return failing(conn, r)
		case 3:
			return unstamped(conn, r)
		case 4:
			return streaming(2)(conn, r)
		case 5, 6:
			return streaming(0)(conn, r)
		}
		return ok(conn, r)
	}
}

// changeAtRandom replaces the configuration and the upstreams until ctx ends.
func (b *fixture) changeAtRandom(ctx context.Context, rnd *rand.Rand) {
	var ups []traffic.Upstream
	for i, u := range b.ups {
		ups = append(ups, traffic.Upstream{ID: fmt.Sprint("u", i), StartedMS: 1, Service: "s", Address: u.Addr, DataCentre: "a", Slots: i - 1, Models: map[string]int{"m": i}})
	}
	for version := uint64(2); ctx.Err() == nil; version++ {
		b.fleet.set(randomCatalog(rnd, version), b.boot.Elapsed())
		b.relay.SetUpstreams(ups[:1+rnd.IntN(len(ups))], map[string]int{"s": rnd.IntN(3) * 1000})
		b.relay.PruneConnections()
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against LOST: a configuration that changes while a request is queued, in flight
// or sent again left it without an answer and without a refusal.
func TestRequestsAreAnsweredWhileConfigurationChanges(t *testing.T) {
	const (
		callers  = 24
		requests = 40
	)
	rnd := rand.New(rand.NewPCG(27, 1))
	b := newFixture(t, randomScript(1), randomScript(2), randomScript(3))
	ctx, cancel := context.WithCancel(t.Context())
	var changes, asks sync.WaitGroup
	changes.Go(func() { b.changeAtRandom(ctx, rnd) })
	for caller := range callers {
		rnd := rand.New(rand.NewPCG(27, uint64(100+caller)))
		asks.Go(func() {
			for i := range requests {
				path := []string{"/safe/", "/unsafe/", "/stream/", "/other/"}[rnd.IntN(4)]
				time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond) // refusals are quick: the next one would meet the same configuration
				r := &reply{}
				req := &relayer.Request{
					ID: fmt.Sprint(caller, "-", i), Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"),
					Timeout: 300 * time.Millisecond, Arrived: time.Now(),
				}
				if rnd.IntN(2) == 0 {
					req.Prompt = &traffic.Prompt{Model: "m", Tokens: 100, MaxOutput: 10, Parts: []traffic.Part{{ID: "a", Tokens: 90}, {ID: "b", Tokens: 10}}}
				}
				b.relay.Serve(context.Background(), req, r)
				switch {
				case r.starts != 1:
					t.Errorf("%s: %d responses were started", path, r.starts)
				case r.kind == failure.CallerGone:
					t.Errorf("%s: the caller was taken for gone", path)
				case r.aborted && r.status == 0:
					t.Errorf("%s: the connection was closed without an answer", path)
				}
			}
		})
	}
	asks.Wait()
	cancel()
	changes.Wait()
}

// runLog records which requests may have run at an upstream.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
}

// watch returns s, recording the requests that it doesn't refuse.
func (l *runLog) watch(s testlib.Script) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		w := &refusalDetector{Conn: conn}
		again := s(w, r)
		if !w.refused {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.runs[r.Header.Get("Id")]++
		}
		return again
	}
}

// refusalDetector recognizes the response of refusing.
type refusalDetector struct {
	net.Conn
	refused bool
}

func (d *refusalDetector) Write(p []byte) (int, error) {
	d.refused = d.refused || bytes.Contains(p, []byte("Not-Run"))
	return d.Conn.Write(p)
}

// Guards against LOST and REFUSED: a stop of the node, changes of the configuration and
// retries meet. Each request is answered or refused, and none that was refused as not run
// has run.
func TestRequestsAreAnsweredWhileANodeStopsAndConfigurationChanges(t *testing.T) {
	const (
		rounds   = 8
		callers  = 24
		calm     = 60 * time.Millisecond
		cached   = 100 * time.Millisecond // after the signal
		grace    = 400 * time.Millisecond
		afterCut = 20 * time.Millisecond
	)
	for round := range uint64(rounds) {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			log := &runLog{runs: map[string]int{}}
			b := newFixture(t, log.watch(randomScript(round)), log.watch(randomScript(round+100)), log.watch(randomScript(round+200)))
			base, cutOff := context.WithCancelCause(t.Context())
			defer cutOff(nil)
			ctx, cancel := context.WithCancel(t.Context())
			var changes, asks sync.WaitGroup
			changes.Go(func() { b.changeAtRandom(ctx, rand.New(rand.NewPCG(34, round))) })
			var answers, refusals, retries atomic.Int32
			var ended atomic.Bool
			changes.Go(func() {
				defer ended.Store(true)
				for time.Sleep(calm); answers.Load() == 0 && ctx.Err() == nil; { // on a busy processor
					time.Sleep(calm)
				}
				signal := time.Now()
				b.relay.BeginShutdown(finisher.New(signal, signal.Add(cached), signal.Add(grace)))
				time.Sleep(grace)
				cutOff(relayer.ErrShutdownDeadline)
				time.Sleep(afterCut)
			})
			for caller := range callers {
				rnd := rand.New(rand.NewPCG(34, round*1000+uint64(caller)))
				asks.Go(func() {
					for i := 0; !ended.Load(); i++ {
						path := []string{"/safe/", "/unsafe/", "/stream/", "/other/"}[rnd.IntN(4)]
						r := &reply{}
						req := &relayer.Request{
							ID: fmt.Sprint(caller, "-", i), Method: "POST", Target: path, Path: path, Host: "h", Key: "key", Body: []byte("body"),
							Timeout: time.Duration(50+rnd.IntN(900)) * time.Millisecond, Arrived: time.Now(),
						}
						b.relay.Serve(base, req, r)
						switch {
						case r.starts != 1:
							t.Errorf("%s: %d responses were started", path, r.starts)
						case r.kind == failure.CallerGone:
							t.Errorf("%s: the caller was taken for gone", path)
						case r.aborted && r.status == 0:
							t.Errorf("%s: the connection was closed without an answer", path)
						case r.status != 0:
							answers.Add(1)
							continue
						default:
							refusals.Add(1)
						}
						if r.kind.Response().Verdict == failure.NotRun {
							retries.Add(1)
							log.mu.Lock()
							if n := log.runs[req.ID]; n > 0 {
								t.Errorf("%s: refused as %s, and run %d times", path, r.kind, n)
							}
							log.mu.Unlock()
						}
						if rnd.IntN(8) > 0 { // most callers retry at once
							continue
						}
						time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond)
					}
				})
			}
			asks.Wait()
			cancel()
			changes.Wait()
			if answers.Load() == 0 || refusals.Load() == 0 || retries.Load() == 0 {
				t.Errorf("%d answers, %d refusals, %d as not run", answers.Load(), refusals.Load(), retries.Load())
			}
			t.Logf("%d answers, %d refusals, %d as not run", answers.Load(), refusals.Load(), retries.Load())
		})
	}
}
