package quarantiner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
)

var now = time.Unix(1_800_000_000, 0)

const poison quarantiner.Fingerprint = 500

// storm sends one poisoned request and many innocent ones through several
// nodes that share engines, and returns how many engines fell and how many
// innocent requests were refused. Without apart, suspects share engines.
func storm(seed uint64, apart bool) (fell, refused int) {
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
		f    quarantiner.Fingerprint
	}
	waiting := []job{{rnd.IntN(nodes), poison}}
	for i := range 12 {
		waiting = append(waiting, job{rnd.IntN(nodes), quarantiner.Fingerprint(100 + i*70)})
	}
	for range 10 {
		flights := [engines][]job{}
		var next []job
		for _, j := range waiting {
			e := rnd.IntN(engines)
			switch q[j.node].Judge(now, j.f) {
			case quarantiner.Quarantined:
				if j.f != poison {
					refused++
				}
				continue
			case quarantiner.Wait:
				next = append(next, j)
				continue
			case quarantiner.Apart:
				if rank := q[j.node].Rank(now, j.f); apart && rank >= engines {
					next = append(next, j)
					continue
				} else if apart {
					e = rank
				}
			}
			q[j.node].Started(j.f)
			flights[e] = append(flights[e], j)
		}
		for _, flight := range flights {
			crashed := false
			for _, j := range flight {
				crashed = crashed || j.f == poison
			}
			if !crashed {
				for _, j := range flight {
					if q[j.node].Ended(j.f) {
						for i := range q {
							q[i].Heard(quarantiner.Report{Fingerprint: j.f})
						}
					}
				}
				continue
			}
			fell++
			for i := range q {
				var own []quarantiner.Fingerprint
				for _, j := range flight {
					if j.node == i {
						own = append(own, j.f)
					}
				}
				for _, r := range q[i].Crashed(now, own) {
					for o := range q {
						if o != i {
							q[o].Heard(r)
						}
					}
				}
			}
			next = append(next, flight...)
		}
		waiting = next
		if fell < 4 { // the caller of the poisoned request tries elsewhere
			waiting = append(waiting, job{rnd.IntN(nodes), poison})
		}
	}
	return fell, refused + max(0, len(waiting)-1)
}

func TestOneRequestTakesTwoEnginesAtMost(t *testing.T) {
	for seed := range uint64(500) {
		fell, refused := storm(seed, true)
		if fell > 2 {
			t.Errorf("seed %d: %d engines fell", seed, fell)
		}
		if refused > 0 {
			t.Errorf("seed %d: %d innocent requests were not answered", seed, refused)
		}
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
					_, refused := storm(seed, apart)
					total += refused
				}
				b.ReportMetric(float64(total), "innocent-refused")
			}
		})
	}
}

func TestForgetsAfterItsTime(t *testing.T) {
	q := quarantiner.New(2)
	q.Crashed(now, []quarantiner.Fingerprint{1})
	q.Crashed(now, []quarantiner.Fingerprint{1})
	if v := q.Judge(now, 1); v != quarantiner.Quarantined {
		t.Errorf("verdict %d, want quarantined", v)
	}
	if v := q.Judge(now.Add(time.Hour), 1); v != quarantiner.Free {
		t.Errorf("after an hour: verdict %d, want free", v)
	}
}
