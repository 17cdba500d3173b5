package relayer_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
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

// eventWithoutID sends an event after which a stream can't be resumed.
func eventWithoutID(conn net.Conn) {
	const s = "data: x\n\n"
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(s), s)
}

// Guards against LOST: the node gave up a stream whose engine was silent after an event
// after which no other engine could resume.
func TestSilentEngineIsWaitedForAfterEventWithoutID(t *testing.T) {
	t.Parallel()
	script := func(conn net.Conn, r testlib.Received) bool {
		streamHead(conn, r)
		event(conn, 1)
		eventWithoutID(conn)
		time.Sleep(1900 * time.Millisecond)
		event(conn, 2)
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
	b := newFixture(t, script, script)
	b.setUnlimited()
	r := b.serveWithin(t.Context(), "/stream/", unlimited)
	if want := "id: 1\ndata: e1\n\ndata: x\n\nid: 2\ndata: e2\n\n"; r.aborted || r.body.String() != want || b.sent() != 1 {
		t.Errorf("aborted %t after %q and %d sends", r.aborted, r.body.String(), b.sent())
	}
}

// stallingReply is a caller that stops reading for a while after its first piece.
type stallingReply struct {
	reply
	stall time.Duration
}

func (r *stallingReply) Write(p []byte) error {
	time.Sleep(r.stall)
	r.stall = 0
	return r.reply.Write(p)
}

// Guards against giving up an engine for the silence of a caller that doesn't read.
func TestEngineOfStalledCallerIsKept(t *testing.T) {
	t.Parallel()
	script := pausing(50*time.Millisecond, func() {}) // the caller stalls before the whole stream has arrived
	b := newFixture(t, script, script)
	b.setUnlimited()
	r := &stallingReply{stall: 1900 * time.Millisecond}
	b.relay.Serve(t.Context(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/stream/", Path: "/stream/", Host: "h", Key: "key", Timeout: unlimited, Arrived: time.Now(),
	}, r)
	if r.aborted || r.body.String() != wholeStream || b.sent() != 1 {
		t.Errorf("aborted %t after %q and %d sends", r.aborted, r.body.String(), b.sent())
	}
}

// Guards against giving up upstreams whose responses arrived while the process was suspended.
func TestSuspendedProcessReadsBeforeItGivesUpAnUpstream(t *testing.T) {
	clk := testlib.NewClock(time.Now())
	b := newFixtureWith(t, clk, budgeter.Limits{Ratio: 1, Window: 10 * time.Second, Allowance: 100}, nil, nil)
	arrived, answer := make(chan struct{}, 2), make(chan struct{})
	for _, u := range b.ups {
		u.SetScript(func(conn net.Conn, r testlib.Received) bool {
			arrived <- struct{}{}
			<-answer
			return ok(conn, r)
		})
	}
	b.setUnlimited()
	var r *reply
	var wg sync.WaitGroup
	wg.Go(func() { r = b.serveWithin(t.Context(), "/safe/", unlimited) })
	<-arrived
	clk.Step(3 * time.Second) // the timer is late by more than two seconds
	close(answer)
	wg.Wait()
	if r.status != 200 || b.sent() != 1 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent())
	}
}

// Guards against waiting for ever for an upstream that is silent after a suspension, too.
func TestSuspendedProcessGivesUpASilentUpstream(t *testing.T) {
	clk := testlib.NewClock(time.Now())
	b := newFixtureWith(t, clk, budgeter.Limits{Ratio: 1, Window: 10 * time.Second, Allowance: 100}, nil, nil)
	arrived, moved := make(chan struct{}, 2), make(chan struct{})
	var asked atomic.Bool
	for _, u := range b.ups {
		u.SetScript(func(conn net.Conn, r testlib.Received) bool {
			arrived <- struct{}{}
			if asked.CompareAndSwap(false, true) {
				<-moved
				return false
			}
			close(moved)
			return ok(conn, r)
		})
	}
	b.setUnlimited()
	var r *reply
	var wg sync.WaitGroup
	wg.Go(func() { r = b.serveWithin(t.Context(), "/safe/", unlimited) })
	<-arrived
	clk.Step(3 * time.Second)
	clk.Step(100 * time.Millisecond)
	wg.Wait()
	if r.status != 200 || b.sent() != 2 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent())
	}
}

// Guards against discarding an upstream's answer for a retry that no upstream can start before
// the deadline.
func TestFailedAnswerIsKeptWhenTheOtherUpstreamIsTooBusy(t *testing.T) {
	const timeout = time.Second
	b := newFixture(t, nil, nil)
	waiting, release := make(chan int, 2), make(chan struct{})
	for i, u := range b.ups {
		u.SetScript(func(net.Conn, testlib.Received) bool {
			waiting <- i
			<-release
			return false
		})
	}
	ask := func(ctx context.Context, timeout time.Duration) *reply {
		r := &reply{}
		b.relay.Serve(ctx, &relayer.Request{
			ID: "id", Method: "POST", Target: "/slow/", Path: "/slow/", Host: "h", Key: "key", Timeout: timeout, Arrived: time.Now(),
			Prompt: &traffic.Prompt{Model: "m", Tokens: 1000, MaxOutput: 10, Parts: []traffic.Part{{ID: "a", Tokens: 1000}}},
		}, r)
		return r
	}
	c := catalog(1, "key")
	c.Routes[1].Timeout, c.Routes[1].LatencyObjective = unlimited, timeout
	b.fleet.set(c, b.boot.Elapsed())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { ask(ctx, unlimited) })
	defer wg.Wait()
	defer cancel()
	defer close(release)
	b.ups[1-<-waiting].SetScript(failing)
	time.Sleep(timeout + timeout/10) // the first prompt waits longer than the second one may
	if r := ask(t.Context(), timeout); r.status != 500 || b.sent() != 2 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, b.sent())
	}
}

// Guards against LOST: a panic of the check whether a request may move ended the process, with
// all requests in flight.
func TestPanicOfSilenceCheckKeepsTheRequest(t *testing.T) {
	b := newFixture(t, nil, nil)
	var asked atomic.Int32
	for _, u := range b.ups {
		u.SetScript(func(conn net.Conn, r testlib.Received) bool {
			asked.Add(1)
			b.fleet.setBroken(true)
			time.Sleep(900 * time.Millisecond) // the latency objective is 200 ms
			b.fleet.setBroken(false)
			return ok(conn, r)
		})
	}
	b.setUnlimited()
	if r := b.serveWithin(t.Context(), "/safe/", unlimited); r.status != 200 || asked.Load() != 1 {
		t.Errorf("status %d, %v after %d sends", r.status, r.kind, asked.Load())
	}
	for _, e := range b.hook.AllEntries() {
		if e.Data["event"] == "silenceCheckPanic" {
			return
		}
	}
	t.Error("the panic isn't logged")
}
