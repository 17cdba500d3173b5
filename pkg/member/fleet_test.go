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
	name      string
	member    *member.Member
	config    *follower.Follower
	down      bool
	partition int // nodes with different values can't reach each other
	appliedAt time.Time
	reverted  bool   // an older revision was applied
	applied   uint64 // newest applied revision
}

// fleet simulates the membership protocol and the propagation of the
// configuration over a fake network with seeded delays and losses.
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
	fanout        = 4
	documentBytes = 0 // documents are not included in the byte count
)

func newFleet(n int, seed uint64, loss float64) *fleet {
	f := &fleet{Timeline: testlib.NewTimeline(time.Unix(1_800_000_000, 0)), rnd: rand.New(rand.NewPCG(seed, 3)), byName: map[string]*node{}, loss: loss}
	for i := range n {
		f.add(fmt.Sprintf("node-%03d", i), 1)
	}
	return f
}

func (f *fleet) add(name string, incarnation uint64) *node {
	info := member.Info{Name: name, Address: "10.0.0.1:9000", Entry: "10.0.0.1:8080", DataCentre: "dc-01", Incarnation: incarnation, BootID: incarnation}
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
	f.Schedule(time.Duration(f.rnd.IntN(100))*time.Millisecond, func() { f.tick(n) })
	return n
}

func (f *fleet) run(d time.Duration) { f.Run(f.Now().Add(d)) }

func (f *fleet) tick(n *node) {
	if f.byName[n.name] != n {
		return // replaced by a restart
	}
	f.Schedule(100*time.Millisecond, func() { f.tick(n) })
	if n.down {
		return
	}
	for _, a := range n.member.Handle(f.Now(), member.Tick{}) {
		if p, ok := a.(member.Probe); ok {
			f.probe(n, p)
		}
	}
}

func (f *fleet) delay() time.Duration { return time.Duration(1+f.rnd.IntN(60)) * time.Millisecond }

// send delivers a digest after a delay unless it is lost, the receiver is down
// or the nodes are in different partitions.
func (f *fleet) send(from, to *node, onDelivery func()) {
	d := from.member.Digest(from.config.Revision(), to.name)
	data, _ := msgpack.Marshal(&d)
	f.messages++
	f.bytes += len(data)
	if f.rnd.Float64() < f.loss {
		return
	}
	f.Schedule(f.delay(), func() {
		if to.down || from.partition != to.partition {
			return
		}
		to.member.Handle(f.Now(), member.DigestReceived{Digest: d})
		f.perform(to, to.config.Handle(follower.PeerRevision{Peer: from.name, Revision: d.Revision}))
		onDelivery()
	})
}

func (f *fleet) exchange(from, to *node, answered *bool) {
	f.send(from, to, func() { f.send(to, from, func() { *answered = true }) })
}

func (f *fleet) probe(n *node, p member.Probe) {
	answered := false
	f.exchange(n, f.byName[p.Peer.Name], &answered)
	f.Schedule(600*time.Millisecond, func() {
		if answered || n.down {
			return
		}
		for _, h := range p.Helpers {
			helper := f.byName[h.Name]
			f.send(n, helper, func() {
				reached := false
				f.exchange(helper, f.byName[p.Peer.Name], &reached)
				f.Schedule(500*time.Millisecond, func() { answered = answered || reached && !helper.down && helper.partition == n.partition })
			})
		}
		f.Schedule(1200*time.Millisecond, func() {
			if !answered && !n.down {
				n.member.Handle(f.Now(), member.ProbeFailed{Peer: p.Peer.Name})
			}
		})
	})
}

func (f *fleet) perform(n *node, actions []follower.Action) {
	for _, a := range append([]follower.Action(nil), actions...) {
		switch a := a.(type) {
		case follower.Apply:
			n.reverted = n.reverted || a.Document.Revision <= n.applied
			n.applied, n.appliedAt = a.Document.Revision, f.Now()
			for _, p := range n.member.Sample(fanout) {
				f.sendDocument(n, f.byName[p.Name], a.Document)
			}
		case follower.Pull:
			f.sendDocument(f.byName[a.Peer], n, f.byName[a.Peer].config.Document())
		}
	}
}

func (f *fleet) sendDocument(from, to *node, d follower.Document) {
	f.messages++
	f.bytes += documentBytes
	if f.rnd.Float64() < f.loss {
		return
	}
	f.Schedule(f.delay(), func() {
		if !to.down && from.partition == to.partition {
			f.perform(to, to.config.Handle(follower.PeerDocument{Document: d}))
		}
	})
}

// submit hands a revision to one node, as its watch on the platform does.
func (f *fleet) submit(n *node, revision uint64) {
	f.perform(n, n.config.Handle(follower.PlatformDocument{Document: follower.Document{Revision: revision, Nonce: fmt.Sprint(revision)}, Version: revision}))
}

// propagationTime returns the time from since until the last live node applied
// revision. It returns false if a live node has not applied it.
func (f *fleet) propagationTime(since time.Time, revision uint64) (time.Duration, bool) {
	var worst time.Duration
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		if n.config.Revision() < revision {
			return 0, false
		}
		if n.applied == revision {
			worst = max(worst, n.appliedAt.Sub(since))
		}
	}
	return worst, true
}

// countListing returns how many live nodes other than name list it as live.
func (f *fleet) countListing(name string) int {
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

const propagationLimit = 3 * time.Second

func TestConfigurationReachesEveryNode(t *testing.T) {
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
				f.run(propagationLimit)
				if d, ok := f.propagationTime(start, revision); !ok {
					t.Errorf("revision %d is not applied on every node after %s", revision, propagationLimit)
				} else {
					t.Logf("revision %d applied on every node after %s", revision, d)
				}
			}
			for _, n := range f.nodes {
				if n.reverted {
					t.Errorf("%s applied an older revision", n.name)
				}
			}
		})
	}
}

// A dead node and a node that left are removed everywhere, all others stay
// listed despite lost messages, and a restarted node is listed again.
func TestOnlyDeadNodesAreRemoved(t *testing.T) {
	f := newFleet(60, 2, 0.02)
	f.run(30 * time.Second)
	dead := f.nodes[17]
	dead.down = true
	f.run(20 * time.Second)
	if n := f.countListing(dead.name); n != 0 {
		t.Errorf("%d nodes still list the dead node", n)
	}
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		if got := f.countListing(n.name); got < len(f.nodes)-2 {
			t.Errorf("%s is listed by %d of %d live nodes", n.name, got, len(f.nodes)-2)
		}
	}
	left := f.nodes[30]
	left.member.Leave()
	f.run(5 * time.Second)
	left.down = true
	f.run(20 * time.Second)
	if n := f.countListing(left.name); n != 0 {
		t.Errorf("%d nodes still list the node that left", n)
	}
	f.add(left.name, 3)
	f.add(dead.name, 2)
	f.run(20 * time.Second)
	if n := f.countListing(dead.name); n != len(f.nodes)-1 {
		t.Errorf("%d of %d nodes list the restarted node", n, len(f.nodes)-1)
	}
}

func TestPartitionHeals(t *testing.T) {
	f := newFleet(40, 3, 0)
	f.run(20 * time.Second)
	for _, n := range f.nodes[:15] {
		n.partition = 1
	}
	f.submit(f.nodes[0], 1)
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		n.partition = 0
	}
	f.run(60 * time.Second)
	for _, n := range f.nodes {
		if got := len(n.member.Live()); got != len(f.nodes) {
			t.Errorf("%s lists %d of %d members", n.name, got, len(f.nodes))
		}
		if n.config.Revision() != 1 {
			t.Errorf("%s has revision %d", n.name, n.config.Revision())
		}
	}
}

func TestOlderPlatformDocumentIsReplaced(t *testing.T) {
	f := follower.New()
	f.Handle(follower.PlatformDocument{Document: follower.Document{Revision: 5, Nonce: "a"}, Version: 50})
	actions := f.Handle(follower.PlatformDocument{Document: follower.Document{Revision: 3, Nonce: "b"}, Version: 9})
	if f.Revision() != 5 || len(actions) != 2 {
		t.Fatalf("revision %d, actions %v", f.Revision(), actions)
	}
	if r, ok := actions[1].(follower.Restore); !ok || r.Document.Revision != 5 || r.Version != 9 {
		t.Errorf("second action %+v, want a Restore of revision 5 over version 9", actions[1])
	}
	if f.Handle(follower.PeerDocument{Document: follower.Document{Revision: 4, Nonce: "d"}}); f.Revision() != 5 {
		t.Errorf("an older document of a peer replaced revision 5 with %d", f.Revision())
	}
	if a := f.Handle(follower.PeerDocument{Document: follower.Document{Revision: 5, Nonce: "c"}}); len(a) != 1 || f.Document().Nonce != "a" {
		t.Errorf("different document with the same revision: actions %v, nonce %s", a, f.Document().Nonce)
	}
}

// BenchmarkFleet reports the traffic per node, the time to remove a dead node
// and the time to propagate a configuration, by fleet size.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{9, 85, 340} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				f := newFleet(size, 4, 0)
				f.run(40 * time.Second)
				f.messages, f.bytes = 0, 0
				const idlePeriod = 20 * time.Second
				f.run(idlePeriod)
				b.ReportMetric(float64(f.messages)/float64(size)/idlePeriod.Seconds(), "messages/node/s")
				b.ReportMetric(float64(f.bytes)/float64(size)/idlePeriod.Seconds(), "bytes/node/s")
				start := f.Now()
				f.submit(f.nodes[0], 1)
				f.run(propagationLimit)
				d, _ := f.propagationTime(start, 1)
				b.ReportMetric(d.Seconds(), "s/config")
				dead := f.nodes[size/2]
				dead.down = true
				start = f.Now()
				for f.countListing(dead.name) > 0 && f.Now().Sub(start) < time.Minute {
					f.run(250 * time.Millisecond)
				}
				b.ReportMetric(f.Now().Sub(start).Seconds(), "s/removal")
			}
		})
	}
}
