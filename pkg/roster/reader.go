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
)

// ReadsStore reports whether a node reads the store for other nodes, given how long no
// node that ranks before it has sent a digest. Aggregators always do. If they can't
// reach the store, or have ended, the next nodes stand in for them.
func (r *Roster) ReadsStore(name string, silence time.Duration) bool {
	rank := r.Rank(name)
	return r.IsAggregator(name) || rank < min(standInCount, len(r.ranked)) && silence > r.digestTTL()+time.Duration(rank)*standInDelayPerRank
}

// Patience returns how long a node relies on the last digest of a store reader until it
// reads the store itself.
func (r *Roster) Patience(name string) time.Duration {
	if !r.FullMesh() && r.Rank(name) >= standInCount {
		return r.digestTTL() + othersDelay
	}
	return r.digestTTL()
}

func (r *Roster) digestTTL() time.Duration {
	if r.FullMesh() {
		return digestTTLFullMesh
	}
	return digestTTLLarge
}
