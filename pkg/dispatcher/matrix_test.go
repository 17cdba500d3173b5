package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// fault is one row of the fault matrix; the columns are the steps.
type fault struct {
	name   string
	inject func(sim *simulation)
}

func currentUpstream(sim *simulation) *upstream {
	if sim.activeSend == nil {
		return sim.upstreams[0]
	}
	return sim.find(sim.activeSend.Target.Upstream)
}

func crashUpstream(sim *simulation) {
	u := currentUpstream(sim)
	u.incarnation++
	u.attempts = map[string]int{}
	sim.breakAttempt(true)
}

var faults = []fault{
	{"engine crash and restart under the same address", crashUpstream},
	{"undetected engine crash", func(sim *simulation) {
		u := currentUpstream(sim)
		u.incarnation++
		sim.breakAttempt(false)
	}},
	{"connection reset", func(sim *simulation) { sim.breakAttempt(false) }},
	{"connection silent forever", func(sim *simulation) { currentUpstream(sim).silent = true }},
	{"chunks of another attempt", func(sim *simulation) { sim.addForeignChunks = true }},
	{"late response of an aborted attempt", func(sim *simulation) {
		sim.pushEvent(dispatcher.FullAnswer{Attempt: "r0-1", Answer: claimer.Answer{Body: []byte("foreign")}})
		sim.pushEvent(dispatcher.Chunk{Attempt: "r0-1", Offset: len(sim.written), Data: []byte("foreign")})
		sim.pushEvent(dispatcher.Ended{Attempt: "r0-1", Total: len(sim.written)})
	}},
	{"response that isn't a stream", func(sim *simulation) { sim.wholeResponse = true }},
	{"duplicate chunks", func(sim *simulation) { sim.duplicateChunks = true }},
	{"truncated stream", func(sim *simulation) { sim.truncateStream = true }},
	{"chunk lost", func(sim *simulation) { sim.loseChunk = true }},
	{"end mark before the last chunk", func(sim *simulation) {
		if sim.activeSend != nil {
			sim.pushEvent(dispatcher.Ended{Attempt: sim.activeSend.Attempt, Total: answerLength})
			sim.activeSend = nil
		}
	}},
	{"claim granted after the deadline", func(sim *simulation) { sim.delayClaim = true }},
	{"engine refuses", func(sim *simulation) { currentUpstream(sim).refuses = true }},
	{"every engine refuses", func(sim *simulation) { sim.refuseAll = true }},
	{"slow", func(sim *simulation) { sim.now = sim.now.Add(20 * time.Second) }},
	{"entry node paused for a minute", func(sim *simulation) { sim.now = sim.now.Add(time.Minute) }},
	{"entry node killed, caller retries at another", func(sim *simulation) {
		sim.holderAlive, sim.claimMayStayHeld = false, true
		sim.startRequest()
	}},
	{"platform down", func(sim *simulation) { sim.platformDown = true }},
	{"platform reply lost after the write", func(sim *simulation) { sim.loseClaimReply = true }},
	{"platform back up", func(sim *simulation) { sim.platformDown = false }},
	{"upstream leaves", func(sim *simulation) { currentUpstream(sim).leavesAt = sim.now }},
	{"upstream leaves but routing still returns it", func(sim *simulation) {
		sim.routeToLeaving = true
		sim.upstreams[0].leavesAt = sim.now
	}},
	{"caller disconnects", func(sim *simulation) {
		sim.callerGone = true
		sim.pushEvent(dispatcher.CallerGone{})
	}},
	{"request in quarantine", func(sim *simulation) { sim.pushEvent(dispatcher.Quarantined{}) }},
}

type injection struct {
	at    step
	fault fault
}

// runCell runs one cell of the matrix. If the request fails, the caller retries
// it once.
func runCell(k kind, injections ...injection) *simulation {
	sim := newSimulation(k)
	for _, i := range injections {
		sim.faults[i.at] = append(sim.faults[i.at], i.fault)
	}
	sim.run()
	sim.check()
	if sim.failed != failure.None {
		sim.refuseAll = false
		sim.startRequest()
		sim.run()
		sim.check()
	}
	return sim
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

func TestWithoutFaults(t *testing.T) {
	for _, k := range kinds {
		sim := runCell(k)
		if sim.failed != failure.None || len(sim.problems) > 0 || sim.runs != 1 {
			t.Errorf("%s: failed %s, %d runs, %s", k, sim.failed, sim.runs, sim)
		}
	}
}

func TestFaultMatrix(t *testing.T) {
	run, passed := 0, 0
	for _, k := range kinds {
		for _, c := range cells() {
			run++
			if sim := runCell(k, c); len(sim.problems) > 0 {
				t.Errorf("%s, %s at %s: %s", k, c.fault.name, c.at, sim)
				continue
			}
			passed++
		}
	}
	t.Logf("cells run %d, passed %d", run, passed)
}

func TestFaultPairMatrix(t *testing.T) {
	run, passed := 0, 0
	all := cells()
	for _, k := range kinds {
		for i, a := range all {
			for _, b := range all[i:] {
				run++
				if sim := runCell(k, a, b); len(sim.problems) > 0 {
					if run-passed < 20 {
						t.Errorf("%s, %s at %s, %s at %s: %s", k, a.fault.name, a.at, b.fault.name, b.at, sim)
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

// TestStreamsFinishDespiteFault requires that a stream completes on the first
// request in spite of one of these faults, not only that its verdict is correct.
func TestStreamsFinishDespiteFault(t *testing.T) {
	for _, name := range []string{
		"engine crash and restart under the same address", "connection reset", "connection silent forever",
		"chunks of another attempt", "duplicate chunks", "truncated stream", "chunk lost", "end mark before the last chunk", "engine refuses", "upstream leaves",
	} {
		for _, s := range []step{"dispatched", "firstByte", "midStream", "ended"} {
			for _, f := range faults {
				if f.name != name {
					continue
				}
				if sim := runCell("stream", injection{s, f}); !sim.finished || sim.requestNumber > 1 {
					t.Errorf("%s at %s: failed %s after %d chunks", name, s, sim.failed, len(sim.written))
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
