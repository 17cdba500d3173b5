package relayer_test

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
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
		budget    float64 // retries per request
		during    func(b *fixture)
	}{
		"no other engine":         {1, 1, func(*fixture) {}},
		"retry budget exhausted":  {2, 0, func(*fixture) {}},
		"key revoked meanwhile":   {2, 1, func(b *fixture) { b.fleet.set(catalog(2, "other"), b.boot.Elapsed()) }},
		"route removed meanwhile": {2, 1, func(b *fixture) { b.fleet.set(&traffic.Catalog{Version: 2}, b.boot.Elapsed()) }},
		"proof of the configuration outdated": {2, 1, func(b *fixture) {
			b.boot.Step(maxProofAge + time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFixtureWith(t, systemclock.New(), budgeter.Limits{Ratio: c.budget, Window: 10 * time.Second, Allowance: 100 * c.budget}, make([]testlib.Script, c.upstreams)...)
			script := pausing(pause, func() { c.during(b) })
			for _, u := range b.ups {
				u.SetScript(script)
			}
			b.setUnlimited()
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

// Guards against an error response in place of one that a silent upstream was about to
// send, where no other upstream could be asked.
func TestSilentUpstreamIsWaitedForBeforeItsFirstByte(t *testing.T) {
	const pause = 900 * time.Millisecond // the latency objective is 200 ms
	b := newFixture(t, func(conn net.Conn, r testlib.Received) bool {
		time.Sleep(pause)
		return ok(conn, r)
	})
	b.setUnlimited()
	if r := b.serveWithin(t.Context(), "/safe/", unlimited); r.status != 200 || b.sent() != 1 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent())
	}
}

// Guards against waiting for a silent upstream although another one may take over.
func TestRequestOfSilentUpstreamMovesToAnother(t *testing.T) {
	b := newFixture(t, nil, nil)
	moved := make(chan struct{})
	var asked atomic.Bool
	for _, u := range b.ups {
		u.SetScript(func(conn net.Conn, r testlib.Received) bool {
			if asked.CompareAndSwap(false, true) {
				<-moved
				return false
			}
			close(moved)
			return ok(conn, r)
		})
	}
	b.setUnlimited()
	if r := b.serveWithin(t.Context(), "/safe/", unlimited); r.status != 200 || b.sent() != 2 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent())
	}
}

// setUnlimited gives all routes timeouts that no test reaches.
func (b *fixture) setUnlimited() {
	c := catalog(1, "key")
	for i := range c.Routes {
		c.Routes[i].Timeout = unlimited
	}
	b.fleet.set(c, b.boot.Elapsed())
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
