package relayer

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// recordAvailability records what an upstream says in a response on whether it wants further
// requests. Requests that are on their way stay there.
func (u *relay) recordAvailability(a ResponseInfo) {
	u.recordRate(a)
	if !a.Leaving && a.TurnAway <= 0 || u.isOtherUpstream(a) {
		return
	}
	if u.r.recordAvailability(u.choice.Incarnation(), a) {
		u.logEntry("upstreamLeaving").Info("upstream says that it is leaving; sending it no new requests")
	}
}

// recordAvailability reports whether it is new that the incarnation is leaving.
func (r *Relayer) recordAvailability(incarnation string, a ResponseInfo) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.RecordTurnAway(r.Clock.Now(), incarnation, a.TurnAway)
	isNew := a.Leaving && r.placer.RecordLeaving(incarnation)
	if isNew {
		r.leaving = append(r.leaving, placer.Key(incarnation))
	}
	return isNew
}

// allTurnedAway returns after which time the first upstream takes requests of this node again,
// 0 unless all that could serve the request have turned it away for longer than it may wait.
func (u *relay) allTurnedAway(q *placer.Query, giveUpAt time.Time) time.Duration {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	now := u.r.Clock.Now()
	until, all := u.r.placer.AllTurnedAway(now, q)
	if !all || until.Before(giveUpAt) {
		return 0
	}
	return until.Sub(now)
}

// isOtherUpstream reports whether a response came from another upstream, which has taken over
// the address of the chosen one.
func (u *relay) isOtherUpstream(a ResponseInfo) bool {
	return a.Misdirected && a.Upstream != "" && a.Upstream != u.choice.Upstream.ID
}
