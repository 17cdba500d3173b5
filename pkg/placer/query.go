package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Prompt is nil for plain requests.
	Prompt *traffic.Prompt
	// CacheScope separates prompts whose cached parts must not be shared.
	CacheScope string
	// DataCentre is the data centre of the asking node.
	DataCentre string
	// Exclude lists the incarnations that were already tried.
	Exclude []string
	// Tripped lists the keys of the upstreams whose circuit breaker is open at the
	// asking node.
	Tripped []uint32
	// Version is the newest announced version of the prompt's model, 0 if none is
	// known. SinceAnnounced is the time since its announcement.
	Version        int
	SinceAnnounced time.Duration
	// Cutoffs lists the announced versions with the time that is left to start
	// requests on older ones.
	Cutoffs []VersionCutoff
	// Pinned is set if the request can't move to another upstream.
	Pinned bool
	// CacheAddress is the address of the cache store, empty for none.
	CacheAddress string
	// CacheTokens is the capacity of all cache stores together.
	CacheTokens int
	// Unavailable lists the keys of the upstreams that want no request of the asking node:
	// they are leaving, or have turned it away for a time.
	Unavailable []uint32
	// ExpectedOutput is the caller's estimate of the output in tokens, 0 for none.
	ExpectedOutput int
	// Objective is the latency objective of the route, 0 if unknown.
	Objective time.Duration
}

// VersionCutoff limits how long requests may start on weights older than a
// version.
type VersionCutoff struct {
	Version int
	// Remaining is the time left, negative after the cutoff.
	Remaining time.Duration
}

// Choice is a chosen upstream. The caller passes it back to the Record methods as
// the request proceeds.
type Choice struct {
	Upstream traffic.Upstream
	// Version is the last known version of the prompt's model on the engine, 0 if
	// unknown.
	Version int
	// QueueingDelayMS is the expected time until the engine starts the prefill.
	QueueingDelayMS float64
	// Running is the number of requests of all nodes that run there, as far as
	// known.
	Running int
	// Misses is the number of prompt tokens that are expected to miss all caches
	// and need prefill.
	Misses int
	// Source is the address of the engine or cache store to fetch cached parts
	// from, empty for none.
	Source string
	// SaveTo is the address of the cache store that should save the parts, empty
	// if saving them isn't worth it.
	SaveTo       string
	sourceKey    uint32 // Key of the engine behind Source; 0 if it isn't an engine
	memoryTokens int    // memory that the request takes at the engine, in tokens
	output       int    // expected output in tokens
	pinned       bool
	id           uint64
	state        *upstreamState
}

// Incarnation returns the incarnation of the chosen upstream.
func (c Choice) Incarnation() string { return c.state.incarnation }

// Key returns a short hash of an incarnation for messages between nodes.
func Key(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }
