package relayer

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// silenceRecheck is the time between two checks whether the request of a silent upstream
// may move to another one.
const silenceRecheck = 100 * time.Millisecond

// errSilent is the cancellation cause of an attempt that a silenceWatch gave up.
const errSilent = errors.ConstError("upstream is silent, and another one may take over")

// silenceWatch gives up an attempt whose upstream has been silent for too long. A silent
// upstream may still be at work, so the attempt lives on while the request couldn't move
// to another upstream: its key or route may be gone, the retry budget exhausted, or no
// other upstream available.
type silenceWatch struct {
	clk    clock.Clock
	ctx    context.Context // of the attempt
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	probe    relay         // copy of the request's state, to find out whether it may move
	patience time.Duration // 0 unless armed
	hedgedAt string        // incarnation with another attempt of the request, empty for none
	lastSign time.Time     // of the upstream
	pausedAt time.Time     // zero unless paused
	timer    clock.Timer   // nil until the watch is first armed
	due      time.Time     // when the timer fires
}

func newSilenceWatch(ctx context.Context, clk clock.Clock) *silenceWatch {
	w := &silenceWatch{clk: clk}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	return w
}

// arm starts to watch the current attempt of u, whose upstream may be silent for the
// given time from now on. It is called again when the state of u has changed.
func (w *silenceWatch) arm(u *relay, patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	pending := w.patience == patience // the check that is due finds the new time
	w.probe, w.patience, w.lastSign = *u, patience, w.clk.Now()
	if !pending {
		w.checkAfter(patience)
	}
}

// checkAfter sets the timer. w.mu must be held.
func (w *silenceWatch) checkAfter(d time.Duration) {
	w.due = w.clk.Now().Add(d)
	if w.timer == nil {
		w.timer = w.clk.AfterFunc(d, w.check)
		return
	}
	w.timer.Reset(d)
}

// setHedge counts another attempt of the request, at the given incarnation, beside the
// watched one; an empty incarnation ends that.
func (w *silenceWatch) setHedge(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hedgedAt = incarnation
}

// pause stops the time of the watch while the node can't read what the upstream sends.
func (w *silenceWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedAt = w.clk.Now()
}

// resume goes on after pause.
func (w *silenceWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastSign = w.lastSign.Add(w.clk.Now().Sub(w.pausedAt))
	w.pausedAt = time.Time{}
}

// disarm ends the watch until the next call of arm.
func (w *silenceWatch) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.patience = 0
	if w.timer != nil {
		w.timer.Stop()
	}
}

// end ends the watch and the context of the attempt.
func (w *silenceWatch) end() {
	w.disarm()
	w.cancel(nil)
}

// gaveUp reports whether the watch gave up the attempt.
func (w *silenceWatch) gaveUp() bool { return context.Cause(w.ctx) == errSilent }

func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.patience == 0 {
		return
	}
	now := w.clk.Now()
	// After a suspension of the process, what has arrived meanwhile has to be read first.
	late := now.Sub(w.due) > silenceRecheck
	left := w.patience - now.Sub(w.lastSign)
	if left <= 0 {
		if !late && w.pausedAt.IsZero() && w.mayMove() {
			w.cancel(errSilent)
			return
		}
		left = silenceRecheck
	}
	w.checkAfter(left)
}

// mayMove reports whether the request may move to another upstream. A panic would end the
// process, as check runs in a goroutine of its own; it ends the watch instead.
func (w *silenceWatch) mayMove() (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			w.patience = 0
			w.probe.r.Log.WithFields(logrus.Fields{
				"event": "silenceCheckPanic", "request": w.probe.req.ID, "panic": v, "stack": string(debug.Stack()),
			}).Error("panic while checking whether a request may move")
		}
	}()
	probe := w.probe
	if w.hedgedAt != "" {
		probe.sends, probe.runs = probe.sends+1, probe.runs+1
		probe.exclude = append(probe.exclude[:len(probe.exclude):len(probe.exclude)], w.hedgedAt)
	}
	return probe.mayMove()
}
