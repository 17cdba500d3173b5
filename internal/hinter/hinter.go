// Package hinter sends placement hints to peers: which upstreams the prompts of a
// workspace were sent to. With them, each node of the workspace can route to
// prefixes that were cached for requests of another node.
package hinter

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/queue"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

const (
	sendInterval    = time.Second
	queueLength     = 1024             // a full queue drops hints, which only improve routing
	maxHintsPerPeer = 64               // per sendInterval; about 6 KB
	resendInterval  = 10 * time.Second // per prefix and upstream
	maxSentHints    = 1 << 14
)

// Exchanger sends a message to a peer.
type Exchanger interface {
	Exchange(ctx context.Context, addr string, m *peerlink.Message) (*peerlink.Message, error)
}

// NodeSelector returns the nodes that serve a workspace of the given weight.
type NodeSelector func(workspace string, weight int) []member.Info

// Hint describes a prompt that was sent to an upstream.
type Hint struct {
	Workspace string
	Weight    int
	Upstream  string
	Chain     hasher.Chain
}

// hintKey identifies hints with the same prefix and upstream.
type hintKey struct {
	hash     uint64
	upstream string
}

// Hinter collects placement hints and sends them to peers in batches. It
// implements supervisor.Service.
type Hinter struct {
	clk         clock.Clock
	peers       Exchanger
	selectNodes NodeSelector
	self        string
	queue       *queue.Queue[Hint]
	lastSent    map[hintKey]time.Time
}

// New returns a Hinter for the node with the name self.
func New(clk clock.Clock, peers Exchanger, nodes NodeSelector, self string) *Hinter {
	return &Hinter{clk: clk, peers: peers, selectNodes: nodes, self: self, queue: queue.New[Hint](queueLength), lastSent: map[hintKey]time.Time{}}
}

// Name implements supervisor.Service.
func (h *Hinter) Name() string { return "hinter" }

// Dropped returns the number of hints dropped because the queue was full.
func (h *Hinter) Dropped() int64 { return h.queue.Dropped() }

// Add queues a hint. It leaves out the last piece of the prompt, which holds the
// question and is not shared with other prompts.
func (h *Hinter) Add(hint Hint) {
	if len(hint.Chain) > 1 {
		hint.Chain = hint.Chain[:len(hint.Chain)-1]
		h.queue.Offer(hint)
	}
}

// Run sends a batch to each peer every sendInterval until ctx ends.
func (h *Hinter) Run(ctx context.Context) error {
	batches := map[string][]peerlink.Hint{}
	next := h.clk.After(sendInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case hint := <-h.queue.Items():
			h.addToBatches(batches, hint)
		case <-next:
			h.sendBatches(ctx, batches)
			clear(batches)
			next = h.clk.After(sendInterval)
		}
	}
}

// addToBatches adds a hint to the batch of each peer that serves its workspace. It
// skips the hint if one with the same prefix and upstream was processed within the
// last resendInterval.
func (h *Hinter) addToBatches(batches map[string][]peerlink.Hint, hint Hint) {
	now := h.clk.Now()
	key := hintKey{hash: hint.Chain[len(hint.Chain)-1], upstream: hint.Upstream}
	if at, ok := h.lastSent[key]; ok && now.Sub(at) < resendInterval {
		return
	}
	if len(h.lastSent) >= maxSentHints {
		clear(h.lastSent)
	}
	h.lastSent[key] = now
	for _, n := range h.selectNodes(hint.Workspace, hint.Weight) {
		if n.Name != h.self && len(batches[n.Address]) < maxHintsPerPeer {
			batches[n.Address] = append(batches[n.Address], peerlink.Hint{Upstream: hint.Upstream, Pieces: hint.Chain})
		}
	}
}

func (h *Hinter) sendBatches(ctx context.Context, batches map[string][]peerlink.Hint) {
	var g errgroup.Group
	for addr, hints := range batches {
		g.Go(func() error {
			_, _ = h.peers.Exchange(ctx, addr, &peerlink.Message{Hints: hints})
			return nil // a hint that could not be sent is not retried
		})
	}
	_ = g.Wait()
}
