package roster

import "time"

const (
	// digestTTLFullMesh is how long a node of a small fleet relies on the last digest
	// of a store reader. It spans four messages.
	digestTTLFullMesh = 400 * time.Millisecond
	// digestTTLLarge is the same for a large fleet. It spans two messages.
	digestTTLLarge = time.Second
	// standInCount is the number of nodes that may read the store for others, with the
	// aggregators.
	standInCount = 8
	// standInDelayPerRank is the delay per rank until a node stands in, so that few
	// do at once.
	standInDelayPerRank = 50 * time.Millisecond
	// othersDelay is how much later the nodes of a large fleet that don't stand in
	// read the store themselves.
	othersDelay = 600 * time.Millisecond
	// retryDelay is the delay after a failed read of a node that doesn't read for
	// others, othersRetryDelay that of a node that doesn't stand in either.
	retryDelay       = 600 * time.Millisecond
	othersRetryDelay = 2 * time.Second
)

// ReadsStore reports whether a node reads the store for other nodes, given how long no
// node that ranks before it has sent a digest. Aggregators always do. If they can't
// reach the store, or have ended, the next nodes stand in for them.
func (r *Roster) ReadsStore(name string, silence time.Duration) bool {
	rank := r.Rank(name)
	return r.IsAggregator(name) || rank < min(standInCount, len(r.ranked)) && silence > r.digestTTL()+time.Duration(rank)*standInDelayPerRank
}

// Pace tells when a node that doesn't read the store for others reads it for itself.
type Pace struct {
	// Patience is how long the node relies on the last digest of a store reader.
	Patience time.Duration
	// RetryDelay is the delay after a failed read.
	RetryDelay time.Duration
}

// Pace returns the pace of a node. In a large fleet, only the nodes that may stand in for
// store readers notice the end of an outage, and tell the others.
func (r *Roster) Pace(name string) Pace {
	if !r.FullMesh() && r.Rank(name) >= standInCount {
		return Pace{Patience: r.digestTTL() + othersDelay, RetryDelay: othersRetryDelay}
	}
	return Pace{Patience: r.digestTTL(), RetryDelay: retryDelay}
}

func (r *Roster) digestTTL() time.Duration {
	if r.FullMesh() {
		return digestTTLFullMesh
	}
	return digestTTLLarge
}
