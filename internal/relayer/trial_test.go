package relayer_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

const trialPath = "/unsafe/any"

// newEndedRejection returns a relayer that hears a peer, and whose rejection of requests for
// trialPath ends at once. The first request for it has been lost; others take runTime.
func newEndedRejection(t *testing.T, runTime time.Duration) *fixture {
	t.Helper()
	var lost atomic.Bool
	f := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
		if lost.CompareAndSwap(false, true) {
			testlib.Reset(conn)
			return false
		}
		time.Sleep(runTime)
		return ok(conn, r)
	})
	if r := f.serveWithin(t.Context(), trialPath, 10*time.Second); r.kind != failure.OutcomeUnknown {
		t.Fatalf("kind %s, want a lost request", r.kind)
	}
	runs := f.relay.TakeReport().Evidence.LostRuns
	if len(runs) != 1 {
		t.Fatalf("%d lost runs in the report, want 1", len(runs))
	}
	features := runs[0].Features
	f.relay.MergeEvidence(detector.Evidence{Poisons: []detector.Poison{{Features: features[len(features)-1:], RemainingMS: 1}}})
	time.Sleep(10 * time.Millisecond)
	stop := make(chan struct{})
	var peer sync.WaitGroup
	peer.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				f.relay.MergeEvidence(detector.Evidence{})
			}
		}
	})
	t.Cleanup(func() { close(stop); peer.Wait() })
	return f
}

// Guards against a request that is turned away at the end of a rejection, although its node is
// the one that may try it, and against several that run beside the first one.
func TestRequestWaitsForItsTrial(t *testing.T) {
	t.Parallel()
	const requests = 6
	f := newEndedRejection(t, time.Second)
	var kinds sync.Map
	var all sync.WaitGroup
	var served atomic.Int32
	for i := range requests {
		all.Go(func() {
			r := f.serveWithin(t.Context(), trialPath, 10*time.Second)
			if r.status == 200 {
				served.Add(1)
			}
			kinds.Store(i, r.kind)
		})
	}
	all.Wait()
	if n := f.sent(); n != 2 || served.Load() != 1 {
		kinds.Range(func(i, k any) bool { t.Logf("request %v: kind %v", i, k); return true })
		t.Errorf("%d requests reached the upstream after the lost one and %d were served, want one", n-1, served.Load())
	}
	if r := f.serveWithin(t.Context(), trialPath, 10*time.Second); r.status != 200 {
		t.Errorf("status %d, kind %s after the trial has succeeded", r.status, r.kind)
	}
}

// Guards against a request that waits for its trial until its caller gives up.
func TestRequestWithoutTimeToWaitIsRejectedAtOnce(t *testing.T) {
	t.Parallel()
	f := newEndedRejection(t, 0)
	sent := time.Now()
	if r := f.serveWithin(t.Context(), trialPath, time.Second); r.kind != failure.Quarantined || time.Since(sent) > 900*time.Millisecond {
		t.Errorf("kind %s after %v, want a rejection at once", r.kind, time.Since(sent))
	}
}

// Guards against a trial at two nodes that claim it at the same time.
func TestRequestIsRejectedIfOtherClaimPrevails(t *testing.T) {
	t.Parallel()
	f := newEndedRejection(t, 0)
	ended := make(chan *reply)
	go func() { ended <- f.serveWithin(t.Context(), trialPath, 10*time.Second) }()
	var claims []detector.Claim
	for len(claims) == 0 {
		time.Sleep(time.Millisecond)
		claims = f.relay.TakeReport().Evidence.Claims
	}
	f.relay.MergeEvidence(detector.Evidence{Claims: []detector.Claim{{Rejection: claims[0].Rejection}}}) // no ID is smaller
	r := <-ended
	if r.kind != failure.Quarantined || f.sent() > 1 {
		t.Errorf("kind %s, %d requests reached the upstream after the lost one, want none", r.kind, f.sent()-1)
	}
}
