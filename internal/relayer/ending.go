package relayer

import (
	"context"
	"os"

	"github.com/juju/errors"
)

// endedBy returns who or what ended an attempt that failed with err, for the log.
func (u *relay) endedBy(err error) string {
	cause := context.Cause(u.ctx)
	switch {
	case u.pastShutdownDeadline():
		return "shutdown"
	case errors.Is(cause, context.Canceled):
		return "caller"
	case cause != nil:
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
