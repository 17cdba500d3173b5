package relayer

import (
	"slices"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// pickUpstream selects an upstream and counts the send there. If none is
// available it retries for a limited time.
func (u *relay) pickUpstream() (placer.Query, bool) {
	patience := u.route.LatencyObjective / pickWaitDivisor
	giveUpAt := u.r.Clock.Now().Add(patience)
	if !u.redialUntil.IsZero() {
		giveUpAt = u.redialUntil
	}
	for {
		k := u.checkSend()
		if k == failure.Quarantined && u.mayAwaitTrial() {
			clock.Sleep(u.ctx, u.r.Clock, pickInterval)
			giveUpAt = u.r.Clock.Now().Add(patience)
			continue
		}
		if k != failure.None {
			u.fail(k)
			return placer.Query{}, false
		}
		q := u.placementQuery()
		ok, budget := u.reserveUpstream(&q)
		switch {
		case ok && u.admitUpstream():
			return q, true
		case ok:
			continue // with another upstream
		case !budget:
			u.reason = "retry budget exhausted"
			u.fail(failure.Overloaded)
			return q, false
		case !u.r.Clock.Now().Before(giveUpAt):
			u.reason = "no upstream accepts new work"
			u.fail(failure.NoUpstream)
			return q, false
		}
		if u.turnedAwayFor = u.allTurnedAway(&q, giveUpAt); u.turnedAwayFor > 0 {
			u.reason = "all upstreams have turned this node away"
			u.fail(failure.NoUpstream)
			return q, false
		}
		u.retryUnreachable(giveUpAt)
		clock.Sleep(u.ctx, u.r.Clock, pickInterval)
	}
}

// redialPause is the time after which an upstream to which no connection could be opened is
// tried again, if no other is left.
const redialPause = 250 * time.Millisecond

// unreachable is an upstream to which no connection could be opened.
type unreachable struct {
	incarnation string
	at          time.Time
}

// retryUnreachable admits the upstreams again that were unreachable a while ago, for a request that
// finds no other until giveUpAt: a connection also fails if this node was short of processor time.
func (u *relay) retryUnreachable(giveUpAt time.Time) {
	now := u.r.Clock.Now()
	u.unreachable = slices.DeleteFunc(u.unreachable, func(f unreachable) bool {
		if now.Sub(f.at) < redialPause {
			return false
		}
		u.exclude = slices.DeleteFunc(slices.Clone(u.exclude), func(incarnation string) bool { return incarnation == f.incarnation })
		u.redialUntil = giveUpAt
		return true
	})
}

// checkSend returns why the request must not be sent now, or failure.None.
func (u *relay) checkSend() failure.Kind {
	now := u.r.Clock.Now()
	if u.callerGone() {
		return failure.CallerGone
	}
	if u.ctx.Err() != nil || u.deadline.Sub(now) < minRemaining {
		return failure.DeadlinePassed
	}
	if k := u.authorize(); k != failure.None {
		return k
	}
	if u.runs > 0 && !u.mayRetry(0) {
		u.reason = "another route applies, which doesn't allow a further attempt"
		return failure.UpstreamFailed
	}
	if u.isPoison() {
		u.reason = "such requests have crashed upstreams"
		return failure.Quarantined
	}
	if u.runs == 0 && !u.mayStart(now) {
		u.reason = unstartedReason
		return failure.Draining
	}
	if u.runs > 0 && !u.responseStarted && !u.mayFinish(now) { // a broken stream can't end otherwise
		u.reason = "a further attempt may not finish before the node shuts down"
		return failure.UpstreamFailed
	}
	if !u.serviceRouted() {
		u.service = u.pickService()
	}
	return failure.None
}

// mayMove reports whether the request could be sent to another upstream now, in place of
// its current attempt, for which it must have counted a send and a run. It works on a copy,
// since the checks change the request's state.
func (u relay) mayMove() bool {
	// The route of the attempt has to allow the move, and the present one, which checkSend asks.
	return u.mayRetry(0) && u.checkSend() == failure.None && u.sends < maxSends && u.canRetry()
}

func (u *relay) placementQuery() placer.Query {
	q := placer.Query{
		Service: u.service, Prompt: u.req.Prompt, DataCentre: u.r.settings.DataCentre, Exclude: u.exclude, ExpectedOutput: u.req.ExpectedOutput, Objective: u.route.LatencyObjective,
		Pinned: !u.route.Repeatable() || u.route.MaxAttempts < 2 || u.runs > 0,
	}
	if q.Prompt != nil {
		q.CacheScope = u.cacheScope()
		if addr := u.view.Matcher.CacheStores().Pick(q.SharedPrefix()); addr != "" && !u.r.CacheDown(addr) {
			q.CacheAddress, q.CacheTokens = addr, u.view.Matcher.CacheTokens()
		}
		now, inReachSince := u.r.Clock.Now(), u.r.Fleet.StoreInReachSince()
		for _, w := range u.view.Versions[q.Prompt.Model] {
			q.Version, q.SinceAnnounced = w.Version, now.Sub(w.AnnouncedAt)
			counted := min(q.SinceAnnounced, now.Sub(inReachSince))
			q.Cutoffs = append(q.Cutoffs, placer.VersionCutoff{Version: w.Version, Remaining: u.r.settings.VersionCutoff - counted})
		}
	}
	return q
}

// reserveUpstream selects an upstream and counts the send there. budget is false
// if the retry budget is exhausted.
func (u *relay) reserveUpstream(q *placer.Query) (ok, budget bool) {
	var c placer.Choice
	advice, verdict, settle := u.askAdviser(q)
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	defer settle()
	now := u.r.Clock.Now()
	u.adviser = advice.Coordinator
	if verdict == placer.Placed {
		c, ok = u.r.placer.Follow(now, advice, q)
	}
	if u.advised = ok; !ok && verdict != placer.NoCapacity {
		c, ok = u.r.placer.Pick(now, q)
	}
	if !ok || u.queuedPastDeadline(now, c) {
		return false, true
	}
	if u.sends > 0 && !u.r.retryBudget(u.service).Allow(now, u.view.Nodes) {
		return false, false
	}
	u.choice, u.running = u.r.placer.RecordSend(now, c, q), true
	return true, true
}

// askAdviser asks the placement coordinator where to send a prompt. The caller
// must call settle, with the relayer's lock held, once the outcome is included in
// the local loads.
func (u *relay) askAdviser(q *placer.Query) (advice placer.Advice, v placer.Verdict, settle func()) {
	if q.Prompt == nil || u.r.Adviser == nil {
		return advice, placer.Unanswered, func() {}
	}
	asked := *q
	id := u.r.openQuestion(&asked)
	answered := false
	defer func() {
		if !answered { // a panic
			u.r.mu.Lock()
			defer u.r.mu.Unlock()
			delete(u.r.openQuestions, id)
		}
	}()
	advice, v = u.r.Adviser.Ask(u.ctx, id, &asked)
	answered = true
	return advice, v, func() { delete(u.r.openQuestions, id) }
}

// openQuestion completes a question to the placement coordinator and returns its number.
func (r *Relayer) openQuestion(q *placer.Query) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	q.Tripped, q.Unavailable = r.placer.Tripped(now), r.placer.Unavailable(now, q.Service)
	r.lastQuestion++
	r.openQuestions[r.lastQuestion] = struct{}{}
	return r.lastQuestion
}

// queuedPastDeadline reports whether the queueing delay at the chosen upstream
// exceeds the time left until the request's deadline.
func (u *relay) queuedPastDeadline(now time.Time, c placer.Choice) bool {
	return queueingDelay(c) > u.deadline.Sub(now)
}

func queueingDelay(c placer.Choice) time.Duration {
	return time.Duration(c.QueueingDelayMS * float64(time.Millisecond))
}
