package relayer

import (
	"context"
	"os"

	"github.com/juju/errors"
)

// callerGone reports whether the caller has closed its connection. The context also ends
// at the deadline and at the node's shutdown deadline, of which the caller has to be told.
func (u *relay) callerGone() bool { return errors.Is(context.Cause(u.ctx), context.Canceled) }

// endedBy returns who or what ended an attempt that failed with err, for the log.
func (u *relay) endedBy(err error) string {
	switch {
	case u.pastShutdownDeadline():
		return "shutdown"
	case u.callerGone():
		return "caller"
	case u.ctx.Err() != nil:
		return "deadline"
	case u.silence.gaveUp():
		return "silence"
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return "upstream"
	case u.deadline.Sub(u.r.Clock.Now()) < minRemaining:
		return "deadline"
	}
	return "weights" // may no longer start on the engine's version
}
