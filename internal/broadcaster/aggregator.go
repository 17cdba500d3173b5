package broadcaster

import (
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// loadTTL is how long a node's loads count without a newer message.
const loadTTL = time.Second

type peerLoads struct {
	at    time.Time
	loads []placer.Load
}

// aggregator sums the loads of all nodes. It is safe for concurrent use.
type aggregator struct {
	mu         sync.Mutex
	nodes      map[string]peerLoads
	placements []placer.Placement // since the last total
}

// maxPlacements bounds the placements in a message. A fleet of 340 nodes sends
// about as many in a round; they take a datagram of 25 KB.
const maxPlacements = 1500

func newAggregator() *aggregator { return &aggregator{nodes: map[string]peerLoads{}} }

func (a *aggregator) add(now time.Time, m *Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes[m.From] = peerLoads{at: now, loads: m.Loads}
	a.placements = append(a.placements, m.Placements...)
	a.placements = a.placements[max(0, len(a.placements)-maxPlacements):]
}

// total returns the loads of all nodes, including this node's own, and all
// placements since the last call, including this node's sent ones.
func (a *aggregator) total(now time.Time, own []placer.Load, sent []placer.Placement) ([]placer.Load, []placer.Placement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := map[uint32]placer.Load{}
	addLoads(sum, own)
	for name, h := range a.nodes {
		if now.Sub(h.at) > loadTTL {
			delete(a.nodes, name)
			continue
		}
		addLoads(sum, h.loads)
	}
	out := make([]placer.Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	all := append(a.placements, sent...)
	a.placements = nil
	return out, all
}

func addLoads(sum map[uint32]placer.Load, loads []placer.Load) {
	for _, l := range loads {
		sum[l.Upstream] = sum[l.Upstream].Plus(l)
	}
}
