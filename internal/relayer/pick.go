package relayer

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// pick waits a while for an upstream and takes it.
func (u *run) pick() (placer.Query, bool) {
	hold := u.r.Clock.Now().Add(u.route.LatencyObjective / holdShare)
	for {
		if k := u.recheck(); k != failure.None {
			u.fail(k)
			return placer.Query{}, false
		}
		q := u.query()
		c, ok, budget := u.take(&q)
		switch {
		case ok:
			u.choice = c
			return q, true
		case !budget:
			u.reason = "the budget of repeats is spent"
			u.fail(failure.Overloaded)
			return q, false
		case !u.r.Clock.Now().Before(hold):
			u.reason = "no upstream takes work"
			u.fail(failure.NoUpstream)
			return q, false
		}
		clock.Sleep(u.ctx, u.r.Clock, pickPause)
	}
}

// recheck finds what forbids a send now.
func (u *run) recheck() failure.Kind {
	now := u.r.Clock.Now()
	if u.ctx.Err() != nil && now.Before(u.deadline) {
		return failure.CallerGone
	}
	if u.deadline.Sub(now) < leastRemaining {
		return failure.DeadlinePassed
	}
	if k := u.authorize(); k != failure.None {
		return k
	}
	if u.runs == 0 && !u.begins(now) {
		u.reason = "it may outlast the node, which stops"
		return failure.Draining
	}
	if !u.allowed() {
		u.service = u.pickTarget()
	}
	return failure.None
}

func (u *run) query() placer.Query {
	q := placer.Query{
		Service: u.service, Prompt: u.req.Prompt, DataCentre: u.r.set.DataCentre, Exclude: u.exclude,
		Pinned: !u.route.Repeatable() || u.route.MaxAttempts < 2 || u.runs > 0,
	}
	if q.Prompt != nil {
		if u.workspace != nil && u.workspace.Isolated {
			q.CacheScope = u.workspace.Name
		}
		if c := u.view.Matcher.Cache(); c != nil && !u.r.CacheDown() {
			q.CacheAddress, q.CacheTokens = c.CacheAddress, c.CacheTokens
		}
		now := u.r.Clock.Now()
		for _, w := range u.view.Versions[q.Prompt.Model] {
			q.Version, q.SinceAnnounced = w.Version, now.Sub(w.AnnouncedAt)
			q.Cutoffs = append(q.Cutoffs, placer.VersionCutoff{Version: w.Version, Remaining: u.r.set.OldVersionGrace - q.SinceAnnounced})
		}
	}
	return q
}

// take chooses an upstream and counts the send. budget is false if a repeat
// was not allowed.
func (u *run) take(q *placer.Query) (c placer.Choice, ok, budget bool) {
	advice, verdict, settle := u.ask(q)
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	defer settle()
	now := u.r.Clock.Now()
	u.adviser = advice.By
	if verdict == placer.Placed {
		c, ok = u.r.placer.Follow(now, advice, q)
	}
	if u.advised = ok; !ok && verdict != placer.Wait {
		c, ok = u.r.placer.Pick(now, q)
	}
	if !ok || u.tooLate(now, c) {
		return c, false, true
	}
	if u.sends > 0 && !u.r.budget(u.service).Allow(now, u.view.Nodes) {
		return c, false, false
	}
	return u.r.placer.RecordSend(now, c, q), true, true
}

// ask asks the node in charge where to send a prompt. settle is called with the
// relayer's lock once the outcome shows in the loads.
func (u *run) ask(q *placer.Query) (advice placer.Advice, v placer.Verdict, settle func()) {
	if q.Prompt == nil || u.r.Adviser == nil {
		return advice, placer.Unanswered, func() {}
	}
	asked := *q
	u.r.mu.Lock()
	u.r.questions++
	id := u.r.questions
	u.r.open[id] = struct{}{}
	asked.Tripped = u.r.placer.Tripped(u.r.Clock.Now())
	u.r.mu.Unlock()
	advice, v = u.r.Adviser.Ask(u.ctx, id, &asked)
	return advice, v, func() { delete(u.r.open, id) }
}

// tooLate reports whether the engines have so much to read that the request's
// time would be over before its turn.
func (u *run) tooLate(now time.Time, c placer.Choice) bool {
	return time.Duration(c.WaitMs*float64(time.Millisecond)) > u.deadline.Sub(now)
}
