// Package gossiper runs the SWIM membership protocol of package member over the
// peer link. The digests that it exchanges also carry the revision of the
// configuration, so that a node finds out when a peer has a newer one.
package gossiper

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

// RevisionHandler is called with the configuration revision in each digest that
// is received from a peer.
type RevisionHandler func(peerAddress string, revision uint64)

const (
	tickInterval        = 100 * time.Millisecond
	maxConcurrentProbes = 16 // probes that may await their reply
	// seedInterval is the interval between probes of seeds that are not members.
	seedInterval = 10 * time.Second
	// pauseThreshold is the gap between two ticks from which the process is taken
	// to have been paused. Its view of the members is then older than its timers
	// indicate.
	pauseThreshold = 2 * time.Second
)

// Gossiper probes peers and replies to their probes. It implements
// supervisor.Service.
type Gossiper struct {
	clk        clock.Clock
	log        logrus.FieldLogger
	link       *peerlink.Link
	seeds      []string
	revision   func() uint64
	onRevision RevisionHandler
	seedIndex  int
	nextSeedAt time.Time

	mu        sync.Mutex
	machine   *member.Member
	lastTick  time.Time // when the loop of Run last ran
	resumedAt time.Time // when Run last detected that the process had been paused
}

// New returns a Gossiper that runs machine. seeds are peer addresses from the
// settings, which are probed to join the fleet and while they are not members.
// revision returns the revision of the configuration in force.
func New(clk clock.Clock, log logrus.FieldLogger, link *peerlink.Link, machine *member.Member, seeds []string, revision func() uint64, onRevision RevisionHandler) *Gossiper {
	return &Gossiper{
		clk: clk, log: log, link: link, machine: machine, seeds: seeds,
		revision: revision, onRevision: onRevision,
	}
}

// Name implements supervisor.Service.
func (g *Gossiper) Name() string { return "gossiper" }

// Run probes peers until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	probes, ctx := errgroup.WithContext(ctx)
	probes.SetLimit(maxConcurrentProbes)
	last := g.clk.Now()
	for _, seed := range g.seeds[:min(len(g.seeds), maxConcurrentProbes)] {
		// A restarted node gets its configuration from the first seed that replies.
		probes.TryGo(func() error { g.exchangeDigests(ctx, member.Info{Address: seed}); return nil })
	}
	for {
		select {
		case <-ctx.Done():
			return probes.Wait()
		case <-g.clk.After(tickInterval):
		}
		now := g.clk.Now()
		if now.Sub(last) > pauseThreshold {
			g.log.WithField("event", "pausedProcess").WithField("gap", now.Sub(last)).Warn("process was paused")
			g.setResumedAt(now)
		}
		last = now
		g.setLastTick(now)
		for _, a := range g.handle(member.Tick{}) {
			p, ok := a.(member.Probe)
			if ok {
				probes.TryGo(func() error { g.probe(ctx, p); return nil })
			}
		}
		if seed := g.nextSeed(now); seed != "" {
			probes.TryGo(func() error { g.exchangeDigests(ctx, member.Info{Address: seed}); return nil })
		}
	}
}

// nextSeed returns the seed to probe now, or an empty string. While no other
// member is known, it returns a seed at each tick; otherwise one per seedInterval,
// unless a live member has that address.
func (g *Gossiper) nextSeed(now time.Time) string {
	if len(g.seeds) == 0 {
		return ""
	}
	live := g.Live()
	if len(live) > 1 && now.Before(g.nextSeedAt) {
		return ""
	}
	g.nextSeedAt = now.Add(seedInterval)
	seed := g.seeds[g.seedIndex%len(g.seeds)]
	g.seedIndex++
	for _, m := range live {
		if m.Address == seed {
			return ""
		}
	}
	return seed
}

func (g *Gossiper) setResumedAt(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumedAt = t
}

func (g *Gossiper) setLastTick(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastTick = t
}

// settleTime is how long a process that was paused exchanges digests with its
// peers before it accepts work again.
const settleTime = 300 * time.Millisecond

// AwaitPeers returns at once unless the process was just paused. In that case it
// waits for settleTime, so that updates from peers arrive first.
func (g *Gossiper) AwaitPeers(ctx context.Context) error {
	for {
		now := g.clk.Now()
		g.mu.Lock()
		fresh := g.lastTick.IsZero() || now.Sub(g.lastTick) < pauseThreshold
		settled := now.Sub(g.resumedAt) >= settleTime
		g.mu.Unlock()
		if fresh && settled {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.clk.After(tickInterval):
		}
	}
}

// NodeRevision is a member with the revision of its configuration. Reached is
// false if the member did not reply.
type NodeRevision struct {
	Info     member.Info
	Revision uint64
	Reached  bool
}

// PollRevisions requests the configuration revision of every live member.
func (g *Gossiper) PollRevisions(ctx context.Context) []NodeRevision {
	live := g.Live()
	nodes := make([]NodeRevision, len(live))
	var eg errgroup.Group
	eg.SetLimit(maxConcurrentProbes)
	for i, m := range live {
		nodes[i] = NodeRevision{Info: m}
		if m.Name == g.Self().Name {
			nodes[i].Revision, nodes[i].Reached = g.revision(), true
			continue
		}
		eg.Go(func() error {
			out, err := g.link.Exchange(ctx, m.Address, &peerlink.Message{Digest: g.digest(m.Name)})
			if err == nil && out.Digest != nil {
				nodes[i].Revision, nodes[i].Reached = out.Digest.Revision, true
			}
			return nil
		})
	}
	_ = eg.Wait()
	return nodes
}

func (g *Gossiper) handle(e member.Event) []member.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]member.Action(nil), g.machine.Handle(g.clk.Now(), e)...)
}

func (g *Gossiper) digest(to string) *member.Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.machine.Digest(g.revision(), to)
	return &d
}

func (g *Gossiper) probe(ctx context.Context, p member.Probe) {
	if g.exchangeDigests(ctx, p.Peer) {
		return
	}
	for _, h := range p.Helpers {
		m, err := g.link.Exchange(ctx, h.Address, &peerlink.Message{Indirect: &p.Peer})
		if err == nil && m.OK {
			return
		}
	}
	if ctx.Err() == nil {
		g.handle(member.ProbeFailed{Peer: p.Peer.Name})
	}
}

func (g *Gossiper) exchangeDigests(ctx context.Context, to member.Info) bool {
	m, err := g.link.Exchange(ctx, to.Address, &peerlink.Message{Digest: g.digest(to.Name)})
	if err != nil || m.Digest == nil {
		return false
	}
	g.mergeDigest(m.Digest)
	return true
}

func (g *Gossiper) mergeDigest(d *member.Digest) {
	g.handle(member.DigestReceived{Digest: *d})
	g.onRevision(d.From.Address, d.Revision)
}

// HandleMessage processes a membership message from a peer and returns the reply.
// It returns nil for messages of other services.
func (g *Gossiper) HandleMessage(ctx context.Context, m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Digest != nil:
		g.mergeDigest(m.Digest)
		return &peerlink.Message{Digest: g.digest(m.Digest.From.Name)}
	case m.Indirect != nil:
		return &peerlink.Message{OK: g.exchangeDigests(ctx, *m.Indirect)}
	}
	return nil
}

// Live returns all members that are not dead, including this node.
func (g *Gossiper) Live() []member.Info {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Live()
}

// Known returns the number of members that this node has heard of within two hours, itself and
// dead ones included.
func (g *Gossiper) Known() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Known()
}

// Self returns the current description of this node.
func (g *Gossiper) Self() member.Info {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Self()
}

// Leave marks this node as leaving. Peers see this in the next digests and send it
// no new work.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Leave()
}

// SendToSome sends m to up to n random members and returns how many replied.
func (g *Gossiper) SendToSome(ctx context.Context, n int, m *peerlink.Message) int {
	g.mu.Lock()
	peers := g.machine.Sample(n)
	g.mu.Unlock()
	var (
		eg        errgroup.Group
		mu        sync.Mutex
		responded int
	)
	for _, p := range peers {
		eg.Go(func() error {
			if _, err := g.link.Exchange(ctx, p.Address, m); err == nil {
				mu.Lock()
				responded++
				mu.Unlock()
			}
			return nil
		})
	}
	_ = eg.Wait()
	return responded
}
