package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as seen by this node.
type State uint8

// The states in order of precedence: for the same incarnation number, a later
// state overrides an earlier one.
const (
	Alive State = iota + 1
	Suspect
	Leaving // alive, but accepts no new work
	Dead
)

// Info describes a member. It is what nodes exchange about each other.
type Info struct {
	Name        string `msgpack:"n"`
	Address     string `msgpack:"a"` // where peers connect
	Entry       string `msgpack:"e"` // where callers connect
	DataCentre  string `msgpack:"d"`
	Incarnation uint64 `msgpack:"i"`
	// BootID identifies one start of the node.
	BootID uint64 `msgpack:"b"`
	State  State  `msgpack:"s"`
}

// WithState returns a copy of i in state s.
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

// Digest is the gossip payload of every message: the sender, some membership
// updates and the sender's configuration revision.
type Digest struct {
	From     Info   `msgpack:"f"`
	Updates  []Info `msgpack:"n,omitempty"`
	Revision uint64 `msgpack:"r"` // revision of the configuration
}

// Event is an input of the state machine.
type Event interface{ event() }

// Tick advances the time. It is expected several times per probe period.
type Tick struct{}

// DigestReceived carries a digest from a peer, either a probe or its reply.
type DigestReceived struct{ Digest Digest }

// ProbeFailed reports that neither the direct probe of Peer nor the indirect
// probes through helpers were answered.
type ProbeFailed struct{ Peer string }

func (Tick) event()           {}
func (DigestReceived) event() {}
func (ProbeFailed) event()    {}

// Action is an output of the state machine.
type Action interface{ action() }

// Probe requests an exchange of digests with Peer. If the peer does not answer,
// it is probed indirectly through Helpers.
type Probe struct {
	Peer    Info
	Helpers []Info
}

// MembershipChanged reports that the list of members has changed.
type MembershipChanged struct{}

func (Probe) action()             {}
func (MembershipChanged) action() {}

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	Period    time.Duration // interval between probes
	Suspect   time.Duration // time after which a suspect is declared dead
	Reconnect time.Duration // interval between probes of dead members
	Remove    time.Duration // time after which a dead member is removed
}

// DefaultTiming returns the timing that detects a dead member within a few
// seconds.
func DefaultTiming() Timing {
	return Timing{
		Period: 500 * time.Millisecond, Suspect: 2 * time.Second,
		Reconnect: 3 * time.Second, Remove: 2 * time.Hour, // partitions between regions last up to an hour
	}
}

const (
	maxUpdatesPerDigest = 12 // limits a digest to about 1 KB
	indirectProbes      = 2  // helpers per failed probe
	retransmitFactor    = 3  // sends of an update, times log2 of the number of members
)

type record struct {
	info        Info
	changedAt   time.Time
	retransmits int // remaining sends of the update
}

// Member is the state machine of one node. It is not safe for concurrent use.
type Member struct {
	self          Info
	timing        Timing
	rnd           *rand.Rand
	peers         map[string]*record
	probeOrder    []string // neighbours in probe order, shuffled each round
	peerNames     []string // keys of peers in the order of insertion
	nextIndex     int
	nextProbe     time.Time
	nextReconnect time.Time // time of the next probe of a dead member
	actions       []Action
}

// New returns the state machine of the node self. self.Incarnation must be
// higher than at any earlier start under the same name.
func New(self Info, timing Timing, rnd *rand.Rand) *Member {
	self.State = Alive
	return &Member{self: self, timing: timing, rnd: rnd, peers: map[string]*record{}}
}

// Self returns the current description of this node.
func (m *Member) Self() Info { return m.self }

// Leave marks this node as leaving, so that it receives no new work.
func (m *Member) Leave() {
	m.self.State = Leaving
}

// Live returns this node and all peers that are not dead, sorted by name.
func (m *Member) Live() []Info {
	live := []Info{m.self}
	for _, r := range m.peers {
		if r.info.State != Dead {
			live = append(live, r.info)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Known returns the number of nodes that this one has heard of, itself and dead ones included.
func (m *Member) Known() int { return 1 + len(m.peers) }

// Digest returns the digest to send to the member named to. If that member is
// suspect or dead, its own entry comes first, so that it can refute it.
func (m *Member) Digest(revision uint64, to string) Digest {
	d := Digest{From: m.self, Revision: revision}
	if r, ok := m.peers[to]; ok && (r.info.State == Suspect || r.info.State == Dead) {
		d.Updates = append(d.Updates, r.info)
	}
	var pending []*record
	for _, r := range m.peers {
		if r.retransmits > 0 {
			pending = append(pending, r)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].retransmits != pending[j].retransmits {
			return pending[i].retransmits > pending[j].retransmits
		}
		return pending[i].info.Name < pending[j].info.Name
	})
	for _, r := range pending[:min(len(pending), maxUpdatesPerDigest)] {
		r.retransmits--
		d.Updates = append(d.Updates, r.info)
	}
	m.addSample(&d)
	return d
}

// addSample fills up a digest with randomly chosen members, so that nodes that
// missed an update or restarted still receive it.
func (m *Member) addSample(d *Digest) {
	const sampleSize = 3
	if len(m.peerNames) == 0 {
		return
	}
	for range min(sampleSize, maxUpdatesPerDigest-len(d.Updates)) {
		d.Updates = append(d.Updates, m.peers[m.peerNames[m.rnd.IntN(len(m.peerNames))]].info)
	}
}

// Handle processes an event at time now and returns the actions to perform.
// The slice is valid until the next call.
func (m *Member) Handle(now time.Time, e Event) []Action {
	m.actions = m.actions[:0]
	switch e := e.(type) {
	case Tick:
		m.tick(now)
	case DigestReceived:
		m.merge(now, e.Digest.From)
		for _, i := range e.Digest.Updates {
			m.merge(now, i)
		}
	case ProbeFailed:
		m.suspect(now, e.Peer)
	}
	return m.actions
}

// suspect handles a failed probe. A member that announced that it is leaving is
// declared dead at once.
func (m *Member) suspect(now time.Time, peer string) {
	r, ok := m.peers[peer]
	switch {
	case ok && r.info.State == Alive:
		m.set(now, r, r.info.WithState(Suspect))
	case ok && r.info.State == Leaving:
		m.set(now, r, r.info.WithState(Dead))
	}
}

// retransmitLimit returns how often an update is sent, which grows with the
// logarithm of the number of members.
func (m *Member) retransmitLimit() int {
	n := 1
	for size := len(m.peers) + 1; size > 1; size /= 2 {
		n++
	}
	return retransmitFactor * n
}

func (m *Member) set(now time.Time, r *record, i Info) {
	r.info, r.changedAt, r.retransmits = i, now, m.retransmitLimit()
	m.actions = append(m.actions, MembershipChanged{})
}

// merge applies an update about a member if it overrides the known state.
func (m *Member) merge(now time.Time, i Info) {
	if i.Name == m.self.Name {
		m.refute(i)
		return
	}
	r, ok := m.peers[i.Name]
	switch {
	case !ok && i.State != Dead:
		r = &record{}
		m.peers[i.Name] = r
		m.probeOrder = append(m.probeOrder, i.Name)
		m.peerNames = append(m.peerNames, i.Name)
		m.set(now, r, i)
	case ok && i.overrides(r.info):
		m.set(now, r, i)
	}
}

// refute raises this node's incarnation number if a peer reports a wrong state
// of this node or a higher incarnation number.
func (m *Member) refute(i Info) {
	if i.Incarnation < m.self.Incarnation || i.State == m.self.State && i.Incarnation == m.self.Incarnation {
		return
	}
	if i.Incarnation > m.self.Incarnation || i.State > m.self.State {
		m.self.Incarnation = i.Incarnation + 1
	}
}

func (m *Member) tick(now time.Time) {
	for name, r := range m.peers {
		switch {
		case r.info.State == Suspect && now.Sub(r.changedAt) >= m.timing.Suspect:
			m.set(now, r, r.info.WithState(Dead))
		case r.info.State == Dead && now.Sub(r.changedAt) >= m.timing.Remove:
			delete(m.peers, name)
			m.peerNames = slices.DeleteFunc(m.peerNames, func(k string) bool { return k == name })
		}
	}
	m.reconnect(now)
	if now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = now.Add(m.period())
	if p, ok := m.nextTarget(); ok {
		m.actions = append(m.actions, Probe{Peer: p, Helpers: m.pickHelpers(p.Name)})
	}
}

// largeFleetSize is the number of peers from which the probe period doubles, to
// stay within the traffic budget of a node.
const largeFleetSize = 32

func (m *Member) period() time.Duration {
	if len(m.peers) >= largeFleetSize {
		return 2 * m.timing.Period
	}
	return m.timing.Period
}

// reconnect periodically probes a random dead member: it may have been on the
// other side of a network partition that has healed.
func (m *Member) reconnect(now time.Time) {
	if now.Before(m.nextReconnect) {
		return
	}
	m.nextReconnect = now.Add(m.timing.Reconnect)
	var dead []Info
	for _, r := range m.peers {
		if r.info.State == Dead {
			dead = append(dead, r.info)
		}
	}
	if len(dead) == 0 {
		return
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i].Name < dead[j].Name })
	m.actions = append(m.actions, Probe{Peer: dead[m.rnd.IntN(len(dead))]})
}

// nextTarget returns the next member to probe. Probing in shuffled rounds
// bounds the time until any given member is probed.
func (m *Member) nextTarget() (Info, bool) {
	for range len(m.probeOrder) + 1 {
		if m.nextIndex >= len(m.probeOrder) {
			m.newRound()
			if len(m.probeOrder) == 0 {
				return Info{}, false
			}
		}
		name := m.probeOrder[m.nextIndex]
		m.nextIndex++
		if r, ok := m.peers[name]; ok && r.info.State != Dead {
			return r.info, true
		}
	}
	return Info{}, false
}

func (m *Member) newRound() {
	m.probeOrder = m.neighbours()
	m.rnd.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	m.nextIndex = 0
}

type ringPosition struct {
	name string
	hash uint64
}

// neighbours returns the members at growing distances from this one on a ring
// that is ordered by the hashes of the names: all up to fullMeshDistance, then
// at twice the distance each. They do not change while the membership does not,
// so that connections stay open, and an update crosses the ring in a few hops.
func (m *Member) neighbours() []string {
	ring := []ringPosition{{m.self.Name, xxhash.Sum64String(m.self.Name)}}
	for name, r := range m.peers {
		if r.info.State != Dead {
			ring = append(ring, ringPosition{name, xxhash.Sum64String(name)})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	self := 0
	for i := range ring {
		if ring[i].name == m.self.Name {
			self = i
		}
	}
	var out []string
	for d := 1; d < len(ring); d = nextDistance(d) {
		out = append(out, ring[(self+d)%len(ring)].name)
	}
	return out
}

// fullMeshDistance is the distance on the ring up to which all members are
// neighbours, so that small fleets form a full mesh.
const fullMeshDistance = 8

func nextDistance(d int) int {
	if d < fullMeshDistance {
		return d + 1
	}
	return 2 * d
}

func (m *Member) pickHelpers(except string) []Info {
	var out []Info
	for range 2 * indirectProbes {
		name := m.peerNames[m.rnd.IntN(len(m.peerNames))]
		if r, ok := m.peers[name]; ok && name != except && r.info.State == Alive && len(out) < indirectProbes {
			out = append(out, r.info)
		}
	}
	return out
}

// Sample returns up to n random members that are not dead, without this node.
// It chooses among the neighbours if there are at least n of them, otherwise
// among all members.
func (m *Member) Sample(n int) []Info {
	names := m.neighbours()
	if n > len(names) {
		names = slices.Clone(m.peerNames)
	}
	m.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	out := make([]Info, 0, min(n, len(names)))
	for _, name := range names {
		if r := m.peers[name]; r.info.State != Dead && len(out) < n {
			out = append(out, r.info)
		}
	}
	return out
}
