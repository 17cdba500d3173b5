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

func (s *aggregator) add(now time.Time, m *Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[m.From] = peerLoads{at: now, loads: m.Loads}
	s.placements = append(s.placements, m.Placements...)
	s.placements = s.placements[max(0, len(s.placements)-maxPlacements):]
}

// total returns the loads of all nodes, including this node's own, and all
// placements since the last call, including this node's sent ones.
func (s *aggregator) total(now time.Time, own []placer.Load, sent []placer.Placement) ([]placer.Load, []placer.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[uint32]placer.Load{}
	addLoads(sum, own)
	for name, h := range s.nodes {
		if now.Sub(h.at) > loadTTL {
			delete(s.nodes, name)
			continue
		}
		addLoads(sum, h.loads)
	}
	out := make([]placer.Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	all := append(s.placements, sent...)
	s.placements = nil
	return out, all
}

func addLoads(sum map[uint32]placer.Load, loads []placer.Load) {
	for _, l := range loads {
		sum[l.Upstream] = sum[l.Upstream].Plus(l)
	}
}
