package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/admitter"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

func pow(x, y float64) float64 { return math.Pow(x, y) }

// strategy is a way to choose an engine.
type strategy string

const (
	roundRobin  strategy = "roundRobin"
	leastLoaded strategy = "leastLoaded"
	rendezvous  strategy = "rendezvousLevel0"
	policy      strategy = "policy"
	upperBound  strategy = "upperBound"
)

var strategies = []strategy{roundRobin, leastLoaded, rendezvous, policy, upperBound}

// scenario is one case of the bench.
type scenario struct {
	name       string
	guiers     bool
	load       float64
	reportLag  time.Duration
	shiftAt    time.Duration // the hot documents change
	lostAt     time.Duration // an engine dies and comes back empty 5 s later
	restartAt  time.Duration // every node forgets everything
	leaveAt    time.Duration // an engine takes no new work any more
	greedy     int           // this workspace sends ten times its share
	isGreedy   bool
	noAdmitter bool
	noHints    bool
	oneFlow    bool    // no fair queueing between workspaces
	rate       float64 // tokens a second and node for each unit of weight; 0 for no bucket
	duration   time.Duration
	seed       uint64
	scale      int // multiplies engines, nodes and workspaces
	weights    func(*router.Costs)
}

const (
	benchNodes     = 6
	nodesPerSpace  = 2
	benchTime      = 60 * time.Second
	warmUp         = 15 * time.Second
	rampLoad       = 0.4
	reportEvery    = 500 * time.Millisecond
	networkDelay   = time.Millisecond
	hintDelay      = time.Second
	hintQuiet      = 10 * time.Second // a hint isn't repeated before
	benchSlots     = 24
	benchCapacity  = 600 // pieces an engine
	benchIndexSize = router.DefaultIndexEntries
)

type hinted struct {
	hash uint64
	id   string
}

type benchNode struct {
	router   *router.Router
	admitter *admitter.Admitter
	waiting  map[uint64]*request
	choices  map[*request]router.Choice
	hinted   map[hinted]time.Time
	rr       int
}

type bench struct {
	scenario scenario
	strategy strategy
	*testlib.Timeline
	start     time.Time
	rnd       *rand.Rand
	work      *workload
	engines   []*fakeEngine
	nodes     []*benchNode
	flying    map[*request]bool
	requests  int
	hints     int
	scale     int
	rate      float64
	hits      int
	pieces    int
	seen      map[uint64]bool
	inherent  int
	firsts    map[config.Class][]float64
	byTenant  map[int][]float64
	sentBy    map[int]int
	doneBy    map[int]int
	refused   int
	retried   int
	doneBatch int
	recovered time.Duration
	beforeHit float64
	windowHit []sample
}

type sample struct {
	at           time.Time
	hits, pieces int
}

func newBench(sc scenario, st strategy) *bench {
	b := &bench{
		scenario: sc, strategy: st, Timeline: testlib.NewTimeline(time.Unix(1_800_000_000, 0)), rnd: rand.New(rand.NewPCG(11+sc.seed, 13)),
		flying: map[*request]bool{}, seen: map[uint64]bool{}, firsts: map[config.Class][]float64{},
		byTenant: map[int][]float64{}, sentBy: map[int]int{}, doneBy: map[int]int{},
	}
	b.start = b.Now()
	engines := 18
	work := rand.New(rand.NewPCG(17+sc.seed, 19))
	b.work = adire(work)
	if sc.guiers {
		engines = 12
		b.work = guiers(work)
	}
	b.scale = max(1, sc.scale)
	engines *= b.scale
	shares := b.work.shares
	for range b.scale - 1 {
		b.work.shares = append(b.work.shares, shares...)
	}
	for i := range b.work.shares {
		b.work.shares[i] /= float64(b.scale)
	}
	for i := range engines {
		b.engines = append(b.engines, &fakeEngine{id: fmt.Sprintf("e%02d", i), b: b, slots: benchSlots, capacity: benchCapacity, cache: map[uint64]uint64{}})
	}
	for range benchNodes * b.scale {
		b.nodes = append(b.nodes, b.newNode())
	}
	// At a load of 1 the engines compute all the time if two pieces of each
	// prompt are computed: the question, which no cache can save, and one more.
	b.rate = sc.load * float64(engines) / (requestTime + 2*levelQuestion*pieceTime).Seconds()
	return b
}

func (b *bench) newNode() *benchNode {
	w := router.DefaultCosts()
	if b.scenario.weights != nil {
		b.scenario.weights(&w)
	}
	n := &benchNode{
		router:   router.New(w, benchIndexSize, rand.New(rand.NewPCG(b.rnd.Uint64(), 23))),
		admitter: admitter.New(1 << 16), waiting: map[uint64]*request{}, choices: map[*request]router.Choice{}, hinted: map[hinted]time.Time{},
	}
	n.router.SetEngines(b.list())
	return n
}

func (b *bench) list() []router.Engine {
	var list []router.Engine
	for _, e := range b.engines {
		if !e.leaving {
			list = append(list, router.Engine{ID: e.id, Pool: "p", Slots: e.slots})
		}
	}
	return list
}

func (b *bench) run() {
	b.Later(0, b.arrive)
	for i := range b.engines {
		b.Later(time.Duration(i)*reportEvery/time.Duration(len(b.engines)), func() { b.report(b.engines[i]) })
	}
	for i := range b.nodes {
		b.Later(0, func() { b.tick(i) })
	}
	b.plan()
	b.Run(b.start.Add(max(benchTime, b.scenario.duration) - time.Nanosecond))
}

func (b *bench) plan() {
	at := func(d time.Duration, do func()) {
		if d > 0 {
			b.Later(d, do)
		}
	}
	at(b.scenario.shiftAt, func() { b.work.shift = 7 })
	at(b.scenario.lostAt, func() { b.lose(b.engines[3]) })
	at(b.scenario.leaveAt, func() {
		b.engines[5].leaving = true
		for _, n := range b.nodes {
			n.router.SetEngines(b.list())
		}
	})
	at(b.scenario.restartAt, func() {
		b.beforeHit = b.hitSince(b.Now().Add(-10 * time.Second))
		for i, old := range b.nodes {
			n := b.newNode()
			// A graceful restart: what waits or runs is finished by the old one.
			n.waiting, n.choices, n.admitter = old.waiting, old.choices, old.admitter
			b.nodes[i] = n
		}
	})
}

// lose kills an engine; its requests are sent again by their nodes.
func (b *bench) lose(e *fakeEngine) {
	lost := e.crash(b.flying)
	for _, n := range b.nodes {
		n.router.RecordCrash(b.Now(), e.id)
	}
	for _, r := range lost {
		delete(b.flying, r)
		b.retried++
		b.nodes[r.node].release(b.Now(), r)
		b.dispatch(r)
	}
}

func (n *benchNode) release(now time.Time, r *request) {
	if c, ok := n.choices[r]; ok {
		n.router.RecordEnd(now, c, r.began)
		delete(n.choices, r)
	}
}

func (b *bench) measured() bool { return b.Now().Sub(b.start) > warmUp }

func (b *bench) arrive() {
	rate := b.rate
	if !b.measured() {
		rate = min(rate, b.rate/b.scenario.load*rampLoad) // fills the caches
	}
	b.Later(time.Duration(b.rnd.ExpFloat64()/rate*float64(time.Second)), b.arrive)
	b.submit(b.work.next())
	if b.scenario.isGreedy {
		extra := b.rnd.Float64() * 2 * 9 * b.work.shares[b.scenario.greedy]
		for range int(extra + b.rnd.Float64()) {
			r := b.work.next()
			r.chain = level(level(level(level(nil, levelWorkspace, uint64(b.scenario.greedy)), levelDocument, uint64(b.rnd.IntN(4))), levelSession, 1), levelQuestion, b.rnd.Uint64())
			r.workspace = b.scenario.greedy
			b.submit(r)
		}
	}
}

func (b *bench) submit(r *request) {
	b.requests++
	r.id, r.at = b.requests, b.Now()
	r.node = (r.workspace*5 + b.rnd.IntN(nodesPerSpace)) % len(b.nodes)
	b.sentBy[r.workspace]++
	if b.measured() {
		for _, h := range r.chain {
			if !b.seen[h] {
				b.inherent++
			}
		}
	}
	for _, h := range r.chain {
		b.seen[h] = true
	}
	r.rank = admitter.Rank(r.class)
	if b.scenario.noAdmitter {
		b.dispatch(r)
		return
	}
	n := b.nodes[r.node]
	n.waiting[uint64(r.id)] = r
	weight := b.work.shares[r.workspace] * 20 * float64(b.scale)
	b.admit(r.node, n.admitter.Handle(b.Now(), admitter.Arrived{Request: admitter.Request{
		Ticket: uint64(r.id), Workspace: b.flow(r), Weight: weight, Class: r.class, Pool: "p",
		Tokens: len(r.chain)*100 + r.answer, Deadline: b.Now().Add(time.Minute),
		Rate: b.scenario.rate * weight, Burst: 5 * b.scenario.rate * weight,
	}}))
}

func (b *bench) flow(r *request) string {
	if b.scenario.oneFlow {
		return "all"
	}
	return fmt.Sprint(r.workspace)
}

func (b *bench) admit(node int, actions []admitter.Action) {
	n := b.nodes[node]
	for _, a := range append([]admitter.Action(nil), actions...) {
		switch a := a.(type) {
		case admitter.Admit:
			r := n.waiting[a.Ticket]
			delete(n.waiting, a.Ticket)
			b.dispatch(r)
		case admitter.Reject:
			delete(n.waiting, a.Ticket)
			b.refused++
		}
	}
}

func (b *bench) tick(node int) {
	b.Later(50*time.Millisecond, func() { b.tick(node) })
	n := b.nodes[node]
	r := n.router.Capacity(b.Now(), "p")
	b.admit(node, n.admitter.Handle(b.Now(), admitter.Capacity{Pool: "p", Slots: r.Slots, Occupied: r.Occupied, Engines: r.Engines, Pending: r.Pending}))
	b.admit(node, n.admitter.Handle(b.Now(), admitter.Tick{}))
}

func (b *bench) dispatch(r *request) {
	n := b.nodes[r.node]
	e := b.choose(n, r)
	r.engine, r.began = e, false
	b.flying[r] = true
	epoch := e.epoch
	b.Later(networkDelay, func() {
		if e.epoch == epoch {
			e.enqueue(r)
		}
	})
}

func (b *bench) choose(n *benchNode, r *request) *fakeEngine {
	q := router.Query{Pool: "p", Chain: r.chain, RecomputeWeight: 1, Rank: r.rank, SuspectRank: -1}
	c, ok := n.router.Pick(b.Now(), &q)
	if !ok {
		c, _ = n.router.Pick(b.Now().Add(time.Hour), &q)
	}
	e := b.find(c.ID)
	switch b.strategy {
	case policy:
	case roundRobin:
		n.rr++
		e = b.engines[n.rr%len(b.engines)]
	case leastLoaded:
		q.Chain = nil
		c, _ = n.router.Pick(b.Now(), &q)
		e = b.find(c.ID)
	case rendezvous:
		e = b.highest(r.chain[0])
	case upperBound:
		e = b.best(r)
	}
	if c.ID != e.id {
		c = n.choiceOf(b, e, r)
	}
	n.choices[r] = c
	n.router.RecordSend(b.Now(), c, r.chain)
	b.hint(c.ID, r)
	return e
}

// hint tells the other nodes of the workspace where the prompt went.
func (b *bench) hint(id string, r *request) {
	n := b.nodes[r.node]
	key := hinted{r.chain[len(r.chain)-2], id}
	if at, ok := n.hinted[key]; b.scenario.noHints || ok && b.Now().Sub(at) < hintQuiet {
		return
	}
	n.hinted[key] = b.Now()
	b.hints++
	b.Later(hintDelay, func() {
		for i := range nodesPerSpace {
			if node := (r.workspace*5 + i) % len(b.nodes); node != r.node {
				b.nodes[node].router.AddHint(id, r.chain[:len(r.chain)-1])
			}
		}
	})
}

// choiceOf gets the router's handle of an engine that another strategy chose.
func (n *benchNode) choiceOf(b *bench, e *fakeEngine, r *request) router.Choice {
	q := router.Query{Pool: "p", Chain: r.chain, Rank: r.rank, SuspectRank: -1}
	for _, o := range b.engines {
		if o != e {
			q.Exclude = append(q.Exclude, o.id)
		}
	}
	c, _ := n.router.Pick(b.Now().Add(time.Hour), &q)
	return c
}

func (b *bench) find(id string) *fakeEngine {
	for _, e := range b.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (b *bench) highest(h uint64) *fakeEngine {
	var (
		best  *fakeEngine
		score uint64
	)
	for i, e := range b.engines {
		x := (h ^ uint64(i+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		x ^= x >> 32
		if !e.leaving && (best == nil || x > score) {
			best, score = e, x
		}
	}
	return best
}

func (b *bench) best(r *request) *fakeEngine {
	var best *fakeEngine
	least := time.Duration(math.MaxInt64)
	for _, e := range b.engines {
		if e.leaving {
			continue
		}
		cost := e.backlog(r.rank) + time.Duration(len(r.chain)-e.cached(r.chain))*pieceTime
		if cost < least {
			best, least = e, cost
		}
	}
	return best
}

func (b *bench) first(r *request) {
	r.began = true
	n := b.nodes[r.node]
	if c, ok := n.choices[r]; ok {
		n.router.RecordFirstToken(b.Now(), c)
	}
	b.windowHit = append(b.windowHit, sample{at: b.Now(), hits: r.hits, pieces: len(r.chain)})
	if at := b.scenario.restartAt; at > 0 && b.recovered == 0 && b.Now().Sub(b.start) > at+time.Second {
		if b.hitSince(b.Now().Add(-time.Second)) >= 0.9*b.beforeHit {
			b.recovered = b.Now().Sub(b.start) - at - time.Second
			b.recovered = max(b.recovered, time.Millisecond)
		}
	}
	if !b.measured() {
		return
	}
	b.hits += r.hits
	b.pieces += len(r.chain)
	wait := b.Now().Add(networkDelay).Sub(r.at).Seconds() * 1000
	b.firsts[r.class] = append(b.firsts[r.class], wait)
	if r.class == config.Interactive {
		b.byTenant[r.workspace] = append(b.byTenant[r.workspace], wait)
	}
}

func (b *bench) hitSince(t time.Time) float64 {
	hits, pieces := 0, 0
	for i := len(b.windowHit) - 1; i >= 0 && b.windowHit[i].at.After(t); i-- {
		hits += b.windowHit[i].hits
		pieces += b.windowHit[i].pieces
	}
	return float64(hits) / float64(max(1, pieces))
}

func (b *bench) done(r *request) {
	delete(b.flying, r)
	b.doneBy[r.workspace]++
	if r.class == config.Batch {
		b.doneBatch++
	}
	n := b.nodes[r.node]
	n.release(b.Now(), r)
	if !b.scenario.noAdmitter {
		b.admit(r.node, n.admitter.Handle(b.Now(), admitter.Ended{Pool: "p"}))
	}
}

func (b *bench) report(e *fakeEngine) {
	b.Later(reportEvery, func() { b.report(e) })
	rep := router.Report{Incarnation: fmt.Sprint(e.epoch), Occupied: e.running + len(e.waiting), Pending: e.pending, TakenAt: b.Now()}
	b.Later(networkDelay+b.scenario.reportLag, func() {
		for _, n := range b.nodes {
			n.router.RecordReport(b.Now(), e.id, rep)
		}
	})
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// jain is the fairness of the share of each workspace's requests that were
// answered.
func (b *bench) jain() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for ws, sent := range b.sentBy {
		x := float64(b.doneBy[ws]) / float64(sent)
		sum += x
		squares += x * x
		n++
	}
	return sum * sum / (n * squares)
}

// leastAnswered is the smallest share of requests answered by the end among the
// workspaces that keep to their share.
func (b *bench) leastAnswered() float64 {
	least := 1.0
	for ws, sent := range b.sentBy {
		if ws != b.scenario.greedy {
			least = min(least, float64(b.doneBy[ws])/float64(sent))
		}
	}
	return least
}

func (b *bench) hitRate() float64   { return float64(b.hits) / float64(max(1, b.pieces)) }
func (b *bench) recompute() float64 { return float64(b.pieces-b.hits) / float64(max(1, b.inherent)) }

func (b *bench) metrics(tb *testing.B) {
	tb.ReportMetric(b.hitRate(), "hit")
	tb.ReportMetric(b.recompute(), "recompute")
	for _, c := range []config.Class{config.Interactive, config.Standard, config.Batch} {
		if len(b.firsts[c]) == 0 {
			continue
		}
		for _, p := range []float64{0.5, 0.95, 0.99} {
			tb.ReportMetric(percentile(b.firsts[c], p), fmt.Sprintf("%c-p%g-ms", c[0], p*100))
		}
	}
	tb.ReportMetric(float64(b.refused)/float64(b.requests), "refused")
	tb.ReportMetric(float64(b.retried), "retried")
	tb.ReportMetric(float64(b.hints)/float64(b.requests), "hints/request")
	tb.ReportMetric(b.jain(), "jain")
	if b.scenario.isGreedy {
		tb.ReportMetric(b.leastAnswered(), "others-answered")
	}
	if b.recovered > 0 {
		tb.ReportMetric(b.recovered.Seconds(), "s-recovery")
	}
	tb.ReportMetric(0, "ns/op")
}

func scenarios() []scenario {
	var list []scenario
	for _, g := range []bool{false, true} {
		prefix := "adire/"
		if g {
			prefix = "guiers/"
		}
		for _, load := range []float64{0.5, 0.8, 0.95, 1.3} {
			list = append(list, scenario{name: fmt.Sprintf("%sload%g", prefix, load*100), guiers: g, load: load})
		}
		list = append(list,
			scenario{name: prefix + "shift", guiers: g, load: 0.8, shiftAt: 25 * time.Second},
			scenario{name: prefix + "lost", guiers: g, load: 0.8, lostAt: 25 * time.Second},
			scenario{name: prefix + "lateReports", guiers: g, load: 0.8, reportLag: 2 * time.Second},
			scenario{name: prefix + "restart", guiers: g, load: 0.8, restartAt: 30 * time.Second},
			scenario{name: prefix + "leaving", guiers: g, load: 0.8, leaveAt: 25 * time.Second},
			scenario{name: prefix + "tenfold", guiers: g, load: 0.8, scale: 10},
			scenario{name: prefix + "tenfoldRestart", guiers: g, load: 0.8, scale: 10, restartAt: 30 * time.Second},
			scenario{name: prefix + "greedy", guiers: g, load: 0.6, greedy: 4, isGreedy: true},
			scenario{name: prefix + "greedyOverload", guiers: g, load: 1.1, greedy: 4, isGreedy: true},
			scenario{name: prefix + "notGreedy", guiers: g, load: 0.6, greedy: 4},
		)
	}
	return list
}

// BenchmarkMechanisms gives the figures of the policy with one mechanism taken
// out at a time, in the cases that the mechanism is for.
func BenchmarkMechanisms(b *testing.B) {
	type without struct {
		name   string
		change func(*scenario)
	}
	weights := func(f func(*router.Costs)) func(*scenario) {
		return func(sc *scenario) { sc.weights = f }
	}
	all := []without{
		{"everything", func(*scenario) {}},
		{"withoutHints", func(sc *scenario) { sc.noHints = true }},
		{"withoutScarcity", weights(func(w *router.Costs) { w.BacklogFactor = [router.Ranks]float64{} })},
		{"withoutBlocked", weights(func(w *router.Costs) { w.HeadOfLinePieces = 0 })},
		{"withoutPlacement", weights(func(w *router.Costs) { w.OwnerBonus = 0 })},
		{"withoutSpreading", weights(func(w *router.Costs) { w.BacklogFactor = [router.Ranks]float64{1e6, 1e6, 1e6} })},
		{"withoutAdmission", func(sc *scenario) { sc.noAdmitter = true }},
		{"withoutFairQueues", func(sc *scenario) { sc.oneFlow = true }},
		{"withBuckets", func(sc *scenario) { sc.rate = 3000 }},
	}
	for _, sc := range scenarios() {
		for _, m := range all {
			c := sc
			m.change(&c)
			b.Run(sc.name+"/"+m.name, func(tb *testing.B) {
				for range tb.N {
					run := newBench(c, policy)
					run.run()
					run.metrics(tb)
				}
			})
		}
	}
}

// BenchmarkGreedy gives the worst change of another workspace's interactive
// p99 when one workspace sends ten times its share.
func BenchmarkGreedy(b *testing.B) {
	for _, guiers := range []bool{false, true} {
		for _, rate := range []float64{0, 3000} {
			b.Run(fmt.Sprintf("guiers=%t/tokensPerSecond=%g", guiers, rate), func(tb *testing.B) {
				for range tb.N {
					sc := scenario{guiers: guiers, load: 0.6, greedy: 4, rate: rate}
					sc.duration = 20 * benchTime // p99 of a small workspace needs many requests
					calm := newBench(sc, policy)
					calm.run()
					sc.isGreedy = true
					loud := newBench(sc, policy)
					loud.run()
					sc.isGreedy, sc.seed = false, 1
					other := newBench(sc, policy)
					other.run()
					tb.ReportMetric(calm.worstRatio(loud), "worst-p99-ratio")
					tb.ReportMetric(calm.worstRatio(other), "noise-p99-ratio")
					tb.ReportMetric(float64(loud.refused)/float64(loud.requests), "refused")
					tb.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// worstRatio is the worst of the interactive p99 of the workspaces that don't
// change between two benches.
func (b *bench) worstRatio(other *bench) float64 {
	worst := 0.0
	for ws, waits := range b.byTenant {
		if ws != b.scenario.greedy {
			worst = max(worst, percentile(other.byTenant[ws], 0.99)/percentile(waits, 0.99))
		}
	}
	return worst
}

// BenchmarkPolicy gives the figures of every strategy in every case.
func BenchmarkPolicy(b *testing.B) {
	for _, sc := range scenarios() {
		for _, st := range strategies {
			b.Run(sc.name+"/"+string(st), func(tb *testing.B) {
				for range tb.N {
					run := newBench(sc, st)
					run.run()
					run.metrics(tb)
				}
			})
		}
	}
}
