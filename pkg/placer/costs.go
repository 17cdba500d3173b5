package placer

import "time"

// Costs sets the policy; see DefaultCosts.
type Costs struct {
	// TokensPerMs is how many prompt tokens an engine reads in a millisecond.
	TokensPerMs float64
	// RunningMs is how much longer an answer takes for each request that runs
	// beside it.
	RunningMs float64
	// FetchMs is the time and price of fetching cached parts from another
	// engine, FetchMsPerToken that of each token.
	FetchMs         float64
	FetchMsPerToken float64
	// EvictMsPerToken is the price of each token that an engine takes in: it
	// pushes out another cached one, which may have to be read again.
	EvictMsPerToken float64
	// RemoteMs is the price of an upstream in another data centre.
	RemoteMs float64
	// OldWeightsMs is the price of an answer on weights after newer ones were
	// named, once Grace has passed.
	OldWeightsMs float64
	// OldWeightsGrace is the time after the naming in which older weights are as good.
	OldWeightsGrace time.Duration
	// PlainQueueingDelayMs is the wait of a plain request for each one that it finds
	// beyond the slots of its upstream.
	PlainQueueingDelayMs float64
}

// DefaultCosts returns the policy for engines of the users' sheets.
func DefaultCosts() Costs {
	return Costs{
		TokensPerMs: 36, // from the users' sheets
		RunningMs:   4,  // a step is 0.16 ms longer for each, and an answer has 10 to 60 steps
		FetchMs:     6,  // a round trip, a look, and a source that may have lost the part
		// 18 KB a token over a link of 280 Gbit/s, twice that between data centres.
		FetchMsPerToken: 0.015,
		// Most of what is pushed out is asked for again, and then read in 0.028 ms.
		EvictMsPerToken:      0.025,
		RemoteMs:             8,   // a round trip of 2 ms, and the priced bytes
		OldWeightsMs:         160, // a fifth of the worth of an answer whose objective is 800 ms
		OldWeightsGrace:      1500 * time.Millisecond,
		PlainQueueingDelayMs: 40, // the work of a plain request
	}
}
