package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
)

var now = time.Unix(1_800_000_000, 0)

const poison quarantiner.Fingerprint = 500

// storm sends one poisoned request and many innocent ones through several
// nodes that share engines, and returns how many engines fell and how many
// innocent requests were refused. Without apart, suspects share engines. With
// twins, each innocent request is also sent to the next node.
func storm(seed uint64, apart, twins bool) (fell, refused int) {
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
	waiting := []job{send(rnd.IntN(nodes), poison)}
	for i := range 12 {
		j := send(rnd.IntN(nodes), quarantiner.Fingerprint(100+i*70))
		waiting = append(waiting, j)
		if twins {
			waiting = append(waiting, send((j.node+1)%nodes, j.Fingerprint))
		}
	}
	for range 10 {
		flights := [engines][]job{}
		var next []job
		for _, j := range waiting {
			e := rnd.IntN(engines)
			verdict := q[j.node].Check(now, j.Fingerprint)
			switch verdict {
			case quarantiner.Quarantined:
				if j.Fingerprint != poison {
					refused++
				}
				continue
			case quarantiner.Wait:
				next = append(next, j)
				continue
			case quarantiner.Isolated:
				if rank := q[j.node].Rank(now, j.Fingerprint); apart && rank >= engines {
					next = append(next, j)
					continue
				} else if apart {
					e = rank
				}
			}
			j.Suspect = verdict == quarantiner.Isolated
			q[j.node].RecordStart(j.Fingerprint)
			flights[e] = append(flights[e], j)
		}
		for e, flight := range flights {
			crashed := false
			for _, j := range flight {
				crashed = crashed || j.Fingerprint == poison
			}
			if !crashed {
				for _, j := range flight {
					if q[j.node].RecordSuccess(j.Fingerprint) {
						for i := range q {
							q[i].MergeReport(quarantiner.Report{Fingerprint: j.Fingerprint})
						}
					}
				}
				continue
			}
			fell++
			for i := range q {
				var own []quarantiner.Run
				for _, j := range flight {
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
			next = append(next, flight...)
		}
		waiting = next
		if fell < 4 { // the caller of the poisoned request tries elsewhere
			waiting = append(waiting, send(rnd.IntN(nodes), poison))
		}
	}
	return fell, refused + max(0, len(waiting)-1)
}

func TestOneRequestTakesTwoEnginesAtMost(t *testing.T) {
	for seed := range uint64(500) {
		for _, twins := range []bool{false, true} {
			fell, refused := storm(seed, true, twins)
			if fell > 2 {
				t.Errorf("seed %d, twins %t: %d engines fell", seed, twins, fell)
			}
			if refused > 0 {
				t.Errorf("seed %d, twins %t: %d innocent requests were not answered", seed, twins, refused)
			}
		}
	}
}

// TestCrashSeenByTwoNodesCountsOnce guards against an innocent request in
// quarantine because the node that lost its second run heard of the crash from
// the node that lost the first before it saw the crash itself.
func TestCrashSeenByTwoNodesCountsOnce(t *testing.T) {
	one, two := quarantiner.New(10), quarantiner.New(10)
	flight := []quarantiner.Run{{Fingerprint: 1}}
	for _, r := range one.RecordCrash(now, "e1", flight) {
		two.MergeReport(r)
	}
	for _, r := range two.RecordCrash(now, "e1", flight) {
		one.MergeReport(r)
	}
	for i, q := range []*quarantiner.Quarantiner{one, two} {
		if v := q.Check(now, 1); v != quarantiner.Isolated {
			t.Errorf("node %d: verdict %d, want apart", i, v)
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
		"after the first was forgotten":        {"e1", quarantiner.Run{Fingerprint: 1}, time.Hour, quarantiner.Isolated},
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

// TestForgottenCrashesStayForgotten guards against a report that brings back
// what was known of a request before its time was over.
func TestForgottenCrashesStayForgotten(t *testing.T) {
	one, two := quarantiner.New(10), quarantiner.New(10)
	flight := []quarantiner.Run{{Fingerprint: 1}}
	two.RecordCrash(now, "e1", flight)
	two.RecordCrash(now, "e2", flight)
	later := now.Add(time.Hour)
	for _, r := range one.RecordCrash(later, "e3", flight) {
		two.MergeReport(r)
	}
	if v := two.Check(later, 1); v != quarantiner.Isolated {
		t.Errorf("after one crash: verdict %d, want apart", v)
	}
	two.RecordCrash(later, "e1", flight)
	if v := two.Check(later, 1); v != quarantiner.Quarantined {
		t.Errorf("after two crashes: verdict %d, want quarantined", v)
	}
}

// BenchmarkApart gives the innocent requests refused in 500 storms, with
// suspects run apart and without.
func BenchmarkApart(b *testing.B) {
	for name, apart := range map[string]bool{"apart": true, "together": false} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				total := 0
				for seed := range uint64(500) {
					_, refused := storm(seed, apart, false)
					total += refused
				}
				b.ReportMetric(float64(total), "innocent-refused")
			}
		})
	}
}

func TestForgetsAfterItsTime(t *testing.T) {
	q := quarantiner.New(2)
	q.RecordCrash(now, "e1", []quarantiner.Run{{Fingerprint: 1}})
	q.RecordCrash(now, "e2", []quarantiner.Run{{Fingerprint: 1}})
	if v := q.Check(now, 1); v != quarantiner.Quarantined {
		t.Errorf("verdict %d, want quarantined", v)
	}
	if v := q.Check(now.Add(time.Hour), 1); v != quarantiner.Clear {
		t.Errorf("after an hour: verdict %d, want free", v)
	}
}
