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
	mu    sync.Mutex
	nodes map[string]peerLoads
}

func newAggregator() *aggregator { return &aggregator{nodes: map[string]peerLoads{}} }

func (a *aggregator) add(now time.Time, m *Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes[m.From] = peerLoads{at: now, loads: m.Loads}
}

// total returns the loads of all nodes, including this node's own.
func (a *aggregator) total(now time.Time, own []placer.Load) []placer.Load {
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
	return out
}

func addLoads(sum map[uint32]placer.Load, loads []placer.Load) {
	for _, l := range loads {
		sum[l.Upstream] = sum[l.Upstream].Plus(l)
	}
}
