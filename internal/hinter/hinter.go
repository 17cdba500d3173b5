// Package hinter tells the other nodes of a workspace where its prompts went,
// so that each finds the prefixes that another had computed.
package hinter

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/ring"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

const (
	period   = time.Second
	queue    = 1024 // a full ring drops hints, which only improve routing
	perPeer  = 64   // hints in a period, about 6 KB
	quiet    = 10 * time.Second
	maxKnown = 1 << 14
)

// Exchanger sends a message to a peer.
type Exchanger interface {
	Exchange(ctx context.Context, addr string, m *peerlink.Message) (*peerlink.Message, error)
}

// NodeSelector returns the nodes that serve a workspace.
type NodeSelector func(workspace string, weight int) []member.Info

// Hint is a prompt that went to an upstream.
type Hint struct {
	Workspace string
	Weight    int
	Upstream  string
	Chain     hasher.Chain
}

type told struct {
	hash     uint64
	upstream string
}

// Hinter is a supervisor service.
type Hinter struct {
	clk   clock.Clock
	peers Exchanger
	nodes NodeSelector
	self  string
	hints *ring.Ring[Hint]
	told  map[told]time.Time
}

// New returns a Hinter of the node called self.
func New(clk clock.Clock, peers Exchanger, nodes NodeSelector, self string) *Hinter {
	return &Hinter{clk: clk, peers: peers, nodes: nodes, self: self, hints: ring.New[Hint](queue), told: map[told]time.Time{}}
}

// Name implements supervisor.Service.
func (h *Hinter) Name() string { return "hinter" }

// Dropped returns how many hints found the queue full.
func (h *Hinter) Dropped() int64 { return h.hints.Dropped() }

// Add takes a hint. The last piece of a prompt is left out, since it is the
// question, which no other prompt shares.
func (h *Hinter) Add(x Hint) {
	if len(x.Chain) > 1 {
		x.Chain = x.Chain[:len(x.Chain)-1]
		h.hints.Offer(x)
	}
}

// Run sends a batch to each peer once a period until ctx ends.
func (h *Hinter) Run(ctx context.Context) error {
	batches := map[string][]peerlink.Hint{}
	next := h.clk.After(period)
	for {
		select {
		case <-ctx.Done():
			return nil
		case x := <-h.hints.Items():
			h.add(batches, x)
		case <-next:
			h.send(ctx, batches)
			clear(batches)
			next = h.clk.After(period)
		}
	}
}

func (h *Hinter) add(batches map[string][]peerlink.Hint, x Hint) {
	now := h.clk.Now()
	key := told{hash: x.Chain[len(x.Chain)-1], upstream: x.Upstream}
	if at, ok := h.told[key]; ok && now.Sub(at) < quiet {
		return
	}
	if len(h.told) >= maxKnown {
		clear(h.told)
	}
	h.told[key] = now
	for _, n := range h.nodes(x.Workspace, x.Weight) {
		if n.Name != h.self && len(batches[n.Address]) < perPeer {
			batches[n.Address] = append(batches[n.Address], peerlink.Hint{Upstream: x.Upstream, Pieces: x.Chain})
		}
	}
}

func (h *Hinter) send(ctx context.Context, batches map[string][]peerlink.Hint) {
	var g errgroup.Group
	for addr, hints := range batches {
		g.Go(func() error {
			_, _ = h.peers.Exchange(ctx, addr, &peerlink.Message{Hints: hints})
			return nil // hints are not repeated
		})
	}
	_ = g.Wait()
}
