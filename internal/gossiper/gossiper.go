// Package gossiper runs the membership machine over the peer link.
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

// RevisionHandler is called for each revision that a peer says it has.
type RevisionHandler func(peerAddress string, revision uint64)

const (
	tick     = 100 * time.Millisecond
	inFlight = 16 // probes that may wait for their answer
	// seedPeriod is the pause between greetings of unknown seeds.
	seedPeriod = 10 * time.Second
	// pauseLimit is the gap between two ticks after which the process must
	// have been stopped; it then knows less than its timers say.
	pauseLimit = 2 * time.Second
)

// Gossiper is a supervisor service.
type Gossiper struct {
	clk      clock.Clock
	log      logrus.FieldLogger
	link     *peerlink.Link
	seeds    []string
	revision func() uint64
	heard    RevisionHandler
	seedAt   int
	seedTime time.Time

	mu      sync.Mutex
	machine *member.Member
	ticked  time.Time // when the duty last ran
	woke    time.Time // when it last found that the process had been paused
}

// New returns a Gossiper of machine. seeds are peer addresses that are probed
// while no member is known; revision tells the configuration in force.
func New(clk clock.Clock, log logrus.FieldLogger, link *peerlink.Link, machine *member.Member, seeds []string, revision func() uint64, heard RevisionHandler) *Gossiper {
	return &Gossiper{
		clk: clk, log: log, link: link, machine: machine, seeds: seeds,
		revision: revision, heard: heard,
	}
}

// Name implements supervisor.Service.
func (g *Gossiper) Name() string { return "gossiper" }

// Run probes peers until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	probes, ctx := errgroup.WithContext(ctx)
	probes.SetLimit(inFlight)
	last := g.clk.Now()
	for _, seed := range g.seeds[:min(len(g.seeds), inFlight)] {
		// A restarted node gets its configuration from the first that answers.
		probes.TryGo(func() error { g.greet(ctx, member.Info{Address: seed}); return nil })
	}
	for {
		select {
		case <-ctx.Done():
			return probes.Wait()
		case <-g.clk.After(tick):
		}
		now := g.clk.Now()
		if now.Sub(last) > pauseLimit {
			g.log.WithField("event", "pausedProcess").WithField("gap", now.Sub(last)).Warn("process was paused")
			g.setWoke(now)
		}
		last = now
		g.setTicked(now)
		for _, a := range g.handle(member.Ticked{}) {
			p, ok := a.(member.Probe)
			if ok {
				probes.TryGo(func() error { g.probe(ctx, p); return nil })
			}
		}
		if seed := g.nextSeed(now); seed != "" {
			probes.TryGo(func() error { g.greet(ctx, member.Info{Address: seed}); return nil })
		}
	}
}

// nextSeed returns the peer address of the settings to greet now, if any: at
// each tick while no other member is known, else now and then one that no
// member has.
func (g *Gossiper) nextSeed(now time.Time) string {
	if len(g.seeds) == 0 {
		return ""
	}
	live := g.Live()
	if len(live) > 1 && now.Before(g.seedTime) {
		return ""
	}
	g.seedTime = now.Add(seedPeriod)
	seed := g.seeds[g.seedAt%len(g.seeds)]
	g.seedAt++
	for _, m := range live {
		if m.Address == seed {
			return ""
		}
	}
	return seed
}

func (g *Gossiper) setWoke(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.woke = t
}

func (g *Gossiper) setTicked(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ticked = t
}

// settleTime is how long a process that was paused listens to its peers
// before it accepts work again.
const settleTime = 300 * time.Millisecond

// AwaitPeers waits, if the process was just paused, until it has heard its peers.
func (g *Gossiper) AwaitPeers(ctx context.Context) error {
	for {
		now := g.clk.Now()
		g.mu.Lock()
		fresh := g.ticked.IsZero() || now.Sub(g.ticked) < pauseLimit
		settled := now.Sub(g.woke) >= settleTime
		g.mu.Unlock()
		if fresh && settled {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.clk.After(tick):
		}
	}
}

// NodeRevision is a member and what it answered to a survey.
type NodeRevision struct {
	Info     member.Info
	Revision uint64
	Reached  bool
}

// PollRevisions asks every live member for its revision.
func (g *Gossiper) PollRevisions(ctx context.Context) []NodeRevision {
	live := g.Live()
	nodes := make([]NodeRevision, len(live))
	var eg errgroup.Group
	eg.SetLimit(inFlight)
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
	if g.greet(ctx, p.Peer) {
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

func (g *Gossiper) greet(ctx context.Context, to member.Info) bool {
	m, err := g.link.Exchange(ctx, to.Address, &peerlink.Message{Digest: g.digest(to.Name)})
	if err != nil || m.Digest == nil {
		return false
	}
	g.take(m.Digest)
	return true
}

func (g *Gossiper) take(d *member.Digest) {
	g.handle(member.DigestReceived{Digest: *d})
	g.heard(d.From.Address, d.Revision)
}

// HandleMessage answers the messages of the membership, nil for others.
func (g *Gossiper) HandleMessage(ctx context.Context, m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Digest != nil:
		g.take(m.Digest)
		return &peerlink.Message{Digest: g.digest(m.Digest.From.Name)}
	case m.Indirect != nil:
		return &peerlink.Message{OK: g.greet(ctx, *m.Indirect)}
	}
	return nil
}

// Live returns the members that are not removed, this node among them.
func (g *Gossiper) Live() []member.Info {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Live()
}

// Self returns what this node says of itself.
func (g *Gossiper) Self() member.Info {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Self()
}

// Leave tells the others that this node takes no new work.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Leave()
}

// SendToSome sends m to up to n random members and returns how many took it.
func (g *Gossiper) SendToSome(ctx context.Context, n int, m *peerlink.Message) int {
	g.mu.Lock()
	peers := g.machine.Sample(n)
	g.mu.Unlock()
	var (
		eg    errgroup.Group
		mu    sync.Mutex
		taken int
	)
	for _, p := range peers {
		eg.Go(func() error {
			if _, err := g.link.Exchange(ctx, p.Address, m); err == nil {
				mu.Lock()
				taken++
				mu.Unlock()
			}
			return nil
		})
	}
	_ = eg.Wait()
	return taken
}
