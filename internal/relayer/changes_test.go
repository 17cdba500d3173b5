package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
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

// Guards against LOST: a configuration that changes while a request is queued, in flight
// or sent again left it without an answer and without a refusal.
func TestRequestsAreAnsweredWhileConfigurationChanges(t *testing.T) {
	const (
		callers  = 24
		requests = 40
	)
	rnd := rand.New(rand.NewPCG(27, 1))
	script := func(seed uint64) testlib.Script {
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
	b := newFixture(t, script(1), script(2), script(3))
	var ups []traffic.Upstream
	for i, u := range b.ups {
		ups = append(ups, traffic.Upstream{ID: fmt.Sprint("u", i), StartedMS: 1, Service: "s", Address: u.Addr, DataCentre: "a", Slots: i - 1, Models: map[string]int{"m": i}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var changes, asks sync.WaitGroup
	changes.Go(func() {
		for version := uint64(2); ctx.Err() == nil; version++ {
			b.fleet.set(randomCatalog(rnd, version), b.boot.Elapsed())
			b.relay.SetUpstreams(ups[:1+rnd.IntN(len(ups))], map[string]int{"s": rnd.IntN(3) * 1000})
			b.relay.PruneConnections()
			time.Sleep(2 * time.Millisecond)
		}
	})
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
