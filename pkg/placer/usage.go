package placer

import "time"

// Usage returns the shares of the slots and of the usable memory in use at the upstreams
// of a service that take requests of this node, 0 where their capacity is unknown.
func (p *Placer) Usage(now time.Time, service string) (slots, memory float64) {
	p.sumPeers(now)
	var running, allSlots, tokens, allTokens float64
	for _, s := range p.services[service] {
		if s.up.Draining || now.Before(s.suspendedUntil) || s.isUnavailable(now) || !s.breaker.Allows(now) {
			continue
		}
		if s.up.Slots > 0 {
			running += float64(s.local.Running + s.peers.Running)
			allSlots += float64(s.up.Slots)
		}
		if s.memoryTokens > 0 {
			tokens += float64(s.local.MemoryTokens + s.peers.MemoryTokens)
			allTokens += maxMemoryShare * float64(s.memoryTokens)
		}
	}
	return ratio(running, allSlots), ratio(tokens, allTokens)
}

func ratio(used, all float64) float64 {
	if all <= 0 {
		return 0
	}
	return used / all
}
