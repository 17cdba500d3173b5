package router

// holdersPerPrefix is how many engines are kept for one prefix. A prefix so hot
// that it needs more is spread by load alone.
const holdersPerPrefix = 6

// associativity is the number of entries in a set of the index.
const associativity = 4

// holder is an engine that is expected to have a prefix cached.
type holder struct {
	slot     int32
	epoch    uint16
	lastUsed uint32 // tick of the index when the prefix was last sent there
}

type indexEntry struct {
	hash     uint64
	lastUsed uint32
	holders  [holdersPerPrefix]holder
}

// index is a set-associative map of a fixed size from prefix hash to engines.
// A new entry replaces the least recently used one of its set.
type index struct {
	sets [][associativity]indexEntry
	mask uint64
	tick uint32
}

func newIndex(entries int) *index {
	n := 1
	for n*associativity < entries {
		n *= 2
	}
	return &index{sets: make([][associativity]indexEntry, n), mask: uint64(n - 1)}
}

// find returns the entry of hash, or nil.
func (x *index) find(hash uint64) *indexEntry {
	set := &x.sets[hash&x.mask]
	for i := range set {
		if set[i].hash == hash && set[i].lastUsed != 0 {
			return &set[i]
		}
	}
	return nil
}

// add records that the engine at slot holds the prefix. If the entry is full,
// the engine replaces the holder used least recently.
func (x *index) add(hash uint64, slot int32, epoch uint16) {
	x.tick++
	h := holder{slot: slot, epoch: epoch, lastUsed: x.tick}
	entry := x.find(hash)
	if entry == nil {
		entry = x.replaceLRU(hash)
	}
	entry.lastUsed = x.tick
	oldest := 0
	for i := range entry.holders {
		if entry.holders[i].slot == h.slot || entry.holders[i].slot < 0 {
			entry.holders[i] = h
			return
		}
		if entry.holders[i].lastUsed < entry.holders[oldest].lastUsed {
			oldest = i
		}
	}
	entry.holders[oldest] = h
}

// replaceLRU replaces the least recently used entry of the set by an empty one
// for hash and returns it.
func (x *index) replaceLRU(hash uint64) *indexEntry {
	set := &x.sets[hash&x.mask]
	victim := &set[0]
	for i := range set {
		if set[i].lastUsed < victim.lastUsed {
			victim = &set[i]
		}
	}
	*victim = indexEntry{hash: hash}
	for i := range victim.holders {
		victim.holders[i].slot = -1
	}
	return victim
}
