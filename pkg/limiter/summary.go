package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// maxShortages bounds the workspaces in a summary, which takes 16 bytes for each.
	maxShortages = 256
	// nearShortage is the factor by which the asked rate may rise until a listed workspace
	// would be in shortage. Workspaces at their limit stay listed, though the rate fluctuates.
	nearShortage = 1.25
	// urgentFall is the part of its last value below which a fraction is sent at once.
	urgentFall = 2.0 / 3
	// sentMargin is the difference at which a fraction counts as known to the other nodes.
	sentMargin = 0.01
	// summaryRounds is the number of rounds in which a summary reaches all nodes.
	summaryRounds = 5
	// idleTime is how long after its last request a workspace's averages matter, in seconds.
	idleTime = 2.0
	// calmTime is how long a workspace has to be admitted whole until its shortage has ended,
	// in seconds.
	calmTime = 2.0
)

// Shortage is a workspace whose requests are not all admitted.
type Shortage struct {
	Workspace uint32
	// Level is what is left of the burst, in the view of a node that refills at the whole
	// rate; Asked is the rate that is asked for.
	Level, Asked float32
}

// valid reports whether a bucket may take over the values. An infinite one, or one that is not a
// number, would stay in it for ever.
func (s *Shortage) valid() bool {
	level, asked := float64(s.Level), float64(s.Asked)
	return !math.IsNaN(level) && !math.IsInf(level, 0) && asked >= 0 && !math.IsInf(asked, 1)
}

// Change tells that a workspace has entered or left shortage.
type Change struct {
	Workspace              string
	Short                  bool
	Level, Asked, Fraction float64
}

// Summary is what a node that receives all reports tells the others.
type Summary struct {
	// Shortages are the workspaces in shortage. The others are not.
	Shortages []Shortage
	// Urgent is set if the summary must go to all nodes at once.
	Urgent bool
	// NewPeer is set if a node that has just started may need the summary, although it receives
	// the reports of all nodes itself.
	NewPeer bool
}

// Summary returns the summary of this round. ok is false if there is none: this node doesn't
// receive all reports, or hasn't for long enough to know what is asked for. It must be called in
// each round.
func (l *Limiter) Summary(now time.Time) (s Summary, ok bool) {
	if !l.fleet.ReceivesAll {
		return s, false
	}
	t := l.seconds(now)
	type listed struct {
		Shortage
		rank float64
	}
	var found []listed
	l.active = slices.DeleteFunc(l.active, func(b *bucket) bool {
		b.advance(l, t)
		if b.isCalm(l.share) {
			b.active = t-b.askedAt < idleTime || b.level < b.burst*l.share
			return !b.active
		}
		b.decay(t)
		asked, room := b.asked(), b.room(l.share)
		f := fraction(room, asked)
		if room < nearShortage*asked {
			level := (room - b.rate) * relaxation
			found = append(found, listed{Shortage{Workspace: b.id, Level: float32(level), Asked: float32(asked)}, level / b.rate})
		}
		if f < urgentFall*b.sentFraction {
			s.Urgent, b.sentFraction = true, f
		} else {
			b.sentFraction += (f - b.sentFraction) / summaryRounds
		}
		l.recordChange(b, t, f, asked)
		b.active = b.shortage || t-b.askedAt < idleTime || b.level < b.burst*l.share
		return !b.active
	})
	if len(found) > maxShortages {
		slices.SortFunc(found, func(a, b listed) int {
			if a.rank < b.rank {
				return -1
			}
			return 1
		})
		found = found[:maxShortages]
	}
	for _, f := range found {
		s.Shortages = append(s.Shortages, f.Shortage)
	}
	s.NewPeer = len(l.peers) > 0 && t-l.newPeerAt < newPeerTime
	return s, l.knows(t)
}

// isCalm reports whether the workspace is far from shortage, as all nodes know. It is a rough check
// that saves the rest for most workspaces: the averages have fallen since, and the allowance is
// left out.
func (b *bucket) isCalm(share float64) bool {
	return !b.shortage && b.sentFraction > 1-sentMargin && nearShortage*max(b.slow, b.fast) <= b.rate*share+b.level/relaxation
}

// maxChanges bounds the changes between two calls of TakeChanges.
const maxChanges = 64

func (l *Limiter) recordChange(b *bucket, t, f, asked float64) {
	if f < 1 {
		b.shortAt = t
	}
	if short := f < 1 || b.shortage && t-b.shortAt < calmTime; short != b.shortage && len(l.changes) < maxChanges {
		b.shortage = short
		l.changes = append(l.changes, Change{Workspace: b.name, Short: short, Level: b.level, Asked: asked, Fraction: f})
	}
}

// TakeChanges returns the workspaces that have entered or left shortage since the last call.
func (l *Limiter) TakeChanges() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// Follow applies a summary of an aggregator. A workspace that isn't listed is not in shortage. A
// node that receives the reports of all nodes itself takes over the levels of the first summary
// that it hears while it doesn't know them yet.
func (l *Limiter) Follow(now time.Time, shortages []Shortage) {
	t := l.seconds(now)
	if l.knows(t) {
		return
	}
	l.summaryAt, l.heard = t, true
	l.summaries++
	for _, s := range shortages[:min(len(shortages), maxShortages)] {
		if b := l.byID[s.Workspace]; b != nil && s.valid() {
			b.listedIn, b.heardLevel, b.heardAsked = l.summaries, float64(s.Level), float64(s.Asked)
		}
	}
	if l.fleet.ReceivesAll && !l.tookOver {
		l.tookOver = true
		l.takeOver(t)
	}
}
