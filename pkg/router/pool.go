package router

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerEngine evens out the shares of the ring.
const pointsPerEngine = 48

type point struct {
	hash uint64
	slot int32
}

// pool is the ring of the engines of one pool, for placement without knowledge
// that all nodes agree on.
type pool struct {
	slots []int32
	ring  []point
	// pending is the sum of the pieces that wait at its engines.
	pending int
}

func (p *pool) build(engines []engineState) {
	p.ring = make([]point, 0, len(p.slots)*pointsPerEngine)
	sort.Slice(p.slots, func(i, j int) bool { return engines[p.slots[i]].ID < engines[p.slots[j]].ID })
	for _, slot := range p.slots {
		for i := range pointsPerEngine {
			h := xxhash.Sum64String(engines[slot].ID + "#" + strconv.Itoa(i))
			p.ring = append(p.ring, point{hash: h, slot: slot})
		}
	}
	sort.Slice(p.ring, func(i, j int) bool { return p.ring[i].hash < p.ring[j].hash })
}

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

// successors passes the n engines, homeCount at most, that follow hash on the ring.
func (p *pool) successors(hash uint64, n int, yield func(int32)) {
	at := p.search(hash)
	var passed [homeCount]int32
	found := 0
	for i := 0; i < len(p.ring) && found < n; i++ {
		slot := p.ring[(at+i)%len(p.ring)].slot
		if slices.Contains(passed[:found], slot) {
			continue
		}
		passed[found] = slot
		found++
		yield(slot)
	}
}
