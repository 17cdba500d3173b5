package router_test

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

// fakeEngine has a bounded prefix cache, computes one prompt at a time in the
// order of priority, and decodes up to its slots at once.
type fakeEngine struct {
	id        string
	b         *bench
	slots     int
	capacity  int
	cache     map[uint64]uint64 // piece to the time of its last use
	used      uint64
	waiting   []*request
	running   int
	computing *request
	pending   [router.Ranks]int // pieces that wait, by class
	epoch     int
	leaving   bool
}

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
	for i := len(chain) - 1; i >= 0; i-- { // shallow pieces are used last
		e.used++
		e.cache[chain[i]] = e.used
	}
	for len(e.cache) > e.capacity {
		e.evict()
	}
}

// evict drops the tenth of the pieces that was used least lately.
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
	pieceTime   = 80 * time.Millisecond
	requestTime = 10 * time.Millisecond
	tokenTime   = 15 * time.Millisecond
)

func (e *fakeEngine) start() {
	if e.computing != nil || len(e.waiting) == 0 || e.running >= e.slots {
		return
	}
	r := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.computing = r
	e.running++
	r.hits = e.cached(r.chain)
	epoch := e.epoch
	work := requestTime + time.Duration(len(r.chain)-r.hits)*pieceTime
	e.b.Later(work, func() {
		if e.epoch != epoch {
			return
		}
		e.computing = nil
		e.pending[r.rank] -= r.expected
		e.store(r.chain)
		e.b.first(r)
		e.b.Later(time.Duration(r.answer)*tokenTime, func() {
			if e.epoch != epoch {
				return
			}
			e.running--
			e.b.done(r)
			e.start()
		})
		e.start()
	})
}

// backlog is the true work before a new request, for the upper bound.
func (e *fakeEngine) backlog(rank int) time.Duration {
	var d time.Duration
	if e.computing != nil {
		d += requestTime + time.Duration(len(e.computing.chain)-e.computing.hits)*pieceTime/2
	}
	for _, r := range e.waiting {
		if r.rank <= rank {
			d += requestTime + time.Duration(len(r.chain)-e.cached(r.chain))*pieceTime
		}
	}
	if over := e.running + len(e.waiting) + 1 - e.slots; over > 0 {
		d += time.Duration(over) * time.Second / time.Duration(e.slots)
	}
	return d
}

// crash loses everything and returns the requests that were there.
func (e *fakeEngine) crash(flying map[*request]bool) []*request {
	e.epoch++
	e.cache = map[uint64]uint64{}
	e.waiting, e.computing, e.running, e.pending = nil, nil, 0, [router.Ranks]int{}
	var lost []*request
	for r := range flying {
		if r.engine == e {
			lost = append(lost, r)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].id < lost[j].id })
	return lost
}

// request is one prompt with its nested levels.
type request struct {
	id        int
	workspace int
	class     config.Class
	rank      int // that engines give it
	chain     hasher.Chain
	answer    int // tokens
	node      int
	at        time.Time
	engine    *fakeEngine
	hits      int
	expected  int
	began     bool
}

// workload makes prompts nested in four levels: workspace, document, session
// and question.
type workload struct {
	rnd       *rand.Rand
	shares    []float64 // of the workspaces
	mix       []classMix
	documents int
	sessions  int
	shift     int // moves the hot documents
	fresh     uint64
}

type classMix struct {
	class  config.Class
	share  float64
	answer int
	zipf   float64 // how hot the hottest documents are
}

func adire(rnd *rand.Rand) *workload {
	return &workload{
		rnd: rnd, shares: []float64{0.3, 0.25, 0.2, 0.05, 0.05, 0.05, 0.05, 0.05}, documents: 24, sessions: 12,
		mix: []classMix{
			{config.Interactive, 0.6, 30, 1.1}, {config.Standard, 0.25, 60, 0.9}, {config.Batch, 0.15, 90, 0.6},
		},
	}
}

func guiers(rnd *rand.Rand) *workload {
	return &workload{
		rnd: rnd, shares: []float64{0.35, 0.25, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05}, documents: 16, sessions: 8,
		mix: []classMix{{config.Interactive, 0.3, 30, 0.9}, {config.Batch, 0.7, 50, 1.2}},
	}
}

const (
	levelWorkspace = 3 // pieces
	levelDocument  = 4
	levelSession   = 2
	levelQuestion  = 1
)

func choose(rnd *rand.Rand, shares []float64) int {
	x := rnd.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func zipf(rnd *rand.Rand, n int, s float64) int {
	weights := make([]float64, n)
	sum := 0.0
	for i := range weights {
		weights[i] = 1 / pow(float64(i+1), s)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return choose(rnd, weights)
}

func level(chain hasher.Chain, pieces int, id ...uint64) hasher.Chain {
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
	m := w.mix[choose(w.rnd, mixShares(w.mix))]
	ws := choose(w.rnd, w.shares)
	doc := (zipf(w.rnd, w.documents, m.zipf) + w.shift) % w.documents
	w.fresh++
	chain := level(nil, levelWorkspace, uint64(ws))
	chain = level(chain, levelDocument, uint64(doc))
	chain = level(chain, levelSession, uint64(w.rnd.IntN(w.sessions)))
	chain = level(chain, levelQuestion, w.fresh+1<<32)
	return &request{workspace: ws, class: m.class, chain: chain, answer: m.answer/2 + w.rnd.IntN(m.answer)}
}

func mixShares(mix []classMix) []float64 {
	out := make([]float64, len(mix))
	for i := range mix {
		out[i] = mix[i].share
	}
	return out
}
