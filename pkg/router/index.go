package router

// holdersPerPrefix bounds how many engines are remembered for one prefix; a
// hotter one is spread by load alone.
const holdersPerPrefix = 6

const ways = 4

type holder struct {
	slot  int32
	epoch uint16
	used  uint32 // the index's clock when the prefix went there last
}

type indexEntry struct {
	hash    uint64
	used    uint32
	holders [holdersPerPrefix]holder
}

// index is a set-associative memory from prefix hash to engines, of a fixed
// size; the least recently used entry of a set makes room.
type index struct {
	sets  [][ways]indexEntry
	mask  uint64
	clock uint32
}

func newIndex(entries int) *index {
	n := 1
	for n*ways < entries {
		n *= 2
	}
	return &index{sets: make([][ways]indexEntry, n), mask: uint64(n - 1)}
}

func (x *index) find(hash uint64) *indexEntry {
	set := &x.sets[hash&x.mask]
	for i := range set {
		if set[i].hash == hash && set[i].used != 0 {
			return &set[i]
		}
	}
	return nil
}

func (x *index) add(hash uint64, slot int32, epoch uint16) {
	x.clock++
	h := holder{slot: slot, epoch: epoch, used: x.clock}
	en := x.find(hash)
	if en == nil {
		en = x.evict(hash)
	}
	en.used = x.clock
	oldest := 0
	for i := range en.holders {
		if en.holders[i].slot == h.slot || en.holders[i].slot < 0 {
			en.holders[i] = h
			return
		}
		if en.holders[i].used < en.holders[oldest].used {
			oldest = i
		}
	}
	en.holders[oldest] = h
}

func (x *index) evict(hash uint64) *indexEntry {
	set := &x.sets[hash&x.mask]
	victim := &set[0]
	for i := range set {
		if set[i].used < victim.used {
			victim = &set[i]
		}
	}
	*victim = indexEntry{hash: hash}
	for i := range victim.holders {
		victim.holders[i].slot = -1
	}
	return victim
}
