// Package dispatcher is the state machine of one request, from its acceptance
// to its answer: admission, claim, routing, attempts, resumption and the
// verdict about what was run. It does no I/O.
package dispatcher

import (
	"strconv"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/streamer"
)

// Request is what the machine must know of a request.
type Request struct {
	ID string
	// Streaming says that the answer arrives in chunks with offsets.
	Streaming bool
	// Repeatable says that it may be sent to upstreams more than once.
	Repeatable bool
	// Deadline is when an answer must have begun.
	Deadline time.Time
	// MaxAttempts bounds the attempts, resumptions included.
	MaxAttempts int
	// FromOffset is the offset of the first chunk that the caller still lacks.
	FromOffset int
	// Continuable says that another engine can go on from the text sent.
	Continuable bool
	// Resume is where a stream from another entry goes on; zero if none.
	Resume ResumePoint
}

// ResumePoint names a running attempt on an engine.
type ResumePoint struct {
	Target  Target
	Attempt string
}

type phase uint8

const (
	waiting phase = iota
	queued
	claiming
	routing
	running
	done
)

// claimPoll is the pause before a held claim is read again.
const claimPoll = 100 * time.Millisecond

// Dispatcher is the machine. It is not safe for concurrent use.
type Dispatcher struct {
	req      Request
	phase    phase
	stream   streamer.Streamer
	attempt  string
	attempts int
	target   Target
	seen     string // incarnation that answered the attempt
	mode     Mode
	excluded []string
	claimed  bool
	mayRun   bool // the current attempt may have been run
	ran      bool // an earlier attempt may have been run
	gone     bool
	out      []Action
}

// New returns the machine of r.
func New(r Request) *Dispatcher {
	return &Dispatcher{req: r, stream: streamer.New(r.FromOffset)}
}

// Done reports whether the request has ended.
func (d *Dispatcher) Done() bool { return d.phase == done }

// NextOffset returns the next offset of the stream.
func (d *Dispatcher) NextOffset() int { return d.stream.NextOffset() }

// Handle takes an event at now and returns the actions to carry out in order.
// The slice is valid until the next call.
func (d *Dispatcher) Handle(now time.Time, e Event) []Action {
	d.out = d.out[:0]
	if d.phase == done {
		d.handleLate(e)
		return d.out
	}
	switch e := e.(type) {
	case Accepted:
		d.accept(now)
	case Admitted:
		d.admitted(now)
	case Rejected:
		d.fail(e.Kind)
	case Claimed:
		d.claimResult(now, e)
	case Routed:
		d.routed(now, e)
	case Refused:
		d.refused(now, e)
	case Opened:
		d.opened(now, e)
	case Chunk:
		d.chunk(now, e)
	case Ended:
		d.ended(now, e)
	case FullAnswer:
		d.whole(e)
	case Broken:
		d.broken(now, e)
	case Quarantined:
		d.poisoned()
	case Tick:
		d.ticked(now)
	case CallerGone:
		d.callerGone()
	}
	return d.out
}

func (d *Dispatcher) do(a Action) { d.out = append(d.out, a) }

// handleLate takes what arrives after the end: a claim that was granted too
// late is given back, an answer nobody waits for is dropped.
func (d *Dispatcher) handleLate(e Event) {
	switch e := e.(type) {
	case Claimed:
		if e.Outcome == claimer.Granted {
			d.do(Release{})
		}
	case Chunk, Ended, FullAnswer:
		d.do(CountDrop{})
	}
}

func (d *Dispatcher) accept(now time.Time) {
	if d.phase != waiting {
		return
	}
	if !now.Before(d.req.Deadline) {
		d.fail(failure.DeadlinePassed)
		return
	}
	d.phase = queued
	d.do(Enqueue{})
}

func (d *Dispatcher) admitted(now time.Time) {
	if d.phase != queued {
		return
	}
	if !now.Before(d.req.Deadline) {
		d.fail(failure.DeadlinePassed)
		return
	}
	if !d.req.Repeatable {
		d.phase = claiming
		d.do(Claim{})
		return
	}
	if p := d.req.Resume; p.Attempt != "" {
		d.phase = routing
		d.attempt = p.Attempt
		d.seen = p.Target.Incarnation
		d.send(p.Target, Resume)
		return
	}
	d.route(false)
}

func (d *Dispatcher) claimResult(now time.Time, c Claimed) {
	if d.phase != claiming {
		return
	}
	switch c.Outcome {
	case claimer.Granted:
		d.claimed = true
		if !now.Before(d.req.Deadline) {
			d.fail(failure.DeadlinePassed)
			return
		}
		d.route(false)
	case claimer.Answered:
		if c.Answer.Lost() {
			d.failRan(failure.OutcomeUnknown)
			return
		}
		d.phase = done
		d.do(Answer{Answer: c.Answer})
	case claimer.Held:
		if !c.HolderAlive || !now.Before(d.req.Deadline) {
			d.failRan(failure.OutcomeUnknown)
			return
		}
		d.do(PollClaim{Delay: claimPoll})
	case claimer.Mismatch:
		d.fail(failure.KeyReused)
	case claimer.Full:
		d.fail(failure.LedgerFull)
	default:
		d.fail(failure.PlatformDown)
	}
}

func (d *Dispatcher) route(retry bool) {
	d.phase = routing
	d.do(Route{Exclude: d.excluded, Retry: retry})
}

func (d *Dispatcher) routed(now time.Time, r Routed) {
	if d.phase != routing {
		return
	}
	if r.Kind != failure.None {
		d.fail(r.Kind)
		return
	}
	if t := r.Target.LeavesAt; !t.IsZero() && !now.Before(t) {
		d.excluded = append(d.excluded, r.Target.Upstream)
		d.route(false)
		return
	}
	if d.started() {
		d.send(r.Target, Continue)
		return
	}
	if !now.Before(d.req.Deadline) {
		d.fail(failure.DeadlinePassed)
		return
	}
	d.send(r.Target, Fresh)
}

func (d *Dispatcher) started() bool { return d.stream.NextOffset() > 0 }

func (d *Dispatcher) send(t Target, m Mode) {
	d.attempts++
	if m != Resume {
		d.attempt = d.req.ID + "-" + strconv.Itoa(d.attempts)
		d.seen = ""
	}
	d.phase, d.target, d.mode, d.mayRun = running, t, m, true
	d.stream = d.stream.WithAttempt(d.attempt)
	d.do(Send{Attempt: d.attempt, Target: t, Mode: m, FromOffset: d.stream.NextOffset()})
}

func (d *Dispatcher) current(attempt string) bool {
	return d.phase == running && attempt == d.attempt
}

func (d *Dispatcher) refused(now time.Time, e Refused) {
	if !d.current(e.Attempt) {
		return
	}
	d.mayRun = false
	d.excluded = append(d.excluded, d.target.Upstream)
	d.retry(now, failure.NoUpstream)
}

// retry looks for another upstream, or ends the request with kind.
func (d *Dispatcher) retry(now time.Time, kind failure.Kind) {
	switch {
	case d.attempts >= d.req.MaxAttempts:
		d.fail(kind)
	case !d.started() && !now.Before(d.req.Deadline):
		d.fail(failure.DeadlinePassed)
	case d.started() && !d.req.Continuable:
		d.fail(failure.StreamLost)
	default:
		d.route(true)
	}
}

func (d *Dispatcher) opened(now time.Time, e Opened) {
	if !d.current(e.Attempt) {
		return
	}
	if d.mode == Resume && d.seen != "" && e.Incarnation != d.seen {
		d.do(Cancel{Attempt: d.attempt})
		d.lose(now, Broken{Crashed: true})
		return
	}
	d.seen = e.Incarnation
}

func (d *Dispatcher) chunk(now time.Time, c Chunk) {
	s, verdict := d.stream.Accept(c.Attempt, c.Offset)
	switch verdict {
	case streamer.Write:
		d.stream = s
		d.do(Write{Offset: c.Offset, Data: c.Data})
	case streamer.Drop:
		d.do(CountDrop{})
	case streamer.Gap:
		d.do(CountDrop{})
		d.do(Cancel{Attempt: d.attempt})
		d.lose(now, Broken{})
	}
}

func (d *Dispatcher) ended(now time.Time, e Ended) {
	if !d.current(e.Attempt) {
		d.do(CountDrop{})
		return
	}
	if !d.stream.Complete(e.Attempt, e.Total) {
		d.do(Cancel{Attempt: d.attempt})
		d.lose(now, Broken{})
		return
	}
	d.phase = done
	d.do(Finish{})
}

func (d *Dispatcher) whole(e FullAnswer) {
	if !d.current(e.Attempt) {
		d.do(CountDrop{})
		return
	}
	d.phase = done
	if d.claimed {
		d.do(Record{Answer: e.Answer})
	}
	if !d.gone {
		d.do(Answer{Answer: e.Answer})
	}
}

func (d *Dispatcher) broken(now time.Time, e Broken) {
	if !d.current(e.Attempt) {
		return
	}
	if !e.RequestWritten {
		d.refused(now, Refused{Attempt: e.Attempt})
		return
	}
	d.lose(now, e)
}

// lose goes on after an attempt that may have been run has ended early.
// A silent connection says nothing against the upstream, which may be the only
// one, so that it may be chosen again.
func (d *Dispatcher) lose(now time.Time, e Broken) {
	d.ran = true
	if !d.req.Repeatable {
		d.fail(failure.OutcomeUnknown)
		return
	}
	if d.started() && !e.Crashed && d.mode != Resume && d.seen != "" && d.attempts < d.req.MaxAttempts {
		d.send(d.target.withIncarnation(d.seen), Resume)
		return
	}
	if !e.Silent || e.Crashed {
		d.excluded = append(d.excluded, d.target.Upstream)
	}
	d.retry(now, failure.UpstreamFailed)
}

func (t Target) withIncarnation(i string) Target {
	t.Incarnation = i
	return t
}

func (d *Dispatcher) poisoned() {
	if d.phase == running {
		d.ran = true
		d.do(Cancel{Attempt: d.attempt})
	}
	d.fail(failure.Quarantined)
}

func (d *Dispatcher) ticked(now time.Time) {
	if now.Before(d.req.Deadline) || d.started() {
		return
	}
	switch d.phase {
	case queued, routing:
		d.fail(failure.DeadlinePassed)
	case claiming:
		// The claim may be granted later; handleLate then releases it.
		d.fail(failure.DeadlinePassed)
	case running:
		if !d.req.Repeatable {
			return // its answer is still worth recording
		}
		d.ran = true
		d.do(Cancel{Attempt: d.attempt})
		d.fail(failure.DeadlinePassed)
	}
}

func (d *Dispatcher) callerGone() {
	d.gone = true
	if d.phase == running && !d.req.Repeatable {
		return // let it end, so that the answer can be kept
	}
	if d.phase == running {
		d.do(Cancel{Attempt: d.attempt})
	}
	d.fail(failure.CallerGone)
}

// failRan ends the request when another node may have run it.
func (d *Dispatcher) failRan(k failure.Kind) {
	d.ran = true
	d.fail(k)
}

// fail ends the request. A kind that says "not run" becomes one that doesn't
// when an attempt may have been run.
func (d *Dispatcher) fail(k failure.Kind) {
	ran := d.ran || d.phase == running && d.mayRun
	if ran && k.Answer().Verdict == failure.NotRun {
		k = failure.UpstreamFailed
		if !d.req.Repeatable {
			k = failure.OutcomeUnknown
		}
	}
	d.phase = done
	switch {
	case d.claimed && ran:
		d.do(Record{Answer: claimer.Answer{}})
	case d.claimed:
		d.do(Release{})
	}
	d.do(Fail{Kind: k})
}
