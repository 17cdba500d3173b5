package detector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/detector"
)

// Guards against BUDGET: when a rejection for seconds ends, several nodes of a large fleet run
// the deadly request before they hear that the first of these runs was lost.
func TestPlainRequestIsTriedByFewNodesOfLargeFleet(t *testing.T) {
	for seed := range uint64(40) {
		out := simulatePlain(plainLoad{nodes: 295, upstreams: 4, soundPerSecond: 2, poisonEvery: 10 * time.Millisecond, aggregated: true, seed: seed})
		if out.late > 3 {
			t.Errorf("seed %d: %d deadly requests were rejected, %d crashes, %d late", seed, out.rejected, out.crashes, out.late)
		}
	}
}

// trialLoad is a pattern of one request that comes again at any node after a provisional
// rejection of it.
type trialLoad struct {
	nodes int
	every time.Duration // time between two requests
	sound bool          // the request succeeds, and doesn't crash its upstream
	// aggregated is set if only the first two nodes receive the evidence of all others.
	aggregated bool
	// lossShare is the share of messages that are lost.
	lossShare float64
	// cutOff is how many nodes exchange no messages any more from the end of the rejection on.
	cutOff int
	// claimantDies is set if the first node that claims the trial stops at once.
	claimantDies bool
	// silentAggregators is set if the aggregators stop a second before the end of the rejection.
	silentAggregators bool
	// firstNode is the first node that callers reach.
	firstNode int
	seed      uint64
}

type trialOutcome struct {
	sends    int           // until all nodes knew the first outcome
	firstRun time.Duration // from the end of the rejection, or from the first request after it
	cleared  bool          // at the end, some node runs the request
}

// trialFleet plays a trialLoad in steps of 10 ms. A node holds a request while its claim is
// pending.
type trialFleet struct {
	trialLoad
	rnd     *rand.Rand
	now     time.Time
	nodes   []*detector.Detector
	stopped map[int]bool
	held    map[int]time.Time // nodes with a held request, and when it came
	running map[int]time.Time // nodes that run the request, and until when
	ends    time.Time         // of the rejection
	first   time.Time         // request after that
	out     trialOutcome
	// firstRunAt is when the request ran first after the rejection.
	firstRunAt time.Time
}

func simulateTrial(l trialLoad) trialOutcome {
	const (
		length = 25 * time.Second // from the first request after the rejection
		// known is the time from the first run to the end, within which all nodes that hear others
		// know its outcome.
		known = 5 * time.Second
	)
	f := &trialFleet{trialLoad: l, rnd: rand.New(rand.NewPCG(l.seed, 3)), now: start, stopped: map[int]bool{}, held: map[int]time.Time{}, running: map[int]time.Time{}}
	for i := range l.nodes {
		d := detector.New(rand.New(rand.NewPCG(l.seed, uint64(i))))
		d.SetJudge(!l.aggregated || i < 2)
		f.nodes = append(f.nodes, d)
	}
	f.now = lostInTurn(f.nodes[0], start, deadlyRequest)
	f.nodes[0].Judge(f.now, noRuns)
	f.ends = f.now.Add(15 * time.Second)
	for round := range 10 { // all nodes hear of the rejection
		f.exchange(round)
	}
	f.now = f.ends.Add(-2 * time.Second)
	for tick := 0; f.first.IsZero() || f.now.Before(f.first.Add(length)); tick++ {
		f.now = f.now.Add(plainStep)
		since := f.now.Sub(f.ends)
		if l.silentAggregators && since > -time.Second {
			f.stopped[0], f.stopped[1] = true, true
		}
		if f.rnd.Float64() < plainStep.Seconds()/l.every.Seconds() {
			f.request(f.firstNode + f.rnd.IntN(l.nodes-f.firstNode))
		}
		for i := range f.nodes {
			if _, held := f.held[i]; held {
				f.request(i)
			}
		}
		f.endRuns()
		if tick%10 == 0 {
			f.exchange(tick / 10)
		}
		if l.sound && f.out.cleared || l.cutOff == 0 && f.out.sends > 0 && f.now.Sub(f.firstRunAt) > known {
			break
		}
	}
	return f.out
}

// request has a node run the request, hold it, or reject it.
func (f *trialFleet) request(node int) {
	if f.stopped[node] {
		return
	}
	features := []detector.Feature{deadlyRequest}
	if f.now.After(f.ends) && f.first.IsZero() {
		f.first = f.now
	}
	d := f.nodes[node]
	rejects := d.Rejects(f.now, features)
	_, pending := d.UntilTrial(f.now, features)
	switch {
	case !rejects:
		delete(f.held, node)
		d.RecordSend(f.now, features)
		f.running[node] = f.now.Add(plainRunTime)
		if f.out.sends++; f.out.sends == 1 {
			f.firstRunAt, f.out.firstRun = f.now, f.now.Sub(f.first)
		}
	case pending:
		if f.claimantDies && len(f.stopped) == 0 && f.now.After(f.ends.Add(time.Second)) {
			f.stopped[node] = true
		}
		f.held[node] = f.now
	default:
		delete(f.held, node)
	}
}

func (f *trialFleet) endRuns() {
	features := []detector.Feature{deadlyRequest}
	for i := range f.nodes {
		end, running := f.running[i]
		if !running || f.now.Before(end) {
			continue
		}
		delete(f.running, i)
		if f.sound {
			f.nodes[i].RecordSuccess(f.now, plain, features)
			f.out.cleared = true
		} else {
			f.nodes[i].RecordLoss(f.now, plain, 1<<20+uint32(f.out.sends), end.Add(-plainRunTime), features)
		}
	}
}

func (f *trialFleet) exchange(round int) {
	cut := func(i int) bool {
		return f.stopped[i] || f.now.After(f.ends) && i >= f.trialLoad.nodes-f.cutOff
	}
	for i, d := range f.nodes {
		if cut(i) {
			continue
		}
		d.Judge(f.now, noRuns)
		e := d.Evidence(f.now)
		for j, o := range f.nodes {
			switch {
			case i == j, cut(j), f.rnd.Float64() < f.lossShare:
			case !f.aggregated || j < 2:
				o.Merge(f.now, e)
			case i < 2 && j%5 == round%5:
				o.Merge(f.now, e.WithoutReports())
			}
		}
	}
}

// trialSeeds returns the number of seeds for a fleet. Large ones take long.
func trialSeeds(nodes int) int {
	if nodes > 100 {
		return 6
	}
	return 40
}

// Guards against BUDGET: a deadly request is run again by more nodes than one for each part of the
// fleet that can't hear the others.
func TestEndedRejectionIsTriedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		trialLoad
		most int
	}{
		"large fleet":                   {trialLoad{nodes: 295, aggregated: true, every: 10 * time.Millisecond}, 1},
		"large fleet, few requests":     {trialLoad{nodes: 295, aggregated: true, every: 2 * time.Second}, 1},
		"large fleet, lost messages":    {trialLoad{nodes: 295, aggregated: true, every: 10 * time.Millisecond, lossShare: 0.1}, 1},
		"callers don't reach the judge": {trialLoad{nodes: 295, aggregated: true, every: 10 * time.Millisecond, firstNode: 2}, 1},
		"large fleet, four cut off":     {trialLoad{nodes: 295, aggregated: true, every: 10 * time.Millisecond, cutOff: 4}, 5},
		"claimant dies":                 {trialLoad{nodes: 295, aggregated: true, every: 10 * time.Millisecond, claimantDies: true}, 1},
		"small fleet":                   {trialLoad{nodes: 9, every: 10 * time.Millisecond}, 1},
		"two nodes":                     {trialLoad{nodes: 2, every: 10 * time.Millisecond}, 1},
		"one node":                      {trialLoad{nodes: 1, every: 10 * time.Millisecond}, 1},
		"small fleet, one cut off":      {trialLoad{nodes: 9, every: 10 * time.Millisecond, cutOff: 1}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(trialSeeds(c.nodes)) {
				c.seed = seed
				if out := simulateTrial(c.trialLoad); out.sends < 1 || out.sends > c.most {
					t.Errorf("seed %d: run %d times, want 1 to %d", seed, out.sends, c.most)
				}
			}
		})
	}
}

// Guards against a sound request that was the only one in an outage and doesn't come back: the
// node that has claimed the trial is gone, or the request comes to another node each time.
func TestSoundRequestRunsAgainAfterEndOfRejection(t *testing.T) {
	for name, c := range map[string]struct {
		trialLoad
		within time.Duration // from the first request after the rejection
	}{
		"large fleet":                      {trialLoad{nodes: 295, aggregated: true, every: 10 * time.Millisecond}, 2 * time.Second},
		"large fleet, few requests":        {trialLoad{nodes: 295, aggregated: true, every: 10 * time.Second}, 2 * time.Second},
		"large fleet, lost messages":       {trialLoad{nodes: 295, aggregated: true, every: 100 * time.Millisecond, lossShare: 0.1}, 2 * time.Second},
		"claimant dies":                    {trialLoad{nodes: 295, aggregated: true, every: 100 * time.Millisecond, claimantDies: true}, 12 * time.Second},
		"small fleet":                      {trialLoad{nodes: 9, every: 100 * time.Millisecond}, 2 * time.Second},
		"small fleet, few requests":        {trialLoad{nodes: 9, every: 10 * time.Second}, 2 * time.Second},
		"small fleet, claimant dies":       {trialLoad{nodes: 9, every: 100 * time.Millisecond, claimantDies: true}, 12 * time.Second},
		"one node":                         {trialLoad{nodes: 1, every: 5 * time.Second}, 0},
		"no node hears its aggregators":    {trialLoad{nodes: 60, aggregated: true, every: 100 * time.Millisecond, firstNode: 2, silentAggregators: true}, 16 * time.Second},
		"callers reach nodes that are cut": {trialLoad{nodes: 9, every: 100 * time.Millisecond, firstNode: 7, cutOff: 2}, 16 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(trialSeeds(c.nodes)) {
				c.seed, c.sound = seed, true
				if out := simulateTrial(c.trialLoad); !out.cleared || out.firstRun > c.within {
					t.Errorf("seed %d: cleared %t, first run %v after the first request, want within %v", seed, out.cleared, out.firstRun, c.within)
				}
			}
		})
	}
}
