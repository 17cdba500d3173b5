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

// scenario is one case of the simulation.
type scenario struct {
	name            string
	guiers          bool
	load            float64
	reportLag       time.Duration
	hotShiftAt      time.Duration // the most requested documents change
	crashAt         time.Duration // an engine crashes and returns with an empty cache
	restartAt       time.Duration // every node loses its state
	leaveAt         time.Duration // an engine stops accepting new work
	greedyWorkspace int           // sends ten times its share if greedyActive is set
	greedyActive    bool
	noAdmitter      bool
	noHints         bool
	noFairQueues    bool    // one queue for all workspaces
	bucketRate      float64 // tokens per second, node and unit of weight; 0 for no token bucket
	duration        time.Duration
	seed            uint64
	scale           int // multiplies engines, nodes and workspaces
	adjustCosts     func(*router.Costs)
}

const (
	benchNodes        = 6
	nodesPerWorkspace = 2
	benchDuration     = 60 * time.Second
	warmUpTime        = 15 * time.Second
	rampLoad          = 0.4
	reportInterval    = 500 * time.Millisecond
	networkDelay      = time.Millisecond
	hintDelay         = time.Second
	hintInterval      = 10 * time.Second // minimum time between equal hints
	engineSlots       = 24
	engineCachePieces = 600 // per engine
	benchIndexSize    = router.DefaultIndexEntries
)

// hintKey identifies a hint: the last shared piece and the engine.
type hintKey struct {
	hash uint64
	id   string
}

type benchNode struct {
	router     *router.Router
	admitter   *admitter.Admitter
	waiting    map[uint64]*request
	choices    map[*request]router.Choice
	lastHinted map[hintKey]time.Time
	nextEngine int
}

// bench simulates nodes, engines and their traffic on a virtual timeline.
type bench struct {
	scenario scenario
	strategy strategy
	*testlib.Timeline
	start                time.Time
	rnd                  *rand.Rand
	workload             *workload
	engines              []*fakeEngine
	nodes                []*benchNode
	inFlight             map[*request]bool
	requests             int
	hints                int
	scale                int
	rate                 float64
	hits                 int
	pieces               int
	seen                 map[uint64]bool
	compulsoryMisses     int
	firstTokenMs         map[config.Class][]float64
	interactiveMs        map[int][]float64
	sentByWorkspace      map[int]int
	doneByWorkspace      map[int]int
	rejected             int
	retried              int
	doneBatch            int
	recovered            time.Duration
	hitRateBeforeRestart float64
	hitSamples           []sample
}

type sample struct {
	at           time.Time
	hits, pieces int
}

func newBench(sc scenario, st strategy) *bench {
	b := &bench{
		scenario: sc, strategy: st, Timeline: testlib.NewTimeline(time.Unix(1_800_000_000, 0)), rnd: rand.New(rand.NewPCG(11+sc.seed, 13)),
		inFlight: map[*request]bool{}, seen: map[uint64]bool{}, firstTokenMs: map[config.Class][]float64{},
		interactiveMs: map[int][]float64{}, sentByWorkspace: map[int]int{}, doneByWorkspace: map[int]int{},
	}
	b.start = b.Now()
	engines := 18
	work := rand.New(rand.NewPCG(17+sc.seed, 19))
	b.workload = adireWorkload(work)
	if sc.guiers {
		engines = 12
		b.workload = guiersWorkload(work)
	}
	b.scale = max(1, sc.scale)
	engines *= b.scale
	shares := b.workload.shares
	for range b.scale - 1 {
		b.workload.shares = append(b.workload.shares, shares...)
	}
	for i := range b.workload.shares {
		b.workload.shares[i] /= float64(b.scale)
	}
	for i := range engines {
		b.engines = append(b.engines, &fakeEngine{id: fmt.Sprintf("e%02d", i), bench: b, slots: engineSlots, capacity: engineCachePieces, cache: map[uint64]uint64{}})
	}
	for range benchNodes * b.scale {
		b.nodes = append(b.nodes, b.newNode())
	}
	// At a load of 1 the engines are always busy with prefill if they compute
	// two pieces of each prompt: the question, which is never cached, and one
	// more.
	b.rate = sc.load * float64(engines) / (requestOverhead + 2*questionPieces*pieceTime).Seconds()
	return b
}

func (b *bench) newNode() *benchNode {
	costs := router.DefaultCosts()
	if b.scenario.adjustCosts != nil {
		b.scenario.adjustCosts(&costs)
	}
	n := &benchNode{
		router:   router.New(costs, benchIndexSize, rand.New(rand.NewPCG(b.rnd.Uint64(), 23))),
		admitter: admitter.New(1 << 16), waiting: map[uint64]*request{}, choices: map[*request]router.Choice{}, lastHinted: map[hintKey]time.Time{},
	}
	n.router.SetEngines(b.engineList())
	return n
}

func (b *bench) engineList() []router.Engine {
	var list []router.Engine
	for _, e := range b.engines {
		if !e.leaving {
			list = append(list, router.Engine{ID: e.id, Pool: "p", Slots: e.slots})
		}
	}
	return list
}

func (b *bench) run() {
	b.Schedule(0, b.arrive)
	for i := range b.engines {
		b.Schedule(time.Duration(i)*reportInterval/time.Duration(len(b.engines)), func() { b.reportLoad(b.engines[i]) })
	}
	for i := range b.nodes {
		b.Schedule(0, func() { b.tick(i) })
	}
	b.scheduleEvents()
	b.Run(b.start.Add(max(benchDuration, b.scenario.duration) - time.Nanosecond))
}

func (b *bench) scheduleEvents() {
	at := func(d time.Duration, do func()) {
		if d > 0 {
			b.Schedule(d, do)
		}
	}
	at(b.scenario.hotShiftAt, func() { b.workload.hotShift = 7 })
	at(b.scenario.crashAt, func() { b.crashEngine(b.engines[3]) })
	at(b.scenario.leaveAt, func() {
		b.engines[5].leaving = true
		for _, n := range b.nodes {
			n.router.SetEngines(b.engineList())
		}
	})
	at(b.scenario.restartAt, func() {
		b.hitRateBeforeRestart = b.hitRateSince(b.Now().Add(-10 * time.Second))
		for i, old := range b.nodes {
			n := b.newNode()
			// The restart is graceful: the old node finishes its queued and
			// running requests.
			n.waiting, n.choices, n.admitter = old.waiting, old.choices, old.admitter
			b.nodes[i] = n
		}
	})
}

// crashEngine crashes an engine. The nodes retry its requests.
func (b *bench) crashEngine(e *fakeEngine) {
	lost := e.crash(b.inFlight)
	for _, n := range b.nodes {
		n.router.RecordCrash(b.Now(), e.id)
	}
	for _, r := range lost {
		delete(b.inFlight, r)
		b.retried++
		b.nodes[r.node].release(b.Now(), r)
		b.dispatch(r)
	}
}

func (n *benchNode) release(now time.Time, r *request) {
	if c, ok := n.choices[r]; ok {
		n.router.RecordEnd(now, c, r.gotFirstToken)
		delete(n.choices, r)
	}
}

// warmedUp reports whether the warm-up has ended and results are counted.
func (b *bench) warmedUp() bool { return b.Now().Sub(b.start) > warmUpTime }

func (b *bench) arrive() {
	rate := b.rate
	if !b.warmedUp() {
		rate = min(rate, b.rate/b.scenario.load*rampLoad) // lower load while the caches fill
	}
	b.Schedule(time.Duration(b.rnd.ExpFloat64()/rate*float64(time.Second)), b.arrive)
	b.submit(b.workload.next())
	if b.scenario.greedyActive {
		extra := b.rnd.Float64() * 2 * 9 * b.workload.shares[b.scenario.greedyWorkspace]
		for range int(extra + b.rnd.Float64()) {
			r := b.workload.next()
			r.chain = appendLevel(appendLevel(appendLevel(appendLevel(nil, workspacePieces, uint64(b.scenario.greedyWorkspace)), documentPieces, uint64(b.rnd.IntN(4))), sessionPieces, 1), questionPieces, b.rnd.Uint64())
			r.workspace = b.scenario.greedyWorkspace
			b.submit(r)
		}
	}
}

func (b *bench) submit(r *request) {
	b.requests++
	r.id, r.arrivedAt = b.requests, b.Now()
	r.node = (r.workspace*5 + b.rnd.IntN(nodesPerWorkspace)) % len(b.nodes)
	b.sentByWorkspace[r.workspace]++
	if b.warmedUp() {
		for _, h := range r.chain {
			if !b.seen[h] {
				b.compulsoryMisses++
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
	weight := b.workload.shares[r.workspace] * 20 * float64(b.scale)
	b.admit(r.node, n.admitter.Handle(b.Now(), admitter.Arrived{Request: admitter.Request{
		Ticket: uint64(r.id), Workspace: b.flow(r), Weight: weight, Class: r.class, Pool: "p",
		Tokens: len(r.chain)*100 + r.answer, Deadline: b.Now().Add(time.Minute),
		Rate: b.scenario.bucketRate * weight, Burst: 5 * b.scenario.bucketRate * weight,
	}}))
}

func (b *bench) flow(r *request) string {
	if b.scenario.noFairQueues {
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
			b.rejected++
		}
	}
}

func (b *bench) tick(node int) {
	b.Schedule(50*time.Millisecond, func() { b.tick(node) })
	n := b.nodes[node]
	r := n.router.Capacity(b.Now(), "p")
	b.admit(node, n.admitter.Handle(b.Now(), admitter.Capacity{Pool: "p", Slots: r.Slots, Occupied: r.Occupied, Engines: r.Engines, Pending: r.Pending}))
	b.admit(node, n.admitter.Handle(b.Now(), admitter.Tick{}))
}

func (b *bench) dispatch(r *request) {
	n := b.nodes[r.node]
	e := b.pickEngine(n, r)
	r.engine, r.gotFirstToken = e, false
	b.inFlight[r] = true
	epoch := e.epoch
	b.Schedule(networkDelay, func() {
		if e.epoch == epoch {
			e.enqueue(r)
		}
	})
}

func (b *bench) pickEngine(n *benchNode, r *request) *fakeEngine {
	q := router.Query{Pool: "p", Chain: r.chain, RecomputeWeight: 1, Rank: r.rank, SuspectRank: -1}
	c, ok := n.router.Pick(b.Now(), &q)
	if !ok {
		c, _ = n.router.Pick(b.Now().Add(time.Hour), &q)
	}
	e := b.engineByID(c.ID)
	switch b.strategy {
	case policy:
	case roundRobin:
		n.nextEngine++
		e = b.engines[n.nextEngine%len(b.engines)]
	case leastLoaded:
		q.Chain = nil
		c, _ = n.router.Pick(b.Now(), &q)
		e = b.engineByID(c.ID)
	case rendezvous:
		e = b.rendezvousEngine(r.chain[0])
	case upperBound:
		e = b.cheapestEngine(r)
	}
	if c.ID != e.id {
		c = n.choiceFor(b, e, r)
	}
	n.choices[r] = c
	n.router.RecordSend(b.Now(), c, r.chain)
	b.sendHints(c.ID, r)
	return e
}

// sendHints sends placement hints to the other nodes of the workspace.
func (b *bench) sendHints(id string, r *request) {
	n := b.nodes[r.node]
	key := hintKey{r.chain[len(r.chain)-2], id}
	if at, ok := n.lastHinted[key]; b.scenario.noHints || ok && b.Now().Sub(at) < hintInterval {
		return
	}
	n.lastHinted[key] = b.Now()
	b.hints++
	b.Schedule(hintDelay, func() {
		for i := range nodesPerWorkspace {
			if node := (r.workspace*5 + i) % len(b.nodes); node != r.node {
				b.nodes[node].router.AddHint(id, r.chain[:len(r.chain)-1])
			}
		}
	})
}

// choiceFor returns the router's Choice for an engine that another strategy
// picked.
func (n *benchNode) choiceFor(b *bench, e *fakeEngine, r *request) router.Choice {
	q := router.Query{Pool: "p", Chain: r.chain, Rank: r.rank, SuspectRank: -1}
	for _, o := range b.engines {
		if o != e {
			q.Exclude = append(q.Exclude, o.id)
		}
	}
	c, _ := n.router.Pick(b.Now().Add(time.Hour), &q)
	return c
}

func (b *bench) engineByID(id string) *fakeEngine {
	for _, e := range b.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// rendezvousEngine returns the engine with the highest rendezvous hash for h.
func (b *bench) rendezvousEngine(h uint64) *fakeEngine {
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

// cheapestEngine returns the engine with the lowest actual delay for r, from
// the state of the engines themselves.
func (b *bench) cheapestEngine(r *request) *fakeEngine {
	var best *fakeEngine
	least := time.Duration(math.MaxInt64)
	for _, e := range b.engines {
		if e.leaving {
			continue
		}
		cost := e.queueingDelay(r.rank) + time.Duration(len(r.chain)-e.cached(r.chain))*pieceTime
		if cost < least {
			best, least = e, cost
		}
	}
	return best
}

func (b *bench) recordFirstToken(r *request) {
	r.gotFirstToken = true
	n := b.nodes[r.node]
	if c, ok := n.choices[r]; ok {
		n.router.RecordFirstToken(b.Now(), c)
	}
	b.hitSamples = append(b.hitSamples, sample{at: b.Now(), hits: r.hits, pieces: len(r.chain)})
	if at := b.scenario.restartAt; at > 0 && b.recovered == 0 && b.Now().Sub(b.start) > at+time.Second {
		if b.hitRateSince(b.Now().Add(-time.Second)) >= 0.9*b.hitRateBeforeRestart {
			b.recovered = b.Now().Sub(b.start) - at - time.Second
			b.recovered = max(b.recovered, time.Millisecond)
		}
	}
	if !b.warmedUp() {
		return
	}
	b.hits += r.hits
	b.pieces += len(r.chain)
	wait := b.Now().Add(networkDelay).Sub(r.arrivedAt).Seconds() * 1000
	b.firstTokenMs[r.class] = append(b.firstTokenMs[r.class], wait)
	if r.class == config.Interactive {
		b.interactiveMs[r.workspace] = append(b.interactiveMs[r.workspace], wait)
	}
}

func (b *bench) hitRateSince(t time.Time) float64 {
	hits, pieces := 0, 0
	for i := len(b.hitSamples) - 1; i >= 0 && b.hitSamples[i].at.After(t); i-- {
		hits += b.hitSamples[i].hits
		pieces += b.hitSamples[i].pieces
	}
	return float64(hits) / float64(max(1, pieces))
}

func (b *bench) recordEnd(r *request) {
	delete(b.inFlight, r)
	b.doneByWorkspace[r.workspace]++
	if r.class == config.Batch {
		b.doneBatch++
	}
	n := b.nodes[r.node]
	n.release(b.Now(), r)
	if !b.scenario.noAdmitter {
		b.admit(r.node, n.admitter.Handle(b.Now(), admitter.Ended{Pool: "p"}))
	}
}

func (b *bench) reportLoad(e *fakeEngine) {
	b.Schedule(reportInterval, func() { b.reportLoad(e) })
	rep := router.Report{Incarnation: fmt.Sprint(e.epoch), Occupied: e.running + len(e.waiting), Pending: e.pending, TakenAt: b.Now()}
	b.Schedule(networkDelay+b.scenario.reportLag, func() {
		for _, n := range b.nodes {
			n.router.ReceiveReport(b.Now(), e.id, rep)
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

// jainIndex returns Jain's fairness index of the shares of answered requests of
// the workspaces.
func (b *bench) jainIndex() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for ws, sent := range b.sentByWorkspace {
		x := float64(b.doneByWorkspace[ws]) / float64(sent)
		sum += x
		squares += x * x
		n++
	}
	return sum * sum / (n * squares)
}

// leastAnswered returns the smallest share of requests that were answered by
// the end, among the workspaces that don't exceed their share.
func (b *bench) leastAnswered() float64 {
	least := 1.0
	for ws, sent := range b.sentByWorkspace {
		if ws != b.scenario.greedyWorkspace {
			least = min(least, float64(b.doneByWorkspace[ws])/float64(sent))
		}
	}
	return least
}

func (b *bench) hitRate() float64 { return float64(b.hits) / float64(max(1, b.pieces)) }

// recomputeRatio returns the number of computed pieces per compulsory miss, a
// miss of a piece that was in no earlier prompt.
func (b *bench) recomputeRatio() float64 {
	return float64(b.pieces-b.hits) / float64(max(1, b.compulsoryMisses))
}

func (b *bench) reportMetrics(tb *testing.B) {
	tb.ReportMetric(b.hitRate(), "hit")
	tb.ReportMetric(b.recomputeRatio(), "recompute")
	for _, c := range []config.Class{config.Interactive, config.Standard, config.Batch} {
		if len(b.firstTokenMs[c]) == 0 {
			continue
		}
		for _, p := range []float64{0.5, 0.95, 0.99} {
			tb.ReportMetric(percentile(b.firstTokenMs[c], p), fmt.Sprintf("%c-p%g-ms", c[0], p*100))
		}
	}
	tb.ReportMetric(float64(b.rejected)/float64(b.requests), "refused")
	tb.ReportMetric(float64(b.retried), "retried")
	tb.ReportMetric(float64(b.hints)/float64(b.requests), "hints/request")
	tb.ReportMetric(b.jainIndex(), "jain")
	if b.scenario.greedyActive {
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
			scenario{name: prefix + "shift", guiers: g, load: 0.8, hotShiftAt: 25 * time.Second},
			scenario{name: prefix + "lost", guiers: g, load: 0.8, crashAt: 25 * time.Second},
			scenario{name: prefix + "lateReports", guiers: g, load: 0.8, reportLag: 2 * time.Second},
			scenario{name: prefix + "restart", guiers: g, load: 0.8, restartAt: 30 * time.Second},
			scenario{name: prefix + "leaving", guiers: g, load: 0.8, leaveAt: 25 * time.Second},
			scenario{name: prefix + "tenfold", guiers: g, load: 0.8, scale: 10},
			scenario{name: prefix + "tenfoldRestart", guiers: g, load: 0.8, scale: 10, restartAt: 30 * time.Second},
			scenario{name: prefix + "greedy", guiers: g, load: 0.6, greedyWorkspace: 4, greedyActive: true},
			scenario{name: prefix + "greedyOverload", guiers: g, load: 1.1, greedyWorkspace: 4, greedyActive: true},
			scenario{name: prefix + "notGreedy", guiers: g, load: 0.6, greedyWorkspace: 4},
		)
	}
	return list
}

// BenchmarkMechanisms reports the metrics of the policy with one mechanism
// removed at a time, in every scenario.
func BenchmarkMechanisms(b *testing.B) {
	type variant struct {
		name   string
		change func(*scenario)
	}
	withCosts := func(f func(*router.Costs)) func(*scenario) {
		return func(sc *scenario) { sc.adjustCosts = f }
	}
	all := []variant{
		{"everything", func(*scenario) {}},
		{"withoutHints", func(sc *scenario) { sc.noHints = true }},
		{"withoutScarcity", withCosts(func(c *router.Costs) { c.BacklogFactor = [router.Ranks]float64{} })},
		{"withoutBlocked", withCosts(func(c *router.Costs) { c.HeadOfLinePieces = 0 })},
		{"withoutPlacement", withCosts(func(c *router.Costs) { c.OwnerBonus = 0 })},
		{"withoutSpreading", withCosts(func(c *router.Costs) { c.BacklogFactor = [router.Ranks]float64{1e6, 1e6, 1e6} })},
		{"withoutAdmission", func(sc *scenario) { sc.noAdmitter = true }},
		{"withoutFairQueues", func(sc *scenario) { sc.noFairQueues = true }},
		{"withBuckets", func(sc *scenario) { sc.bucketRate = 3000 }},
	}
	for _, sc := range scenarios() {
		for _, m := range all {
			c := sc
			m.change(&c)
			b.Run(sc.name+"/"+m.name, func(tb *testing.B) {
				for range tb.N {
					run := newBench(c, policy)
					run.run()
					run.reportMetrics(tb)
				}
			})
		}
	}
}

// BenchmarkGreedy reports the worst change of another workspace's interactive
// p99 when one workspace sends ten times its share.
func BenchmarkGreedy(b *testing.B) {
	for _, guiers := range []bool{false, true} {
		for _, rate := range []float64{0, 3000} {
			b.Run(fmt.Sprintf("guiers=%t/tokensPerSecond=%g", guiers, rate), func(tb *testing.B) {
				for range tb.N {
					sc := scenario{guiers: guiers, load: 0.6, greedyWorkspace: 4, bucketRate: rate}
					sc.duration = 20 * benchDuration // p99 of a small workspace needs many requests
					baseline := newBench(sc, policy)
					baseline.run()
					sc.greedyActive = true
					greedy := newBench(sc, policy)
					greedy.run()
					sc.greedyActive, sc.seed = false, 1
					reseeded := newBench(sc, policy)
					reseeded.run()
					tb.ReportMetric(baseline.worstRatio(greedy), "worst-p99-ratio")
					tb.ReportMetric(baseline.worstRatio(reseeded), "noise-p99-ratio")
					tb.ReportMetric(float64(greedy.rejected)/float64(greedy.requests), "refused")
					tb.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// worstRatio returns the largest ratio of interactive p99 between other and b,
// among the workspaces that send the same in both.
func (b *bench) worstRatio(other *bench) float64 {
	worst := 0.0
	for ws, waits := range b.interactiveMs {
		if ws != b.scenario.greedyWorkspace {
			worst = max(worst, percentile(other.interactiveMs[ws], 0.99)/percentile(waits, 0.99))
		}
	}
	return worst
}

// BenchmarkPolicy reports the metrics of every strategy in every scenario.
func BenchmarkPolicy(b *testing.B) {
	for _, sc := range scenarios() {
		for _, st := range strategies {
			b.Run(sc.name+"/"+string(st), func(tb *testing.B) {
				for range tb.N {
					run := newBench(sc, st)
					run.run()
					run.reportMetrics(tb)
				}
			})
		}
	}
}
