package dispatcher

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

func (d *Dispatcher) handleAbandoned(e Abandoned) {
	if !d.isCurrent(e.Attempt) {
		return
	}
	d.earlierMayHaveRun = true
	d.emit(Cancel{Attempt: d.attemptID})
	d.fail(failure.UpstreamFailed)
}

func (d *Dispatcher) handleQuarantined() {
	if d.phase == running {
		d.earlierMayHaveRun = true
		d.emit(Cancel{Attempt: d.attemptID})
	}
	d.fail(failure.Quarantined)
}

func (d *Dispatcher) handleTick(now time.Time) {
	if now.Before(d.req.Deadline) || d.streamStarted() {
		return
	}
	switch d.phase {
	case queued, routing:
		d.fail(failure.DeadlinePassed)
	case claiming:
		// The claim may be granted later; handleAfterDone then releases it.
		d.fail(failure.DeadlinePassed)
	case running:
		if !d.req.Repeatable {
			return // the response is still recorded in the ledger
		}
		d.earlierMayHaveRun = true
		d.emit(Cancel{Attempt: d.attemptID})
		d.fail(failure.DeadlinePassed)
	}
}

func (d *Dispatcher) handleCallerGone() {
	d.callerLeft = true
	if d.phase == running && !d.req.Repeatable {
		return // let it finish, so that the response can be recorded
	}
	if d.phase == running {
		d.emit(Cancel{Attempt: d.attemptID})
	}
	d.fail(failure.CallerGone)
}

// failPossiblyRun fails the request when another node may have run it.
func (d *Dispatcher) failPossiblyRun(k failure.Kind) {
	d.earlierMayHaveRun = true
	d.fail(k)
}

// fail ends the request with kind k. If an attempt may have run, a kind whose
// verdict is "not run" is replaced by one whose verdict is "unknown".
func (d *Dispatcher) fail(k failure.Kind) {
	ran := d.earlierMayHaveRun || d.phase == running && d.attemptMayHaveRun
	if ran && k.Response().Verdict == failure.NotRun {
		k = failure.UpstreamFailed
		if !d.req.Repeatable {
			k = failure.OutcomeUnknown
		}
	}
	d.phase = done
	switch {
	case d.claimed && ran:
		d.emit(Record{Answer: claimer.Answer{}})
	case d.claimed:
		d.emit(Release{})
	}
	d.emit(Fail{Kind: k})
}
