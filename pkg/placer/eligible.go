package placer

import (
	"slices"
	"time"
)

// eligible reports whether an upstream may be chosen for q at all.
func (p *Placer) eligible(now time.Time, s *upstreamState, q *Query) bool {
	if s.up.Draining || now.Before(s.suspendedUntil) {
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

// startSlack is kept of the time in which requests may begin on older weights:
// what is expected to be read first may take longer.
const startSlack = 1500 * time.Millisecond

// mayStart reports whether a request that begins after a wait in ms may do so on
// a version.
func (q *Query) mayStart(version int, delay float64) bool {
	for _, cutoff := range q.Cutoffs {
		if version < cutoff.Version && cutoff.Remaining < startSlack+time.Duration(delay*float64(time.Millisecond)) {
			return false
		}
	}
	return true
}

// maxSilence is how long an engine may give no sign of life to anyone while a
// request waits: it reads the longest prompts in about a second.
const maxSilence = 1500 * time.Millisecond

// updateBreaker keeps work from an upstream that is silent, and forgives one that has
// been heard since it was kept from work.
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

// trialInFlight reports whether an upstream that has failed lately is being tried with
// a request: others wait for its outcome.
func (p *Placer) trialInFlight(now time.Time, s *upstreamState) bool {
	return !p.lastResort && s.breaker.HalfOpen(now) && s.local.Running+s.peers.Running > 0
}

// RecordActivity says that something came from the upstream of the choice at now.
func (p *Placer) RecordActivity(now time.Time, c Choice) { c.state.lastActivity = now }

// maxMemoryShare is the part of an engine's memory that requests may take. The rest
// keeps cached parts, which are two thirds of the users' long prompts.
const maxMemoryShare = 0.5

// memoryFull reports whether an engine has no memory for further tokens beside the
// cached parts that make it fast.
func (p *Placer) memoryFull(s *upstreamState, tokens int) bool {
	used := s.local.MemoryTokens + s.peers.MemoryTokens
	return s.memoryTokens > 0 && used > 0 && float64(used+tokens) > maxMemoryShare*float64(s.memoryTokens)
}
