package ratetracker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRate is the lowest rate that is kept to, in requests per second. An upstream that
	// takes none is asked all the same from time to time, since only its responses tell when it
	// takes requests again.
	minRate = 0.1
	// announcementTime is how long a change is told to peers, some of whose messages are lost.
	announcementTime = 2 * time.Second
	// statementTTL is how long an upstream without responses is remembered.
	statementTTL = 10 * time.Minute
	// maxUpstreams bounds the upstreams that are remembered, maxStatements those in a message.
	maxUpstreams, maxStatements = 4096, 64
)

// Unlimited is the rate of a Statement by which an upstream has no limit any more.
const Unlimited = -1.0

// Statement is what an upstream has said.
type Statement struct {
	Upstream uint32
	// Rate is in requests per second, over all nodes; negative for no limit.
	Rate float64
	// AgeMS is the time since the response that said so.
	AgeMS int64
}

func (s *Statement) valid() bool {
	return !math.IsNaN(s.Rate) && !math.IsInf(s.Rate, 0) && s.AgeMS >= 0 && s.AgeMS < statementTTL.Milliseconds()
}

type entry struct {
	rate          float64
	at, changedAt time.Time
}

// Tracker has the latest statement of each upstream that has ever named a rate. It is not safe
// for concurrent use.
type Tracker struct {
	entries map[uint32]entry
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{entries: map[uint32]entry{}} }

// Record records what an upstream has said in a response; a negative rate stands for a response that
// names none. It reports whether that is new.
func (t *Tracker) Record(now time.Time, upstream uint32, rate float64) bool {
	_, known := t.entries[upstream]
	if !known && rate < 0 { // most responses
		return false
	}
	return t.set(now, now, upstream, rate)
}

// Merge applies the statements of a peer, and reports whether any is new.
func (t *Tracker) Merge(now time.Time, statements []Statement) bool {
	changed := false
	for _, s := range statements[:min(len(statements), maxStatements)] {
		at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		if e, known := t.entries[s.Upstream]; !s.valid() || known && !at.After(e.at) {
			continue
		}
		changed = t.set(now, at, s.Upstream, s.Rate) || changed
	}
	return changed
}

func (t *Tracker) set(now, at time.Time, upstream uint32, rate float64) bool {
	if rate < 0 {
		rate = Unlimited
	} else {
		rate = max(minRate, rate)
	}
	e, known := t.entries[upstream]
	changed := !known || e.rate != rate
	if !known {
		t.makeRoom(now)
	}
	if changed {
		e.changedAt = now
	}
	e.rate, e.at = rate, at
	t.entries[upstream] = e
	return changed
}

// makeRoom forgets the upstreams that have said nothing for long, and if there are too many, all.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.entries) < maxUpstreams {
		return
	}
	for upstream, e := range t.entries {
		if now.Sub(e.at) > statementTTL {
			delete(t.entries, upstream)
		}
	}
	if len(t.entries) >= maxUpstreams {
		clear(t.entries)
	}
}

// Find returns the statement of an upstream. ok is false unless it limits its requests.
func (t *Tracker) Find(now time.Time, upstream uint32) (s Statement, ok bool) {
	e, known := t.entries[upstream]
	return e.statement(now, upstream), known && e.rate >= 0
}

func (e *entry) statement(now time.Time, upstream uint32) Statement {
	return Statement{Upstream: upstream, Rate: e.rate, AgeMS: now.Sub(e.at).Milliseconds()}
}

// Limited returns the statements of the upstreams that limit their requests, in no order.
func (t *Tracker) Limited(now time.Time) []Statement {
	var out []Statement
	for upstream, e := range t.entries {
		if e.rate >= 0 {
			out = append(out, e.statement(now, upstream))
		}
	}
	return out
}

// Changes returns the statements to tell to peers, the latest ones if there are many.
func (t *Tracker) Changes(now time.Time) []Statement {
	var out []Statement
	for upstream, e := range t.entries {
		if now.Sub(e.changedAt) < announcementTime {
			out = append(out, e.statement(now, upstream))
		}
	}
	slices.SortFunc(out, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), maxStatements)]
}
