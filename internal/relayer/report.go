package relayer

import (
	"math"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// otherNodeRetryAfter is when a caller should retry a request that this node
	// can't serve: another node may serve it at once.
	otherNodeRetryAfter = 50 * time.Millisecond
	// minCapacityRetryAfter is the shortest time after which capacity may be
	// available again. Up to capacityRetryJitter is added at random, so that
	// refused callers don't all retry at once.
	minCapacityRetryAfter = 200 * time.Millisecond
	capacityRetryJitter   = 400 * time.Millisecond
)

// fail ends the request with the failure that an upstream returned before, or else with an
// error of the router itself, whose kind is adjusted to what is known about the execution
// of the request.
func (u *relay) fail(k failure.Kind) {
	switch {
	case u.pastShutdownDeadline():
		k, u.reason = failure.Draining, ErrShutdownDeadline.Error()
	case u.callerGone():
		k = failure.CallerGone
	}
	if u.responseStarted {
		u.finalEntry("streamLost", k).Info("stream can't be completed; aborting the connection")
		u.w.Abort()
		return
	}
	if u.kept != nil && k != failure.CallerGone {
		u.forward(u.kept)
		return
	}
	switch {
	case u.runs == 0 || k == failure.CallerGone:
	case !u.route.Repeatable():
		k = failure.OutcomeUnknown
	case k.Response().Verdict == failure.NotRun:
		k = failure.UpstreamFailed
	}
	u.refuse(k, u.retryAfter(k))
}

func (u *relay) retryAfter(k failure.Kind) time.Duration {
	switch k {
	case failure.ConfigStale, failure.Draining:
		return otherNodeRetryAfter
	case failure.RateLimited:
		return u.limited.RetryAfter
	case failure.NoUpstream, failure.Overloaded:
		u.r.mu.Lock()
		defer u.r.mu.Unlock()
		return max(minCapacityRetryAfter, u.turnedAwayFor) + time.Duration(u.r.Rand.Int64N(int64(capacityRetryJitter)))
	}
	return 0
}

func (u *relay) refuse(k failure.Kind, after time.Duration) {
	e := u.finalEntry("refused", k).WithField("retryAfterMs", after.Milliseconds())
	if k == failure.RateLimited {
		e = e.WithFields(logrus.Fields{"cost": u.limited.cost, "level": math.Round(u.limited.Level), "fraction": u.limited.Fraction})
	}
	e.Info("request ended without a response from an upstream")
	u.r.Meter.RecordRefusal(k)
	u.w.Refuse(k, after)
}

// recorder returns the recorder for the request's workspace and route kind.
func (u *relay) recorder() meter.Recorder {
	name := "public"
	if u.workspace != nil {
		name = u.workspace.Name
	}
	return u.r.Meter.Recorder(name, config.Class(u.route.Kind.String()))
}

func (u *relay) recordResponse(status int, err error) {
	if u.route.Kind != traffic.Streaming {
		u.recorder().RecordFirstToken(u.r.Clock.Now().Sub(u.req.Arrived))
	}
	e := u.finalEntry("answered", failure.None).WithField("status", status)
	if err != nil {
		e = e.WithError(err)
	}
	e.Info("response forwarded")
}

// finalEntry returns the log entry for the last line of a request.
func (u *relay) finalEntry(event string, k failure.Kind) *logrus.Entry {
	e := u.logEntry(event)
	if u.hedge != "" {
		e = e.WithField("hedge", u.hedge)
	}
	return e.WithFields(logrus.Fields{
		"kind": k.String(), "reason": u.reason, "sends": u.sends, "runs": u.runs,
		"firstMs": u.timeToFirstEvent.Milliseconds(), "pauseMs": u.longestPause.Milliseconds(), "ms": u.r.Clock.Now().Sub(u.req.Arrived).Milliseconds(),
	})
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// sharedParts returns the IDs of the parts that the prompt may share with other requests,
// separated by commas. Requests that crash upstreams may have one of them in common.
func (u *relay) sharedParts() string {
	p := u.req.Prompt
	if p == nil {
		return ""
	}
	var ids []string
	for i := 0; i+1 < len(p.Parts) && i < maxLoggedParts; i++ {
		ids = append(ids, p.Parts[i].ID)
	}
	return strings.Join(ids, ",")
}

// logEntry returns a log entry with the fields of the request and of its latest
// placement decision.
func (u *relay) logEntry(event string) *logrus.Entry {
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
		f["expectedOutput"] = u.req.ExpectedOutput
	}
	if u.choice.Upstream.ID != "" {
		f["upstream"] = u.choice.Incarnation()
		f["waitMs"] = int(u.choice.QueueingDelayMS)
		f["misses"] = u.choice.Misses
		f["version"] = u.choice.Version
		f["source"] = u.choice.Source
		f["running"] = u.choice.Running
		f["advised"] = u.advised
	}
	if u.adviser != "" {
		f["adviser"] = u.adviser
	}
	if signal, ok := u.r.shutdownSchedule().SignaledAt(); ok {
		f["afterSignalMs"] = u.req.Arrived.Sub(signal).Milliseconds()
		f["cutOff"] = u.pastShutdownDeadline()
		if u.expectedDuration > 0 {
			f["expectedMs"] = u.expectedDuration.Milliseconds()
		}
	}
	return u.r.Log.WithFields(f)
}
