package relayer

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// callerGone reports whether the caller has closed its connection. The context also ends
// at the deadline and at the node's shutdown deadline, of which the caller has to be told.
func (u *relay) callerGone() bool {
	return errors.Is(context.Cause(u.ctx), context.Canceled) || u.req.Disconnected != nil && u.req.Disconnected()
}

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

// recordUnreachable records the end of an attempt of which nothing was sent, unless that is
// recorded already.
func (u *relay) recordUnreachable(err error) {
	if !u.running {
		return
	}
	callerGone := u.ctx.Err() != nil
	notPermitted := errors.Is(err, errNotPermitted)
	u.endAttempt(func(p *placer.Placer, c placer.Choice) {
		if !callerGone && !notPermitted {
			p.RecordUnreachable(u.r.Clock.Now(), c)
		}
	})
	e := u.logEntry("attemptNotSent").WithError(err)
	if notPermitted {
		e.Info("request was not sent")
		return
	}
	e.Info("connection to the upstream failed")
}

// recordRefusal records the end of an attempt that the upstream didn't run, unless that is
// recorded already.
func (u *relay) recordRefusal(status int, a ResponseInfo) {
	if !u.running {
		return
	}
	now := u.r.Clock.Now()
	u.endAttempt(func(p *placer.Placer, c placer.Choice) {
		switch {
		case u.isOtherUpstream(a):
			p.RecordUnreachable(now, c)
		case a.Misdirected && u.req.Prompt != nil && a.Version > c.Version:
			p.RecordVersion(c.Incarnation(), u.req.Prompt.Model, a.Version)
		default:
			p.Suspend(c.Incarnation(), now.Add(refusalPause))
		}
		if !a.Misdirected && !a.Leaving {
			u.r.hedger.RecordRefusal(now, u.service)
		}
	})
	u.logEntry("attemptRefused").WithFields(logrus.Fields{
		"status": status, "misdirected": a.Misdirected, "answeredBy": a.Upstream, "answeredVersion": a.Version, "turnAwayMs": a.TurnAway.Milliseconds(),
	}).Info("upstream refused the request without running it")
}

// recordBroken records the end of an attempt that ended early and may have been run, unless
// that is recorded already.
func (u *relay) recordBroken(err error) {
	if !u.running {
		return
	}
	callerGone := u.ctx.Err() != nil
	u.endAttempt(func(p *placer.Placer, c placer.Choice) {
		if !callerGone && !errors.Is(err, memorykeeper.ErrFull) {
			p.RecordFailure(u.r.Clock.Now(), c)
			u.recordLoss(err)
		}
	})
	u.logEntry("attemptBroken").WithError(err).WithFields(logrus.Fields{
		"endedBy": u.endedBy(err), "parts": u.sharedParts(), "features": hexFeatures(lastFeatures(u.features)),
	}).Info("attempt ended before the response was complete")
}
