package relayer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
)

// onceHook calls f at the first log line of an event.
type onceHook struct {
	event string
	fired atomic.Bool
	f     func()
}

func (h *onceHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *onceHook) Fire(e *logrus.Entry) error {
	if e.Data["event"] == h.event && h.fired.CompareAndSwap(false, true) {
		h.f()
	}
	return nil
}

// Guards against an upstream's failure that is replaced by one of the router: it was dropped
// for a retry, and what the retry needed was gone between the check and the send.
func TestFailedAnswerIsKeptWhenTheRetryHasNone(t *testing.T) {
	// Each case has an upstream that fails, and then what the retry meets.
	for name, c := range map[string]struct {
		retry  testlib.Script
		before func(b *fixture) // between the check and the send
		sent   int
	}{
		"key gone": {retry: ok, sent: 1, before: func(b *fixture) { b.fleet.set(catalog(2, "other"), b.boot.Elapsed()) }},
		"route gone": {retry: ok, sent: 1, before: func(b *fixture) {
			other := catalog(2, "key")
			other.Routes = other.Routes[2:]
			b.fleet.set(other, b.boot.Elapsed())
		}},
		"upstreams gone": {retry: ok, sent: 1, before: func(b *fixture) { b.relay.SetUpstreams(nil, nil) }},
		"no connection":  {retry: ok, sent: 1, before: func(b *fixture) { b.ups[0].Stop(); b.ups[1].Stop() }},
		"retry budget used up": {retry: ok, sent: 3, before: func(b *fixture) {
			if r := b.serve(context.Background(), "/safe/"); r.status != 200 {
				panic("the other request got no budget")
			}
		}},
		"upstream refuses":      {retry: refusing, sent: 4},
		"upstream breaks off":   {retry: resetting, sent: 2},
		"response has no stamp": {retry: unstamped, sent: 2},
		"shutdown": {retry: ok, sent: 2, before: func(b *fixture) {
			b.relay.BeginShutdown(finisher.New(time.Now().Add(-time.Minute), time.Now(), time.Now()))
		}},
		"another failure":        {retry: failing, sent: 2},
		"upstream is silent":     {retry: func(conn net.Conn, _ testlib.Received) bool { _, _ = conn.Read(make([]byte, 1)); return false }, sent: 2},
		"upstream sends no HTTP": {retry: func(conn net.Conn, _ testlib.Received) bool { _, _ = conn.Write([]byte("what\r\n\r\n")); return false }, sent: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			script := func(conn net.Conn, r testlib.Received) bool {
				// The request that uses up the budget fails once itself.
				if n := calls.Add(1); n == 1 || n == 2 && name == "retry budget used up" {
					return failing(conn, r)
				}
				return c.retry(conn, r)
			}
			limits := budgeter.Limits{Ratio: 0, Window: 10 * time.Second, Allowance: 100}
			if name == "retry budget used up" {
				limits.Allowance = 2 // 60% of it are spent
			}
			b := newFixtureWith(t, systemclock.New(), limits, script, script)
			hook := &onceHook{event: "answerFailed", f: func() {
				if c.before != nil {
					c.before(b)
				}
			}}
			b.log.AddHook(hook)
			r := b.serveWithin(t.Context(), "/safe/", time.Second)
			if !hook.fired.Load() {
				t.Error("the request wasn't to be retried")
			}
			if name == "shutdown" && r.status == 200 {
				return // a request that has begun is finished
			}
			if r.status != 500 || r.body.String() != "bad" || r.kind != failure.None || r.starts != 1 {
				t.Errorf("status %d, kind %s, body %q, %d starts", r.status, r.kind, r.body.String(), r.starts)
			}
			if n := b.sent(); n > c.sent {
				t.Errorf("sent %d times, want %d", n, c.sent)
			}
		})
	}
}
