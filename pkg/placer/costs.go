package placer

import "time"

// Costs is the cost model of a Placer, in milliseconds; see DefaultCosts.
type Costs struct {
	// TokensPerMS is the prefill speed of an engine.
	TokensPerMS float64
	// RunningMS is the cost of each request that already runs at an engine: how much
	// longer it makes a response.
	RunningMS float64
	// FetchMS is the cost of fetching cached parts from elsewhere, plus
	// FetchMSPerToken for each token.
	FetchMS         float64
	FetchMSPerToken float64
	// EvictMSPerToken is the cost of each token that is added to an engine's cache.
	// It evicts another token, which may need prefill again.
	EvictMSPerToken float64
	// RemoteMS is the cost of an upstream in another data centre.
	RemoteMS float64
	// OldWeightsMS is the cost of using old weights once OldWeightsGrace has passed
	// since newer ones were announced.
	OldWeightsMS float64
	// OldWeightsGrace is the time after an announcement within which older weights
	// cost nothing.
	OldWeightsGrace time.Duration
	// PlainQueueingDelayMS is the queueing delay of a plain request for each request
	// beyond the slots of its upstream, divided by these slots.
	PlainQueueingDelayMS float64
}

// DefaultCosts returns the cost model for the engines of the users' data sheets.
func DefaultCosts() Costs {
	return Costs{
		TokensPerMS: 36, // from the users' data sheets
		RunningMS:   4,  // each request adds 0.16 ms to a step, and a response has 10 to 60 steps
		FetchMS:     6,  // a round trip, a lookup, and the risk that the source has evicted the part
		// 18 KB per token over a link of 280 Gbit/s, twice that between data centres.
		FetchMSPerToken: 0.015,
		// Most evicted tokens are requested again, and then take 0.028 ms to prefill.
		EvictMSPerToken:      0.025,
		RemoteMS:             8,   // a round trip of 2 ms and the cost of the bytes sent
		OldWeightsMS:         160, // a fifth of the value of a response with an objective of 800 ms
		OldWeightsGrace:      1500 * time.Millisecond,
		PlainQueueingDelayMS: 40, // the service time of a plain request
	}
}
