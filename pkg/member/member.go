// Package member is the state machine of the membership: it probes one peer a
// period, suspects before it removes, and lets news ride on the probes, so
// that the traffic of a node doesn't grow with the fleet. The method is SWIM
// (Das, Gupta, Motivala, 2002); docs/DESIGN.md has the measurement.
package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member.
type State uint8

// The states, in the order in which they override each other.
const (
	Alive State = iota + 1
	Suspect
	Leaving // alive, but takes no new work
	Dead
)

// Info describes a member.
type Info struct {
	Name        string `msgpack:"n"`
	Address     string `msgpack:"a"` // for peers
	Entry       string `msgpack:"e"` // for callers
	DataCentre  string `msgpack:"d"`
	Incarnation uint64 `msgpack:"i"`
	// Boot tells one start of the node from another.
	Boot  uint64 `msgpack:"b"`
	State State  `msgpack:"s"`
}

// WithState returns i in state s.
func (i Info) WithState(s State) Info {
	i.State = s
	return i
}

func (i Info) overrides(old Info) bool {
	if i.Incarnation != old.Incarnation {
		return i.Incarnation > old.Incarnation
	}
	return i.State > old.State
}

// Digest rides on every message.
type Digest struct {
	From     Info   `msgpack:"f"`
	Updates  []Info `msgpack:"n,omitempty"`
	Revision uint64 `msgpack:"r"` // of the configuration
}

// Event is an input of the machine.
type Event interface{ event() }

// Ticked lets time pass; it is expected a few times in a period.
type Ticked struct{}

// DigestReceived is a digest that a peer sent, as a probe or as an answer.
type DigestReceived struct{ Digest Digest }

// ProbeFailed says that a probe of Peer, direct and through helpers, had no
// answer.
type ProbeFailed struct{ Peer string }

func (Ticked) event()         {}
func (DigestReceived) event() {}
func (ProbeFailed) event()    {}

// Action is an output of the machine.
type Action interface{ action() }

// Probe asks for one exchange of digests with Peer; Helpers may try in its
// place if the peer doesn't answer.
type Probe struct {
	Peer    Info
	Helpers []Info
}

// MembershipChanged says that the list of members has changed.
type MembershipChanged struct{}

func (Probe) action()             {}
func (MembershipChanged) action() {}

// Timing sets the periods.
type Timing struct {
	Period    time.Duration // between probes
	Suspect   time.Duration // a suspect is removed after it
	Reconnect time.Duration // between probes of removed members
	Forget    time.Duration // a removed member is forgotten after it
}

// DefaultTiming finds a dead member within a few seconds.
func DefaultTiming() Timing {
	return Timing{
		Period: 500 * time.Millisecond, Suspect: 2 * time.Second,
		Reconnect: 3 * time.Second, Forget: 2 * time.Hour, // regions lose each other for an hour
	}
}

const (
	newsPerMessage = 12 // bounds a digest to about a kilobyte
	helpers        = 2
	newsFactor     = 3 // sends of one piece of news, times log2 of the members
)

type record struct {
	info  Info
	since time.Time
	sends int
}

// Member is the machine. It is not safe for concurrent use.
type Member struct {
	self   Info
	timing Timing
	rnd    *rand.Rand
	others map[string]*record
	order  []string // neighbours in the order of probes, shuffled each round
	known  []string // names in others, in the order in which they were learned
	at     int
	next   time.Time
	retry  time.Time // of the next probe of a removed member
	out    []Action
}

// New returns the machine of self, whose Incarnation must be higher than at
// any earlier start under the same name.
func New(self Info, timing Timing, rnd *rand.Rand) *Member {
	self.State = Alive
	return &Member{self: self, timing: timing, rnd: rnd, others: map[string]*record{}}
}

// Self returns what this node says of itself.
func (m *Member) Self() Info { return m.self }

// Leave marks this node as leaving.
func (m *Member) Leave() {
	m.self.State = Leaving
}

// Live returns this node and the others that are not removed, ordered by name.
func (m *Member) Live() []Info {
	live := []Info{m.self}
	for _, r := range m.others {
		if r.info.State != Dead {
			live = append(live, r.info)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Digest returns the message to send to the member called to. It begins with
// the doubt about that member itself, if there is one, so that it can refute it.
func (m *Member) Digest(revision uint64, to string) Digest {
	d := Digest{From: m.self, Revision: revision}
	if r, ok := m.others[to]; ok && (r.info.State == Suspect || r.info.State == Dead) {
		d.Updates = append(d.Updates, r.info)
	}
	var fresh []*record
	for _, r := range m.others {
		if r.sends > 0 {
			fresh = append(fresh, r)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sends != fresh[j].sends {
			return fresh[i].sends > fresh[j].sends
		}
		return fresh[i].info.Name < fresh[j].info.Name
	})
	for _, r := range fresh[:min(len(fresh), newsPerMessage)] {
		r.sends--
		d.Updates = append(d.Updates, r.info)
	}
	m.addSample(&d)
	return d
}

// addSample fills the rest of a digest with members chosen at random, so that
// a node that missed the news, or restarted, learns of them all the same.
func (m *Member) addSample(d *Digest) {
	const sample = 3
	if len(m.known) == 0 {
		return
	}
	for range min(sample, newsPerMessage-len(d.Updates)) {
		d.Updates = append(d.Updates, m.others[m.known[m.rnd.IntN(len(m.known))]].info)
	}
}

// Handle takes an event at now and returns the actions to carry out.
func (m *Member) Handle(now time.Time, e Event) []Action {
	m.out = m.out[:0]
	switch e := e.(type) {
	case Ticked:
		m.tick(now)
	case DigestReceived:
		m.learn(now, e.Digest.From)
		for _, i := range e.Digest.Updates {
			m.learn(now, i)
		}
	case ProbeFailed:
		m.doubt(now, e.Peer)
	}
	return m.out
}

// doubt takes note of a failed probe. A member that said it was leaving is
// taken to have left.
func (m *Member) doubt(now time.Time, peer string) {
	r, ok := m.others[peer]
	switch {
	case ok && r.info.State == Alive:
		m.set(now, r, r.info.WithState(Suspect))
	case ok && r.info.State == Leaving:
		m.set(now, r, r.info.WithState(Dead))
	}
}

func (m *Member) budget() int {
	n := 1
	for size := len(m.others) + 1; size > 1; size /= 2 {
		n++
	}
	return newsFactor * n
}

func (m *Member) set(now time.Time, r *record, i Info) {
	r.info, r.since, r.sends = i, now, m.budget()
	m.out = append(m.out, MembershipChanged{})
}

func (m *Member) learn(now time.Time, i Info) {
	if i.Name == m.self.Name {
		m.refute(i)
		return
	}
	r, ok := m.others[i.Name]
	switch {
	case !ok && i.State != Dead:
		r = &record{}
		m.others[i.Name] = r
		m.order = append(m.order, i.Name)
		m.known = append(m.known, i.Name)
		m.set(now, r, i)
	case ok && i.overrides(r.info):
		m.set(now, r, i)
	}
}

// refute answers a false belief about this node by a higher incarnation.
func (m *Member) refute(i Info) {
	if i.Incarnation < m.self.Incarnation || i.State == m.self.State && i.Incarnation == m.self.Incarnation {
		return
	}
	if i.Incarnation > m.self.Incarnation || i.State > m.self.State {
		m.self.Incarnation = i.Incarnation + 1
	}
}

func (m *Member) tick(now time.Time) {
	for name, r := range m.others {
		switch {
		case r.info.State == Suspect && now.Sub(r.since) >= m.timing.Suspect:
			m.set(now, r, r.info.WithState(Dead))
		case r.info.State == Dead && now.Sub(r.since) >= m.timing.Forget:
			delete(m.others, name)
			m.known = slices.DeleteFunc(m.known, func(k string) bool { return k == name })
		}
	}
	m.reconnect(now)
	if now.Before(m.next) {
		return
	}
	m.next = now.Add(m.period())
	if p, ok := m.pick(); ok {
		m.out = append(m.out, Probe{Peer: p, Helpers: m.pickHelpers(p.Name)})
	}
}

// largeFleet is the number of members from which probes are half as frequent,
// for the budget of a node's traffic.
const largeFleet = 32

func (m *Member) period() time.Duration {
	if len(m.others) >= largeFleet {
		return 2 * m.timing.Period
	}
	return m.timing.Period
}

// reconnect probes a removed member now and then: it may be on the other side
// of a partition that has healed.
func (m *Member) reconnect(now time.Time) {
	if now.Before(m.retry) {
		return
	}
	m.retry = now.Add(m.timing.Reconnect)
	var dead []Info
	for _, r := range m.others {
		if r.info.State == Dead {
			dead = append(dead, r.info)
		}
	}
	if len(dead) == 0 {
		return
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i].Name < dead[j].Name })
	m.out = append(m.out, Probe{Peer: dead[m.rnd.IntN(len(dead))]})
}

// pick returns the next member of a shuffled round, which bounds the time
// until a given member is probed.
func (m *Member) pick() (Info, bool) {
	for range len(m.order) + 1 {
		if m.at >= len(m.order) {
			m.newRound()
			if len(m.order) == 0 {
				return Info{}, false
			}
		}
		name := m.order[m.at]
		m.at++
		if r, ok := m.others[name]; ok && r.info.State != Dead {
			return r.info, true
		}
	}
	return Info{}, false
}

func (m *Member) newRound() {
	m.order = m.neighbours()
	m.rnd.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	m.at = 0
}

type position struct {
	name string
	hash uint64
}

// neighbours returns the members at the distances 1, 2, 4 and so on from this
// one on a ring. They stay the same while the membership does, so that their
// connections stay open, and news crosses the ring in a few hops.
func (m *Member) neighbours() []string {
	ring := []position{{m.self.Name, xxhash.Sum64String(m.self.Name)}}
	for name, r := range m.others {
		if r.info.State != Dead {
			ring = append(ring, position{name, xxhash.Sum64String(name)})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	at := 0
	for i := range ring {
		if ring[i].name == m.self.Name {
			at = i
		}
	}
	var out []string
	for d := 1; d < len(ring); d = nextDistance(d) {
		out = append(out, ring[(at+d)%len(ring)].name)
	}
	return out
}

// nearest is how many members on the ring are all neighbours, which leaves
// small fleets fully joined.
const nearest = 8

func nextDistance(d int) int {
	if d < nearest {
		return d + 1
	}
	return 2 * d
}

func (m *Member) pickHelpers(except string) []Info {
	var out []Info
	for range 2 * helpers {
		name := m.known[m.rnd.IntN(len(m.known))]
		if r, ok := m.others[name]; ok && name != except && r.info.State == Alive && len(out) < helpers {
			out = append(out, r.info)
		}
	}
	return out
}

// Sample returns up to n live members other than this one, chosen at random
// among the neighbours while those are enough.
func (m *Member) Sample(n int) []Info {
	names := m.neighbours()
	if n > len(names) {
		names = slices.Clone(m.known)
	}
	m.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	out := make([]Info, 0, min(n, len(names)))
	for _, name := range names {
		if r := m.others[name]; r.info.State != Dead && len(out) < n {
			out = append(out, r.info)
		}
	}
	return out
}
