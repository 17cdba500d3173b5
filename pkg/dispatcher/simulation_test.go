package dispatcher_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// step is a point in the processing of a request at which faults are injected.
type step string

var steps = []step{"accepted", "queued", "claimed", "dispatched", "firstByte", "midStream", "ended", "answered"}

// kind is the kind of request: a stream, a repeatable request, or a
// non-idempotent one, which runs at most once.
type kind string

var kinds = []kind{"stream", "repeatable", "once"}

// upstream is a fake engine or service.
type upstream struct {
	name        string
	incarnation int
	leavesAt    time.Time
	refuses     bool
	silent      bool           // sends nothing on the connections that are open now
	attempts    map[string]int // attempt to the incarnation that received it
}

// simulation runs one request, including the caller's retries at other nodes,
// against fakes.
type simulation struct {
	kind          kind
	now           time.Time
	faults        map[step][]fault
	upstreams     []*upstream
	dispatcher    *dispatcher.Dispatcher
	requestNumber int
	events        []dispatcher.Event
	chunksSent    int // sent on the open connection
	activeSend    *dispatcher.Send

	platformDown     bool
	loseClaimReply   bool
	claimHeld        bool
	storedAnswer     *claimer.Answer
	holderAlive      bool
	duplicateChunks  bool
	addForeignChunks bool
	truncateStream   bool
	wholeResponse    bool // the next response isn't a stream
	refuseAll        bool
	callerGone       bool
	routeToLeaving   bool
	loseChunk        bool
	delayClaim       bool
	claimMayStayHeld bool // even if the request did not run

	runs          int
	runsOfRequest int
	written       []string
	finished      bool
	answered      string
	failed        failure.Kind
	ended         bool
	problems      []string
}

const answerLength = 4

// noStream is the body of a response to a streaming request that isn't a stream.
const noStream = "no stream"

func newSimulation(k kind) *simulation {
	sim := &simulation{kind: k, now: time.Unix(1_800_000_000, 0), faults: map[step][]fault{}, holderAlive: true}
	for i := range 3 {
		sim.upstreams = append(sim.upstreams, &upstream{name: fmt.Sprint("u", i), incarnation: 1, attempts: map[string]int{}})
	}
	sim.startRequest()
	return sim
}

// startRequest sends the caller's request to a node without earlier state.
func (sim *simulation) startRequest() {
	sim.requestNumber++
	sim.runsOfRequest = 0
	sim.events = []dispatcher.Event{dispatcher.Accepted{}}
	sim.activeSend, sim.ended, sim.finished, sim.failed = nil, false, false, failure.None
	sim.written, sim.answered, sim.callerGone = nil, "", false
	sim.dispatcher = dispatcher.New(dispatcher.Request{
		ID: fmt.Sprint("r", sim.requestNumber), Streaming: sim.kind == "stream", Repeatable: sim.kind != "once",
		Deadline: sim.now.Add(30 * time.Second), MaxAttempts: 6, Continuable: true,
	})
}

func (sim *simulation) injectFaults(s step) {
	for _, f := range sim.faults[s] {
		f.inject(sim)
	}
	delete(sim.faults, s)
}

// run processes events until the request has ended.
func (sim *simulation) run() {
	const limit = 400
	for range limit {
		if sim.ended && len(sim.events) == 0 {
			return
		}
		if len(sim.events) == 0 {
			sim.proceed()
		}
		if len(sim.events) == 0 {
			continue
		}
		e := sim.events[0]
		sim.events = sim.events[1:]
		for _, a := range append([]dispatcher.Action(nil), sim.dispatcher.Handle(sim.now, e)...) {
			sim.perform(a)
		}
		// After a disconnect the caller gets no response, but its request ends.
		sim.ended = sim.ended || sim.callerGone && sim.dispatcher.Done()
	}
	sim.problem("the request did not end")
}

func (sim *simulation) problem(format string, args ...any) {
	sim.problems = append(sim.problems, fmt.Sprintf(format, args...))
}

func (sim *simulation) pushEvent(e dispatcher.Event) { sim.events = append(sim.events, e) }

// proceed advances the clock and then the active attempt, if there is one.
func (sim *simulation) proceed() {
	sim.now = sim.now.Add(time.Second)
	if sim.activeSend == nil {
		sim.pushEvent(dispatcher.Tick{})
		return
	}
	u := sim.find(sim.activeSend.Target.Upstream)
	if u.silent {
		sim.now = sim.now.Add(5 * time.Second)
		u.silent = false // the next attempt has a new connection
		sim.pushEvent(dispatcher.Broken{Attempt: sim.activeSend.Attempt, RequestWritten: true, Silent: true})
		sim.activeSend = nil
		return
	}
	sim.deliver(u)
}

func (sim *simulation) find(name string) *upstream {
	for _, u := range sim.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

func (sim *simulation) breakAttempt(crashed bool) {
	if sim.activeSend == nil {
		return
	}
	sim.pushEvent(dispatcher.Broken{Attempt: sim.activeSend.Attempt, RequestWritten: true, Crashed: crashed})
	sim.activeSend = nil
}

func (sim *simulation) deliver(u *upstream) {
	s := sim.activeSend
	if sim.kind != "stream" {
		sim.injectFaults("firstByte")
		sim.injectFaults("ended")
		if sim.activeSend == s {
			sim.pushEvent(dispatcher.FullAnswer{Attempt: s.Attempt, Answer: claimer.Answer{Status: 200, Body: []byte("whole answer")}})
			sim.activeSend = nil
		}
		return
	}
	offset := s.FromOffset + sim.chunksSent
	switch {
	case sim.chunksSent == 0 && offset < answerLength:
		sim.injectFaults("firstByte")
	case offset < answerLength:
		sim.injectFaults("midStream")
	default:
		sim.injectFaults("ended")
	}
	if sim.activeSend != s || u.silent {
		return
	}
	if sim.wholeResponse && sim.chunksSent == 0 {
		sim.wholeResponse = false
		sim.pushEvent(dispatcher.FullAnswer{Attempt: s.Attempt, Answer: claimer.Answer{Status: 400, Body: []byte(noStream)}})
		sim.activeSend = nil
		return
	}
	if sim.truncateStream {
		sim.truncateStream = false
		sim.breakAttempt(false)
		return
	}
	if offset >= answerLength {
		sim.pushEvent(dispatcher.Ended{Attempt: s.Attempt, Total: answerLength})
		sim.activeSend = nil
		return
	}
	sim.chunksSent++
	if sim.loseChunk {
		sim.loseChunk = false
		return
	}
	if sim.addForeignChunks {
		sim.pushEvent(dispatcher.Chunk{Attempt: "another", Offset: offset, Data: []byte("foreign")})
	}
	data := []byte(fmt.Sprint("t", offset))
	if u.attempts[s.Attempt] != u.incarnation {
		data = []byte("tokens of other weights") // a restarted engine continues although it lost the attempt
	}
	sim.pushEvent(dispatcher.Chunk{Attempt: s.Attempt, Offset: offset, Data: data})
	if sim.duplicateChunks {
		sim.pushEvent(dispatcher.Chunk{Attempt: s.Attempt, Offset: offset, Data: data})
	}
}

func (sim *simulation) perform(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Enqueue:
		sim.injectFaults("accepted")
		sim.pushEvent(dispatcher.Admitted{})
		sim.injectFaults("queued")
	case dispatcher.Claim:
		sim.claim()
	case dispatcher.PollClaim:
		sim.now = sim.now.Add(a.Delay)
		sim.claim()
	case dispatcher.Route:
		sim.route(a)
	case dispatcher.Send:
		sim.send(a)
	case dispatcher.Cancel:
		sim.activeSend = nil
	case dispatcher.Write:
		sim.write(a)
	case dispatcher.Record:
		if !sim.platformDown {
			sim.storedAnswer = &a.Answer
		}
	case dispatcher.Release:
		sim.claimHeld = false
	case dispatcher.Answer:
		sim.answered = string(a.Answer.Body)
		if len(sim.written) > 0 {
			sim.problem("a whole response after %d chunks of a stream", len(sim.written))
		}
		sim.end()
	case dispatcher.Finish:
		sim.finished = true
		sim.end()
	case dispatcher.Fail:
		sim.failed = a.Kind
		sim.end()
	}
}

func (sim *simulation) end() {
	if sim.ended {
		sim.problem("the caller got two responses")
	}
	sim.ended, sim.activeSend = true, nil
	sim.injectFaults("answered")
}

func (sim *simulation) claim() {
	if sim.delayClaim {
		sim.delayClaim = false
		sim.now = sim.now.Add(time.Minute)
		sim.pushEvent(dispatcher.Tick{})
	}
	switch {
	case sim.platformDown:
		sim.pushEvent(dispatcher.Claimed{Outcome: claimer.Unavailable})
	case sim.storedAnswer != nil:
		sim.pushEvent(dispatcher.Claimed{Outcome: claimer.Answered, Answer: *sim.storedAnswer})
	case sim.claimHeld:
		sim.pushEvent(dispatcher.Claimed{Outcome: claimer.Held, HolderAlive: sim.holderAlive})
	case sim.loseClaimReply:
		sim.claimHeld, sim.loseClaimReply, sim.claimMayStayHeld = true, false, true
		sim.pushEvent(dispatcher.Claimed{Outcome: claimer.Unavailable})
	default:
		sim.claimHeld = true
		sim.pushEvent(dispatcher.Claimed{Outcome: claimer.Granted})
	}
	sim.injectFaults("claimed")
}

func (sim *simulation) route(a dispatcher.Route) {
	for _, u := range sim.upstreams {
		excluded := false
		for _, x := range a.Exclude {
			excluded = excluded || x == u.name
		}
		leaving := !u.leavesAt.IsZero() && !sim.now.Before(u.leavesAt) && !sim.routeToLeaving
		if !excluded && !leaving {
			sim.pushEvent(dispatcher.Routed{Target: dispatcher.Target{Upstream: u.name, Incarnation: fmt.Sprint(u.incarnation), LeavesAt: u.leavesAt}})
			return
		}
	}
	sim.pushEvent(dispatcher.Routed{Kind: failure.NoUpstream})
}

func (sim *simulation) send(s dispatcher.Send) {
	u := sim.find(s.Target.Upstream)
	if !u.leavesAt.IsZero() && !sim.now.Before(u.leavesAt) && s.Mode != dispatcher.Resume {
		sim.problem("dispatched to %s after it left", u.name)
	}
	refused := u.refuses || sim.refuseAll
	if s.Mode == dispatcher.Resume {
		u.silent = false // a new connection
		_, known := u.attempts[s.Attempt]
		refused = refused || !known
	}
	if refused {
		sim.pushEvent(dispatcher.Refused{Attempt: s.Attempt})
		return
	}
	sim.runs++
	sim.runsOfRequest++
	if s.Mode != dispatcher.Resume {
		u.attempts[s.Attempt] = u.incarnation
	}
	sim.activeSend, sim.chunksSent = &s, 0
	sim.pushEvent(dispatcher.Opened{Attempt: s.Attempt, Incarnation: fmt.Sprint(u.incarnation)})
	sim.injectFaults("dispatched")
}

func (sim *simulation) write(a dispatcher.Write) {
	if want := fmt.Sprint("t", len(sim.written)); string(a.Data) != want || a.Offset != len(sim.written) {
		sim.problem("wrote %q at %d, want %q", a.Data, a.Offset, want)
	}
	sim.written = append(sim.written, string(a.Data))
}

// check verifies the guarantees to the caller after the end of a request.
func (sim *simulation) check() {
	if sim.kind == "once" && sim.runs > 1 {
		sim.problem("a non-idempotent request ran %d times", sim.runs)
	}
	if sim.failed != failure.None && sim.failed.Response().Verdict == failure.NotRun && sim.runsOfRequest > 0 {
		sim.problem("error %s reports not run, but the request ran %d times", sim.failed, sim.runsOfRequest)
	}
	if sim.kind == "once" && sim.ended && sim.runs == 0 && sim.claimHeld && !sim.claimMayStayHeld {
		sim.problem("the claim of a request that was not run stays held")
	}
	if sim.finished && len(sim.written) != answerLength {
		sim.problem("a stream of %d chunks was reported as complete", len(sim.written))
	}
	if sim.answered != "" && sim.answered != "whole answer" && (sim.answered != noStream || sim.kind != "stream") {
		sim.problem("wrong response %q", sim.answered)
	}
	if sim.ended && !sim.callerGone && !sim.finished && sim.answered == "" && sim.failed == failure.None {
		sim.problem("the caller got no response")
	}
}

func (sim *simulation) String() string { return strings.Join(sim.problems, "; ") }
