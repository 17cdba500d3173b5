package relayer_test

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// pausing returns a script for all upstreams of a fixture. The first stream is silent
// for a while after three events; during is called at the start of that pause.
func pausing(pause time.Duration, during func()) testlib.Script {
	var paused atomic.Bool
	return func(conn net.Conn, r testlib.Received) bool {
		streamHead(conn, r)
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for id := after + 1; id <= 6; id++ {
			if id == 4 && paused.CompareAndSwap(false, true) {
				during()
				time.Sleep(pause)
			}
			event(conn, id)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

// Guards against LOST: the node gave up a stream whose engine was silent for a while,
// although no other engine could resume it, and closed the caller's connection.
func TestSilentEngineIsWaitedForWhileNoOtherMayResume(t *testing.T) {
	const pause = 1900 * time.Millisecond
	for name, c := range map[string]struct {
		upstreams int
		during    func(b *fixture)
	}{
		"no other engine":         {1, func(*fixture) {}},
		"key revoked meanwhile":   {2, func(b *fixture) { b.fleet.set(catalog(2, "other"), b.boot.Elapsed()) }},
		"route removed meanwhile": {2, func(b *fixture) { b.fleet.set(&traffic.Catalog{Version: 2}, b.boot.Elapsed()) }},
		"proof of the configuration outdated": {2, func(b *fixture) {
			b.boot.Step(maxProofAge + time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, make([]testlib.Script, c.upstreams)...)
			script := pausing(pause, func() { c.during(b) })
			for _, u := range b.ups {
				u.SetScript(script)
			}
			long := catalog(1, "key")
			for i := range long.Routes {
				long.Routes[i].Timeout = unlimited
			}
			b.fleet.set(long, b.boot.Elapsed())
			r := b.serveWithin(t.Context(), "/stream/", unlimited)
			if r.aborted || r.body.String() != wholeStream {
				t.Errorf("aborted %t after %q", r.aborted, r.body.String())
			}
			if n := b.sent(); n != 1 {
				t.Errorf("the request was sent %d times", n)
			}
		})
	}
}

// slowOnce returns a script for all upstreams of a fixture that answers the first request
// after a while and all others at once.
func slowOnce(pause time.Duration) testlib.Script {
	var paused atomic.Bool
	return func(conn net.Conn, r testlib.Received) bool {
		if paused.CompareAndSwap(false, true) {
			time.Sleep(pause)
		}
		return ok(conn, r)
	}
}

// Guards against an error response in place of one that a silent upstream was about to
// send, where no other upstream could be asked.
func TestSilentUpstreamIsWaitedForBeforeItsFirstByte(t *testing.T) {
	const pause = 900 * time.Millisecond // the latency objective is 200 ms
	for upstreams, wantSent := range map[int]int{1: 1, 2: 2} {
		t.Run(fmt.Sprint(upstreams, " upstreams"), func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, make([]testlib.Script, upstreams)...)
			script := slowOnce(pause)
			for _, u := range b.ups {
				u.SetScript(script)
			}
			began := time.Now()
			r := b.serve(t.Context(), "/safe/")
			if r.status != 200 || b.sent() != wantSent {
				t.Errorf("status %d, %v after %v and %d sends, want %d", r.status, r.kind, time.Since(began), b.sent(), wantSent)
			}
		})
	}
}

// Guards against discarding an upstream's answer for a retry that the request may no
// longer have.
func TestFailedAnswerIsKeptWhenNoOtherUpstreamMayBeAsked(t *testing.T) {
	b := newFixture(t, nil, nil)
	for _, u := range b.ups {
		u.SetScript(func(conn net.Conn, r testlib.Received) bool {
			b.fleet.set(catalog(2, "other"), b.boot.Elapsed())
			return failing(conn, r)
		})
	}
	if r := b.serve(t.Context(), "/safe/"); r.status != 500 || b.sent() != 1 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent())
	}
}
