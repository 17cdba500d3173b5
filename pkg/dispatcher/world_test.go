package dispatcher_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// step is a point in the life of a request at which a fault may strike.
type step string

var steps = []step{"accepted", "queued", "claimed", "dispatched", "firstByte", "midStream", "ended", "answered"}

// kind is what sort of request runs.
type kind string

var kinds = []kind{"stream", "repeatable", "once"}

// upstream is a fake engine or service.
type upstream struct {
	name        string
	incarnation int
	leavesAt    time.Time
	refuses     bool
	silent      bool // on the connections that are open now
	attempts    map[string]int
}

// world runs one request, its retries at other nodes included, against fakes.
type world struct {
	kind      kind
	now       time.Time
	faults    map[step][]fault
	upstreams []*upstream
	machine   *dispatcher.Dispatcher
	requestID int
	events    []dispatcher.Event
	chunk     int // sent on the open connection
	sending   *dispatcher.Send

	down         bool // the platform
	loseReply    bool
	claimHeld    bool
	kept         *claimer.Answer
	holderAlive  bool
	duplicate    bool
	cross        bool
	truncate     bool
	refuseAll    bool
	callerGone   bool
	routeToLeave bool
	loseChunk    bool
	lateClaim    bool
	stuckClaim   bool // the claim may stay held although nothing ran

	runs      int
	runsOfTry int
	written   []string
	finished  bool
	answered  string
	failed    failure.Kind
	ended     bool
	problems  []string
}

const answerLength = 4

func newWorld(k kind) *world {
	w := &world{kind: k, now: time.Unix(1_800_000_000, 0), faults: map[step][]fault{}, holderAlive: true}
	for i := range 3 {
		w.upstreams = append(w.upstreams, &upstream{name: fmt.Sprint("u", i), incarnation: 1, attempts: map[string]int{}})
	}
	w.start()
	return w
}

// start begins a try of the caller at a node that knows nothing.
func (w *world) start() {
	w.requestID++
	w.runsOfTry = 0
	w.events = []dispatcher.Event{dispatcher.Accepted{}}
	w.sending, w.ended, w.finished, w.failed = nil, false, false, failure.None
	w.written, w.answered, w.callerGone = nil, "", false
	w.machine = dispatcher.New(dispatcher.Request{
		ID: fmt.Sprint("r", w.requestID), Streaming: w.kind == "stream", Repeatable: w.kind != "once",
		Deadline: w.now.Add(30 * time.Second), MaxAttempts: 6, Continuable: true,
	})
}

func (w *world) reach(s step) {
	for _, f := range w.faults[s] {
		f.strike(w)
	}
	delete(w.faults, s)
}

// run works until the request has ended.
func (w *world) run() {
	const limit = 400
	for range limit {
		if w.ended && len(w.events) == 0 {
			return
		}
		if len(w.events) == 0 {
			w.idle()
		}
		if len(w.events) == 0 {
			continue
		}
		e := w.events[0]
		w.events = w.events[1:]
		for _, a := range append([]dispatcher.Action(nil), w.machine.Handle(w.now, e)...) {
			w.perform(a)
		}
		// A caller that has gone gets no answer; its request ends all the same.
		w.ended = w.ended || w.callerGone && w.machine.Done()
	}
	w.problem("the request never ended")
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) push(e dispatcher.Event) { w.events = append(w.events, e) }

// idle lets the open attempt go on, or time pass.
func (w *world) idle() {
	w.now = w.now.Add(time.Second)
	if w.sending == nil {
		w.push(dispatcher.Tick{})
		return
	}
	u := w.find(w.sending.Target.Upstream)
	if u.silent {
		w.now = w.now.Add(5 * time.Second)
		u.silent = false // the next attempt has a new connection
		w.push(dispatcher.Broken{Attempt: w.sending.Attempt, RequestWritten: true, Silent: true})
		w.sending = nil
		return
	}
	w.deliver(u)
}

func (w *world) find(name string) *upstream {
	for _, u := range w.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

func (w *world) breakAttempt(crashed bool) {
	if w.sending == nil {
		return
	}
	w.push(dispatcher.Broken{Attempt: w.sending.Attempt, RequestWritten: true, Crashed: crashed})
	w.sending = nil
}

func (w *world) deliver(u *upstream) {
	s := w.sending
	if w.kind != "stream" {
		w.reach("firstByte")
		w.reach("ended")
		if w.sending == s {
			w.push(dispatcher.FullAnswer{Attempt: s.Attempt, Answer: claimer.Answer{Status: 200, Body: []byte("whole answer")}})
			w.sending = nil
		}
		return
	}
	offset := s.FromOffset + w.chunk
	switch {
	case w.chunk == 0 && offset < answerLength:
		w.reach("firstByte")
	case offset < answerLength:
		w.reach("midStream")
	default:
		w.reach("ended")
	}
	if w.sending != s || u.silent {
		return
	}
	if w.truncate {
		w.truncate = false
		w.breakAttempt(false)
		return
	}
	if offset >= answerLength {
		w.push(dispatcher.Ended{Attempt: s.Attempt, Total: answerLength})
		w.sending = nil
		return
	}
	w.chunk++
	if w.loseChunk {
		w.loseChunk = false
		return
	}
	if w.cross {
		w.push(dispatcher.Chunk{Attempt: "another", Offset: offset, Data: []byte("foreign")})
	}
	data := []byte(fmt.Sprint("t", offset))
	if u.attempts[s.Attempt] != u.incarnation {
		data = []byte("tokens of other weights") // an engine that lost the attempt goes on all the same
	}
	w.push(dispatcher.Chunk{Attempt: s.Attempt, Offset: offset, Data: data})
	if w.duplicate {
		w.push(dispatcher.Chunk{Attempt: s.Attempt, Offset: offset, Data: data})
	}
}

func (w *world) perform(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Enqueue:
		w.reach("accepted")
		w.push(dispatcher.Admitted{})
		w.reach("queued")
	case dispatcher.Claim:
		w.claim()
	case dispatcher.PollClaim:
		w.now = w.now.Add(a.Delay)
		w.claim()
	case dispatcher.Route:
		w.route(a)
	case dispatcher.Send:
		w.send(a)
	case dispatcher.Cancel:
		w.sending = nil
	case dispatcher.Write:
		w.write(a)
	case dispatcher.Record:
		if !w.down {
			w.kept = &a.Answer
		}
	case dispatcher.Release:
		w.claimHeld = false
	case dispatcher.Answer:
		w.answered = string(a.Answer.Body)
		w.end()
	case dispatcher.Finish:
		w.finished = true
		w.end()
	case dispatcher.Fail:
		w.failed = a.Kind
		w.end()
	}
}

func (w *world) end() {
	if w.ended {
		w.problem("the caller got two answers")
	}
	w.ended, w.sending = true, nil
	w.reach("answered")
}

func (w *world) claim() {
	if w.lateClaim {
		w.lateClaim = false
		w.now = w.now.Add(time.Minute)
		w.push(dispatcher.Tick{})
	}
	switch {
	case w.down:
		w.push(dispatcher.Claimed{Outcome: claimer.Unavailable})
	case w.kept != nil:
		w.push(dispatcher.Claimed{Outcome: claimer.Answered, Answer: *w.kept})
	case w.claimHeld:
		w.push(dispatcher.Claimed{Outcome: claimer.Held, HolderAlive: w.holderAlive})
	case w.loseReply:
		w.claimHeld, w.loseReply, w.stuckClaim = true, false, true
		w.push(dispatcher.Claimed{Outcome: claimer.Unavailable})
	default:
		w.claimHeld = true
		w.push(dispatcher.Claimed{Outcome: claimer.Granted})
	}
	w.reach("claimed")
}

func (w *world) route(a dispatcher.Route) {
	for _, u := range w.upstreams {
		excluded := false
		for _, x := range a.Exclude {
			excluded = excluded || x == u.name
		}
		leaving := !u.leavesAt.IsZero() && !w.now.Before(u.leavesAt) && !w.routeToLeave
		if !excluded && !leaving {
			w.push(dispatcher.Routed{Target: dispatcher.Target{Upstream: u.name, Incarnation: fmt.Sprint(u.incarnation), LeavesAt: u.leavesAt}})
			return
		}
	}
	w.push(dispatcher.Routed{Kind: failure.NoUpstream})
}

func (w *world) send(s dispatcher.Send) {
	u := w.find(s.Target.Upstream)
	if !u.leavesAt.IsZero() && !w.now.Before(u.leavesAt) && s.Mode != dispatcher.Resume {
		w.problem("dispatched to %s after it left", u.name)
	}
	refused := u.refuses || w.refuseAll
	if s.Mode == dispatcher.Resume {
		u.silent = false // a new connection
		_, known := u.attempts[s.Attempt]
		refused = refused || !known
	}
	if refused {
		w.push(dispatcher.Refused{Attempt: s.Attempt})
		return
	}
	w.runs++
	w.runsOfTry++
	if s.Mode != dispatcher.Resume {
		u.attempts[s.Attempt] = u.incarnation
	}
	w.sending, w.chunk = &s, 0
	w.push(dispatcher.Opened{Attempt: s.Attempt, Incarnation: fmt.Sprint(u.incarnation)})
	w.reach("dispatched")
}

func (w *world) write(a dispatcher.Write) {
	if want := fmt.Sprint("t", len(w.written)); string(a.Data) != want || a.Offset != len(w.written) {
		w.problem("wrote %q at %d, want %q", a.Data, a.Offset, want)
	}
	w.written = append(w.written, string(a.Data))
}

// check asserts the promises after the end of a try.
func (w *world) check() {
	if w.kind == "once" && w.runs > 1 {
		w.problem("a request that may not be repeated ran %d times", w.runs)
	}
	if w.failed != failure.None && w.failed.Answer().Verdict == failure.NotRun && w.runsOfTry > 0 {
		w.problem("told %s, which says not run, after %d runs", w.failed, w.runsOfTry)
	}
	if w.kind == "once" && w.ended && w.runs == 0 && w.claimHeld && !w.stuckClaim {
		w.problem("the claim of a request that was not run stays held")
	}
	if w.finished && len(w.written) != answerLength {
		w.problem("a stream of %d chunks was called complete", len(w.written))
	}
	if w.answered != "" && w.answered != "whole answer" {
		w.problem("a wrong answer %q", w.answered)
	}
	if w.ended && !w.callerGone && !w.finished && w.answered == "" && w.failed == failure.None {
		w.problem("the caller got no answer")
	}
}

func (w *world) String() string { return strings.Join(w.problems, "; ") }
