package prober_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/prober"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// cache is a number of cache stores, some of which don't respond.
type cache struct {
	mu   sync.Mutex
	down map[string]bool
}

func (c *cache) Changes(_ context.Context, addr string, since uint64) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[addr] {
		return 0, errors.Timeoutf("call")
	}
	return since + 1, nil
}

func (c *cache) set(addr string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[addr] = down
}

type fixture struct {
	t     *testing.T
	clk   *testlib.Clock
	cache *cache
	*prober.Prober
}

func newFixture(t *testing.T, isWatcher bool) *fixture {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	f := &fixture{t: t, clk: testlib.NewClock(time.Unix(100, 0)), cache: &cache{down: map[string]bool{}}}
	f.Prober = prober.New(f.clk, log, f.cache, func() []string { return []string{"a", "b"} }, func() bool { return isWatcher })
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return f
}

func (f *fixture) until(what string, ok func() bool) {
	f.t.Helper()
	for range 200 {
		if ok() {
			return
		}
		f.clk.Step(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	f.t.Fatalf("%s didn't happen within 10 s", what)
}

// One of several cache stores crashes: the others stay in use.
func TestStoresAreWatchedSeparately(t *testing.T) {
	f := newFixture(t, true)
	f.cache.set("b", true)
	f.until("the loss of one store", func() bool { return f.Down("b") })
	if f.Down("a") || f.AllDown() {
		t.Error("the loss of one store counts for the other one")
	}
	f.cache.set("a", true)
	f.until("the loss of both stores", f.AllDown)
	f.cache.set("b", false)
	f.until("the return of one store", func() bool { return !f.Down("b") && !f.AllDown() && f.Down("a") })
	f.ReceiveState(true) // the node's own calls go first
	if f.Down("b") {
		t.Error("a peer's report replaced the state that the node itself watches")
	}
}

func TestNodesThatDoNotWatchRelyOnReports(t *testing.T) {
	f := newFixture(t, false)
	f.cache.set("a", true)
	for range 40 {
		f.clk.Step(100 * time.Millisecond)
	}
	if f.Down("a") {
		t.Error("a node that isn't a watcher called a store")
	}
	f.ReceiveState(true)
	if !f.Down("a") || !f.Down("b") || !f.AllDown() {
		t.Error("the report that all stores are down has no effect")
	}
	f.ReceiveState(false)
	if f.Down("a") || f.AllDown() {
		t.Error("the report that not all stores are down has no effect")
	}
}
