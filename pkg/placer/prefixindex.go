package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// entriesPerPart is the largest number of entries kept for a part. The cache store
	// takes one like an engine.
	entriesPerPart = 4
	// generationTime is half the longest time that a part stays in the index.
	// Engines evict parts within seconds to some tens of seconds.
	generationTime = 10 * time.Second
	// maxPartsPerGeneration bounds the memory of the index to about 25 MB. A
	// coordinator adds the shared parts of all prompts of the fleet: at 7,300 prompts a
	// second with two of them, 146,000 within generationTime. Other nodes need far less.
	maxPartsPerGeneration = 1 << 17
)

// indexEntry is an engine, or the cache store, that caches a part computed on a
// version of the model's weights. KV state of one version can't be used on another.
type indexEntry struct {
	upstreamKey uint32
	version     int32
	usedMS      int32 // time of the last use, in ms since the index was started
	// readyMS is the expected end of the prefill, on the same scale.
	readyMS int32
}

// cacheStoreKey stands for the cache store, which isn't an upstream.
const cacheStoreKey = 0

type indexEntries [entriesPerPart]indexEntry

// prefixIndex maps the hash of each prompt prefix to the engines that it was sent
// to. It keeps two generations of entries and drops the older one as a whole.
type prefixIndex struct {
	current, previous map[uint64]indexEntries
	started           time.Time
	rotatedAt         time.Time
}

// age returns the time since the engine of an entry last used the part.
func (x *prefixIndex) age(now time.Time, entry indexEntry) time.Duration {
	return now.Sub(x.started) - time.Duration(entry.usedMS)*time.Millisecond
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{current: map[uint64]indexEntries{}, previous: map[uint64]indexEntries{}}
}

// add records that an engine was sent the prefixes with the given hashes, and that
// it completes their prefill after the time prefill.
func (x *prefixIndex) add(now time.Time, hashes []uint64, entry indexEntry, prefill time.Duration) {
	if x.started.IsZero() {
		x.started = now
	}
	entry.usedMS = int32(now.Sub(x.started) / time.Millisecond)
	entry.readyMS = entry.usedMS + int32(prefill/time.Millisecond)
	if now.Sub(x.rotatedAt) > generationTime || len(x.current) > maxPartsPerGeneration {
		x.current, x.previous = map[uint64]indexEntries{}, x.current
		x.rotatedAt = now
	}
	for _, hash := range hashes {
		x.current[hash] = x.find(hash).with(entry)
	}
}

// prefillRemaining returns the time until the prefill of a part is complete. It is
// negative afterwards.
func (x *prefixIndex) prefillRemaining(now time.Time, entry indexEntry) time.Duration {
	return time.Duration(entry.readyMS)*time.Millisecond - now.Sub(x.started)
}

func (x *prefixIndex) find(hash uint64) indexEntries {
	if e, ok := x.current[hash]; ok {
		return e
	}
	return x.previous[hash]
}

// with returns e with a new entry in front. The entry replaces that of the same
// engine, or else the last one.
func (e indexEntries) with(entry indexEntry) indexEntries {
	last := len(e) - 1
	for i, old := range e {
		if old.upstreamKey == entry.upstreamKey && old.version != 0 {
			last = i
			if old.version == entry.version {
				entry.readyMS = min(entry.readyMS, old.readyMS) // an earlier prefill may end first
			}
			break
		}
	}
	copy(e[1:last+1], e[:last])
	e[0] = entry
	return e
}

// appendPrefixHashes appends, for each part of the prompt, the chained hash of the
// prefix that ends with it.
func appendPrefixHashes(dst []uint64, q *Query) []uint64 {
	h := xxhash.Sum64String(q.CacheScope) ^ mix(xxhash.Sum64String(q.Prompt.Model))
	for _, part := range q.Prompt.Parts {
		h = mix(h ^ xxhash.Sum64String(part.ID))
		dst = append(dst, h)
	}
	return dst
}

// SharedPrefix returns the hash of the parts that the prompt may share with others, 0 if
// there are none. The cache store of a prompt follows from it.
func (q *Query) SharedPrefix() uint64 {
	var buf [8]uint64
	hashes := appendPrefixHashes(buf[:0], q)
	if len(hashes) < 2 {
		return 0
	}
	return hashes[len(hashes)-2]
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
