// Package quarantiner finds the request that crashes upstreams. On a crash all
// requests in flight there are suspects; a suspect runs again only apart from
// other suspects, and one whose runs crashed two upstreams is quarantined.
package quarantiner

import (
	"slices"
	"sort"
	"time"
)

// Fingerprint identifies a request by workspace and body.
type Fingerprint uint64

const (
	crashesToQuarantine = 2
	memory              = 10 * time.Minute
)

// Report is what nodes tell each other of a fingerprint.
type Report struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Crashes     int         `msgpack:"c"`
	Until       time.Time   `msgpack:"u"`
	// Upstream is the one whose crash is reported.
	Upstream string `msgpack:"e,omitempty"`
}

// Run is a request that was in flight at an upstream.
type Run struct {
	Fingerprint Fingerprint
	// Suspect says that the request was one already when the run began.
	Suspect bool
}

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Clear means that nothing is known against the request.
	Clear Verdict = iota + 1
	// Isolated means that it may run where no other suspect runs.
	Isolated
	// Wait means that the same fingerprint is running elsewhere on this node.
	Wait
	// Quarantined means that it may not run.
	Quarantined
)

type suspect struct {
	crashes int
	until   time.Time
	running int
	fell    []string // upstreams whose crashes are counted
}

// Quarantiner is the memory of suspects. It is not safe for concurrent use.
type Quarantiner struct {
	suspects map[Fingerprint]*suspect
	limit    int
}

// New returns a Quarantiner that remembers up to limit fingerprints.
func New(limit int) *Quarantiner {
	return &Quarantiner{suspects: map[Fingerprint]*suspect{}, limit: limit}
}

// Check tells how f may run at now.
func (q *Quarantiner) Check(now time.Time, f Fingerprint) Verdict {
	s, ok := q.suspects[f]
	switch {
	case !ok || !now.Before(s.until):
		return Clear
	case s.crashes >= crashesToQuarantine:
		return Quarantined
	case s.running > 0:
		return Wait
	default:
		return Isolated
	}
}

// RecordStart says that a suspect runs now.
func (q *Quarantiner) RecordStart(f Fingerprint) {
	if s, ok := q.suspects[f]; ok {
		s.running++
	}
}

// RecordSuccess says that a run of f ended well. It clears a suspect and reports
// whether there was one to clear.
func (q *Quarantiner) RecordSuccess(f Fingerprint) bool {
	s, ok := q.suspects[f]
	if !ok {
		return false
	}
	s.running = max(0, s.running-1)
	if s.crashes >= crashesToQuarantine {
		return false
	}
	delete(q.suspects, f)
	return true
}

// RecordStop says that a run of f ended without a verdict about it.
func (q *Quarantiner) RecordStop(f Fingerprint) {
	if s, ok := q.suspects[f]; ok {
		s.running = max(0, s.running-1)
	}
}

// RecordCrash says that upstream died at now while it ran all of flight, and
// returns what peers should know. A run that began before its request was a
// suspect can't have outlived a crash that a peer has reported of the same
// upstream: it fell to that crash, which counts once.
func (q *Quarantiner) RecordCrash(now time.Time, upstream string, flight []Run) []Report {
	reports := make([]Report, 0, len(flight))
	for _, r := range flight {
		s, ok := q.suspects[r.Fingerprint]
		if !ok || !now.Before(s.until) {
			s = &suspect{}
			q.suspects[r.Fingerprint] = s
		}
		if r.Suspect || !slices.Contains(s.fell, upstream) {
			s.crashes++
		}
		s.add(upstream)
		s.until = now.Add(memory)
		s.running = max(0, s.running-1)
		reports = append(reports, Report{Fingerprint: r.Fingerprint, Crashes: s.crashes, Until: s.until, Upstream: upstream})
	}
	q.trim(now)
	return reports
}

func (s *suspect) add(upstream string) {
	if upstream != "" && !slices.Contains(s.fell, upstream) {
		s.fell = append(s.fell, upstream)
	}
}

// Rank returns how many other suspects come before f in the order that all
// nodes agree on; suspects of different ranks run on different upstreams.
func (q *Quarantiner) Rank(now time.Time, f Fingerprint) int {
	n := 0
	for other, s := range q.suspects {
		if other < f && s.crashes < crashesToQuarantine && now.Before(s.until) {
			n++
		}
	}
	return n
}

// MergeReport takes a report of a peer. One without crashes clears the suspect.
func (q *Quarantiner) MergeReport(r Report) {
	if s, ok := q.suspects[r.Fingerprint]; ok && r.Crashes == 0 {
		if s.crashes < crashesToQuarantine {
			delete(q.suspects, r.Fingerprint)
		}
		return
	}
	if r.Crashes == 0 {
		return
	}
	s, ok := q.suspects[r.Fingerprint]
	if !ok || !r.Until.Add(-memory).Before(s.until) { // what was known had been forgotten by then
		s = &suspect{}
		q.suspects[r.Fingerprint] = s
	}
	s.crashes = max(s.crashes, r.Crashes)
	s.add(r.Upstream)
	if r.Until.After(s.until) {
		s.until = r.Until
	}
}

func (q *Quarantiner) trim(now time.Time) {
	for f, s := range q.suspects {
		if !now.Before(s.until) {
			delete(q.suspects, f)
		}
	}
	if len(q.suspects) <= q.limit {
		return
	}
	all := make([]Fingerprint, 0, len(q.suspects))
	for f := range q.suspects {
		all = append(all, f)
	}
	sort.Slice(all, func(i, j int) bool { return q.suspects[all[i]].until.Before(q.suspects[all[j]].until) })
	for _, f := range all[:len(all)-q.limit] {
		delete(q.suspects, f)
	}
}
