// Package dispatcher implements the state machine that takes one request from
// its acceptance to its response: admission, the claim of a non-idempotent
// request, routing, attempts at upstreams, resumption of a stream, and the
// verdict on whether the request ran. It does no I/O: the caller passes events
// in and executes the returned actions.
package dispatcher

import (
	"strconv"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/streamer"
)

// Request describes the request to a Dispatcher.
type Request struct {
	ID string
	// Streaming means that the response arrives in chunks with offsets.
	Streaming bool
	// Repeatable means that the request may be sent to upstreams more than once.
	Repeatable bool
	// Deadline is the latest time for the start of the response.
	Deadline time.Time
	// MaxAttempts bounds the number of attempts, including resumptions.
	MaxAttempts int
	// FromOffset is the offset of the first chunk that the caller has not received.
	FromOffset int
	// Continuable means that another engine can continue from the text that was
	// already sent.
	Continuable bool
	// Resume identifies the running attempt with which a stream from another
	// entry node continues; zero if there is none.
	Resume ResumePoint
}

// ResumePoint identifies a running attempt on an engine.
type ResumePoint struct {
	Target  Target
	Attempt string
}

type phase uint8

const (
	notStarted phase = iota
	queued
	claiming
	routing
	running
	done
)

// claimPollInterval is the delay before a held claim is requested again.
const claimPollInterval = 100 * time.Millisecond

// Dispatcher is the state machine of one request. It is not safe for concurrent
// use.
type Dispatcher struct {
	req               Request
	phase             phase
	stream            streamer.Streamer
	attemptID         string
	attempts          int
	target            Target
	answeredBy        string // incarnation that responded to the attempt
	mode              Mode
	excluded          []string
	claimed           bool
	attemptMayHaveRun bool // the current attempt may have run
	earlierMayHaveRun bool // an earlier attempt may have run
	callerLeft        bool
	actions           []Action
}

// New returns the Dispatcher of r.
func New(r Request) *Dispatcher {
	return &Dispatcher{req: r, stream: streamer.New(r.FromOffset)}
}

// Done reports whether the request has ended.
func (d *Dispatcher) Done() bool { return d.phase == done }

// NextOffset returns the offset of the next chunk to send to the caller.
func (d *Dispatcher) NextOffset() int { return d.stream.NextOffset() }

// Handle processes an event that occurred at now and returns the actions to
// execute in order. The slice is valid until the next call.
func (d *Dispatcher) Handle(now time.Time, e Event) []Action {
	d.actions = d.actions[:0]
	if d.phase == done {
		d.handleAfterDone(e)
		return d.actions
	}
	switch e := e.(type) {
	case Accepted:
		d.handleAccepted(now)
	case Admitted:
		d.handleAdmitted(now)
	case Rejected:
		d.fail(e.Kind)
	case Claimed:
		d.handleClaimed(now, e)
	case Routed:
		d.handleRouted(now, e)
	case Refused:
		d.handleRefused(now, e)
	case Opened:
		d.handleOpened(now, e)
	case Chunk:
		d.handleChunk(now, e)
	case Ended:
		d.handleEnded(now, e)
	case FullAnswer:
		d.handleFullAnswer(now, e)
	case Broken:
		d.handleBroken(now, e)
	case Abandoned:
		d.handleAbandoned(e)
	case Quarantined:
		d.handleQuarantined()
	case Tick:
		d.handleTick(now)
	case CallerGone:
		d.handleCallerGone()
	}
	return d.actions
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// handleAfterDone handles events that arrive after the request has ended. It
// releases a claim that was granted too late and counts a late response as
// dropped.
func (d *Dispatcher) handleAfterDone(e Event) {
	switch e := e.(type) {
	case Claimed:
		if e.Outcome == claimer.Granted {
			d.emit(Release{})
		}
	case Chunk, Ended, FullAnswer:
		d.emit(CountDrop{})
	}
}

func (d *Dispatcher) handleAccepted(now time.Time) {
	if d.phase != notStarted {
		return
	}
	if !now.Before(d.req.Deadline) {
		d.fail(failure.DeadlinePassed)
		return
	}
	d.phase = queued
	d.emit(Enqueue{})
}

func (d *Dispatcher) handleAdmitted(now time.Time) {
	if d.phase != queued {
		return
	}
	if !now.Before(d.req.Deadline) {
		d.fail(failure.DeadlinePassed)
		return
	}
	if !d.req.Repeatable {
		d.phase = claiming
		d.emit(Claim{})
		return
	}
	if p := d.req.Resume; p.Attempt != "" {
		d.phase = routing
		d.attemptID = p.Attempt
		d.answeredBy = p.Target.Incarnation
		d.send(p.Target, Resume)
		return
	}
	d.route(false)
}

func (d *Dispatcher) handleClaimed(now time.Time, c Claimed) {
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
			d.failPossiblyRun(failure.OutcomeUnknown)
			return
		}
		d.phase = done
		d.emit(Answer{Answer: c.Answer})
	case claimer.Held:
		if !c.HolderAlive || !now.Before(d.req.Deadline) {
			d.failPossiblyRun(failure.OutcomeUnknown)
			return
		}
		d.emit(PollClaim{Delay: claimPollInterval})
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
	d.emit(Route{Exclude: d.excluded, Retry: retry})
}

func (d *Dispatcher) handleRouted(now time.Time, r Routed) {
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
	if d.streamStarted() {
		d.send(r.Target, Continue)
		return
	}
	if !now.Before(d.req.Deadline) {
		d.fail(failure.DeadlinePassed)
		return
	}
	d.send(r.Target, Fresh)
}

func (d *Dispatcher) streamStarted() bool { return d.stream.NextOffset() > 0 }

func (d *Dispatcher) send(t Target, m Mode) {
	d.attempts++
	if m != Resume {
		d.attemptID = d.req.ID + "-" + strconv.Itoa(d.attempts)
		d.answeredBy = ""
	}
	d.phase, d.target, d.mode, d.attemptMayHaveRun = running, t, m, true
	d.stream = d.stream.WithAttempt(d.attemptID)
	d.emit(Send{Attempt: d.attemptID, Target: t, Mode: m, FromOffset: d.stream.NextOffset()})
}

func (d *Dispatcher) isCurrent(attempt string) bool {
	return d.phase == running && attempt == d.attemptID
}

func (d *Dispatcher) handleRefused(now time.Time, e Refused) {
	if !d.isCurrent(e.Attempt) {
		return
	}
	d.attemptMayHaveRun = false
	d.excluded = append(d.excluded, d.target.Upstream)
	d.retry(now, failure.NoUpstream)
}

// retry requests another upstream, or ends the request: with kind if no attempt
// is left.
func (d *Dispatcher) retry(now time.Time, kind failure.Kind) {
	switch {
	case d.attempts >= d.req.MaxAttempts:
		d.fail(kind)
	case !d.streamStarted() && !now.Before(d.req.Deadline):
		d.fail(failure.DeadlinePassed)
	case d.streamStarted() && !d.req.Continuable:
		d.fail(failure.StreamLost)
	default:
		d.route(true)
	}
}

func (d *Dispatcher) handleOpened(now time.Time, e Opened) {
	if !d.isCurrent(e.Attempt) {
		return
	}
	if d.mode == Resume && d.answeredBy != "" && e.Incarnation != d.answeredBy {
		d.emit(Cancel{Attempt: d.attemptID})
		d.recoverAttempt(now, Broken{Crashed: true})
		return
	}
	d.answeredBy = e.Incarnation
}

func (d *Dispatcher) handleChunk(now time.Time, c Chunk) {
	s, verdict := d.stream.Accept(c.Attempt, c.Offset)
	switch verdict {
	case streamer.Write:
		d.stream = s
		d.emit(Write{Offset: c.Offset, Data: c.Data})
	case streamer.Drop:
		d.emit(CountDrop{})
	case streamer.Gap:
		d.emit(CountDrop{})
		d.emit(Cancel{Attempt: d.attemptID})
		d.recoverAttempt(now, Broken{})
	}
}

func (d *Dispatcher) handleEnded(now time.Time, e Ended) {
	if !d.isCurrent(e.Attempt) {
		d.emit(CountDrop{})
		return
	}
	if !d.stream.Complete(e.Attempt, e.Total) {
		d.emit(Cancel{Attempt: d.attemptID})
		d.recoverAttempt(now, Broken{})
		return
	}
	d.phase = done
	d.emit(Finish{})
}

func (d *Dispatcher) handleFullAnswer(now time.Time, e FullAnswer) {
	if !d.isCurrent(e.Attempt) {
		d.emit(CountDrop{})
		return
	}
	if d.stream.NextOffset() > d.req.FromOffset { // the caller has begun to receive a stream
		d.emit(CountDrop{})
		d.recoverAttempt(now, Broken{})
		return
	}
	d.phase = done
	if d.claimed {
		d.emit(Record{Answer: e.Answer})
	}
	if !d.callerLeft {
		d.emit(Answer{Answer: e.Answer})
	}
}

func (d *Dispatcher) handleBroken(now time.Time, e Broken) {
	if !d.isCurrent(e.Attempt) {
		return
	}
	if !e.RequestWritten {
		d.handleRefused(now, Refused{Attempt: e.Attempt})
		return
	}
	d.recoverAttempt(now, e)
}

// recoverAttempt resumes, retries or fails the request after an attempt that
// may have run ended early. An upstream whose connection was silent is not
// excluded unless it crashed: the upstream may be healthy, and the only one.
func (d *Dispatcher) recoverAttempt(now time.Time, e Broken) {
	d.earlierMayHaveRun = true
	if !d.req.Repeatable {
		d.fail(failure.OutcomeUnknown)
		return
	}
	if d.streamStarted() && !e.Crashed && d.mode != Resume && d.answeredBy != "" && d.attempts < d.req.MaxAttempts {
		d.send(d.target.withIncarnation(d.answeredBy), Resume)
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
