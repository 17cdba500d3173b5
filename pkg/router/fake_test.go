package router_test

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

// fakeEngine simulates an engine. It has a bounded prefix cache, prefills one
// prompt at a time in order of rank, and runs up to slots requests at once.
type fakeEngine struct {
	id         string
	bench      *bench
	slots      int
	capacity   int
	cache      map[uint64]uint64 // piece to the tick of its last use
	used       uint64
	waiting    []*request
	running    int
	prefilling *request
	pending    [router.Ranks]int // pieces that wait for prefill
	epoch      int
	leaving    bool
}

// cached returns the number of leading pieces of chain in the cache.
func (e *fakeEngine) cached(chain hasher.Chain) int {
	n := 0
	for _, h := range chain {
		if _, ok := e.cache[h]; !ok {
			break
		}
		n++
	}
	return n
}

func (e *fakeEngine) store(chain hasher.Chain) {
	for i := len(chain) - 1; i >= 0; i-- { // leading pieces are the most recently used
		e.used++
		e.cache[chain[i]] = e.used
	}
	for len(e.cache) > e.capacity {
		e.evict()
	}
}

// evict drops the least recently used tenth of the pieces.
func (e *fakeEngine) evict() {
	ages := make([]uint64, 0, len(e.cache))
	for _, at := range e.cache {
		ages = append(ages, at)
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	limit := ages[len(ages)/10]
	for h, at := range e.cache {
		if at <= limit {
			delete(e.cache, h)
		}
	}
}

func (e *fakeEngine) enqueue(r *request) {
	r.expected = len(r.chain) - e.cached(r.chain)
	e.pending[r.rank] += r.expected
	e.waiting = append(e.waiting, r)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].rank < e.waiting[j].rank })
	e.start()
}

const (
	pieceTime       = 80 * time.Millisecond
	requestOverhead = 10 * time.Millisecond
	tokenTime       = 15 * time.Millisecond
)

func (e *fakeEngine) start() {
	if e.prefilling != nil || len(e.waiting) == 0 || e.running >= e.slots {
		return
	}
	r := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.prefilling = r
	e.running++
	r.hits = e.cached(r.chain)
	epoch := e.epoch
	work := requestOverhead + time.Duration(len(r.chain)-r.hits)*pieceTime
	e.bench.Schedule(work, func() {
		if e.epoch != epoch {
			return
		}
		e.prefilling = nil
		e.pending[r.rank] -= r.expected
		e.store(r.chain)
		e.bench.recordFirstToken(r)
		e.bench.Schedule(time.Duration(r.answer)*tokenTime, func() {
			if e.epoch != epoch {
				return
			}
			e.running--
			e.bench.recordEnd(r)
			e.start()
		})
		e.start()
	})
}

// queueingDelay returns the actual delay before a new request. Only the
// upperBound strategy uses it.
func (e *fakeEngine) queueingDelay(rank int) time.Duration {
	var d time.Duration
	if e.prefilling != nil {
		d += requestOverhead + time.Duration(len(e.prefilling.chain)-e.prefilling.hits)*pieceTime/2
	}
	for _, r := range e.waiting {
		if r.rank <= rank {
			d += requestOverhead + time.Duration(len(r.chain)-e.cached(r.chain))*pieceTime
		}
	}
	if over := e.running + len(e.waiting) + 1 - e.slots; over > 0 {
		d += time.Duration(over) * time.Second / time.Duration(e.slots)
	}
	return d
}

// crash empties the engine and returns the requests that it had.
func (e *fakeEngine) crash(inFlight map[*request]bool) []*request {
	e.epoch++
	e.cache = map[uint64]uint64{}
	e.waiting, e.prefilling, e.running, e.pending = nil, nil, 0, [router.Ranks]int{}
	var lost []*request
	for r := range inFlight {
		if r.engine == e {
			lost = append(lost, r)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].id < lost[j].id })
	return lost
}

// request is one prompt with the pieces of its nested levels.
type request struct {
	id            int
	workspace     int
	class         config.Class
	rank          int // rank of the class at engines
	chain         hasher.Chain
	answer        int // tokens
	node          int
	arrivedAt     time.Time
	engine        *fakeEngine
	hits          int
	expected      int
	gotFirstToken bool
}

// workload generates prompts nested in four levels: workspace, document,
// session and question.
type workload struct {
	rnd       *rand.Rand
	shares    []float64 // of the requests, by workspace
	mix       []classMix
	documents int
	sessions  int
	hotShift  int // offset of the most requested documents
	questions uint64
}

type classMix struct {
	class        config.Class
	share        float64
	answer       int
	zipfExponent float64 // skew of the document popularity
}

// adireWorkload is the traffic mix of the Adire site.
func adireWorkload(rnd *rand.Rand) *workload {
	return &workload{
		rnd: rnd, shares: []float64{0.3, 0.25, 0.2, 0.05, 0.05, 0.05, 0.05, 0.05}, documents: 24, sessions: 12,
		mix: []classMix{
			{config.Interactive, 0.6, 30, 1.1}, {config.Standard, 0.25, 60, 0.9}, {config.Batch, 0.15, 90, 0.6},
		},
	}
}

// guiersWorkload is the traffic mix of the Guiers site, most of it batch.
func guiersWorkload(rnd *rand.Rand) *workload {
	return &workload{
		rnd: rnd, shares: []float64{0.35, 0.25, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05}, documents: 16, sessions: 8,
		mix: []classMix{{config.Interactive, 0.3, 30, 0.9}, {config.Batch, 0.7, 50, 1.2}},
	}
}

const (
	workspacePieces = 3
	documentPieces  = 4
	sessionPieces   = 2
	questionPieces  = 1
)

// weightedIndex returns a random index with the given probabilities.
func weightedIndex(rnd *rand.Rand, shares []float64) int {
	x := rnd.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// zipfIndex returns a random index below n, Zipf-distributed with exponent s.
func zipfIndex(rnd *rand.Rand, n int, s float64) int {
	probabilities := make([]float64, n)
	sum := 0.0
	for i := range probabilities {
		probabilities[i] = 1 / pow(float64(i+1), s)
		sum += probabilities[i]
	}
	for i := range probabilities {
		probabilities[i] /= sum
	}
	return weightedIndex(rnd, probabilities)
}

// appendLevel appends the hashes of a level of the given number of pieces,
// which depend on chain and id.
func appendLevel(chain hasher.Chain, pieces int, id ...uint64) hasher.Chain {
	h := uint64(14695981039346656037)
	if len(chain) > 0 {
		h = chain[len(chain)-1]
	}
	for _, x := range id {
		h = (h ^ (x + 0x9e3779b97f4a7c15)) * 1099511628211
		h ^= h >> 29
	}
	for i := range pieces {
		h = (h ^ uint64(i+1)) * 0xbf58476d1ce4e5b9
		h ^= h >> 31
		chain = append(chain, h)
	}
	return chain
}

func (w *workload) next() *request {
	m := w.mix[weightedIndex(w.rnd, mixShares(w.mix))]
	ws := weightedIndex(w.rnd, w.shares)
	doc := (zipfIndex(w.rnd, w.documents, m.zipfExponent) + w.hotShift) % w.documents
	w.questions++
	chain := appendLevel(nil, workspacePieces, uint64(ws))
	chain = appendLevel(chain, documentPieces, uint64(doc))
	chain = appendLevel(chain, sessionPieces, uint64(w.rnd.IntN(w.sessions)))
	chain = appendLevel(chain, questionPieces, w.questions+1<<32)
	return &request{workspace: ws, class: m.class, chain: chain, answer: m.answer/2 + w.rnd.IntN(m.answer)}
}

func mixShares(mix []classMix) []float64 {
	out := make([]float64, len(mix))
	for i := range mix {
		out[i] = mix[i].share
	}
	return out
}
