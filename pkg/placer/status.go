package placer

import "time"

// UpstreamStatus is the state of an upstream at one moment, as far as known.
type UpstreamStatus struct {
	// Running is the number of requests of all nodes that run there. Pinned is how
	// many of these can't move to another upstream.
	Running, Pinned int
	// Utilization is the share of the slots, or of the memory for running requests, that
	// is in use, whichever is greater.
	Utilization float64
	// Reachable is false while the circuit breaker is open, and for an upstream that is
	// leaving.
	Reachable bool
}

// Status returns the status of an incarnation at now, the zero value if it isn't
// known.
func (p *Placer) Status(now time.Time, incarnation string) UpstreamStatus {
	p.sumPeers(now)
	s, ok := p.states[incarnation]
	if !ok {
		return UpstreamStatus{}
	}
	utilization := 0.0
	if s.up.Slots > 0 {
		utilization = float64(s.local.Running+s.peers.Running) / float64(s.up.Slots)
	}
	if s.memoryTokens > 0 {
		utilization = max(utilization, float64(s.local.MemoryTokens+s.peers.MemoryTokens)/(maxMemoryShare*float64(s.memoryTokens)))
	}
	return UpstreamStatus{
		Utilization: min(1, utilization),
		Running:     s.local.Running + s.peers.Running, Pinned: s.local.Pinned + s.peers.Pinned, Reachable: s.breaker.Allows(now) && !s.leaving,
	}
}
