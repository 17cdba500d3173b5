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
