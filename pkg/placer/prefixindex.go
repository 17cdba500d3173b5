package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// entriesPerPart bounds the engines remembered for a part.
	entriesPerPart = 4
	// generationTime is half the time that a part is remembered for: engines evict
	// parts within seconds to some tens of seconds.
	generationTime = 10 * time.Second
	// maxPartsPerGeneration bounds the memory to about 2 MB.
	maxPartsPerGeneration = 1 << 14
)

// indexEntry is an engine that has read a part on a version of its weights. What
// it read on another version is of no use.
type indexEntry struct {
	upstreamKey uint32
	version     int32
	usedMs      int32 // ms since the start of the holdings
	// readyMs is when the engine will have read the part, in the same ms.
	readyMs int32
}

// cacheStoreKey stands for the store of cached parts, which isn't an upstream.
const cacheStoreKey = 0

type indexEntries [entriesPerPart]indexEntry

// prefixIndex remembers which engines were sent which parts, in two generations.
type prefixIndex struct {
	current, previous map[uint64]indexEntries
	started           time.Time
	rotatedAt         time.Time
}

// age returns how long ago a holder has used a part.
func (h *prefixIndex) age(now time.Time, entry indexEntry) time.Duration {
	return now.Sub(h.started) - time.Duration(entry.usedMs)*time.Millisecond
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{current: map[uint64]indexEntries{}, previous: map[uint64]indexEntries{}}
}

// add remembers that an engine was sent a prompt, which it will have read after
// reading.
func (h *prefixIndex) add(now time.Time, hashes []uint64, entry indexEntry, prefill time.Duration) {
	if h.started.IsZero() {
		h.started = now
	}
	entry.usedMs = int32(now.Sub(h.started) / time.Millisecond)
	entry.readyMs = entry.usedMs + int32(prefill/time.Millisecond)
	if now.Sub(h.rotatedAt) > generationTime || len(h.current) > maxPartsPerGeneration {
		h.current, h.previous = map[uint64]indexEntries{}, h.current
		h.rotatedAt = now
	}
	for _, hash := range hashes {
		h.current[hash] = h.find(hash).with(entry)
	}
}

// prefillRemaining returns for how long a holder still reads a part; it is negative once
// it has read it.
func (h *prefixIndex) prefillRemaining(now time.Time, entry indexEntry) time.Duration {
	return time.Duration(entry.readyMs)*time.Millisecond - now.Sub(h.started)
}

func (h *prefixIndex) find(hash uint64) indexEntries {
	if e, ok := h.current[hash]; ok {
		return e
	}
	return h.previous[hash]
}

// with returns e with a holder in front, in place of what was known of its
// engine.
func (e indexEntries) with(entry indexEntry) indexEntries {
	last := len(e) - 1
	for i, x := range e {
		if x.upstreamKey == entry.upstreamKey && x.version != 0 {
			last = i
			if x.version == entry.version {
				entry.readyMs = min(entry.readyMs, x.readyMs) // it has been read before
			}
			break
		}
	}
	copy(e[1:last+1], e[:last])
	e[0] = entry
	return e
}

// appendPrefixHashes appends the chained hash of each part of the prompt.
func appendPrefixHashes(dst []uint64, q *Query) []uint64 {
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
