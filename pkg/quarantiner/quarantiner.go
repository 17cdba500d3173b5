// Package quarantiner detects poison requests: requests that crash upstreams.
// When an upstream crashes, all requests in flight there become suspects. A
// suspect is retried only on an upstream without other suspects. After two
// crashes, or those of three upstreams at several nodes, it is quarantined and not run any
// more.
package quarantiner

import (
	"slices"
	"sort"
	"time"
)

// Fingerprint is a hash that identifies a request by workspace and content.
type Fingerprint uint64

const (
	crashesToQuarantine = 2
	// upstreamsToQuarantine is the number of upstreams that crashed under a request at any
	// nodes: a harmless one that is sent to two nodes may run beside poison at both.
	upstreamsToQuarantine = 3
	// suspectTTL is how long a suspect is kept after its last crash.
	suspectTTL = 10 * time.Minute
)

// Report is the state of a suspect that nodes exchange. Zero crashes mean that
// the suspect was cleared.
type Report struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Crashes     int         `msgpack:"c"`
	Until       time.Time   `msgpack:"u"` // when the suspect expires
	// Upstream is the upstream that crashed.
	Upstream string `msgpack:"e,omitempty"`
}

// Run is a request that was in flight at an upstream.
type Run struct {
	Fingerprint Fingerprint
	// Suspect is set if the request was already a suspect when the run began.
	Suspect bool
}

// Verdict is whether and how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Clear means that the request isn't a suspect.
	Clear Verdict = iota + 1
	// Isolated means that it may run on an upstream without other suspects.
	Isolated
	// Wait means that this node is already running a request with the same
	// fingerprint.
	Wait
	// Quarantined means that it must not run.
	Quarantined
)

// State is what a node knows of a suspect.
type State struct {
	// Running is set while the node runs a suspect that isn't cleared, or is about to.
	Running bool `msgpack:"u,omitempty"`
	// Verdict is Clear, Isolated or Quarantined.
	Verdict Verdict `msgpack:"v"`
	// Reports has one report for each upstream that crashed, or a report without crashes
	// if the suspect was cleared.
	Reports []Report `msgpack:"r,omitempty"`
}

type suspect struct {
	crashes          int
	cleared          bool // has succeeded since
	expiresAt        time.Time
	crashedUpstreams []string // of this node's runs, and of those that peers reported
}

func (s *suspect) quarantined() bool {
	return s.crashes >= crashesToQuarantine || len(s.crashedUpstreams) >= upstreamsToQuarantine
}

// Quarantiner holds the suspects known to a node. It is not safe for
// concurrent use.
type Quarantiner struct {
	suspects map[Fingerprint]*suspect
	// running is the number of runs of each request, also of those that aren't suspects:
	// a run that began before its request became one may still crash its upstream.
	running map[Fingerprint]int
	limit   int
}

// New returns a Quarantiner that keeps up to limit suspects.
func New(limit int) *Quarantiner {
	return &Quarantiner{suspects: map[Fingerprint]*suspect{}, running: map[Fingerprint]int{}, limit: limit}
}

// Check returns how f may run at now.
func (q *Quarantiner) Check(now time.Time, f Fingerprint) Verdict {
	s, ok := q.suspects[f]
	switch {
	case !ok || s.cleared || !now.Before(s.expiresAt):
		return Clear
	case s.quarantined():
		return Quarantined
	case q.running[f] > 0:
		return Wait
	default:
		return Isolated
	}
}

// RecordStart records that a run of f started.
func (q *Quarantiner) RecordStart(f Fingerprint) { q.running[f]++ }

// RecordSuccess records that a run of f succeeded. It clears a suspect that
// isn't quarantined and reports whether it did.
func (q *Quarantiner) RecordSuccess(f Fingerprint) bool {
	q.RecordStop(f)
	s, ok := q.suspects[f]
	if !ok || s.quarantined() || s.cleared {
		return false
	}
	s.clear()
	return true
}

// clear is remembered until the suspect expires, so that other nodes can learn of it.
func (s *suspect) clear() { s.crashes, s.crashedUpstreams, s.cleared = 0, nil, true }

// State returns what this node knows of f.
func (q *Quarantiner) State(now time.Time, f Fingerprint) State {
	s, ok := q.suspects[f]
	if !ok || !now.Before(s.expiresAt) {
		return State{Running: q.running[f] > 0, Verdict: Clear}
	}
	st := State{Running: q.running[f] > 0, Verdict: Isolated}
	switch {
	case s.cleared:
		st.Verdict, st.Running = Clear, false
	case s.quarantined():
		st.Verdict = Quarantined
	}
	r := Report{Fingerprint: f, Crashes: s.crashes, Until: s.expiresAt}
	if len(s.crashedUpstreams) == 0 {
		st.Reports = []Report{r}
	}
	for _, u := range s.crashedUpstreams {
		r.Upstream = u
		st.Reports = append(st.Reports, r)
	}
	return st
}

// RecordStop records that a run of f ended in a way that neither clears nor
// incriminates it.
func (q *Quarantiner) RecordStop(f Fingerprint) {
	if q.running[f]--; q.running[f] <= 0 {
		delete(q.running, f)
	}
}

// RecordCrash records that upstream crashed at now while it ran inFlight, and
// returns the reports to send to peers. A run that began before its request was
// a suspect can't have survived a crash of the same upstream that a peer has
// reported. It ended in that crash, which is counted only once.
func (q *Quarantiner) RecordCrash(now time.Time, upstream string, inFlight []Run) []Report {
	reports := make([]Report, 0, len(inFlight))
	for _, r := range inFlight {
		s, ok := q.suspects[r.Fingerprint]
		if !ok || s.cleared || !now.Before(s.expiresAt) {
			s = &suspect{}
			q.suspects[r.Fingerprint] = s
		}
		if r.Suspect || !slices.Contains(s.crashedUpstreams, upstream) {
			s.crashes++
		}
		s.addUpstream(upstream)
		s.expiresAt = now.Add(suspectTTL)
		q.RecordStop(r.Fingerprint)
		reports = append(reports, Report{Fingerprint: r.Fingerprint, Crashes: s.crashes, Until: s.expiresAt, Upstream: upstream})
	}
	q.evict(now)
	return reports
}

func (s *suspect) addUpstream(upstream string) {
	if upstream != "" && !slices.Contains(s.crashedUpstreams, upstream) {
		s.crashedUpstreams = append(s.crashedUpstreams, upstream)
	}
}

// Rank returns the number of other suspects before f in fingerprint order,
// which is the same on all nodes. Suspects of different ranks run on different
// upstreams.
func (q *Quarantiner) Rank(now time.Time, f Fingerprint) int {
	n := 0
	for other, s := range q.suspects {
		if other < f && !s.quarantined() && !s.cleared && now.Before(s.expiresAt) {
			n++
		}
	}
	return n
}

// MergeReport merges a peer's report. A report without crashes clears the
// suspect unless it is quarantined.
func (q *Quarantiner) MergeReport(r Report) {
	if s, ok := q.suspects[r.Fingerprint]; ok && r.Crashes == 0 {
		if !s.quarantined() {
			s.clear()
		}
		return
	}
	if r.Crashes == 0 {
		return
	}
	s, ok := q.suspects[r.Fingerprint]
	if !ok || s.cleared || !r.Until.Add(-suspectTTL).Before(s.expiresAt) { // the known state had expired before that crash
		s = &suspect{}
		q.suspects[r.Fingerprint] = s
	}
	s.crashes = max(s.crashes, r.Crashes)
	s.addUpstream(r.Upstream)
	if r.Until.After(s.expiresAt) {
		s.expiresAt = r.Until
	}
}

// evict removes expired suspects and then, above the limit, those that expire
// first.
func (q *Quarantiner) evict(now time.Time) {
	for f, s := range q.suspects {
		if !now.Before(s.expiresAt) {
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
	sort.Slice(all, func(i, j int) bool { return q.suspects[all[i]].expiresAt.Before(q.suspects[all[j]].expiresAt) })
	for _, f := range all[:len(all)-q.limit] {
		delete(q.suspects, f)
	}
}
