package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holdersPerPart bounds the engines remembered for a part.
	holdersPerPart = 4
	// generation is half the time that a part is remembered for: engines evict
	// parts within seconds to some tens of seconds.
	generation = 10 * time.Second
	// partsPerGeneration bounds the memory to about 2 MB.
	partsPerGeneration = 1 << 14
)

// holder is an engine that has read a part on a version of its weights. What
// it read on another version is of no use.
type holder struct {
	key     uint32
	version int32
	used    int32 // ms since the start of the holdings
	// ready is when the engine will have read the part, in the same ms.
	ready int32
}

// cacheKey stands for the store of cached parts, which isn't an upstream.
const cacheKey = 0

type holders [holdersPerPart]holder

// holdings remembers which engines were sent which parts, in two generations.
type holdings struct {
	young, old map[uint64]holders
	started    time.Time
	turned     time.Time
}

// age returns how long ago a holder has used a part.
func (h *holdings) age(now time.Time, by holder) time.Duration {
	return now.Sub(h.started) - time.Duration(by.used)*time.Millisecond
}

func newHoldings() holdings {
	return holdings{young: map[uint64]holders{}, old: map[uint64]holders{}}
}

// add remembers that an engine was sent a prompt, which it will have read after
// reading.
func (h *holdings) add(now time.Time, chain []uint64, by holder, reading time.Duration) {
	if h.started.IsZero() {
		h.started = now
	}
	by.used = int32(now.Sub(h.started) / time.Millisecond)
	by.ready = by.used + int32(reading/time.Millisecond)
	if now.Sub(h.turned) > generation || len(h.young) > partsPerGeneration {
		h.young, h.old = map[uint64]holders{}, h.young
		h.turned = now
	}
	for _, key := range chain {
		h.young[key] = h.find(key).with(by)
	}
}

// unread returns for how long a holder still reads a part; it is negative once
// it has read it.
func (h *holdings) unread(now time.Time, by holder) time.Duration {
	return time.Duration(by.ready)*time.Millisecond - now.Sub(h.started)
}

func (h *holdings) find(key uint64) holders {
	if e, ok := h.young[key]; ok {
		return e
	}
	return h.old[key]
}

// with returns e with a holder in front, in place of what was known of its
// engine.
func (e holders) with(by holder) holders {
	last := len(e) - 1
	for i, x := range e {
		if x.key == by.key && x.version != 0 {
			last = i
			if x.version == by.version {
				by.ready = min(by.ready, x.ready) // it has been read before
			}
			break
		}
	}
	copy(e[1:last+1], e[:last])
	e[0] = by
	return e
}

// appendChain appends the chained hash of each part of the prompt.
func appendChain(dst []uint64, q *Query) []uint64 {
	h := xxhash.Sum64String(q.CacheScope) ^ mix(xxhash.Sum64String(q.Prompt.Model))
	for _, part := range q.Prompt.Parts {
		h = mix(h ^ xxhash.Sum64String(part.ID))
		dst = append(dst, h)
	}
	return dst
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
