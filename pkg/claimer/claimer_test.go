package claimer_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
)

// sabotage breaks one rule on purpose, to show that the checker sees it.
type sabotage uint8

const (
	sound sabotage = iota
	dispatchBeforeClaim
	plainWrites
	transportReplay
)

// operation is a platform call on its way.
type operation struct {
	node   int
	boot   int
	action claimer.Action
	lost   bool // the caller has given it up, but it may still take effect
}

type try struct {
	node, boot int
	key        claimer.Key
	digest     claimer.Digest
	nonce      claimer.Nonce
	told       claimer.Outcome
	answer     string
	ran        bool
	open       bool
}

// history is one random run of several nodes over one shard.
type history struct {
	rnd      *rand.Rand
	mode     sabotage
	now      time.Time
	nodes    []*claimer.Claimer
	boots    []int
	head     claimer.Page
	version  uint64
	sealed   map[string]claimer.Page
	ops      []operation
	tries    []*try
	runs     map[claimer.Key][]string
	down     bool
	outcomes map[claimer.Outcome]int
	keep     time.Duration // claims are forgotten after it; 0 for never
	dropped  int           // sealed pages that were forgotten
}

const (
	historyNodes = 3
	historyKeys  = 4
	historySteps = 120
)

func newHistory(seed uint64, mode sabotage) *history {
	h := &history{
		rnd: rand.New(rand.NewPCG(seed, 7)), mode: mode, now: time.Unix(1_800_000_000, 0),
		sealed: map[string]claimer.Page{}, runs: map[claimer.Key][]string{}, boots: make([]int, historyNodes),
		outcomes: map[claimer.Outcome]int{},
	}
	for range historyNodes {
		h.nodes = append(h.nodes, h.newNode())
	}
	return h
}

func (h *history) newNode() *claimer.Claimer {
	limits := claimer.Limits{PageBytes: 400, MaxPages: 1000, MaxBatchRecords: 3, MaxAnswerBytes: 64}
	return claimer.New(limits, rand.New(rand.NewPCG(h.rnd.Uint64(), 1)))
}

func (h *history) run() error {
	for range historySteps {
		h.now = h.now.Add(time.Duration(h.rnd.IntN(150)) * time.Millisecond)
		switch n := h.rnd.IntN(100); {
		case n < 25:
			h.request()
		case n < 75:
			h.platform()
		case n < 85:
			h.finish()
		case n < 90:
			h.handle(h.rnd.IntN(historyNodes), claimer.Tick{})
		case n < 94:
			h.restart(h.rnd.IntN(historyNodes))
		case n < 97:
			h.down = !h.down
		}
		if err := h.check(); err != nil {
			return err
		}
	}
	return nil
}

func (h *history) request() {
	t := &try{node: h.rnd.IntN(historyNodes), open: true, nonce: claimer.Nonce(h.rnd.Uint64())}
	t.boot = h.boots[t.node]
	t.key[0] = byte(h.rnd.IntN(historyKeys))
	var latest, expires time.Time
	if h.keep > 0 {
		// The key's time is that of its epoch; the one before is still taken.
		epoch := h.now.UnixNano()/int64(h.keep) - int64(h.rnd.IntN(2))
		binary.LittleEndian.PutUint64(t.key[1:], uint64(epoch))
		latest = time.Unix(0, (epoch+2)*int64(h.keep))
		expires = latest // all clocks of a history agree
	}
	t.digest[0] = byte(h.rnd.IntN(20) / 19) // seldom another body
	h.tries = append(h.tries, t)
	if h.mode == dispatchBeforeClaim {
		h.execute(t)
	}
	h.handle(t.node, claimer.Request{Ticket: uint64(len(h.tries)), Key: t.key, Digest: t.digest, Nonce: t.nonce, Holder: "n", Latest: latest, Expires: expires})
}

func (h *history) handle(node int, e claimer.Event) {
	actions := append([]claimer.Action(nil), h.nodes[node].Handle(h.now, e)...)
	for _, a := range actions {
		if r, ok := a.(claimer.Reply); ok {
			h.reply(node, r)
			continue
		}
		switch a := a.(type) {
		case claimer.Wake:
			continue // ticks come at random
		case claimer.ClearSealed:
			delete(h.sealed, a.Name)
			h.dropped++
			continue
		}
		h.ops = append(h.ops, operation{node: node, boot: h.boots[node], action: a})
	}
}

func (h *history) reply(node int, r claimer.Reply) {
	t := h.tries[r.Ticket-1]
	if !t.open || t.boot != h.boots[node] {
		return
	}
	t.open = false
	t.told = r.Outcome
	t.answer = string(r.Answer.Body)
	h.outcomes[r.Outcome]++
	if r.Outcome != claimer.Granted {
		return
	}
	switch h.rnd.IntN(10) {
	case 0: // the upstream could not be reached: not run
		h.handle(node, claimer.Released{Key: t.key, Nonce: t.nonce})
	case 1: // the node hangs before it dispatches; never run
	default:
		h.execute(t)
	}
}

func (h *history) execute(t *try) {
	t.ran = true
	n := 1
	if h.mode == transportReplay && h.rnd.IntN(4) == 0 {
		n = 2
	}
	for range n {
		h.runs[t.key] = append(h.runs[t.key], fmt.Sprintf("answer %d of %d", len(h.runs[t.key]), t.nonce))
	}
}

// finish records the answer of a run.
func (h *history) finish() {
	if len(h.tries) == 0 {
		return
	}
	t := h.tries[h.rnd.IntN(len(h.tries))]
	if t.told != claimer.Granted || !t.ran || t.boot != h.boots[t.node] {
		return
	}
	h.handle(t.node, claimer.Finished{Key: t.key, Nonce: t.nonce, Answer: claimer.Answer{Body: []byte(h.runs[t.key][0])}})
}

func (h *history) restart(node int) {
	h.boots[node]++
	h.nodes[node] = h.newNode()
	for _, t := range h.tries {
		if t.node == node {
			t.open = false
		}
	}
}

// platform lets one call on its way happen, in any order.
func (h *history) platform() {
	if len(h.ops) == 0 {
		return
	}
	i := h.rnd.IntN(len(h.ops))
	op := h.ops[i]
	fault := h.rnd.IntN(20)
	if fault == 0 && !op.lost {
		h.ops[i].lost = true // given up now, takes effect later or never
		h.answer(op, h.failed(op.action))
		return
	}
	h.ops = append(h.ops[:i], h.ops[i+1:]...)
	if h.down {
		h.answer(op, h.failed(op.action))
		return
	}
	result := h.apply(op.action)
	if fault == 1 {
		result = h.failed(op.action) // took effect, reply lost
	}
	h.answer(op, result)
}

func (h *history) answer(op operation, e claimer.Event) {
	if !op.lost && op.boot == h.boots[op.node] {
		h.handle(op.node, e)
	}
}

func (h *history) failed(a claimer.Action) claimer.Event {
	switch a := a.(type) {
	case claimer.ReadSealed:
		return claimer.SealedRead{Name: a.Name, Err: claimer.Lost}
	case claimer.WriteHead:
		return claimer.HeadWritten{Err: claimer.Lost}
	case claimer.WriteSealed:
		return claimer.SealedWritten{Err: claimer.Lost}
	default:
		return claimer.HeadRead{Err: claimer.Lost}
	}
}

func (h *history) apply(a claimer.Action) claimer.Event {
	switch a := a.(type) {
	case claimer.ReadSealed:
		return claimer.SealedRead{Name: a.Name, Page: h.sealed[a.Name]}
	case claimer.WriteSealed:
		h.sealed[a.Name] = a.Page
		return claimer.SealedWritten{}
	case claimer.WriteHead:
		if a.Version != h.version && h.mode != plainWrites {
			return claimer.HeadWritten{Err: claimer.Conflicted}
		}
		h.version++
		h.head = a.Page
		return claimer.HeadWritten{Version: h.version}
	default:
		return claimer.HeadRead{Page: h.head, Version: h.version}
	}
}

// check asserts the promises about requests that may not be repeated.
func (h *history) check() error {
	for key, runs := range h.runs {
		if len(runs) > 1 {
			return fmt.Errorf("key %d ran %d times", key[0], len(runs))
		}
	}
	for _, t := range h.tries {
		switch {
		case t.told == claimer.Unavailable && t.ran:
			return fmt.Errorf("key %d: told that it was not run, but it ran", t.key[0])
		case t.told == claimer.Answered && (len(h.runs[t.key]) == 0 || t.answer != h.runs[t.key][0]):
			return fmt.Errorf("key %d: kept answer %q is not that of its run", t.key[0], t.answer)
		}
	}
	return nil
}

const histories = 10_000

func TestAtMostOnceOverHistories(t *testing.T) {
	total := map[claimer.Outcome]int{}
	for seed := range uint64(histories) {
		h := newHistory(seed, sound)
		if err := h.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for o, n := range h.outcomes {
			total[o] += n
		}
	}
	for o := claimer.Granted; o <= claimer.Unavailable; o++ {
		if total[o] == 0 {
			t.Errorf("outcome %d was never seen", o)
		}
	}
	t.Logf("%d histories, outcomes %v", histories, total)
}

// TestAtMostOnceWhileClaimsAreForgotten runs histories whose keys carry their
// time, some hundred times the time for which claims are kept.
func TestAtMostOnceWhileClaimsAreForgotten(t *testing.T) {
	dropped := 0
	for seed := range uint64(2000) {
		h := newHistory(seed, sound)
		h.keep = 2 * time.Second
		for range 4 {
			if err := h.run(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		dropped += h.dropped
	}
	if dropped == 0 {
		t.Error("no page was ever forgotten")
	}
	t.Logf("%d pages forgotten", dropped)
}

func TestCheckerFindsSabotage(t *testing.T) {
	const enough = 500
	for name, mode := range map[string]sabotage{
		"dispatch before the claim": dispatchBeforeClaim, "plain write for the swap": plainWrites, "transport replay": transportReplay,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(enough) {
				if newHistory(seed, mode).run() != nil {
					return
				}
			}
			t.Errorf("no violation in %d histories", enough)
		})
	}
}

func TestReleasedClaimMayRunAgain(t *testing.T) {
	h := newHistory(1, sound)
	h.tries = []*try{{open: true, nonce: 1}, {open: true, nonce: 2}, {open: true, nonce: 3}}
	settle := func() {
		h.now = h.now.Add(time.Second)
		h.handle(0, claimer.Tick{})
		for len(h.ops) > 0 {
			op := h.ops[0]
			h.ops = h.ops[1:]
			h.answer(op, h.apply(op.action))
		}
	}
	c := h.nodes[0]
	if len(c.Handle(h.now, claimer.Request{Ticket: 1, Nonce: 1})) == 0 {
		t.Fatal("no platform call")
	}
	h.ops = []operation{{action: claimer.ReadHead{}}}
	settle()
	h.handle(0, claimer.Request{Ticket: 2, Nonce: 2})
	settle()
	if h.tries[1].told != claimer.Held {
		t.Fatalf("second try: outcome %d, want held", h.tries[1].told)
	}
	h.handle(0, claimer.Released{Nonce: 1})
	h.now = h.now.Add(time.Second)
	h.handle(0, claimer.Tick{})
	settle()
	h.handle(0, claimer.Request{Ticket: 3, Nonce: 3})
	settle()
	if h.tries[2].told != claimer.Granted {
		t.Fatalf("after the release: outcome %d, want granted", h.tries[2].told)
	}
}

// TestHeldClaimIsReadAgain has the answer of a claim written by another node
// than the one that is asked.
func TestHeldClaimIsReadAgain(t *testing.T) {
	h := newHistory(1, sound)
	h.tries = []*try{{open: true, nonce: 1}, {open: true, nonce: 2, node: 0}}
	settle := func() {
		for len(h.ops) > 0 {
			op := h.ops[0]
			h.ops = h.ops[1:]
			h.answer(op, h.apply(op.action))
		}
	}
	for _, a := range h.nodes[0].Handle(h.now, claimer.Request{Ticket: 1, Nonce: 1}) {
		h.ops = append(h.ops, operation{action: a})
	}
	settle()
	h.handle(1, claimer.Finished{Nonce: 1, Answer: claimer.Answer{Status: 200, Body: []byte("kept")}})
	h.now = h.now.Add(time.Second)
	h.handle(1, claimer.Tick{})
	settle()
	h.handle(0, claimer.Request{Ticket: 2, Nonce: 2})
	settle()
	if h.tries[1].told != claimer.Answered || h.tries[1].answer != "kept" {
		t.Errorf("outcome %d, answer %q", h.tries[1].told, h.tries[1].answer)
	}
}

func TestRefusesAtOnceWhileThePlatformIsDown(t *testing.T) {
	h := newHistory(1, sound)
	c := h.nodes[0]
	c.Handle(h.now, claimer.Request{Ticket: 1})
	c.Handle(h.now, claimer.HeadRead{Err: claimer.Lost})
	actions := c.Handle(h.now, claimer.Request{Ticket: 2})
	if len(actions) != 1 {
		t.Fatalf("actions %v, want one reply", actions)
	}
	if r, ok := actions[0].(claimer.Reply); !ok || r.Outcome != claimer.Unavailable {
		t.Fatalf("action %v, want unavailable", actions[0])
	}
}

// BenchmarkMemory gives the bytes that a shard holds for each claim whose
// answer of 100 bytes is kept, and the size of a write.
func BenchmarkMemory(b *testing.B) {
	const claims = 50_000
	for range b.N {
		before := heapBytes()
		c := claimer.New(claimer.DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
		now, version, records, writes := time.Unix(1_800_000_000, 0), uint64(0), 0, 0
		var run func(e claimer.Event)
		run = func(e claimer.Event) {
			for _, a := range append([]claimer.Action(nil), c.Handle(now, e)...) {
				switch a := a.(type) {
				case claimer.ReadHead:
					run(claimer.HeadRead{})
				case claimer.WriteSealed:
					run(claimer.SealedWritten{})
				case claimer.WriteHead:
					version++
					writes++
					records += len(a.Page.Records)
					run(claimer.HeadWritten{Version: version})
				}
			}
		}
		for i := range uint64(claims) {
			now = now.Add(time.Second)
			var k claimer.Key
			binary.LittleEndian.PutUint64(k[:], i+1)
			run(claimer.Request{Ticket: i, Key: k, Nonce: claimer.Nonce(i + 1), Holder: "entry-1@1800000000"})
			run(claimer.Finished{Key: k, Nonce: claimer.Nonce(i + 1), Answer: claimer.Answer{Status: 200, Body: make([]byte, 100)}})
		}
		b.ReportMetric(float64(heapBytes()-before)/claims, "bytes/claim")
		b.ReportMetric(float64(records)/float64(writes), "records/write")
		runtime.KeepAlive(c)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
