package broadcaster

import (
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// loadMemory is how long a node's loads count without a newer message.
const loadMemory = time.Second

type heardLoads struct {
	at    time.Time
	loads []placer.Load
}

// summer adds up the loads of all nodes. It is safe for concurrent use.
type summer struct {
	mu    sync.Mutex
	nodes map[string]heardLoads
	sent  []placer.Placement // since the last total
}

// mostSent bounds the placements of a message: about what a fleet of 340 nodes
// sends in a round, and a datagram of 25 KB.
const mostSent = 1500

func newSummer() *summer { return &summer{nodes: map[string]heardLoads{}} }

func (s *summer) add(now time.Time, m *Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[m.From] = heardLoads{at: now, loads: m.Loads}
	s.sent = append(s.sent, m.Placements...)
	s.sent = s.sent[max(0, len(s.sent)-mostSent):]
}

// total returns the sum with the node's own loads, and all placements since the
// last call with the node's own.
func (s *summer) total(now time.Time, own []placer.Load, sent []placer.Placement) ([]placer.Load, []placer.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[uint32]placer.Load{}
	addAll(sum, own)
	for name, h := range s.nodes {
		if now.Sub(h.at) > loadMemory {
			delete(s.nodes, name)
			continue
		}
		addAll(sum, h.loads)
	}
	out := make([]placer.Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	all := append(s.sent, sent...)
	s.sent = nil
	return out, all
}

func addAll(sum map[uint32]placer.Load, loads []placer.Load) {
	for _, l := range loads {
		sum[l.Upstream] = sum[l.Upstream].Plus(l)
	}
}
