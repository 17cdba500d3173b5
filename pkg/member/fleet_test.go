package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/follower"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

type node struct {
	name     string
	member   *member.Member
	config   *follower.Follower
	down     bool
	cut      int // side of a partition
	applied  time.Time
	reverted bool
	seen     uint64
}

// fleet runs the membership and the spread of the configuration over fakes of
// the network with a seeded delay and loss.
type fleet struct {
	*testlib.Timeline
	rnd      *rand.Rand
	nodes    []*node
	byName   map[string]*node
	loss     float64
	messages int
	bytes    int
}

const (
	fanout    = 4
	pushBytes = 0 // the document itself is counted apart
)

func newFleet(n int, seed uint64, loss float64) *fleet {
	f := &fleet{Timeline: testlib.NewTimeline(time.Unix(1_800_000_000, 0)), rnd: rand.New(rand.NewPCG(seed, 3)), byName: map[string]*node{}, loss: loss}
	for i := range n {
		f.add(fmt.Sprintf("node-%03d", i), 1)
	}
	return f
}

func (f *fleet) add(name string, incarnation uint64) *node {
	info := member.Info{Name: name, Address: "10.0.0.1:9000", Entry: "10.0.0.1:8080", DataCentre: "dc-01", Incarnation: incarnation, Boot: incarnation}
	n := &node{name: name, member: member.New(info, member.DefaultTiming(), rand.New(rand.NewPCG(f.rnd.Uint64(), 5))), config: follower.New()}
	if old, ok := f.byName[name]; ok {
		for i := range f.nodes {
			if f.nodes[i] == old {
				f.nodes[i] = n
			}
		}
	} else {
		f.nodes = append(f.nodes, n)
	}
	f.byName[name] = n
	if seed := f.nodes[0]; n != seed {
		n.member.Handle(f.Now(), member.DigestReceived{Digest: seed.member.Digest(0, name)})
	}
	f.Later(time.Duration(f.rnd.IntN(100))*time.Millisecond, func() { f.tick(n) })
	return n
}

func (f *fleet) run(d time.Duration) { f.Run(f.Now().Add(d)) }

func (f *fleet) tick(n *node) {
	if f.byName[n.name] != n {
		return // restarted since
	}
	f.Later(100*time.Millisecond, func() { f.tick(n) })
	if n.down {
		return
	}
	for _, a := range n.member.Handle(f.Now(), member.Ticked{}) {
		if p, ok := a.(member.Probe); ok {
			f.probe(n, p)
		}
	}
}

func (f *fleet) delay() time.Duration { return time.Duration(1+f.rnd.IntN(60)) * time.Millisecond }

// send delivers a digest, or not.
func (f *fleet) send(from, to *node, done func()) {
	d := from.member.Digest(from.config.Revision(), to.name)
	data, _ := msgpack.Marshal(&d)
	f.messages++
	f.bytes += len(data)
	if f.rnd.Float64() < f.loss {
		return
	}
	f.Later(f.delay(), func() {
		if to.down || from.cut != to.cut {
			return
		}
		to.member.Handle(f.Now(), member.DigestReceived{Digest: d})
		f.act(to, to.config.Handle(follower.PeerRevision{Peer: from.name, Revision: d.Revision}))
		done()
	})
}

func (f *fleet) exchange(from, to *node, answered *bool) {
	f.send(from, to, func() { f.send(to, from, func() { *answered = true }) })
}

func (f *fleet) probe(n *node, p member.Probe) {
	answered := false
	f.exchange(n, f.byName[p.Peer.Name], &answered)
	f.Later(600*time.Millisecond, func() {
		if answered || n.down {
			return
		}
		for _, h := range p.Helpers {
			helper := f.byName[h.Name]
			f.send(n, helper, func() {
				reached := false
				f.exchange(helper, f.byName[p.Peer.Name], &reached)
				f.Later(500*time.Millisecond, func() { answered = answered || reached && !helper.down && helper.cut == n.cut })
			})
		}
		f.Later(1200*time.Millisecond, func() {
			if !answered && !n.down {
				n.member.Handle(f.Now(), member.ProbeFailed{Peer: p.Peer.Name})
			}
		})
	})
}

func (f *fleet) act(n *node, actions []follower.Action) {
	for _, a := range append([]follower.Action(nil), actions...) {
		switch a := a.(type) {
		case follower.Apply:
			n.reverted = n.reverted || a.Document.Revision <= n.seen
			n.seen, n.applied = a.Document.Revision, f.Now()
			for _, p := range n.member.Sample(fanout) {
				f.document(n, f.byName[p.Name], a.Document)
			}
		case follower.Pull:
			f.document(f.byName[a.Peer], n, f.byName[a.Peer].config.Document())
		}
	}
}

func (f *fleet) document(from, to *node, d follower.Document) {
	f.messages++
	f.bytes += pushBytes
	if f.rnd.Float64() < f.loss {
		return
	}
	f.Later(f.delay(), func() {
		if !to.down && from.cut == to.cut {
			f.act(to, to.config.Handle(follower.PeerDocument{Document: d}))
		}
	})
}

// submit puts a revision in force at one node, as its watch on the platform
// does.
func (f *fleet) submit(n *node, revision uint64) {
	f.act(n, n.config.Handle(follower.PlatformDocument{Document: follower.Document{Revision: revision, Nonce: fmt.Sprint(revision)}, Version: revision}))
}

// slowest returns how long after since the last live node had revision; false
// if one has not.
func (f *fleet) slowest(since time.Time, revision uint64) (time.Duration, bool) {
	var worst time.Duration
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		if n.config.Revision() < revision {
			return 0, false
		}
		if n.seen == revision {
			worst = max(worst, n.applied.Sub(since))
		}
	}
	return worst, true
}

// knows returns how many live nodes believe that name is in one of states.
func (f *fleet) listed(name string) int {
	count := 0
	for _, n := range f.nodes {
		for _, i := range n.member.Live() {
			if i.Name == name && !n.down && n.name != name {
				count++
			}
		}
	}
	return count
}

const inForce = 3 * time.Second

func TestConfigurationInForceOnEveryNode(t *testing.T) {
	for _, c := range []struct {
		nodes int
		loss  float64
	}{{9, 0}, {9, 0.1}, {340, 0}, {340, 0.1}} {
		t.Run(fmt.Sprintf("%d nodes, loss %g", c.nodes, c.loss), func(t *testing.T) {
			f := newFleet(c.nodes, 1, c.loss)
			f.run(15 * time.Second)
			for revision := uint64(1); revision <= 5; revision++ {
				start := f.Now()
				f.submit(f.nodes[f.rnd.IntN(c.nodes)], revision)
				f.run(inForce)
				if d, ok := f.slowest(start, revision); !ok {
					t.Errorf("revision %d is not in force everywhere after %s", revision, inForce)
				} else {
					t.Logf("revision %d in force everywhere after %s", revision, d)
				}
			}
			for _, n := range f.nodes {
				if n.reverted {
					t.Errorf("%s went back to a lower revision", n.name)
				}
			}
		})
	}
}

func TestDeadNodeIsRemovedAndOthersStay(t *testing.T) {
	f := newFleet(60, 2, 0.02)
	f.run(30 * time.Second)
	dead := f.nodes[17]
	dead.down = true
	f.run(20 * time.Second)
	if n := f.listed(dead.name); n != 0 {
		t.Errorf("%d nodes still list the dead one", n)
	}
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		if got := f.listed(n.name); got < len(f.nodes)-2 {
			t.Errorf("%s is listed by %d of %d", n.name, got, len(f.nodes)-2)
		}
	}
	left := f.nodes[30]
	left.member.Leave()
	f.run(5 * time.Second)
	left.down = true
	f.run(20 * time.Second)
	if n := f.listed(left.name); n != 0 {
		t.Errorf("%d nodes still list the one that left", n)
	}
	f.add(left.name, 3)
	f.add(dead.name, 2)
	f.run(20 * time.Second)
	if n := f.listed(dead.name); n != len(f.nodes)-1 {
		t.Errorf("%d of %d nodes list the one that came back", n, len(f.nodes)-1)
	}
}

func TestPartitionHeals(t *testing.T) {
	f := newFleet(40, 3, 0)
	f.run(20 * time.Second)
	for _, n := range f.nodes[:15] {
		n.cut = 1
	}
	f.submit(f.nodes[0], 1)
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		n.cut = 0
	}
	f.run(60 * time.Second)
	for _, n := range f.nodes {
		if got := len(n.member.Live()); got != len(f.nodes) {
			t.Errorf("%s lists %d of %d", n.name, got, len(f.nodes))
		}
		if n.config.Revision() != 1 {
			t.Errorf("%s has revision %d", n.name, n.config.Revision())
		}
	}
}

func TestPlatformThatWentBackIsRestored(t *testing.T) {
	f := follower.New()
	f.Handle(follower.PlatformDocument{Document: follower.Document{Revision: 5, Nonce: "a"}, Version: 50})
	actions := f.Handle(follower.PlatformDocument{Document: follower.Document{Revision: 3, Nonce: "b"}, Version: 9})
	if f.Revision() != 5 || len(actions) != 2 {
		t.Fatalf("revision %d, actions %v", f.Revision(), actions)
	}
	if r, ok := actions[1].(follower.Restore); !ok || r.Document.Revision != 5 || r.Version != 9 {
		t.Errorf("second action %+v, want the restoration of 5 over version 9", actions[1])
	}
	if f.Handle(follower.PeerDocument{Document: follower.Document{Revision: 4, Nonce: "d"}}); f.Revision() != 5 {
		t.Errorf("a peer's older document took revision 5 back to %d", f.Revision())
	}
	if a := f.Handle(follower.PeerDocument{Document: follower.Document{Revision: 5, Nonce: "c"}}); len(a) != 1 || f.Document().Nonce != "a" {
		t.Errorf("another document of the same revision: actions %v, nonce %s", a, f.Document().Nonce)
	}
}

// BenchmarkFleet gives the traffic of a node, the time to find a dead one and
// the spread of a configuration, by the size of the fleet.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{9, 85, 340} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				f := newFleet(size, 4, 0)
				f.run(40 * time.Second)
				f.messages, f.bytes = 0, 0
				const quiet = 20 * time.Second
				f.run(quiet)
				b.ReportMetric(float64(f.messages)/float64(size)/quiet.Seconds(), "messages/node/s")
				b.ReportMetric(float64(f.bytes)/float64(size)/quiet.Seconds(), "bytes/node/s")
				start := f.Now()
				f.submit(f.nodes[0], 1)
				f.run(inForce)
				d, _ := f.slowest(start, 1)
				b.ReportMetric(d.Seconds(), "s/config")
				dead := f.nodes[size/2]
				dead.down = true
				start = f.Now()
				for f.listed(dead.name) > 0 && f.Now().Sub(start) < time.Minute {
					f.run(250 * time.Millisecond)
				}
				b.ReportMetric(f.Now().Sub(start).Seconds(), "s/removal")
			}
		})
	}
}
