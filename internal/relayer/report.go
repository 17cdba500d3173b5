package relayer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// elsewhereReturn is when a caller may come back that this node can't serve:
	// another one may do so at once.
	elsewhereReturn = 50 * time.Millisecond
	// fullReturn is the shortest and fullSpread the further time after which
	// room may have come up; spread, so that those refused don't come back
	// together.
	fullReturn = 200 * time.Millisecond
	fullSpread = 400 * time.Millisecond
)

// fail ends the request with a failure of the fleet's own.
func (u *run) fail(k failure.Kind) {
	switch {
	case u.cutOff():
		k, u.reason = failure.Draining, ErrShutdownDeadline.Error()
	case u.ctx.Err() != nil && u.r.Clock.Now().Before(u.deadline):
		k = failure.CallerGone
	}
	if u.began {
		u.line("streamLost", k).Info("the stream can't go on")
		u.w.Abort()
		return
	}
	switch {
	case u.runs == 0 || k == failure.CallerGone:
	case !u.route.Repeatable():
		k = failure.OutcomeUnknown
	case k.Answer().Verdict == failure.NotRun:
		k = failure.UpstreamFailed
	}
	u.refuse(k, u.returnAfter(k))
}

func (u *run) returnAfter(k failure.Kind) time.Duration {
	switch k {
	case failure.ConfigStale, failure.Draining:
		return elsewhereReturn
	case failure.NoUpstream, failure.Overloaded:
		u.r.mu.Lock()
		defer u.r.mu.Unlock()
		return fullReturn + time.Duration(u.r.Rand.Int64N(int64(fullSpread)))
	}
	return 0
}

func (u *run) refuse(k failure.Kind, after time.Duration) {
	u.line("refused", k).WithField("retryAfterMs", after.Milliseconds()).Info("the request ends without an upstream's answer")
	u.r.Meter.Refused(k)
	u.w.Refuse(k, after)
}

// recorder returns the histograms of the request's workspace and kind of route.
func (u *run) recorder() meter.Recorder {
	name := "public"
	if u.workspace != nil {
		name = u.workspace.Name
	}
	return u.r.Meter.Recorder(name, config.Class(u.route.Kind.String()))
}

func (u *run) answered(status int, err error) {
	if u.route.Kind != traffic.Streaming {
		u.recorder().FirstToken(u.r.Clock.Now().Sub(u.req.Arrived))
	}
	e := u.line("answered", failure.None).WithField("status", status)
	if err != nil {
		e = e.WithError(err)
	}
	e.Info("the answer is passed on")
}

// line begins the log line that ends a request.
func (u *run) line(event string, k failure.Kind) *logrus.Entry {
	return u.log(event).WithFields(logrus.Fields{
		"kind": k.String(), "reason": u.reason, "sends": u.sends, "runs": u.runs,
		"firstMs": u.firstIn.Milliseconds(), "ms": u.r.Clock.Now().Sub(u.req.Arrived).Milliseconds(),
	})
}

// log begins a log line with what is known of the request and what its last
// decision rested on.
func (u *run) log(event string) *logrus.Entry {
	f := logrus.Fields{"event": event, "request": u.req.ID}
	if u.view != nil {
		f["config"] = u.view.Matcher.Catalog().Version
	}
	if age, ok := u.r.Fleet.Proof().Age(u.r.Boot.Elapsed()); ok {
		f["proofAgeMs"] = age.Milliseconds()
	}
	if u.route != nil {
		f["route"] = u.route.Name
	}
	if u.workspace != nil {
		f["workspace"] = u.workspace.Name
	}
	if p := u.req.Prompt; p != nil {
		f["prompt"], f["shared"], f["output"] = p.Tokens, p.Shared(), p.MaxOutput
	}
	if u.choice.Upstream.ID != "" {
		f["upstream"] = u.choice.Incarnation()
		f["waitMs"] = int(u.choice.WaitMs)
		f["misses"] = u.choice.Misses
		f["version"] = u.choice.Version
		f["source"] = u.choice.Source
		f["running"] = u.choice.Running
		f["advised"] = u.advised
	}
	if u.adviser != "" {
		f["adviser"] = u.adviser
	}
	if signal, ok := u.r.timetable().Signal(); ok {
		f["afterSignalMs"] = u.req.Arrived.Sub(signal).Milliseconds()
		f["cutOff"] = u.cutOff()
		if u.expected > 0 {
			f["expectedMs"] = u.expected.Milliseconds()
		}
	}
	return u.r.Log.WithFields(f)
}
