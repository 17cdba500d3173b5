package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// fault is one row of the matrix.
type fault struct {
	name   string
	strike func(w *world)
}

func current(w *world) *upstream {
	if w.sending == nil {
		return w.upstreams[0]
	}
	return w.find(w.sending.Target.Upstream)
}

func crash(w *world) {
	u := current(w)
	u.incarnation++
	u.attempts = map[string]int{}
	w.breakAttempt(true)
}

var faults = []fault{
	{"engine crash, back empty under the same address", crash},
	{"engine crash that is not noticed", func(w *world) {
		u := current(w)
		u.incarnation++
		w.breakAttempt(false)
	}},
	{"connection reset", func(w *world) { w.breakAttempt(false) }},
	{"connection silent for good", func(w *world) { current(w).silent = true }},
	{"crossed answer", func(w *world) { w.cross = true }},
	{"late answer of an attempt that was given up", func(w *world) {
		w.push(dispatcher.FullAnswer{Attempt: "r0-1", Answer: claimer.Answer{Body: []byte("foreign")}})
		w.push(dispatcher.Chunk{Attempt: "r0-1", Offset: len(w.written), Data: []byte("foreign")})
		w.push(dispatcher.Ended{Attempt: "r0-1", Total: len(w.written)})
	}},
	{"duplicate chunks", func(w *world) { w.duplicate = true }},
	{"truncated end", func(w *world) { w.truncate = true }},
	{"chunk lost", func(w *world) { w.loseChunk = true }},
	{"end mark before the last chunks", func(w *world) {
		if w.sending != nil {
			w.push(dispatcher.Ended{Attempt: w.sending.Attempt, Total: answerLength})
			w.sending = nil
		}
	}},
	{"claim granted after the deadline", func(w *world) { w.lateClaim = true }},
	{"engine refuses", func(w *world) { current(w).refuses = true }},
	{"every engine refuses", func(w *world) { w.refuseAll = true }},
	{"slow", func(w *world) { w.now = w.now.Add(20 * time.Second) }},
	{"entry paused for a minute", func(w *world) { w.now = w.now.Add(time.Minute) }},
	{"entry killed, caller sends again elsewhere", func(w *world) {
		w.holderAlive, w.stuckClaim = false, true
		w.start()
	}},
	{"platform down", func(w *world) { w.down = true }},
	{"platform reply lost after the write", func(w *world) { w.loseReply = true }},
	{"platform back up", func(w *world) { w.down = false }},
	{"upstream leaves now", func(w *world) { current(w).leavesAt = w.now }},
	{"upstream leaves and the list lags", func(w *world) {
		w.routeToLeave = true
		w.upstreams[0].leavesAt = w.now
	}},
	{"caller gone", func(w *world) {
		w.callerGone = true
		w.push(dispatcher.CallerGone{})
	}},
	{"request in quarantine", func(w *world) { w.push(dispatcher.Quarantined{}) }},
}

type injection struct {
	at    step
	fault fault
}

// runCell runs one cell; a caller that was told that its request was not run,
// or nothing sure, sends it once more.
func runCell(k kind, injections ...injection) *world {
	w := newWorld(k)
	for _, i := range injections {
		w.faults[i.at] = append(w.faults[i.at], i.fault)
	}
	w.run()
	w.check()
	if w.failed != failure.None {
		w.refuseAll = false
		w.start()
		w.run()
		w.check()
	}
	return w
}

func cells() []injection {
	var all []injection
	for _, s := range steps {
		for _, f := range faults {
			all = append(all, injection{at: s, fault: f})
		}
	}
	return all
}

func TestNoFault(t *testing.T) {
	for _, k := range kinds {
		w := runCell(k)
		if w.failed != failure.None || len(w.problems) > 0 || w.runs != 1 {
			t.Errorf("%s: failed %s, %d runs, %s", k, w.failed, w.runs, w)
		}
	}
}

func TestFaultMatrix(t *testing.T) {
	run, passed := 0, 0
	for _, k := range kinds {
		for _, c := range cells() {
			run++
			if w := runCell(k, c); len(w.problems) > 0 {
				t.Errorf("%s, %s at %s: %s", k, c.fault.name, c.at, w)
				continue
			}
			passed++
		}
	}
	t.Logf("cells run %d, passed %d", run, passed)
}

func TestFaultMatrixOfPairs(t *testing.T) {
	run, passed := 0, 0
	all := cells()
	for _, k := range kinds {
		for i, a := range all {
			for _, b := range all[i:] {
				run++
				if w := runCell(k, a, b); len(w.problems) > 0 {
					if run-passed < 20 {
						t.Errorf("%s, %s at %s, %s at %s: %s", k, a.fault.name, a.at, b.fault.name, b.at, w)
					}
					continue
				}
				passed++
			}
		}
	}
	if run != passed {
		t.Errorf("%d cells failed", run-passed)
	}
	t.Logf("cells run %d, passed %d", run, passed)
}

// TestStreamsSurvive asks for more than truth: these single faults must not
// keep a stream from its end.
func TestStreamsSurvive(t *testing.T) {
	for _, name := range []string{
		"engine crash, back empty under the same address", "connection reset", "connection silent for good",
		"crossed answer", "duplicate chunks", "truncated end", "chunk lost", "end mark before the last chunks", "engine refuses", "upstream leaves now",
	} {
		for _, s := range []step{"dispatched", "firstByte", "midStream", "ended"} {
			for _, f := range faults {
				if f.name != name {
					continue
				}
				if w := runCell("stream", injection{s, f}); !w.finished || w.requestID > 1 {
					t.Errorf("%s at %s: failed %s after %d chunks", name, s, w.failed, len(w.written))
				}
			}
		}
	}
}

func ExampleDispatcher() {
	now := time.Unix(1_800_000_000, 0)
	d := dispatcher.New(dispatcher.Request{ID: "r", Repeatable: true, Deadline: now.Add(time.Minute), MaxAttempts: 3})
	for _, e := range []dispatcher.Event{
		dispatcher.Accepted{},
		dispatcher.Admitted{},
		dispatcher.Routed{Target: dispatcher.Target{Upstream: "engine-1"}},
		dispatcher.Refused{Attempt: "r-1"},
	} {
		for _, a := range d.Handle(now, e) {
			fmt.Printf("%T\n", a)
		}
	}
	// Output:
	// dispatcher.Enqueue
	// dispatcher.Route
	// dispatcher.Send
	// dispatcher.Route
}
