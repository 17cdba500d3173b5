package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

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
	lastSign time.Time     // of the upstream
	timer    clock.Timer   // nil until the watch is first armed
}

func newSilenceWatch(ctx context.Context, clk clock.Clock) *silenceWatch {
	w := &silenceWatch{clk: clk}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	return w
}

// arm starts to watch the current attempt of u, whose upstream may be silent for the
// given time.
func (w *silenceWatch) arm(u *relay, patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probe, w.patience, w.lastSign = *u, patience, w.clk.Now()
	if w.timer == nil {
		w.timer = w.clk.AfterFunc(patience, w.check)
		return
	}
	w.timer.Reset(patience)
}

// recordSign records that the upstream has sent something.
func (w *silenceWatch) recordSign() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastSign = w.clk.Now()
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
	left := w.patience - w.clk.Now().Sub(w.lastSign)
	if left <= 0 {
		if w.probe.mayMove() {
			w.cancel(errSilent)
			return
		}
		left = silenceRecheck
	}
	w.timer.Reset(left)
}
