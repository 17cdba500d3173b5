package placer

// maxMemoryShare is the share of an engine's memory that running requests may take.
// The rest is left to cached parts, which make up two thirds of the users' long
// prompts.
const maxMemoryShare = 0.5

// memoryFull reports whether an engine has no memory for further tokens without
// evicting the cached parts that its speed depends on. An engine without requests
// is never full.
func (p *Placer) memoryFull(s *upstreamState, tokens int) bool {
	used := s.local.MemoryTokens + s.peers.MemoryTokens
	return s.memoryTokens > 0 && used > 0 && float64(used+tokens) > maxMemoryShare*float64(s.memoryTokens)
}

// memoryTokens returns the memory that a run of q is expected to take at an engine that has
// none of its tokens cached.
func (q *Query) memoryTokens() int { return q.Prompt.Tokens + q.expectedOutput() }

// expectedOutput returns the output to expect in tokens. Few runs generate as much as they may:
// without an estimate of the caller, half of it counts.
func (q *Query) expectedOutput() int {
	switch most := q.Prompt.MaxOutput; {
	case q.ExpectedOutput <= 0:
		return most / 2
	case most <= 0:
		return q.ExpectedOutput
	default:
		return min(q.ExpectedOutput, most)
	}
}
