package placer

import (
	"slices"
	"time"
)

// Eligible reports whether the incarnation is registered and not draining.
func (p *Placer) Eligible(incarnation string) bool {
	s, ok := p.states[incarnation]
	return ok && s.registered && !s.up.Draining
}

// eligible reports whether an upstream may be chosen for q at all, regardless of
// its load.
func (p *Placer) eligible(now time.Time, s *upstreamState, q *Query) bool {
	if s.up.Draining || now.Before(s.suspendedUntil) || s.isUnavailable(now) || slices.Contains(q.Unavailable, s.key) {
		return false
	}
	if !p.lastResort && (!s.breaker.Allows(now) || s.trippedPeers >= minTrippedPeers) {
		return false
	}
	if slices.Contains(q.Exclude, s.incarnation) || !p.lastResort && slices.Contains(q.Tripped, s.key) {
		return false
	}
	if q.Prompt == nil {
		return true
	}
	return q.mayStart(s.version(q.Prompt.Model), 0)
}

// startSlack is the margin before a version cutoff within which no request is sent
// to older weights: the requests queued ahead of it may take longer than expected.
const startSlack = 1500 * time.Millisecond

// mayStart reports whether a request that starts after a delay in milliseconds may
// run on a version of the weights.
func (q *Query) mayStart(version int, delay float64) bool {
	for _, cutoff := range q.Cutoffs {
		if version < cutoff.Version && cutoff.Remaining < startSlack+time.Duration(delay*float64(time.Millisecond)) {
			return false
		}
	}
	return true
}

// maxSilence is how long an engine may send nothing to any node while a request
// waits there. The prefill of the longest prompts takes about a second.
const maxSilence = 1500 * time.Millisecond

// updateBreaker trips the circuit breaker of an upstream that has sent nothing to any
// node for maxSilence while a request waits there. It closes the breaker if the
// upstream has sent anything to any node since the breaker became half-open.
func (p *Placer) updateBreaker(now time.Time, s *upstreamState) {
	lastActivity := s.lastActivity
	if s.peers.lastActivity.After(lastActivity) {
		lastActivity = s.peers.lastActivity
	}
	s.breaker = s.breaker.WithActivity(lastActivity)
	oldest := s.peers.oldestSince
	if len(s.waiting) > 0 && (oldest.IsZero() || s.waiting[0].since.Before(oldest)) {
		oldest = s.waiting[0].since
	}
	if !oldest.IsZero() && now.Sub(oldest) > maxSilence && lastActivity.Before(oldest) && s.breaker.Allows(now) {
		s.breaker = s.breaker.WithCrash(now)
	}
}

// trialInFlight reports whether the circuit breaker of an upstream is half-open and
// a trial request runs there. No other request is sent before its outcome.
func (p *Placer) trialInFlight(now time.Time, s *upstreamState) bool {
	return !p.lastResort && s.breaker.HalfOpen(now) && s.local.Running+s.peers.Running > 0
}

// RecordActivity records that the upstream of the choice sent something at now.
func (p *Placer) RecordActivity(now time.Time, c Choice) { c.state.lastActivity = now }
