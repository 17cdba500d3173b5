package placer

import (
	"slices"
	"time"
)

// eligible reports whether an upstream may be chosen for q at all.
func (p *Placer) eligible(now time.Time, s *state, q *Query) bool {
	if s.up.Draining || now.Before(s.closedUntil) {
		return false
	}
	if !p.desperate && (!s.breaker.Allows(now) || s.accusers >= enoughAccusers) {
		return false
	}
	if slices.Contains(q.Exclude, s.incarnation) || !p.desperate && slices.Contains(q.Tripped, s.key) {
		return false
	}
	if q.Prompt == nil {
		return true
	}
	return q.mayBegin(s.version(q.Prompt.Model), 0)
}

// beginSlack is kept of the time in which requests may begin on older weights:
// what is expected to be read first may take longer.
const beginSlack = 1500 * time.Millisecond

// mayBegin reports whether a request that begins after a wait in ms may do so on
// a version.
func (q *Query) mayBegin(version int, wait float64) bool {
	for _, l := range q.Cutoffs {
		if version < l.Version && l.Remaining < beginSlack+time.Duration(wait*float64(time.Millisecond)) {
			return false
		}
	}
	return true
}

// silence is how long an engine may give no sign of life to anyone while a
// request waits: it reads the longest prompts in about a second.
const silence = 1500 * time.Millisecond

// watch keeps work from an upstream that is silent, and forgives one that has
// been heard since it was kept from work.
func (p *Placer) watch(now time.Time, s *state) {
	heard := s.heard
	if s.peers.heard.After(heard) {
		heard = s.peers.heard
	}
	s.breaker = s.breaker.WithActivity(heard)
	since := s.peers.waitsSince
	if len(s.waiting) > 0 && (since.IsZero() || s.waiting[0].since.Before(since)) {
		since = s.waiting[0].since
	}
	if !since.IsZero() && now.Sub(since) > silence && heard.Before(since) && s.breaker.Allows(now) {
		s.breaker = s.breaker.WithCrash(now)
	}
}

// tested reports whether an upstream that has failed lately is being tried with
// a request: others wait for its outcome.
func (p *Placer) tested(now time.Time, s *state) bool {
	return !p.desperate && s.breaker.HalfOpen(now) && s.mine.Running+s.peers.Running > 0
}

// RecordActivity says that something came from the upstream of the choice at now.
func (p *Placer) RecordActivity(now time.Time, c Choice) { c.state.heard = now }

// fullShare is the part of an engine's memory that requests may take. The rest
// keeps cached parts, which are two thirds of the users' long prompts.
const fullShare = 0.5

// full reports whether an engine has no memory for further tokens beside the
// cached parts that make it fast.
func (p *Placer) full(s *state, tokens int) bool {
	used := s.mine.MemoryTokens + s.peers.MemoryTokens
	return s.memory > 0 && used > 0 && float64(used+tokens) > fullShare*float64(s.memory)
}
