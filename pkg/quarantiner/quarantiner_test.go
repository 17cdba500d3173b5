package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
)

var now = time.Unix(1_800_000_000, 0)

const poisonFingerprint quarantiner.Fingerprint = 500

// simulatePoisonRequest sends one poison request and many harmless ones through
// several nodes that share engines. It returns the number of engine crashes and
// the number of harmless requests that got no response. Without isolate, suspects
// share engines. With duplicates, each harmless request is also sent to the
// next node.
func simulatePoisonRequest(seed uint64, isolate, duplicates bool) (crashes, unanswered int) {
	const (
		nodes   = 3
		engines = 4
	)
	rnd := rand.New(rand.NewPCG(seed, 1))
	var q [nodes]*quarantiner.Quarantiner
	for i := range q {
		q[i] = quarantiner.New(1000)
	}
	type job struct {
		node int
		quarantiner.Run
	}
	send := func(node int, f quarantiner.Fingerprint) job {
		return job{node, quarantiner.Run{Fingerprint: f}}
	}
	waiting := []job{send(rnd.IntN(nodes), poisonFingerprint)}
	for i := range 12 {
		j := send(rnd.IntN(nodes), quarantiner.Fingerprint(100+i*70))
		waiting = append(waiting, j)
		if duplicates {
			waiting = append(waiting, send((j.node+1)%nodes, j.Fingerprint))
		}
	}
	for range 10 {
		inFlight := [engines][]job{}
		var next []job
		for _, j := range waiting {
			e := rnd.IntN(engines)
			verdict := q[j.node].Check(now, j.Fingerprint)
			switch verdict {
			case quarantiner.Quarantined:
				if j.Fingerprint != poisonFingerprint {
					unanswered++
				}
				continue
			case quarantiner.Wait:
				next = append(next, j)
				continue
			case quarantiner.Isolated:
				if rank := q[j.node].Rank(now, j.Fingerprint); isolate && rank >= engines {
					next = append(next, j)
					continue
				} else if isolate {
					e = rank
				}
			}
			j.Suspect = verdict == quarantiner.Isolated
			q[j.node].RecordStart(j.Fingerprint)
			inFlight[e] = append(inFlight[e], j)
		}
		for e, runs := range inFlight {
			crashed := false
			for _, j := range runs {
				crashed = crashed || j.Fingerprint == poisonFingerprint
			}
			if !crashed {
				for _, j := range runs {
					if q[j.node].RecordSuccess(j.Fingerprint) {
						for i := range q {
							q[i].MergeReport(quarantiner.Report{Fingerprint: j.Fingerprint})
						}
					}
				}
				continue
			}
			crashes++
			for i := range q {
				var own []quarantiner.Run
				for _, j := range runs {
					if j.node == i {
						own = append(own, j.Run)
					}
				}
				for _, r := range q[i].RecordCrash(now, fmt.Sprint("e", e), own) {
					for o := range q {
						if o != i {
							q[o].MergeReport(r)
						}
					}
				}
			}
			next = append(next, runs...)
		}
		waiting = next
		if crashes < 4 { // the caller retries the poison request at another node
			waiting = append(waiting, send(rnd.IntN(nodes), poisonFingerprint))
		}
	}
	return crashes, unanswered + max(0, len(waiting)-1)
}

func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	for seed := range uint64(500) {
		for _, duplicates := range []bool{false, true} {
			crashes, unanswered := simulatePoisonRequest(seed, true, duplicates)
			if crashes > 2 {
				t.Errorf("seed %d, duplicates %t: %d engines crashed, want at most 2", seed, duplicates, crashes)
			}
			if unanswered > 0 {
				t.Errorf("seed %d, duplicates %t: %d harmless requests got no response", seed, duplicates, unanswered)
			}
		}
	}
}

// Guards against a request that is sent to several nodes at once and crashes an upstream of
// each, twice: no node counted the crashes at the others.
func TestRequestSentToSeveralNodesAtOnceIsQuarantined(t *testing.T) {
	for nodes, want := range map[int]quarantiner.Verdict{2: quarantiner.Isolated, 3: quarantiner.Quarantined} {
		q := quarantiner.New(10)
		q.RecordCrash(now, "e0", []quarantiner.Run{{Fingerprint: poisonFingerprint}})
		for i := 1; i < nodes; i++ {
			q.MergeReport(quarantiner.Report{Fingerprint: poisonFingerprint, Crashes: 1, Until: now.Add(10 * time.Minute), Upstream: fmt.Sprint("e", i)})
		}
		if got := q.Check(now, poisonFingerprint); got != want {
			t.Errorf("%d nodes: verdict %d, want %d", nodes, got, want)
		}
	}
}

// TestCrashSeenByTwoNodesCountsOnce guards against quarantining a harmless
// request after one crash. Two nodes run the request on the same upstream, and
// one of them gets the other's report of the crash before it sees the crash
// itself.
func TestCrashSeenByTwoNodesCountsOnce(t *testing.T) {
	one, two := quarantiner.New(10), quarantiner.New(10)
	inFlight := []quarantiner.Run{{Fingerprint: 1}}
	for _, r := range one.RecordCrash(now, "e1", inFlight) {
		two.MergeReport(r)
	}
	for _, r := range two.RecordCrash(now, "e1", inFlight) {
		one.MergeReport(r)
	}
	for i, q := range []*quarantiner.Quarantiner{one, two} {
		if v := q.Check(now, 1); v != quarantiner.Isolated {
			t.Errorf("node %d: verdict %d, want isolated", i, v)
		}
	}
}

func TestSecondCrashCounts(t *testing.T) {
	for name, second := range map[string]struct {
		upstream string
		run      quarantiner.Run
		after    time.Duration
		want     quarantiner.Verdict
	}{
		"of another upstream":                  {"e2", quarantiner.Run{Fingerprint: 1}, time.Second, quarantiner.Quarantined},
		"of the same upstream, run as suspect": {"e1", quarantiner.Run{Fingerprint: 1, Suspect: true}, time.Second, quarantiner.Quarantined},
		"after the first has expired":          {"e1", quarantiner.Run{Fingerprint: 1}, time.Hour, quarantiner.Isolated},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := quarantiner.New(10), quarantiner.New(10)
			for _, r := range one.RecordCrash(now, "e1", []quarantiner.Run{{Fingerprint: 1}}) {
				two.MergeReport(r)
			}
			later := now.Add(second.after)
			for _, r := range two.RecordCrash(later, second.upstream, []quarantiner.Run{second.run}) {
				one.MergeReport(r)
			}
			for i, q := range []*quarantiner.Quarantiner{one, two} {
				if v := q.Check(later, 1); v != second.want {
					t.Errorf("node %d: verdict %d, want %d", i, v, second.want)
				}
			}
		})
	}
}

// TestReportDoesNotRestoreExpiredCrashes guards against a peer's report that
// extends the expiry of older crashes, so that one new crash leads to
// quarantine.
func TestReportDoesNotRestoreExpiredCrashes(t *testing.T) {
	one, two := quarantiner.New(10), quarantiner.New(10)
	inFlight := []quarantiner.Run{{Fingerprint: 1}}
	two.RecordCrash(now, "e1", inFlight)
	two.RecordCrash(now, "e2", inFlight)
	later := now.Add(time.Hour)
	for _, r := range one.RecordCrash(later, "e3", inFlight) {
		two.MergeReport(r)
	}
	if v := two.Check(later, 1); v != quarantiner.Isolated {
		t.Errorf("after one crash: verdict %d, want isolated", v)
	}
	two.RecordCrash(later, "e1", inFlight)
	if v := two.Check(later, 1); v != quarantiner.Quarantined {
		t.Errorf("after two crashes: verdict %d, want quarantined", v)
	}
}

// BenchmarkIsolation reports the harmless requests without a response in 500
// simulations, with suspects isolated from each other and without.
func BenchmarkIsolation(b *testing.B) {
	for name, isolate := range map[string]bool{"apart": true, "together": false} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				total := 0
				for seed := range uint64(500) {
					_, unanswered := simulatePoisonRequest(seed, isolate, false)
					total += unanswered
				}
				b.ReportMetric(float64(total), "innocent-refused")
			}
		})
	}
}

func TestSuspectExpires(t *testing.T) {
	q := quarantiner.New(2)
	q.RecordCrash(now, "e1", []quarantiner.Run{{Fingerprint: 1}})
	q.RecordCrash(now, "e2", []quarantiner.Run{{Fingerprint: 1}})
	if v := q.Check(now, 1); v != quarantiner.Quarantined {
		t.Errorf("verdict %d, want quarantined", v)
	}
	if v := q.Check(now.Add(time.Hour), 1); v != quarantiner.Clear {
		t.Errorf("after an hour: verdict %d, want clear", v)
	}
}
