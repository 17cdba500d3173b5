package placer

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxTurnAway bounds how long an upstream may turn a node away, so that a faulty value
	// doesn't put it out of service.
	maxTurnAway = 5 * time.Minute
	// returnJitter is the share of that time by which nodes return later at random. After
	// a burst they would otherwise all return at once.
	returnJitter = 0.1
	// maxReturnDelay bounds that delay.
	maxReturnDelay = 500 * time.Millisecond
	// maxLeft bounds the incarnations that are remembered as leaving.
	maxLeft = 4096
	// maxReportedUnavailable bounds the upstreams in Query.Unavailable.
	maxReportedUnavailable = 64
)

// RecordLeaving records that an incarnation has said that it is leaving. It gets no new work
// from then on. RecordLeaving reports whether that is new.
func (p *Placer) RecordLeaving(incarnation string) bool {
	s, ok := p.states[incarnation]
	if !ok || s.leaving {
		return false
	}
	if len(p.left) >= maxLeft {
		clear(p.left)
	}
	s.leaving, p.left[incarnation] = true, true
	return true
}

// RecordTurnAway records that an incarnation wants no request of this node for the given
// time.
func (p *Placer) RecordTurnAway(now time.Time, incarnation string, d time.Duration) {
	s, ok := p.states[incarnation]
	if !ok || d <= 0 {
		return
	}
	d = min(d, maxTurnAway)
	d += time.Duration(p.rnd.Float64() * float64(min(maxReturnDelay, time.Duration(returnJitter*float64(d)))))
	if until := now.Add(d); until.After(s.turnedAwayUntil) {
		maps.DeleteFunc(p.turnedAway, func(_ string, until time.Time) bool { return !now.Before(until) })
		s.turnedAwayUntil, p.turnedAway[incarnation] = until, until
	}
}

func (s *upstreamState) isUnavailable(now time.Time) bool {
	return s.leaving || now.Before(s.turnedAwayUntil)
}

// MaySend reports whether a request may still be sent to an incarnation that was chosen
// earlier.
func (p *Placer) MaySend(now time.Time, incarnation string) bool {
	s, ok := p.states[incarnation]
	return ok && s.registered && !s.up.Draining && !s.isUnavailable(now)
}

// Unavailable returns the keys of the upstreams of a service that want no request of this
// node.
func (p *Placer) Unavailable(now time.Time, service string) []uint32 {
	var out []uint32
	for _, s := range p.services[service] {
		if s.isUnavailable(now) && len(out) < maxReportedUnavailable {
			out = append(out, s.key)
		}
	}
	return out
}

// AllTurnedAway reports whether every upstream that could serve q has turned this node away,
// and when the first of them takes requests again.
func (p *Placer) AllTurnedAway(now time.Time, q *Query) (until time.Time, all bool) {
	for _, s := range p.services[q.Service] {
		switch {
		case s.up.Draining || s.leaving || slices.Contains(q.Exclude, s.incarnation):
			continue
		case !now.Before(s.turnedAwayUntil):
			return time.Time{}, false
		case until.IsZero() || s.turnedAwayUntil.Before(until):
			until = s.turnedAwayUntil
		}
	}
	return until, !until.IsZero()
}
