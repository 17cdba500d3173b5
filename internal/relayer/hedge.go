package relayer

import (
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/hedger"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// The results of hedged attempts in metrics and log lines.
const (
	hedgeStarted  = "started"
	hedgeWon      = "won"
	hedgeLost     = "lost"
	hedgeWithheld = "withheld"
	noReason      = "none"
)

// open sends the request and returns its response. If the first attempt of a request that
// may be hedged is slow, a second one runs beside it, and u continues with the one that
// responds first. Both have ended or have a response when open returns.
func (u *relay) open(q *placer.Query) (*connector.Exchange, connector.Outcome, error) {
	if u.sends > 0 || !u.r.hedger.Enabled(u.route) {
		return u.send(q)
	}
	var a response
	if delay, ok := u.hedgeDelay(); ok {
		a = newRace(u, delay).run(q)
	} else {
		u.r.Meter.RecordHedge(hedgeWithheld, string(hedger.FewSamples))
		a = u.await(q)
	}
	return a.x, a.outcome, a.err
}

func (u *relay) hedgeDelay() (time.Duration, bool) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	return u.r.hedger.Delay(u.r.Clock.Now(), u.route)
}

// await sends the request and waits for the response head or, for a stream, for the first
// event.
func (u *relay) await(q *placer.Query) response {
	x, outcome, err := u.send(q)
	a := response{x: x, outcome: outcome, err: err}
	if outcome != connector.Opened {
		return a
	}
	u.recordActivity()
	a.info = u.r.Dialect.ParseResponse(x.Status, x.Header)
	if !a.decides() {
		return a
	}
	if u.isEventStream(x) {
		if err := u.awaitFirstEvent(x); err != nil {
			x.Close()
			return response{outcome: connector.Broken, err: errors.Annotate(err, "read stream")}
		}
	}
	u.recordLatency()
	return a
}

// awaitFirstEvent reads a stream up to its first event, and leaves what it has read to be
// read again. An event that is longer than its buffer is left to the stream's reader.
func (u *relay) awaitFirstEvent(x *connector.Exchange) error {
	if err := x.SetReadTimeout(max(minRemaining, u.deadline.Sub(u.r.Clock.Now()))); err != nil {
		return err
	}
	u.watchUnanswered(u.eventPatience())
	buf := make([]byte, 0, readBufferBytes)
	defer func() { x.Unread(buf) }()
	for len(buf) < cap(buf) {
		n, err := x.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end := lastEventEnd(buf)
		switch {
		case parseEvents(buf[:end]).any:
			return nil
		case err == io.EOF && end == len(buf) && !x.EndsWithConnection:
			return nil // a complete stream without an event
		case err == io.EOF:
			return errors.Annotate(io.ErrUnexpectedEOF, "stream ended before its first event")
		case err != nil:
			return err
		}
	}
	return nil
}

// recordLatency records how long the attempt has taken until now, for the delay of hedged
// attempts.
func (u *relay) recordLatency() {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	now := u.r.Clock.Now()
	u.r.hedger.Record(now, u.route.Name, now.Sub(u.sentAt))
}

// sleepUntilDue waits for the delay and reports whether the attempt is still wanted. After a
// suspension of the process, what has arrived meanwhile has to be read first.
func (u *relay) sleepUntilDue(delay time.Duration) bool {
	due := u.r.Clock.Now().Add(delay)
	if !clock.Sleep(u.silence.ctx, u.r.Clock, delay) {
		return false
	}
	if u.r.Clock.Now().Sub(due) > silenceRecheck {
		return clock.Sleep(u.silence.ctx, u.r.Clock, silenceRecheck)
	}
	return true
}

// reserve selects the upstream of the second attempt and counts the send there. It returns
// false if the attempt is withheld or the first one has a response.
func (c *race) reserve() (placer.Query, bool) {
	s := c.second
	ctx, first := s.ctx, s.choice.Incarnation()
	s.ctx = s.silence.ctx // so that the first response doesn't wait for the coordinator
	defer func() { s.ctx = ctx }()
	v := s.checkHedge()
	if v == hedger.Allowed && s.checkSend() != failure.None {
		v = hedger.NotPermitted
	}
	var q placer.Query
	if v == hedger.Allowed {
		q = s.placementQuery()
		v = c.reserveUpstream(&q)
	}
	if v == hedger.Allowed && !s.admitUpstream() {
		v = hedger.NoUpstream
	}
	if v != hedger.Allowed {
		if s.ctx.Err() == nil { // otherwise the first attempt has a response by now
			s.r.Meter.RecordHedge(hedgeWithheld, string(v))
			s.logEntry("hedgeWithheld").WithField("reason", string(v)).Debug("no second attempt of a slow request")
		}
		return q, false
	}
	c.first.silence.setHedge(s.choice.Incarnation())
	s.r.Meter.RecordHedge(hedgeStarted, noReason)
	s.logEntry("hedged").WithFields(logrus.Fields{
		"first": first, "delayMs": c.delay.Milliseconds(), "usedSlots": c.basis.UsedSlots, "usedMemory": c.basis.UsedMemory,
	}).Info("first attempt is slow; a second one starts at another upstream")
	return q, true
}

// checkHedge returns whether a second attempt may start, before an upstream is sought.
func (u *relay) checkHedge() hedger.Verdict {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	now := u.r.Clock.Now()
	q := u.hedgeRequest(now)
	return u.r.hedger.Check(now, &q)
}

// hedgeRequest returns what the decision rests on. The relayer's lock must be held.
func (u *relay) hedgeRequest(now time.Time) hedger.Request {
	expected, _ := u.r.estimator.Estimate(now, u.route.Name, u.maxOutput())
	_, stopping := u.r.shutdownSchedule().SignaledAt()
	slots, memory := u.r.placer.Usage(now, u.service)
	return hedger.Request{
		Route: u.route, Service: u.service, Runs: u.runs, Remaining: u.deadline.Sub(now), Expected: expected,
		Suspected: u.r.detector.Suspects(now, u.features), Stopping: stopping, UsedSlots: slots, UsedMemory: memory,
		Retries: u.r.retryBudget(u.service), Nodes: u.view.Nodes,
	}
}

// reserveUpstream selects an upstream that is not known to fail, spends the budgets, and
// counts the send.
func (c *race) reserveUpstream(q *placer.Query) hedger.Verdict {
	s := c.second
	advice, verdict, settle := s.askAdviser(q)
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	defer settle()
	if verdict == placer.NoCapacity {
		return hedger.NoCapacity
	}
	now := s.r.Clock.Now()
	s.adviser = advice.Coordinator
	var choice placer.Choice
	ok := false
	if verdict == placer.Placed {
		choice, ok = s.r.placer.Follow(now, advice, q)
	}
	if s.advised = ok; !ok {
		choice, ok = s.r.placer.PickHealthy(now, q)
	}
	if !ok || choice.Upstream.ID == s.choice.Upstream.ID { // the first upstream may have restarted
		return hedger.NoUpstream
	}
	if s.queuedPastDeadline(now, choice) {
		return hedger.Deadline
	}
	c.basis = s.hedgeRequest(now)
	if v := s.r.hedger.Allow(now, &c.basis); v != hedger.Allowed {
		return v
	}
	if !c.start() {
		return hedger.NotPermitted
	}
	s.choice, s.running = s.r.placer.RecordSend(now, choice, q), true
	return hedger.Allowed
}
