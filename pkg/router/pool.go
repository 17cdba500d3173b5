package router

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerEngine is the number of virtual nodes per engine. They even out the
// engines' shares of the ring.
const pointsPerEngine = 48

// ringPoint is a virtual node of an engine.
type ringPoint struct {
	hash uint64
	slot int32
}

// pool is the consistent-hashing ring of the engines of one pool. It places
// prefixes that this node hasn't seen so that all nodes choose alike.
type pool struct {
	slots []int32
	ring  []ringPoint
	// pending is the sum of the pieces that wait for prefill at its engines.
	pending int
}

func (p *pool) buildRing(engines []engineState) {
	p.ring = make([]ringPoint, 0, len(p.slots)*pointsPerEngine)
	sort.Slice(p.slots, func(i, j int) bool { return engines[p.slots[i]].ID < engines[p.slots[j]].ID })
	for _, slot := range p.slots {
		for i := range pointsPerEngine {
			h := xxhash.Sum64String(engines[slot].ID + "#" + strconv.Itoa(i))
			p.ring = append(p.ring, ringPoint{hash: h, slot: slot})
		}
	}
	sort.Slice(p.ring, func(i, j int) bool { return p.ring[i].hash < p.ring[j].hash })
}

// search returns the index of the first point at or after hash.
func (p *pool) search(hash uint64) int {
	lo, hi := 0, len(p.ring)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if p.ring[mid].hash < hash {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(p.ring) {
		return 0
	}
	return lo
}

// successors calls yield with the first n distinct engines that follow hash on
// the ring. n is at most ownersPerPrompt.
func (p *pool) successors(hash uint64, n int, yield func(int32)) {
	start := p.search(hash)
	var yielded [ownersPerPrompt]int32
	found := 0
	for i := 0; i < len(p.ring) && found < n; i++ {
		slot := p.ring[(start+i)%len(p.ring)].slot
		if slices.Contains(yielded[:found], slot) {
			continue
		}
		yielded[found] = slot
		found++
		yield(slot)
	}
}
