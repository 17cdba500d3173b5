package relayer_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

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
	const pause = 250 * time.Millisecond
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
	if r := b.serve(context.Background(), "/safe/"); r.kind != failure.UpstreamFailed || b.sent() != sent+1 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent()-sent)
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
