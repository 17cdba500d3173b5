package detector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/detector"
)

var start = time.Unix(1_800_000_000, 0)

// Features of the simulated requests.
const (
	root    detector.Feature = iota + 1 // of every prompt
	subject                             // of every tenth prompt, and of each one with the deadly part
	deadly
	smallRoot
	firstSubject detector.Feature = 100
	firstRequest detector.Feature = 1_000_000
)

// The services of the simulated requests.
const (
	model detector.Service = iota + 1
	plain
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// noRuns is for upstreams that have crashed.
func noRuns(uint32) bool { return false }

// load is a pattern of requests at a fleet with one engine that may crash.
type load struct {
	nodes, engines int
	// soundPerSecond and poisonPerSecond are requests of all nodes.
	soundPerSecond, poisonPerSecond int
	// newSubjects is set if the prompts that share the deadly part's subject began at the same
	// time.
	newSubjects bool
	// deadlyFirst is set if the deadly part stands before the subject.
	deadlyFirst bool
	// smallWorkspace is set if the deadly part comes with a root of its own, which few sound
	// prompts have.
	smallWorkspace bool
	// massCrash is the share of engines that crash together, as its inverse, every
	// massCrashEvery.
	massCrash      int
	massCrashEvery time.Duration
	// resetShare is the share of the runs whose connections are reset, at upstreams that go on.
	resetShare float64
	// aggregated is set if only the first two nodes receive the evidence of all others.
	aggregated bool
	// sends is how often a request that was lost is sent in all, 0 for once.
	sends int
	seed  uint64
}

// contactTime is how long after the fifth crash requests with the deadly part may still reach
// engines.
const contactTime = 3 * time.Second

type outcome struct {
	crashes       int // by the deadly part
	fifthCrash    time.Time
	late          int // requests with the deadly part that ran later than contactTime after the fifth crash
	rejected      int // requests with the deadly part
	rejectedSound int
	servedSound   int
}

type simulatedRun struct {
	node     int
	sentAt   time.Time
	endsAt   time.Time
	poison   bool
	sends    int
	features []detector.Feature
}

// simulate plays load for 20 seconds in steps of 20 ms. Runs take half a second, and a
// crashed engine is back after three.
func simulate(l load) outcome {
	const (
		step     = 20 * time.Millisecond
		runTime  = 500 * time.Millisecond
		downTime = 3 * time.Second
		length   = 20 * time.Second
		rounds   = 5 // steps between messages
	)
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	nodes := make([]*detector.Detector, l.nodes)
	for i := range nodes {
		nodes[i] = detector.New(newRand())
		nodes[i].SetJudge(!l.aggregated || i < 2)
	}
	running := make([][]simulatedRun, l.engines)
	upAt := make([]time.Time, l.engines)
	incarnation := make([]uint32, l.engines)
	request := firstRequest
	var out outcome
	now := start
	runs := func(upstream uint32) bool {
		e := upstream >> 16
		return uint32(upstream&0xffff) == incarnation[e] && len(running[e]) > 0
	}
	place := func(r simulatedRun) {
		if nodes[r.node].Rejects(now, r.features) {
			if r.poison {
				out.rejected++
			} else {
				out.rejectedSound++
			}
			return
		}
		if !slices.ContainsFunc(upAt, func(at time.Time) bool { return !now.Before(at) }) {
			return
		}
		if r.poison && out.crashes >= 5 && now.Sub(out.fifthCrash) > contactTime {
			out.late++
		}
		e := rnd.IntN(l.engines)
		for now.Before(upAt[e]) {
			e = rnd.IntN(l.engines)
		}
		r.sentAt, r.endsAt = now, now.Add(runTime)
		r.sends++
		running[e] = append(running[e], r)
	}
	crash := func(e int) {
		lost := running[e]
		running[e], upAt[e] = nil, now.Add(downTime)
		for _, r := range lost {
			nodes[r.node].RecordLoss(now, model, uint32(e)<<16|incarnation[e], r.sentAt, r.features)
			if r.sends < l.sends {
				place(r)
			}
		}
		incarnation[e]++
	}
	send := func(poison bool) {
		request++
		features := []detector.Feature{root, firstSubject + detector.Feature(rnd.IntN(40)), request}
		switch {
		case poison && l.deadlyFirst:
			features = []detector.Feature{root, deadly, subject, request}
		case poison:
			features = []detector.Feature{root, subject, deadly, request}
		case rnd.IntN(10) == 0 && (!l.newSubjects || now.Sub(start) > 5*time.Second):
			features[1] = subject
		}
		if l.smallWorkspace && (poison || rnd.IntN(40) == 0) {
			features[0] = smallRoot
		}
		place(simulatedRun{node: rnd.IntN(l.nodes), poison: poison, features: features})
	}
	for tick := 0; now.Sub(start) < length; tick++ {
		now = now.Add(step)
		for range l.soundPerSecond {
			if rnd.IntN(int(time.Second/step)) == 0 {
				send(false)
			}
		}
		for range l.poisonPerSecond {
			if now.Sub(start) > 5*time.Second && rnd.IntN(int(time.Second/step)) == 0 {
				send(true)
			}
		}
		for e := range running {
			if l.massCrash > 0 && tick%int(l.massCrashEvery/step) == 0 && e%l.massCrash == 0 && tick > 0 {
				crash(e)
				continue
			}
			ended := slices.ContainsFunc(running[e], func(r simulatedRun) bool { return r.poison && !now.Before(r.endsAt) })
			if ended {
				if out.crashes++; out.crashes == 5 {
					out.fifthCrash = now
				}
				crash(e)
				continue
			}
			running[e] = slices.DeleteFunc(running[e], func(r simulatedRun) bool {
				if now.Before(r.endsAt) {
					return false
				}
				if rnd.Float64() < l.resetShare {
					nodes[r.node].RecordLoss(now, model, uint32(e)<<16|incarnation[e], r.sentAt, r.features)
					return true
				}
				nodes[r.node].RecordSuccess(now, model, r.features)
				out.servedSound++
				return true
			})
		}
		if tick%rounds == 0 {
			exchange(now, nodes, l.aggregated, tick/rounds, runs)
		}
	}
	return out
}

// exchange sends the evidence of each node to the others, or, if aggregated, to the first two
// and from these to a fifth of the others in turn.
func exchange(now time.Time, nodes []*detector.Detector, aggregated bool, round int, runs func(uint32) bool) {
	for i, d := range nodes {
		d.Judge(now, runs)
		e := d.Evidence(now)
		for j, o := range nodes {
			switch {
			case i == j:
			case !aggregated || j < 2:
				o.Merge(now, e)
			case i < 2 && j%5 == round%5:
				o.Merge(now, e.WithoutReports())
			}
		}
	}
}

// The pattern: requests with one deadly part at every node, none alike, beside sound ones
// that share each of their other parts.
func TestDeadlyPartIsRejectedAndSoundRequestsAreNot(t *testing.T) {
	for name, l := range map[string]load{
		"small fleet":                               {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2},
		"deadly part before a sound one":            {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2, deadlyFirst: true},
		"subject unknown before":                    {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2, newSubjects: true},
		"subject unknown before, deadly part first": {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2, newSubjects: true, deadlyFirst: true},
		"many at once":                              {nodes: 9, engines: 60, soundPerSecond: 200, poisonPerSecond: 20},
		"small workspace":                           {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2, smallWorkspace: true},
		"small workspace of a large fleet":          {nodes: 60, engines: 90, soundPerSecond: 300, poisonPerSecond: 13, aggregated: true, smallWorkspace: true},
		"one node":                                  {nodes: 1, engines: 18, soundPerSecond: 70, poisonPerSecond: 2},
		"sent again":                                {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2, sends: 4},
		"sent again, subject unknown before":        {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2, sends: 4, newSubjects: true},
		"large fleet":                               {nodes: 60, engines: 90, soundPerSecond: 300, poisonPerSecond: 13, aggregated: true},
		"beside reset connections":                  {nodes: 9, engines: 18, soundPerSecond: 70, poisonPerSecond: 2, resetShare: 0.1},
		"beside reset connections of a large fleet": {nodes: 60, engines: 90, soundPerSecond: 300, poisonPerSecond: 6, resetShare: 0.3, aggregated: true},
		"few engines":                               {nodes: 9, engines: 4, soundPerSecond: 20, poisonPerSecond: 2},
		"few engines and sound prompts":             {nodes: 9, engines: 4, soundPerSecond: 4, poisonPerSecond: 4},
		"few engines, hardly any sound prompts":     {nodes: 9, engines: 4, soundPerSecond: 1, poisonPerSecond: 6},
		"beside crashes of other causes":            {nodes: 9, engines: 30, soundPerSecond: 100, poisonPerSecond: 3, massCrash: 6, massCrashEvery: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(12) {
				l.seed = seed
				out := simulate(l)
				if out.late > 3 || out.rejected == 0 {
					t.Errorf("seed %d: %d requests with the part were rejected, %d crashes, %d late", seed, out.rejected, out.crashes, out.late)
				}
				if out.rejectedSound > 0 {
					t.Errorf("seed %d: %d sound requests were rejected, %d served", seed, out.rejectedSound, out.servedSound)
				}
			}
		})
	}
}

// The pattern: engines crash in groups, again and again, and take down whatever runs
// there.
func TestCrashesOfOtherCausesRejectNothing(t *testing.T) {
	for name, l := range map[string]load{
		"a sixth every two seconds":     {nodes: 9, engines: 30, soundPerSecond: 100, massCrash: 6, massCrashEvery: 2 * time.Second},
		"half every four seconds":       {nodes: 9, engines: 30, soundPerSecond: 100, massCrash: 2, massCrashEvery: 4 * time.Second},
		"a third of a large fleet":      {nodes: 60, engines: 90, soundPerSecond: 300, massCrash: 3, massCrashEvery: 4 * time.Second, aggregated: true},
		"reset connections":             {nodes: 9, engines: 18, soundPerSecond: 70, resetShare: 0.3},
		"reset, in a large fleet":       {nodes: 60, engines: 90, soundPerSecond: 300, resetShare: 0.3, aggregated: true},
		"single engines, one at a time": {nodes: 9, engines: 18, soundPerSecond: 70, massCrash: 18, massCrashEvery: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(12) {
				l.seed = seed
				if out := simulate(l); out.rejectedSound > 0 {
					t.Errorf("seed %d: %d requests were rejected, %d served", seed, out.rejectedSound, out.servedSound)
				}
			}
		})
	}
}

// crashSeries records crashes of different upstreams, each of a run with the features,
// between successes of other runs.
func crashSeries(d *detector.Detector, now time.Time, crashes int, features ...detector.Feature) time.Time {
	for i := range crashes {
		sentAt := now
		now = now.Add(time.Second)
		for range 3 {
			d.RecordSuccess(now, model, []detector.Feature{9_000})
		}
		d.RecordLoss(now, model, uint32(now.Unix())+uint32(i), sentAt, append(slices.Clone(features), detector.Feature(now.UnixNano())))
	}
	return now.Add(time.Second)
}

func judge(d *detector.Detector, now time.Time) []detector.Finding {
	d.SetJudge(true)
	return d.Judge(now, noRuns)
}

func TestSuccessClearsSuspects(t *testing.T) {
	d := detector.New(newRand())
	now := crashSeries(d, start, 5, root, deadly)
	d.RecordSuccess(now, model, []detector.Feature{root, 77})
	if found := judge(d, now); len(found) != 1 || !slices.Equal(found[0].Features, []detector.Feature{deadly}) {
		t.Fatalf("found %+v, want the deadly part alone", found)
	}
	if !d.Rejects(now, []detector.Feature{5, deadly, 6}) || d.Rejects(now, []detector.Feature{root, 6}) {
		t.Error("rejects other requests than those with the deadly part")
	}
	d.RecordSuccess(now, model, []detector.Feature{deadly})
	if d.Rejects(now, []detector.Feature{deadly}) {
		t.Error("a success didn't end the rejection")
	}
}

// Several parts that always come together can't be told apart. Only requests with all of them
// are rejected until one of them succeeds alone.
func TestPartsThatAlwaysCrashTogetherAreRejectedTogether(t *testing.T) {
	d := detector.New(newRand())
	now := crashSeries(d, start, 4, subject, deadly)
	judge(d, now)
	if !d.Rejects(now, []detector.Feature{subject, deadly}) || d.Rejects(now, []detector.Feature{subject}) || d.Rejects(now, []detector.Feature{deadly}) {
		t.Fatal("must reject exactly the requests with both parts")
	}
	d.RecordSuccess(now, model, []detector.Feature{subject, 5})
	if !d.Rejects(now, []detector.Feature{deadly}) {
		t.Error("the part that is left isn't rejected")
	}
}

func TestWholeRequestThatComesAgainIsRejected(t *testing.T) {
	d := detector.New(newRand())
	now := start
	for i := range 3 {
		d.RecordLoss(now.Add(time.Second), model, uint32(i), now, []detector.Feature{42})
		for range 3 {
			d.RecordSuccess(now, model, []detector.Feature{7})
		}
		now = now.Add(time.Second)
	}
	now = now.Add(time.Second)
	judge(d, now)
	if !d.Rejects(now, []detector.Feature{42}) {
		t.Error("still runs after three crashes")
	}
}

// While every run is lost, the requests aren't the cause.
func TestNothingIsRejectedWhileNothingSucceeds(t *testing.T) {
	d := detector.New(newRand())
	now := start
	for i := range 8 {
		d.RecordLoss(now.Add(time.Second), model, uint32(i), now, []detector.Feature{root, detector.Feature(100 + i)})
		now = now.Add(time.Second)
	}
	if found := judge(d, now.Add(time.Second)); len(found) > 0 {
		t.Errorf("found %+v", found)
	}
}

func TestRejectionEndsAndReturnsAtNextCrash(t *testing.T) {
	d := detector.New(newRand())
	now := crashSeries(d, start, 4, deadly)
	judge(d, now)
	later := now.Add(11 * time.Minute)
	d.Evidence(later)
	if d.Rejects(later, []detector.Feature{deadly}) {
		t.Fatal("the rejection has no end")
	}
	d.RecordLoss(later, model, 99, later.Add(-time.Second), []detector.Feature{deadly, 5})
	if !d.Rejects(later, []detector.Feature{deadly}) {
		t.Error("one more crash must suffice")
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	d := detector.New(newRand())
	d.SetJudge(true)
	now := start
	for i := range 20_000 {
		features := make([]detector.Feature, 0, 50)
		for j := range 50 {
			features = append(features, detector.Feature(i*50+j))
		}
		d.RecordLoss(now, model, uint32(i%500), now.Add(-time.Second), features)
		d.RecordSuccess(now, model, []detector.Feature{detector.Feature(i)})
		now = now.Add(time.Millisecond)
	}
	e := d.Evidence(now)
	if len(e.LostRuns) > 48 || len(e.Suspects) > 48 || len(e.Cleared) > 48 || len(e.Vouched) > 48 {
		t.Errorf("%d lost runs, %d suspects, %d cleared, %d vouched in one message", len(e.LostRuns), len(e.Suspects), len(e.Cleared), len(e.Vouched))
	}
}

// Peers repeat what they report, and messages cross: a rejection that was lifted must not
// come back that way.
func TestPeerReportDoesNotRestoreLiftedRejection(t *testing.T) {
	one, two := detector.New(newRand()), detector.New(newRand())
	now := crashSeries(one, start, 4, deadly)
	judge(one, now)
	stale := one.Evidence(now)
	two.Merge(now, stale)
	if !two.Rejects(now, []detector.Feature{deadly}) {
		t.Fatal("the peer doesn't reject")
	}
	two.RecordSuccess(now, model, []detector.Feature{deadly})
	two.Merge(now, stale)
	one.Merge(now, two.Evidence(now))
	for i, d := range []*detector.Detector{one, two} {
		if d.Rejects(now, []detector.Feature{deadly}) {
			t.Errorf("node %d rejects again", i)
		}
	}
}

func Example() {
	d := detector.New(newRand())
	d.SetJudge(true)
	now := time.Unix(0, 0)
	for upstream := range uint32(3) { // three upstreams crash, other requests succeed meanwhile
		sentAt := now
		now = now.Add(time.Second)
		d.RecordSuccess(now, model, []detector.Feature{1, 100})
		d.RecordLoss(now, model, upstream, sentAt, []detector.Feature{1, 2, detector.Feature(200 + upstream)})
	}
	now = now.Add(time.Second)
	d.RecordSuccess(now, model, []detector.Feature{1, 101})
	for _, f := range d.Judge(now, noRuns) {
		fmt.Println(f.Features, f.Crashes)
	}
	// Output: [2] 3
}

// loseRuns records a run with the features at each of the given number of upstreams that
// crash at the same moment.
func loseRuns(d *detector.Detector, now time.Time, upstreams int, features ...detector.Feature) {
	for i := range upstreams {
		d.RecordLoss(now, model, uint32(now.UnixMilli())+uint32(i), now.Add(-200*time.Millisecond), append(slices.Clone(features), detector.Feature(now.UnixNano()+int64(i))))
	}
}

// Upstreams that crash together lose runs with common features, whatever the cause.
func TestCrashOfManyUpstreamsAtOnceRejectsNothing(t *testing.T) {
	d := detector.New(newRand())
	loseRuns(d, start, 8, subject)
	now := start.Add(2 * time.Second)
	for range 20 {
		d.RecordSuccess(now, model, []detector.Feature{7})
	}
	if found := judge(d, now); len(found) > 0 {
		t.Errorf("found %+v", found)
	}
}

// A peer has served the sound part before, so the part that came with it is the cause.
func TestPeerVouchesForSoundPart(t *testing.T) {
	one, two := detector.New(newRand()), detector.New(newRand())
	two.RecordSuccess(start, model, []detector.Feature{subject})
	now := crashSeries(one, start.Add(time.Second), 4, deadly, subject)
	two.Merge(now, one.Evidence(now))
	one.Merge(now, two.Evidence(now))
	if found := judge(one, now); len(found) != 1 || !slices.Equal(found[0].Features, []detector.Feature{deadly}) {
		t.Errorf("found %+v, want the deadly part alone", found)
	}
}

// What was lost beside poison is innocent: its next loss is its first.
func TestRunsLostBesidePoisonAreNotSuspects(t *testing.T) {
	d := detector.New(newRand())
	now := start
	for i := range 4 {
		sentAt := now
		now = now.Add(time.Second)
		for range 4 {
			d.RecordSuccess(now, model, []detector.Feature{9_000})
		}
		d.RecordLoss(now, model, uint32(i), sentAt, []detector.Feature{deadly, detector.Feature(500 + i)})
		if i > 0 {
			d.RecordLoss(now, model, uint32(i), sentAt, []detector.Feature{subject, detector.Feature(600 + i)})
		}
	}
	now = now.Add(time.Second)
	if found := judge(d, now); len(found) != 1 || !slices.Equal(found[0].Features, []detector.Feature{deadly}) {
		t.Fatalf("found %+v, want the deadly part alone", found)
	}
	d.RecordLoss(now, model, 50, now.Add(-time.Second), []detector.Feature{subject, 700})
	if found := judge(d, now.Add(time.Second)); len(found) > 0 {
		t.Errorf("found %+v after one crash of another cause", found)
	}
}

// The nodes report a crash at different times: at first only the runs beside the cause are
// known.
func TestReportsOfCrashAreAwaited(t *testing.T) {
	one, two := detector.New(newRand()), detector.New(newRand())
	now := start
	for i := range 4 {
		sentAt := now
		if i < 3 { // the last two crash together
			now = now.Add(time.Second)
		}
		for range 4 {
			one.RecordSuccess(now, model, []detector.Feature{9_000})
		}
		if i > 0 {
			one.RecordLoss(now, model, uint32(i), sentAt, []detector.Feature{subject, detector.Feature(500 + i)})
		}
		two.RecordLoss(now, model, uint32(i), sentAt, []detector.Feature{deadly, detector.Feature(600 + i)})
		if i < 2 {
			one.Merge(now, two.Evidence(now))
		}
	}
	if found := judge(one, now.Add(200*time.Millisecond)); len(found) > 0 {
		t.Fatalf("found %+v before the reports of the last crashes were complete", found)
	}
	one.Merge(now.Add(300*time.Millisecond), two.Evidence(now.Add(300*time.Millisecond)))
	if found := judge(one, now.Add(time.Second)); len(found) != 1 || !slices.Equal(found[0].Features, []detector.Feature{deadly}) {
		t.Errorf("found %+v, want the deadly part alone", found)
	}
}

// A sound part was lost at each crash of a deadly one, in other requests.
func TestNothingIsRejectedWhileTwoCausesAreAsProbable(t *testing.T) {
	d := detector.New(newRand())
	now := start
	crash := func(i int, features ...detector.Feature) {
		d.RecordLoss(now, model, uint32(i), now.Add(-500*time.Millisecond), append(features, detector.Feature(500+10*i)+features[0]))
	}
	for i := range 4 {
		now = now.Add(time.Second)
		for range 4 {
			d.RecordSuccess(now, model, []detector.Feature{9_000})
		}
		crash(i, deadly)
		crash(i, subject)
	}
	if found := judge(d, now.Add(500*time.Millisecond)); len(found) > 0 {
		t.Fatalf("found %+v", found)
	}
	now = now.Add(time.Second)
	crash(9, deadly)
	if found := judge(d, now.Add(time.Second)); len(found) != 1 || !slices.Equal(found[0].Features, []detector.Feature{deadly}) {
		t.Errorf("found %+v, want the deadly part alone", found)
	}
}

// A node that receives only what the judges pass on clears a suspect that it hasn't seen crash.
func TestNodeOfLargeFleetClearsSuspect(t *testing.T) {
	aggregator, node := detector.New(newRand()), detector.New(newRand())
	aggregator.SetJudge(true)
	now := crashSeries(aggregator, start, 2, root)
	node.Merge(now, aggregator.Evidence(now).WithoutReports())
	node.RecordSuccess(now, model, []detector.Feature{root})
	if cleared := node.Evidence(now).Cleared; !slices.Contains(cleared, root) {
		t.Errorf("cleared %v", cleared)
	}
}

// A burst of crashes within a second has many sound parts in common, until their first success.
func TestSuspectsOfBurstAreObservedFirst(t *testing.T) {
	d := detector.New(newRand())
	now := start
	for i := range 6 {
		d.RecordSuccess(now, model, []detector.Feature{9_000})
		d.RecordLoss(now, model, uint32(i), now.Add(-20*time.Millisecond), []detector.Feature{subject, detector.Feature(500 + i)})
		now = now.Add(30 * time.Millisecond)
	}
	if found := judge(d, now.Add(450*time.Millisecond)); len(found) > 0 {
		t.Errorf("found %+v at once", found)
	}
}

// A peer found the deadly part first. The sound part that each of its requests has as well was
// lost as often, and was rejected instead of left alone.
func TestFindingOfPeerAbsolvesOtherParts(t *testing.T) {
	for _, mergeFirst := range []bool{true, false} {
		one, two := detector.New(newRand()), detector.New(newRand())
		two.RecordSuccess(start, model, []detector.Feature{root})
		now := start.Add(time.Second)
		for i := range 9 {
			sentAt := now
			now = now.Add(100 * time.Millisecond)
			for range 4 {
				one.RecordSuccess(now, model, []detector.Feature{9_000})
			}
			one.RecordLoss(now, model, uint32(i), sentAt, []detector.Feature{root, deadly, detector.Feature(500 + i)})
		}
		one.RecordLoss(now, model, 20, now.Add(-50*time.Millisecond), []detector.Feature{root, 77, 700}) // of another cause
		two.Merge(now, one.Evidence(now))
		one.Merge(now, two.Evidence(now)) // vouches for the root
		if mergeFirst {
			one.Merge(now, detector.Evidence{Poisons: []detector.Poison{{Features: []detector.Feature{deadly}, RemainingMS: 60_000}}})
		}
		for range 5 {
			now = now.Add(300 * time.Millisecond)
			judge(one, now)
		}
		if !one.Rejects(now, []detector.Feature{root, deadly}) || one.Rejects(now, []detector.Feature{root, 5}) {
			t.Errorf("peer first %t: rejects the deadly part %t, the root %t", mergeFirst, one.Rejects(now, []detector.Feature{deadly}), one.Rejects(now, []detector.Feature{root}))
		}
	}
}

// An aggregator that callers don't use, as before its shutdown, learns from its peers that
// other runs succeed.
func TestAggregatorWithoutRunsOfItsOwnFindsPoison(t *testing.T) {
	aggregator, node := detector.New(newRand()), detector.New(newRand())
	aggregator.SetJudge(true)
	now := start
	for i := range 4 {
		sentAt := now
		now = now.Add(time.Second)
		node.RecordLoss(now, model, uint32(i), sentAt, []detector.Feature{root, deadly, firstRequest + detector.Feature(i)})
		for range 20 {
			node.RecordSuccess(now, model, []detector.Feature{root, 9_000})
		}
		aggregator.Merge(now, node.Evidence(now))
	}
	now = now.Add(time.Second)
	if found := aggregator.Judge(now, noRuns); len(found) != 1 || !slices.Equal(found[0].Features, []detector.Feature{deadly}) {
		t.Fatalf("found %+v, want the deadly part alone", found)
	}
	node.Merge(now, aggregator.Evidence(now).WithoutReports())
	if !node.Rejects(now, []detector.Feature{root, deadly, 1}) {
		t.Error("the node doesn't reject the part")
	}
}

// All upstreams of a service reset their connections for a while, and another service goes on.
func TestOutageOfOneServiceRejectsNothing(t *testing.T) {
	const perSecond = 20
	for name, before := range map[string]int{"served before": 100, "never served": 0} {
		t.Run(name, func(t *testing.T) {
			d := detector.New(newRand())
			d.SetJudge(true)
			now := start
			request := firstRequest
			features := func() []detector.Feature {
				request++
				return []detector.Feature{root, firstSubject + request%40, request}
			}
			for range before {
				d.RecordSuccess(now, model, features())
			}
			for i := range 5 * perSecond {
				now = now.Add(time.Second / perSecond)
				d.RecordSuccess(now, plain, []detector.Feature{9_000})
				d.RecordLoss(now, model, uint32(i%18), now.Add(-200*time.Millisecond), features())
				if found := d.Judge(now, noRuns); len(found) > 0 {
					t.Fatalf("found %+v after %v", found, now.Sub(start))
				}
			}
		})
	}
}

// Connections are reset again and again, but the upstreams go on. What was lost there says
// nothing about the requests.
func TestUpstreamsThatSurviveHaveNotCrashed(t *testing.T) {
	d := detector.New(newRand())
	d.SetJudge(true)
	now := start
	survives := func(upstream uint32) bool { return upstream >= 1000 }
	for i := range uint32(8) {
		sentAt := now
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			d.RecordSuccess(now, model, []detector.Feature{9_000})
			d.RecordLoss(now, model, 1000+uint32(now.UnixMilli()%60), sentAt, []detector.Feature{subject, detector.Feature(now.UnixNano())})
		}
		if i < 5 {
			d.RecordLoss(now, model, i, sentAt, []detector.Feature{deadly, detector.Feature(500 + i)})
		}
		d.Judge(now.Add(500*time.Millisecond), survives)
	}
	if !d.Rejects(now, []detector.Feature{deadly}) || d.Rejects(now, []detector.Feature{subject}) {
		t.Error("must reject the part that crashed upstreams and no other")
	}
}

// A deadly part may stand anywhere in a long prompt.
func TestDeadlyPartOfLongPromptIsFound(t *testing.T) {
	for _, position := range []int{0, 20, 40} {
		d := detector.New(newRand())
		now := start
		for i := range 4 {
			features := make([]detector.Feature, 0, 42)
			for j := range 41 {
				features = append(features, detector.Feature(10_000+100*i+j)) // no two alike
			}
			features[position] = deadly
			now = crashSeries(d, now, 1, features...)
		}
		if judge(d, now); !d.Rejects(now, []detector.Feature{deadly}) {
			t.Errorf("not found at position %d", position)
		}
	}
}

// Guards against rejections that are counted twice: after a success with a feature, two of
// them were the same.
func TestRejectionsThatBecomeEqualAreOne(t *testing.T) {
	d := detector.New(newRand())
	d.Merge(start, detector.Evidence{Poisons: []detector.Poison{{Features: []detector.Feature{1, 2}, RemainingMS: 60_000}, {Features: []detector.Feature{2}, RemainingMS: 30_000}}})
	d.RecordSuccess(start, 1, []detector.Feature{1})
	if got := d.Rejections(start); len(got) != 1 || len(got[0].Features) != 1 || got[0].RemainingMS != 60_000 {
		t.Errorf("got %+v, want one with one feature for a minute", got)
	}
}
