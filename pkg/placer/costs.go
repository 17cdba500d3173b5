package placer

import "time"

// Costs is the cost model of a Placer, in milliseconds; see DefaultCosts.
type Costs struct {
	// TokensPerMs is the prefill speed of an engine.
	TokensPerMs float64
	// RunningMs is the cost of each request that already runs at an engine: how much
	// longer it makes an answer.
	RunningMs float64
	// FetchMs is the cost of fetching cached parts from elsewhere, plus
	// FetchMsPerToken for each token.
	FetchMs         float64
	FetchMsPerToken float64
	// EvictMsPerToken is the cost of each token that is added to an engine's cache.
	// It evicts another token, which may need prefill again.
	EvictMsPerToken float64
	// RemoteMs is the cost of an upstream in another data centre.
	RemoteMs float64
	// OldWeightsMs is the cost of using old weights once OldWeightsGrace has passed
	// since newer ones were announced.
	OldWeightsMs float64
	// OldWeightsGrace is the time after an announcement within which older weights
	// cost nothing.
	OldWeightsGrace time.Duration
	// PlainQueueingDelayMs is the queueing delay of a plain request for each request
	// beyond the slots of its upstream, divided by these slots.
	PlainQueueingDelayMs float64
}

// DefaultCosts returns the cost model for the engines of the users' data sheets.
func DefaultCosts() Costs {
	return Costs{
		TokensPerMs: 36, // from the users' data sheets
		RunningMs:   4,  // each request adds 0.16 ms to a step, and an answer has 10 to 60 steps
		FetchMs:     6,  // a round trip, a lookup, and the risk that the source has evicted the part
		// 18 KB per token over a link of 280 Gbit/s, twice that between data centres.
		FetchMsPerToken: 0.015,
		// Most evicted tokens are requested again, and then take 0.028 ms to prefill.
		EvictMsPerToken:      0.025,
		RemoteMs:             8,   // a round trip of 2 ms and the cost of the bytes sent
		OldWeightsMs:         160, // a fifth of the value of an answer with an objective of 800 ms
		OldWeightsGrace:      1500 * time.Millisecond,
		PlainQueueingDelayMs: 40, // the service time of a plain request
	}
}
