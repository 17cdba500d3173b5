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

// mutation breaks one rule on purpose, to verify that the checker detects it.
type mutation uint8

const (
	noMutation mutation = iota
	dispatchBeforeClaim
	unconditionalWrites
	transportReplay
)

// platformCall is a call to the platform that is in flight.
type platformCall struct {
	node        int
	incarnation int
	action      claimer.Action
	timedOut    bool // the caller stopped waiting, but it may still take effect
}

// attempt is one attempt of a node to claim and run a request.
type attempt struct {
	node, incarnation int
	key               claimer.Key
	digest            claimer.Digest
	nonce             claimer.Nonce
	outcome           claimer.Outcome
	answer            string
	ran               bool
	waiting           bool
}

// history is one random execution of several nodes on one shard.
type history struct {
	rnd          *rand.Rand
	mutation     mutation
	now          time.Time
	nodes        []*claimer.Claimer
	incarnations []int
	head         claimer.Page
	version      uint64
	sealed       map[string]claimer.Page
	pendingCalls []platformCall
	attempts     []*attempt
	runs         map[claimer.Key][]string
	platformDown bool
	outcomes     map[claimer.Outcome]int
	retention    time.Duration // how long claims are kept; 0 means forever
	pagesCleared int           // sealed pages that expired
}

const (
	historyNodes = 3
	historyKeys  = 4
	historySteps = 120
)

func newHistory(seed uint64, mode mutation) *history {
	h := &history{
		rnd: rand.New(rand.NewPCG(seed, 7)), mutation: mode, now: time.Unix(1_800_000_000, 0),
		sealed: map[string]claimer.Page{}, runs: map[claimer.Key][]string{}, incarnations: make([]int, historyNodes),
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
			h.completeCall()
		case n < 85:
			h.finish()
		case n < 90:
			h.handle(h.rnd.IntN(historyNodes), claimer.Tick{})
		case n < 94:
			h.restart(h.rnd.IntN(historyNodes))
		case n < 97:
			h.platformDown = !h.platformDown
		}
		if err := h.check(); err != nil {
			return err
		}
	}
	return nil
}

func (h *history) request() {
	t := &attempt{node: h.rnd.IntN(historyNodes), waiting: true, nonce: claimer.Nonce(h.rnd.Uint64())}
	t.incarnation = h.incarnations[t.node]
	t.key[0] = byte(h.rnd.IntN(historyKeys))
	var latest, expires time.Time
	if h.retention > 0 {
		// A key belongs to an epoch; keys of the previous epoch are still accepted.
		epoch := h.now.UnixNano()/int64(h.retention) - int64(h.rnd.IntN(2))
		binary.LittleEndian.PutUint64(t.key[1:], uint64(epoch))
		latest = time.Unix(0, (epoch+2)*int64(h.retention))
		expires = latest // all clocks of a history agree
	}
	t.digest[0] = byte(h.rnd.IntN(20) / 19) // rarely a different body
	h.attempts = append(h.attempts, t)
	if h.mutation == dispatchBeforeClaim {
		h.execute(t)
	}
	h.handle(t.node, claimer.Request{Ticket: uint64(len(h.attempts)), Key: t.key, Digest: t.digest, Nonce: t.nonce, Holder: "n", Latest: latest, Expires: expires})
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
			continue // run sends ticks at random
		case claimer.ClearSealed:
			delete(h.sealed, a.Name)
			h.pagesCleared++
			continue
		}
		h.pendingCalls = append(h.pendingCalls, platformCall{node: node, incarnation: h.incarnations[node], action: a})
	}
}

func (h *history) reply(node int, r claimer.Reply) {
	t := h.attempts[r.Ticket-1]
	if !t.waiting || t.incarnation != h.incarnations[node] {
		return
	}
	t.waiting = false
	t.outcome = r.Outcome
	t.answer = string(r.Answer.Body)
	h.outcomes[r.Outcome]++
	if r.Outcome != claimer.Granted {
		return
	}
	switch h.rnd.IntN(10) {
	case 0: // the upstream is unreachable: the request is not run
		h.handle(node, claimer.Released{Key: t.key, Nonce: t.nonce})
	case 1: // the node hangs before dispatch: the request is never run
	default:
		h.execute(t)
	}
}

func (h *history) execute(t *attempt) {
	t.ran = true
	n := 1
	if h.mutation == transportReplay && h.rnd.IntN(4) == 0 {
		n = 2
	}
	for range n {
		h.runs[t.key] = append(h.runs[t.key], fmt.Sprintf("answer %d of %d", len(h.runs[t.key]), t.nonce))
	}
}

// finish stores the response of a random run.
func (h *history) finish() {
	if len(h.attempts) == 0 {
		return
	}
	t := h.attempts[h.rnd.IntN(len(h.attempts))]
	if t.outcome != claimer.Granted || !t.ran || t.incarnation != h.incarnations[t.node] {
		return
	}
	h.handle(t.node, claimer.Finished{Key: t.key, Nonce: t.nonce, Answer: claimer.Answer{Body: []byte(h.runs[t.key][0])}})
}

func (h *history) restart(node int) {
	h.incarnations[node]++
	h.nodes[node] = h.newNode()
	for _, t := range h.attempts {
		if t.node == node {
			t.waiting = false
		}
	}
}

// completeCall completes a random call in flight, so calls may be reordered.
func (h *history) completeCall() {
	if len(h.pendingCalls) == 0 {
		return
	}
	i := h.rnd.IntN(len(h.pendingCalls))
	call := h.pendingCalls[i]
	fault := h.rnd.IntN(20)
	if fault == 0 && !call.timedOut {
		h.pendingCalls[i].timedOut = true // takes effect later or never
		h.answer(call, h.failed(call.action))
		return
	}
	h.pendingCalls = append(h.pendingCalls[:i], h.pendingCalls[i+1:]...)
	if h.platformDown {
		h.answer(call, h.failed(call.action))
		return
	}
	result := h.apply(call.action)
	if fault == 1 {
		result = h.failed(call.action) // it took effect, but the response is lost
	}
	h.answer(call, result)
}

func (h *history) answer(call platformCall, e claimer.Event) {
	if !call.timedOut && call.incarnation == h.incarnations[call.node] {
		h.handle(call.node, e)
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
		if a.Version != h.version && h.mutation != unconditionalWrites {
			return claimer.HeadWritten{Err: claimer.Conflicted}
		}
		h.version++
		h.head = a.Page
		return claimer.HeadWritten{Version: h.version}
	default:
		return claimer.HeadRead{Page: h.head, Version: h.version}
	}
}

// check verifies that no request ran twice, that no request reported as not run
// did run, and that stored responses are those of the run.
func (h *history) check() error {
	for key, runs := range h.runs {
		if len(runs) > 1 {
			return fmt.Errorf("key %d ran %d times", key[0], len(runs))
		}
	}
	for _, t := range h.attempts {
		switch {
		case t.outcome == claimer.Unavailable && t.ran:
			return fmt.Errorf("key %d: reported as not run, but it ran", t.key[0])
		case t.outcome == claimer.Answered && (len(h.runs[t.key]) == 0 || t.answer != h.runs[t.key][0]):
			return fmt.Errorf("key %d: stored response %q is not that of its run", t.key[0], t.answer)
		}
	}
	return nil
}

const historyCount = 10_000

func TestAtMostOnceInRandomHistories(t *testing.T) {
	total := map[claimer.Outcome]int{}
	for seed := range uint64(historyCount) {
		h := newHistory(seed, noMutation)
		if err := h.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for o, n := range h.outcomes {
			total[o] += n
		}
	}
	for o := claimer.Granted; o <= claimer.Unavailable; o++ {
		if total[o] == 0 {
			t.Errorf("outcome %d never occurred", o)
		}
	}
	t.Logf("%d histories, outcomes %v", historyCount, total)
}

// TestAtMostOnceWithExpiringClaims runs histories with keys of rising epochs
// over about 18 retention periods each. It guards against granting a key again
// after its claim was dropped.
func TestAtMostOnceWithExpiringClaims(t *testing.T) {
	pagesCleared := 0
	for seed := range uint64(2000) {
		h := newHistory(seed, noMutation)
		h.retention = 2 * time.Second
		for range 4 {
			if err := h.run(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		pagesCleared += h.pagesCleared
	}
	if pagesCleared == 0 {
		t.Error("no sealed page expired")
	}
	t.Logf("%d sealed pages expired", pagesCleared)
}

func TestCheckerDetectsMutations(t *testing.T) {
	const maxHistories = 500
	for name, mode := range map[string]mutation{
		"dispatch before claim": dispatchBeforeClaim, "unconditional head writes": unconditionalWrites, "transport replay": transportReplay,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxHistories) {
				if newHistory(seed, mode).run() != nil {
					return
				}
			}
			t.Errorf("no violation detected in %d histories", maxHistories)
		})
	}
}

func TestReleasedClaimCanBeGrantedAgain(t *testing.T) {
	h := newHistory(1, noMutation)
	h.attempts = []*attempt{{waiting: true, nonce: 1}, {waiting: true, nonce: 2}, {waiting: true, nonce: 3}}
	settle := func() {
		h.now = h.now.Add(time.Second)
		h.handle(0, claimer.Tick{})
		for len(h.pendingCalls) > 0 {
			call := h.pendingCalls[0]
			h.pendingCalls = h.pendingCalls[1:]
			h.answer(call, h.apply(call.action))
		}
	}
	c := h.nodes[0]
	if len(c.Handle(h.now, claimer.Request{Ticket: 1, Nonce: 1})) == 0 {
		t.Fatal("no platform call")
	}
	h.pendingCalls = []platformCall{{action: claimer.ReadHead{}}}
	settle()
	h.handle(0, claimer.Request{Ticket: 2, Nonce: 2})
	settle()
	if h.attempts[1].outcome != claimer.Held {
		t.Fatalf("second attempt: outcome %d, want held", h.attempts[1].outcome)
	}
	h.handle(0, claimer.Released{Nonce: 1})
	h.now = h.now.Add(time.Second)
	h.handle(0, claimer.Tick{})
	settle()
	h.handle(0, claimer.Request{Ticket: 3, Nonce: 3})
	settle()
	if h.attempts[2].outcome != claimer.Granted {
		t.Fatalf("after the release: outcome %d, want granted", h.attempts[2].outcome)
	}
}

// TestHeldClaimRereadsHead stores the response through one node and claims the
// same key at another, whose index still shows the claim as held.
func TestHeldClaimRereadsHead(t *testing.T) {
	h := newHistory(1, noMutation)
	h.attempts = []*attempt{{waiting: true, nonce: 1}, {waiting: true, nonce: 2, node: 0}}
	settle := func() {
		for len(h.pendingCalls) > 0 {
			call := h.pendingCalls[0]
			h.pendingCalls = h.pendingCalls[1:]
			h.answer(call, h.apply(call.action))
		}
	}
	for _, a := range h.nodes[0].Handle(h.now, claimer.Request{Ticket: 1, Nonce: 1}) {
		h.pendingCalls = append(h.pendingCalls, platformCall{action: a})
	}
	settle()
	h.handle(1, claimer.Finished{Nonce: 1, Answer: claimer.Answer{Status: 200, Body: []byte("kept")}})
	h.now = h.now.Add(time.Second)
	h.handle(1, claimer.Tick{})
	settle()
	h.handle(0, claimer.Request{Ticket: 2, Nonce: 2})
	settle()
	if h.attempts[1].outcome != claimer.Answered || h.attempts[1].answer != "kept" {
		t.Errorf("outcome %d, answer %q", h.attempts[1].outcome, h.attempts[1].answer)
	}
}

func TestRejectsImmediatelyWhilePlatformIsDown(t *testing.T) {
	h := newHistory(1, noMutation)
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

// BenchmarkMemory reports the memory per claim with a stored response of 100
// bytes, and the number of records per head write.
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
